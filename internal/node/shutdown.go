package node

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// shutdownRetryAfter is the retry delay of requests refused since the instance shuts down: other instances
// can take them at once.
const shutdownRetryAfter = time.Second

// shutdownGuard refuses callers' requests that can't end before the instance does.
type shutdownGuard struct {
	caller.Gateway
	clock func() time.Time

	mu        sync.Mutex
	closes    time.Time // when callers' connections are closed, zero while the instance doesn't leave
	running   map[*guardedRequest]struct{}
	durations shutdown.Durations
}

// guardedRequest is a request that runs.
type guardedRequest struct {
	kind  shutdown.Kind
	size  shutdown.Size
	since time.Time
}

func newShutdownGuard(g caller.Gateway, clock func() time.Time) *shutdownGuard {
	return &shutdownGuard{Gateway: g, clock: clock, running: make(map[*guardedRequest]struct{})}
}

// leave sets when callers' connections are closed.
func (g *shutdownGuard) leave(closes time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closes = closes
}

// Serve implements caller.Gateway.
func (g *shutdownGuard) Serve(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	r := g.begin(request)
	if r == nil {
		return dispatch.Refuse(dispatch.CodeLeaving, "accept", "the instance shuts down before the request can end", shutdownRetryAfter)
	}
	end := g.Gateway.Serve(ctx, request, sink)
	g.end(r, end)
	return end
}

// begin returns nil if the request is expected to run for longer than the instance. A request without a
// deadline and without others to compare it with may run.
func (g *shutdownGuard) begin(request peer.Request) *guardedRequest {
	r := &guardedRequest{kind: durationKind(request), size: shutdown.Size{Output: int(request.Tokens)}, since: g.clock()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closes.IsZero() && r.since.Add(g.needs(r, request.Deadline)).After(g.closes) {
		return nil
	}
	g.running[r] = struct{}{}
	return r
}

// needs returns how long a request may take, 0 if it has no deadline and no request of its kind is known.
// Requests that run count with how long they have run.
func (g *shutdownGuard) needs(r *guardedRequest, deadline int64) time.Duration {
	for other := range g.running {
		g.durations.Record(r.since, other.kind, other.size, r.since.Sub(other.since))
	}
	allowance, known := g.durations.Allowance(r.since, r.kind, r.size)
	if deadline == 0 {
		return allowance
	}
	left := time.UnixMilli(deadline).Sub(r.since)
	if !known {
		return left
	}
	return min(left, allowance)
}

func (g *shutdownGuard) end(r *guardedRequest, end *peerpb.End) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, r)
	if end.Code == "" {
		g.durations.Record(now, r.kind, r.size, now.Sub(r.since))
	}
}

// durationKind returns the kind of requests that take about as long as this one.
func durationKind(request peer.Request) shutdown.Kind {
	if request.Service != "" {
		return shutdown.Kind{Service: catalog.Service(request.Service)}
	}
	return shutdown.Kind{Route: cmp.Or(request.Model, request.Profile)}
}
