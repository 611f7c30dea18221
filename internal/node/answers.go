package node

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

// answerRecorder forwards requests to endpoints and records when each last answered one, so
// that the prober can take an answered request as proof of health.
type answerRecorder struct {
	dispatch.Engine
	clock func() time.Time

	mu         sync.Mutex
	answeredAt map[string]time.Time // by address
}

const (
	// answerRetention is the minimum time for which the time of an answer is kept.
	answerRetention = time.Minute
	// answerCleanupSize is the number of addresses above which expired answers are removed.
	answerCleanupSize = 256
)

func newAnswerRecorder(engine dispatch.Engine, clock func() time.Time) *answerRecorder {
	return &answerRecorder{Engine: engine, clock: clock, answeredAt: make(map[string]time.Time)}
}

// Start implements dispatch.Engine.
func (a *answerRecorder) Start(ctx context.Context, address string, call endpoint.Call) (*endpoint.Stream, error) {
	stream, err := a.Engine.Start(ctx, address, call)
	a.record(address, err)
	return stream, err
}

// Resume implements dispatch.Engine.
func (a *answerRecorder) Resume(ctx context.Context, address, attempt string, after uint64) (*endpoint.Stream, error) {
	stream, err := a.Engine.Resume(ctx, address, attempt, after)
	a.record(address, err)
	return stream, err
}

// Forward implements dispatch.Engine.
func (a *answerRecorder) Forward(ctx context.Context, address string, call endpoint.ForwardCall) (*http.Response, error) {
	response, err := a.Engine.Forward(ctx, address, call)
	if err == nil && response.StatusCode < http.StatusInternalServerError {
		a.record(address, nil)
	}
	return response, err
}

// record stores the time of a successful answer. Errors are ignored.
func (a *answerRecorder) record(address string, err error) {
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	a.answeredAt[address] = now
	if len(a.answeredAt) > answerCleanupSize {
		maps.DeleteFunc(a.answeredAt, func(_ string, at time.Time) bool { return now.Sub(at) > answerRetention })
	}
}

// answeredSince reports whether an endpoint has answered a request at or after the given time.
func (a *answerRecorder) answeredSince(address string, when time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.answeredAt[address]
	return ok && !at.Before(when)
}
