package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/standin/weights"
)

const model = "matcher"

func start(t *testing.T, opts ...engine.Option) (*engine.Server, *endpoint.Client, string) {
	t.Helper()
	server := engine.New(append([]engine.Option{engine.WithModels(model)}, opts...)...)
	require.NoError(t, server.Start(t.Context(), "127.0.0.1:0"))
	client := endpoint.New()
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return server, client, server.Address()
}

func body(content string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, tokens, content)
}

// readText reads events until an error. It returns the text, the number of the
// last event and the error.
func readText(t *testing.T, s *endpoint.Stream) (answer string, last uint64, err error) {
	t.Helper()
	defer func() { _ = s.Close() }()
	for {
		event, err := s.Next()
		if err != nil {
			return answer, last, err
		}
		var piece struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal(event.Data, &piece))
		for _, choice := range piece.Choices {
			answer += choice.Delta.Content
		}
		if event.Name == "" {
			last = event.Sequence
		}
	}
}

func TestCompleteAnswer(t *testing.T) {
	server, client, addr := start(t)
	s, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "a", Body: body("a red glove", 20)})
	require.NoError(t, err)
	got, last, err := readText(t, s)
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, engine.AnswerTo(model, "a red glove", 20), got)
	assert.Equal(t, uint64(21), last)
	assert.Equal(t, map[string]int{"a": 1}, server.Counts().Requests)
}

func TestCutStreamIsResumedByOffset(t *testing.T) {
	for _, clean := range []bool{false, true} {
		t.Run(fmt.Sprintf("clean %v", clean), func(t *testing.T) {
			server, client, addr := start(t, engine.WithFaults(engine.Faults{CutAfter: 700, Cuts: 1, CutClean: clean}))
			s, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "a", Body: body("x", 30)})
			require.NoError(t, err)
			head, last, err := readText(t, s)
			require.ErrorIs(t, err, endpoint.ErrInterrupted)
			s, err = client.Resume(t.Context(), addr, "a", last)
			require.NoError(t, err)
			rest, _, err := readText(t, s)
			require.ErrorIs(t, err, io.EOF)
			assert.Equal(t, engine.AnswerTo(model, "x", 30), head+rest)
			assert.Equal(t, 1, server.Counts().Requests["a"])
		})
	}
}

func TestAnswerContinuesFromTokensSent(t *testing.T) {
	_, client, addr := start(t)
	complete := engine.AnswerTo(model, "x", 10)
	sent := strings.Join(strings.SplitAfter(complete, " ")[:4], "")
	sent = strings.TrimSuffix(sent, " ")
	request := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":6,"continue_final_message":true,"messages":`+
		`[{"role":"user","content":"x"},{"role":"assistant","content":%q}]}`, model, sent)
	s, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "b", Body: request})
	require.NoError(t, err)
	rest, _, err := readText(t, s)
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, complete, sent+rest)
}

func TestCancelReportsWhetherAttemptRan(t *testing.T) {
	server, client, addr := start(t, engine.WithStepTime(20*time.Millisecond), engine.WithMaxBatch(1))
	running, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "running", Body: body("x", 500)})
	require.NoError(t, err)
	_, err = running.Next()
	require.NoError(t, err)
	queued, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "queued", Body: body("x", 5)})
	require.NoError(t, err)

	ran, err := client.Cancel(t.Context(), addr, "queued")
	require.NoError(t, err)
	assert.False(t, ran)
	ran, err = client.Cancel(t.Context(), addr, "running")
	require.NoError(t, err)
	assert.True(t, ran)
	_, err = client.Cancel(t.Context(), addr, "other")
	require.ErrorIs(t, err, endpoint.ErrGone)
	for _, s := range []*endpoint.Stream{running, queued} {
		_, _, err = readText(t, s)
		require.ErrorIs(t, err, endpoint.ErrInterrupted)
	}
	assert.Equal(t, map[string]int{"running": 1}, server.Counts().Requests)
}

