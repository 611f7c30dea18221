package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// Guards against answers that are lost because their endpoint was silent for a while, when the
// second endpoint that was to replace it fails.
func TestSilentEndpointKeepsItsAttempt(t *testing.T) {
	const late, pause = standin.BehaviourLate, standin.BehaviourPause
	tests := []struct {
		name              string
		kind              catalog.Kind
		first, second     standin.Behaviour
		noSecondAdmission bool // the second endpoint does not admit the request
		answeredBySecond  bool
		runs              int
	}{
		{name: "safe, second resets", kind: catalog.KindSafe, first: late, second: standin.BehaviourLost, runs: 2},
		{name: "safe, second fails", kind: catalog.KindSafe, first: late, second: standin.BehaviourFail, runs: 2},
		{name: "safe, second answers another request", kind: catalog.KindSafe, first: late, second: standin.BehaviourForeign, runs: 2},
		{name: "safe, second is full", kind: catalog.KindSafe, first: late, second: standin.BehaviourFull, runs: 1},
		{name: "safe, second says nothing", kind: catalog.KindSafe, first: late, second: standin.BehaviourMute, runs: 2},
		{name: "safe, second breaks off", kind: catalog.KindSafe, first: late, second: standin.BehaviourCut, runs: 2},
		{name: "safe, second answers", kind: catalog.KindSafe, first: standin.BehaviourMute, second: standin.BehaviourNone, answeredBySecond: true, runs: 2},
		{name: "first event, second resets", kind: catalog.KindStream, first: late, second: standin.BehaviourLost, runs: 2},
		{name: "first event, second is full", kind: catalog.KindStream, first: late, second: standin.BehaviourFull, runs: 1},
		{name: "first event, second says nothing", kind: catalog.KindStream, first: late, second: standin.BehaviourMute, runs: 2},
		{name: "first event, second doesn't admit", kind: catalog.KindStream, first: late, second: standin.BehaviourNone, noSecondAdmission: true, runs: 1},
		{name: "between events, second resets", kind: catalog.KindStream, first: pause, second: standin.BehaviourLost, runs: 2},
		{name: "between events, second is full", kind: catalog.KindStream, first: pause, second: standin.BehaviourFull, runs: 1},
		{name: "between events, second says nothing", kind: catalog.KindStream, first: pause, second: standin.BehaviourMute, runs: 2},
		{name: "between events, second doesn't admit", kind: catalog.KindStream, first: pause, second: standin.BehaviourNone, noSecondAdmission: true, runs: 1},
		{name: "between events, second answers", kind: catalog.KindStream, first: pause, second: standin.BehaviourNone, answeredBySecond: true, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tt.kind, tt.first, tt.second)
			f.route.MaxEventGap = 50 * time.Millisecond
			f.admissionRefused, f.admitFirst = tt.noSecondAdmission, 1
			method, header, body := http.MethodGet, map[string]string{}, "done r1"
			if tt.kind == catalog.KindStream {
				method, header["Model"], body = http.MethodPost, "m", completeStream
			}
			answer, err := send(t, serve(t, f), method, header, "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, answer.status)
			assert.Equal(t, body, answer.body, "complete, and each event once")
			receipt := standin.Receipt(answer.header)
			if tt.answeredBySecond && tt.first == standin.BehaviourMute {
				assert.Equal(t, "i-1.r1", receipt)
			} else {
				assert.Equal(t, "i-0.r1", receipt)
			}
			assert.Equal(t, tt.runs, f.runs())
			assert.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.open == 0
			}, time.Second, time.Millisecond, "each slot is released")
		})
	}
}

// Guards against a stream that never ends because its endpoint sends something now and then that is no
// event. One whose events arrive in time, however slowly it goes on, stays at its endpoint.
func TestOnlyEventsCountAsProgress(t *testing.T) {
	tests := []struct {
		name  string
		first standin.Behaviour
		gap   time.Duration
		runs  int
	}{
		{name: "bytes of an event", first: standin.BehaviourTrickle, gap: 25 * time.Millisecond, runs: 2},
		{name: "comments", first: standin.BehaviourComments, gap: 25 * time.Millisecond, runs: 2},
		{name: "a pause within the bound", first: standin.BehaviourPause, gap: time.Second, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, catalog.KindStream, tt.first, standin.BehaviourNone)
			f.route.MaxEventGap, f.route.Timeout = tt.gap, 10*time.Second
			started := time.Now()
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			require.NoError(t, err)
			assert.Equal(t, completeStream, strings.ReplaceAll(answer.body, ": still here\n\n", ""))
			assert.Equal(t, tt.runs, f.runs())
			assert.Less(t, time.Since(started), f.route.Timeout/2)
		})
	}
}

