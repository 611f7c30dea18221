package engine_test

import (
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/stream"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// reader reads an answer from the engine and passes each event to the stream assembly.
type reader struct {
	t        *testing.T
	client   *endpoint.Client
	assembly *stream.Assembly
	text     string
}

// follow reads one connection to its end and returns the decision of the assembly.
func (r *reader) follow(s *endpoint.Stream, err error) stream.Decision {
	r.t.Helper()
	attempt := r.assembly.Attempt()
	for err == nil {
		var event endpoint.Event
		event, err = s.Next()
		if err == nil {
			r.addPiece(stream.Piece{Attempt: attempt, Offset: event.Sequence - 1, Data: event.Data})
		}
	}
	if s != nil {
		_ = s.Close()
	}
	if errors.Is(err, io.EOF) {
		r.assembly.End(attempt, r.assembly.Next())
		return stream.Decision{Step: stream.StepNone}
	}
	return r.assembly.Interrupted(time.Now(), attempt, lossFor(err))
}

func lossFor(err error) stream.Loss {
	switch {
	case errors.Is(err, endpoint.ErrGone):
		return stream.LossAttempt
	case errors.Is(err, endpoint.ErrNotSent):
		return stream.LossEndpoint
	default:
		return stream.LossConnection
	}
}

func (r *reader) addPiece(p stream.Piece) {
	pieces, _ := r.assembly.Add(time.Now(), p)
	for _, released := range pieces {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		require.NoError(r.t, json.Unmarshal(released.Data, &chunk))
		r.text += chunk.Choices[0].Delta.Content
	}
}

func TestStreamCutAtManyOffsetsIsCompleteAfterResume(t *testing.T) {
	server, client, addr := start(t)
	for after := 0; after < 1600; after += 41 {
		server.SetFaults(engine.Faults{CutAfter: after, Cuts: 2, CutClean: after%2 == 0})
		r := &reader{t: t, client: client, assembly: stream.New()}
		attempt := "cut-" + time.Duration(after).String()
		r.assembly.Begin(attempt, "m1")
		decision := r.follow(client.Start(t.Context(), addr, endpoint.Call{Attempt: attempt, Body: body("x", 8)}))
		for decision.Step == stream.StepResume {
			decision = r.follow(client.Resume(t.Context(), addr, attempt, decision.After))
		}
		require.Equal(t, stream.StateComplete, r.assembly.State(), "cut after %d", after)
		require.Equal(t, engine.AnswerTo(model, "x", 8), r.text)
		require.Equal(t, 1, server.Counts().Requests[attempt])
	}
}

func TestAnswerContinuesOnAnotherEngineAfterEngineLoss(t *testing.T) {
	first, client, addr := start(t, engine.WithStepTime(2*time.Millisecond), engine.WithFaults(engine.Faults{CutAfter: 900, Cuts: 1}))
	_, _, otherAddr := start(t)
	request := body("a red glove", 30)
	r := &reader{t: t, client: client, assembly: stream.New()}
	r.assembly.Begin("a1", "m1")
	decision := r.follow(client.Start(t.Context(), addr, endpoint.Call{Attempt: "a1", Body: request}))
	require.Equal(t, stream.StepResume, decision.Step)
	require.NoError(t, first.Close())

	decision = r.follow(client.Resume(t.Context(), addr, "a1", decision.After))
	require.Equal(t, stream.StepContinue, decision.Step)
	rest, err := stream.ContinueBody(request, decision.Text, decision.Tokens)
	require.NoError(t, err)
	r.assembly.Begin("a2", "m2")
	decision = r.follow(client.Start(t.Context(), otherAddr, endpoint.Call{Attempt: "a2", Body: rest}))
	assert.Equal(t, stream.StepNone, decision.Step)
	assert.Equal(t, stream.StateComplete, r.assembly.State())
	assert.Equal(t, engine.AnswerTo(model, "a red glove", 30), r.text)
}