func TestHigherPriorityRunsFirst(t *testing.T) {
	server, client, addr := start(t, engine.WithStepTime(2*time.Millisecond), engine.WithMaxBatch(1))
	first, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "first", Body: body("x", 20)})
	require.NoError(t, err)
	bulk, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "bulk", Priority: 2, Body: body("x", 20)})
	require.NoError(t, err)
	urgent, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "urgent", Body: body("x", 1000)})
	require.NoError(t, err)
	_, _, err = readText(t, first)
	require.ErrorIs(t, err, io.EOF)
	_, err = urgent.Next()
	require.NoError(t, err)
	assert.Equal(t, map[string]int{"first": 1, "urgent": 1}, server.Counts().Requests)
	require.NoError(t, urgent.Close())
	require.NoError(t, bulk.Close())
}

func TestOrdersAndMemory(t *testing.T) {
	const gib = 1 << 30
	server, client, addr := start(t, engine.WithMemory(32*gib), engine.WithKVCache(4*gib), engine.WithFenceChecks(true),
		engine.WithLoadTime(30*time.Millisecond))
	order := func(id string, fence fleet.Fence, kind endpoint.OrderKind, name fleet.Model, size int64) (endpoint.OrderStatus, error) {
		reply, err := client.Order(t.Context(), addr,
			endpoint.Order{ID: id, Fence: fence, Kind: kind, Model: name, Bytes: size})
		return reply.Status, err
	}
	status, err := order("1", 5, endpoint.OrderLoad, "b", 16*gib)
	require.NoError(t, err)
	assert.Equal(t, endpoint.OrderAccepted, status)
	repeated, err := order("1", 5, endpoint.OrderLoad, "b", 16*gib)
	require.NoError(t, err)
	assert.Equal(t, status, repeated)
	_, err = order("2", 4, endpoint.OrderUnload, "b", 0)
	require.ErrorIs(t, err, endpoint.ErrStaleFence)
	_, err = order("3", 5, endpoint.OrderLoad, "c", 8*gib)
	require.ErrorIs(t, err, endpoint.ErrNoMemory)

	require.Eventually(t, func() bool {
		state, err := client.State(t.Context(), addr)
		return err == nil && len(state.Models) == 2 && state.Models[1].State == endpoint.ResidentReady
	}, 5*time.Second, 5*time.Millisecond)
	models, err := client.Models(t.Context(), addr)
	require.NoError(t, err)
	assert.Equal(t, []fleet.Model{model, "b"}, models)
	status, err = order("4", 6, endpoint.OrderUnload, "b", 0)
	require.NoError(t, err)
	assert.Equal(t, endpoint.OrderDone, status)
	counts := server.Counts()
	assert.Equal(t, 1, counts.Overcommits)
	assert.Equal(t, int64(28*gib), counts.PeakBytes)
	assert.Equal(t, fleet.Fence(6), server.State().Fence)

	server.SetFaults(engine.Faults{IgnoreFences: true, Overcommit: true})
	_, err = order("5", 1, endpoint.OrderLoad, "big", 40*gib)
	require.NoError(t, err)
	assert.Equal(t, 2, server.Counts().Overcommits)
}