// Guards against a request that is sent to more endpoints than its route allows: the attempt at
// a silent endpoint counts.
func TestSilentEndpointCountsAsAttempt(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourLate, standin.BehaviourNone)
	f.route.Attempts = 1
	answer, err := send(t, serve(t, f), http.MethodGet, nil, "")
	require.NoError(t, err)
	assert.Equal(t, "done r1", answer.body)
	assert.Equal(t, 1, f.runs())
}

// Guards against a request that waits for nothing: the second endpoint took over from a silent
// one and then broke off.
func TestSecondEndpointBreaksOffAfterTakingOver(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
		broken   bool
	}{
		{name: "no further endpoint allowed", attempts: 2, broken: true},
		{name: "a third endpoint goes on", attempts: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourMute, standin.BehaviourCut, standin.BehaviourNone)
			f.route.Attempts, f.route.Timeout = tt.attempts, 10*time.Second
			started := time.Now()
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			assert.Equal(t, tt.broken, err != nil)
			if !tt.broken {
				assert.Equal(t, completeStream, answer.body)
			}
			assert.Less(t, time.Since(started), f.route.Timeout/2)
		})
	}
}

// fastTimers fires after a hundredth of the time.
type fastTimers struct{ gateway.Timers }

func (f fastTimers) After(wait time.Duration, fn func(now time.Time)) (cancel func()) {
	return f.Timers.After(wait/100, fn)
}

// unsteadySender answers with streams that pause and break off at random.
type unsteadySender struct {
	seed  uint64
	sends atomic.Uint64
}

const unsteadyEvents = 12

