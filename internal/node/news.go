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

// news passes requests on to endpoints and remembers when each last answered one.
type news struct {
	dispatch.Engine
	clock func() time.Time

	mu sync.Mutex
	at map[string]time.Time // by address
}

const (
	// newsKept is how long answers are remembered at least.
	newsKept = time.Minute
	// newsMany is from how many addresses on old answers are forgotten.
	newsMany = 256
)

func newNews(engine dispatch.Engine, clock func() time.Time) *news {
	return &news{Engine: engine, clock: clock, at: make(map[string]time.Time)}
}

// Start implements dispatch.Engine.
func (n *news) Start(ctx context.Context, address string, call endpoint.Call) (*endpoint.Stream, error) {
	stream, err := n.Engine.Start(ctx, address, call)
	n.note(address, err)
	return stream, err
}

// Resume implements dispatch.Engine.
func (n *news) Resume(ctx context.Context, address, attempt string, after uint64) (*endpoint.Stream, error) {
	stream, err := n.Engine.Resume(ctx, address, attempt, after)
	n.note(address, err)
	return stream, err
}

// Forward implements dispatch.Engine.
func (n *news) Forward(ctx context.Context, address string, call endpoint.ForwardCall) (*http.Response, error) {
	response, err := n.Engine.Forward(ctx, address, call)
	if err == nil && response.StatusCode < http.StatusInternalServerError {
		n.note(address, nil)
	}
	return response, err
}

// note takes an answer for a sign of life.
func (n *news) note(address string, err error) {
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	n.at[address] = now
	if len(n.at) > newsMany {
		maps.DeleteFunc(n.at, func(_ string, at time.Time) bool { return now.Sub(at) > newsKept })
	}
}

// since tells whether an endpoint has answered a request at a time or after it.
func (n *news) since(address string, when time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.at[address]
	return ok && !at.Before(when)
}