func TestLoadsFromWeightStore(t *testing.T) {
	store := weights.New(weights.WithLimits(1000, 1), weights.WithBandwidth(1e12))
	require.NoError(t, store.Start(t.Context(), "127.0.0.1:0"))
	defer func() { _ = store.Close() }()
	store.SetFaults(weights.Faults{Down: true})
	server, client, addr := start(t, engine.WithWeightStore(store.Address()))
	for _, order := range []endpoint.Order{
		{ID: "1", Kind: endpoint.OrderLoad, Model: "b", Bytes: 1 << 30},
		{ID: "2", Kind: endpoint.OrderLoadAdapter, Model: model, Adapter: "a1"},
		{ID: "3", Kind: endpoint.OrderLoad, Model: "never", Bytes: 1 << 30},
		{ID: "4", Kind: endpoint.OrderUnload, Model: "never"},
	} {
		reply, err := client.Order(t.Context(), addr, order)
		require.NoError(t, err)
		assert.Equal(t, endpoint.OrderAccepted, reply.Status)
	}
	require.Eventually(t, func() bool { return store.Counts().Refused > 0 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, endpoint.ResidentLoading, server.State().Models[1].State)
	store.SetFaults(weights.Faults{})
	require.Eventually(t, func() bool {
		models, err := client.Models(t.Context(), addr)
		return err == nil && slices.Equal(models, []fleet.Model{model, "b", "a1"}) && len(server.State().Models) == 3
	}, 10*time.Second, 5*time.Millisecond)
	assert.Equal(t, 1, store.Counts().PeakInFlight)
}

func TestCrashOnPromptWord(t *testing.T) {
	server, client, addr := start(t, engine.WithFaults(engine.Faults{CrashOn: "poison"}))
	s, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "a", Body: body("a poison pill", 5)})
	if err == nil {
		_, _, err = readText(t, s)
	}
	require.ErrorIs(t, err, endpoint.ErrInterrupted)
	require.ErrorIs(t, server.Wait(), engine.ErrCrashed)
	_, err = client.Start(t.Context(), addr, endpoint.Call{Attempt: "b", Body: body("x", 5)})
	require.ErrorIs(t, err, endpoint.ErrNotSent)
}

func TestLeavingEngineRefusesOnlyNewRequests(t *testing.T) {
	server, client, addr := start(t, engine.WithStepTime(2*time.Millisecond))
	s, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "a", Body: body("x", 20)})
	require.NoError(t, err)
	server.SetFaults(engine.Faults{Leaving: true})
	require.ErrorIs(t, client.Health(t.Context(), addr), endpoint.ErrLeaving)
	_, err = client.Start(t.Context(), addr, endpoint.Call{Attempt: "b", Body: body("x", 5)})
	require.ErrorIs(t, err, endpoint.ErrLeaving)
	got, _, err := readText(t, s)
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, engine.AnswerTo(model, "x", 20), got)
}

func TestUnknownModelIsRefused(t *testing.T) {
	_, client, addr := start(t)
	request := []byte(`{"model":"other","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	_, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "a", Body: request})
	require.ErrorIs(t, err, endpoint.ErrNoModel)
}

func TestCacheEventGapsAndBlockImport(t *testing.T) {
	_, client, addr := start(t, engine.WithLags(0, 0), engine.WithFaults(engine.Faults{EventGap: 2}))
	prompt := strings.Repeat("word ", 64)
	s, err := client.Start(t.Context(), addr, endpoint.Call{Attempt: "a", Body: body(prompt, 2)})
	require.NoError(t, err)
	_, _, err = readText(t, s)
	require.ErrorIs(t, err, io.EOF)
	feed, err := client.Events(t.Context(), addr, 0)
	require.NoError(t, err)
	require.Len(t, feed.Events, 2)
	assert.Equal(t, uint64(3), feed.Events[1].Number)

	_, other, otherAddr := start(t, engine.WithLags(0, 0))
	query := endpoint.CacheQuery{Model: model, Prompt: engine.Prompt(engine.Message{Role: "user", Content: engine.Content(prompt)})}
	blocks, err := client.Export(t.Context(), addr, query)
	require.NoError(t, err)
	require.NoError(t, other.Import(t.Context(), otherAddr, blocks))
	feed, err = other.Events(t.Context(), otherAddr, 0)
	require.NoError(t, err)
	assert.Len(t, feed.Events, 4)
}

func TestLoadReportLags(t *testing.T) {
	_, client, addr := start(t, engine.WithStepTime(5*time.Millisecond), engine.WithLags(100*time.Millisecond, 0))
	_, err := client.Load(t.Context(), addr)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s, err := client.Start(ctx, addr, endpoint.Call{Attempt: "a", Body: body("x", 1000)})
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	require.Eventually(t, func() bool {
		load, err := client.Load(t.Context(), addr)
		return err == nil && load.Running == 1 && time.Since(load.At) >= 100*time.Millisecond
	}, 5*time.Second, 10*time.Millisecond)
}