func (s *unsteadySender) Send(ctx context.Context, a *gateway.Attempt) (*gateway.Answer, error) {
	random := rand.New(rand.NewPCG(s.seed, s.sends.Add(1)))
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	after, _ := strconv.Atoi(a.After)
	wait := func() {
		if random.IntN(4) == 0 {
			time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
		}
	}
	wait()
	var group errgroup.Group
	group.Go(func() error {
		for n := after + 1; n <= unsteadyEvents; n++ {
			wait()
			if random.IntN(40) == 0 {
				return writer.CloseWithError(io.ErrUnexpectedEOF)
			}
			text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
			cut := random.IntN(len(text))
			for _, part := range []string{text[:cut], text[cut:]} {
				if _, err := io.WriteString(writer, part); err != nil {
					return err
				}
				wait()
			}
		}
		return writer.Close()
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// Guards against events that are missing or come twice when two endpoints answer at once: an
// answer is the beginning of the stream, and complete unless the connection is broken.
func TestTwoAttemptsPassOnEachEventOnce(t *testing.T) {
	var complete strings.Builder
	for n := range unsteadyEvents {
		fmt.Fprintf(&complete, "id: %d\ndata: piece %d\n\n", n+1, n+1)
	}
	addresses := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone, standin.BehaviourNone)
	addresses.route.Attempts, addresses.route.MaxEventGap = 3, 50*time.Millisecond
	whole, beside := 0, 0
	for seed := range uint64(150) {
		f := &fakeFleet{runners: addresses.runners, route: addresses.route, retryBudget: 9}
		s := &unsteadySender{seed: seed}
		timers := timer.New(timer.System{})
		var group errgroup.Group
		timers.Start(t.Context(), &group)
		g := gateway.New(fleet.Place{}, platform.CallerCodec{}, s, f, time.Now, gateway.WithTimers(fastTimers{timers}))
		server := httptest.NewServer(g)
		answer, err := send(t, server.URL, http.MethodPost, map[string]string{"Model": "m"}, "")
		server.Close()
		if err == nil && answer.status == http.StatusOK {
			require.Equal(t, complete.String(), answer.body, "seed %d", seed)
			whole++
		} else if answer.status == http.StatusOK {
			require.True(t, strings.HasPrefix(complete.String(), answer.body), "seed %d: %q", seed, answer.body)
		}
		if s.sends.Load() > 1 {
			beside++
		}
		require.Zero(t, f.open, "seed %d: each slot is released", seed)
	}
	assert.Greater(t, whole, 75, "most are answered")
	assert.Greater(t, beside, 30, "many are sent to a second endpoint")
}

// takenOverSender is silent at first; its second answer goes on for a while after its first event.
type takenOverSender struct {
	sends           atomic.Int32
	firstCancelled  chan struct{}
	remainingEvents chan struct{} // closed once the second answer may end
}

func (s *takenOverSender) Send(ctx context.Context, _ *gateway.Attempt) (*gateway.Answer, error) {
	if s.sends.Add(1) == 1 {
		<-ctx.Done()
		close(s.firstCancelled)
		return nil, ctx.Err()
	}
	reader, writer := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		if _, err := io.WriteString(writer, "id: 1\ndata: piece 1\n\n"); err != nil {
			return err
		}
		<-s.remainingEvents
		return writer.Close()
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

// Guards against an endpoint that works on a request after another one's answer has begun to
// reach the caller.
func TestSilentEndpointIsCancelledOnceAnotherAnswers(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
	s := &takenOverSender{firstCancelled: make(chan struct{}), remainingEvents: make(chan struct{})}
	timers := timer.New(timer.System{})
	var group errgroup.Group
	timers.Start(t.Context(), &group)
	server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, s, f, time.Now, gateway.WithTimers(timers)))
	t.Cleanup(server.Close)
	var watch errgroup.Group
	watch.Go(func() error {
		select {
		case <-s.firstCancelled:
		case <-time.After(time.Second):
			t.Error("the first attempt goes on")
		}
		close(s.remainingEvents)
		return nil
	})
	answer, err := send(t, server.URL, http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: piece 1\n\n", answer.body)
	require.NoError(t, watch.Wait())
}

// pausingSender answers with a stream that pauses after each event.
type pausingSender struct{ pauses []time.Duration }

func (s *pausingSender) Send(ctx context.Context, _ *gateway.Attempt) (*gateway.Answer, error) {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	var group errgroup.Group
	group.Go(func() error {
		for i, pause := range s.pauses {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece\n\n", i+1); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return writer.Close()
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

func serveSender(t *testing.T, f *fakeFleet, s gateway.Sender) string {
	t.Helper()
	timers := timer.New(timer.System{})
	var group errgroup.Group
	timers.Start(t.Context(), &group)
	server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, s, f, time.Now, gateway.WithTimers(fastTimers{timers})))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against retries that are taken from the budget at each pause of a stream, for a second
// attempt that is refused before it is sent.
func TestRefusedSecondAttemptTakesOneRetry(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
	f.route.MaxEventGap, f.refuseChecks = 50*time.Millisecond, 2
	const pause = 50 * time.Millisecond
	answer, err := send(t, serveSender(t, f, &pausingSender{[]time.Duration{pause, pause, pause}}), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status)
	assert.GreaterOrEqual(t, f.retryBudget, 8, "one retry at most")
	assert.Zero(t, f.failed, "the endpoint has only paused, and nothing was sent elsewhere")
}

// Guards against a complete stream that is cut since it ends later than one write timeout after
// its last event.
func TestStreamEndsLongAfterItsLastEvent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
	f.route.Timeout = 10 * time.Second
	answer, err := send(t, serveSender(t, f, &pausingSender{[]time.Duration{5200 * time.Millisecond}}), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: piece\n\n", answer.body)
}

// Guards against a request that ends without an answer since the endpoint that could give one
// refused it for its late target, while the first one never answers.
func TestSecondEndpointAnswersThoughTargetHasPassed(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourMute, standin.BehaviourNone)
	f.admissionRefused, f.admitFirst = true, 1
	answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status)
	assert.Equal(t, completeStream, answer.body)
}

type panickingSender struct{}

func (panickingSender) Send(context.Context, *gateway.Attempt) (*gateway.Answer, error) {
	panic("fault")
}

// Guards against an instance that ends with a fault in the code of one request: attempts run
// beside the handler, whose panics net/http contains.
func TestPanicInAnAttemptEndsItsRequestOnly(t *testing.T) {
	f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
	server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, panickingSender{}, f, time.Now))
	t.Cleanup(server.Close)
	answer, err := send(t, server.URL, http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, answer.status, "it may have run")
	assert.Zero(t, f.open)
}
