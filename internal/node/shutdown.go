package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// begunSink is a sink that knows whether a part of the answer was passed on.
type begunSink interface{ Begun() bool }

// shutdownGuard refuses callers' requests that can't end before the instance does, and knows which requests
// run.
type shutdownGuard struct {
	caller.Gateway
	clock func() time.Time

	mu        sync.Mutex
	began     time.Time // when the instance began to leave
	closes    time.Time // until when requests have to have ended, zero while the instance doesn't leave
	ended     bool      // callers' requests are refused
	running   map[*guardedRequest]struct{}
	durations shutdown.Durations
}

// guardedRequest is a request that runs.
type guardedRequest struct {
	id     string
	kind   shutdown.Kind
	size   shutdown.Size
	since  time.Time
	peer   bool // it came from a peer
	begun  func() bool
	cancel context.CancelCauseFunc // nil if another part of the instance ends it
}

func newShutdownGuard(g caller.Gateway, clock func() time.Time) *shutdownGuard {
	return &shutdownGuard{Gateway: g, clock: clock, running: make(map[*guardedRequest]struct{})}
}

// leave sets until when requests have to have ended.
func (g *shutdownGuard) leave(closes time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.began, g.closes = g.clock(), closes
}

// Serve implements caller.Gateway.
func (g *shutdownGuard) Serve(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := g.begin(request, begunBy(sink), cancel)
	if r == nil {
		return dispatch.RefuseForShutdown()
	}
	end := g.Gateway.Serve(ctx, request, sink)
	g.end(r, end)
	return endForShutdown(ctx, end)
}

// Resume implements caller.Gateway.
func (g *shutdownGuard) Resume(ctx context.Context, resume *peerpb.Resume, sink peer.Sink) *peerpb.End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &guardedRequest{id: resume.Request, since: g.clock(), begun: begunBy(sink), cancel: cancel}
	if !g.add(r) {
		return dispatch.FailForShutdown()
	}
	defer g.remove(r)
	return endForShutdown(ctx, g.Gateway.Resume(ctx, resume, sink))
}

// servePeer runs a request of a peer. cancels tells whether the guard ends it if it has no answer as
// the instance shuts down; otherwise the dispatcher does.
func (g *shutdownGuard) servePeer(ctx context.Context, id string, sink peer.Sink, cancels bool, serve func(context.Context, peer.Sink) *peerpb.End) *peerpb.End {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answer := &peerSink{Sink: sink}
	r := &guardedRequest{id: id, since: g.clock(), peer: true, begun: answer.begun.Load}
	if cancels {
		r.cancel = cancel
	}
	g.mu.Lock()
	g.running[r] = struct{}{}
	g.mu.Unlock()
	defer g.remove(r)
	return endForShutdown(ctx, serve(ctx, answer))
}

// peerSink notes whether a part of an answer was passed on.
type peerSink struct {
	peer.Sink
	begun atomic.Bool
}

// Head implements peer.Sink.
func (s *peerSink) Head(h *peerpb.Head) error {
	s.begun.Store(true)
	return s.Sink.Head(h)
}

func begunBy(sink peer.Sink) func() bool {
	if s, ok := sink.(begunSink); ok {
		return s.Begun
	}
	return func() bool { return false }
}

// endForShutdown returns the end that the caller gets of a request that was cancelled by endUnanswered.
func endForShutdown(ctx context.Context, end *peerpb.End) *peerpb.End {
	switch {
	case end.Code == "" || !errors.Is(context.Cause(ctx), dispatch.ErrShutdown):
		return end
	case fleet.Outcome(end.Outcome) == fleet.OutcomeNotRun:
		return dispatch.RefuseForShutdown()
	case fleet.Outcome(end.Outcome) == fleet.OutcomeUnknown:
		return dispatch.FailForShutdown()
	default:
		return end
	}
}

// begin returns nil if the request is expected to run for longer than the instance.
func (g *shutdownGuard) begin(request peer.Request, begun func() bool, cancel context.CancelCauseFunc) *guardedRequest {
	r := &guardedRequest{
		id: request.GetRequest(), kind: durationKind(request), size: shutdown.Size{Output: int(request.Tokens)}, since: g.clock(),
		begun: begun, cancel: cancel,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || !g.closes.IsZero() && r.since.Add(g.needs(r, request.Deadline)).After(g.closes) {
		return nil
	}
	g.running[r] = struct{}{}
	return r
}

// needs returns how long a request may take. Requests that run count with how long they have run.
func (g *shutdownGuard) needs(r *guardedRequest, deadline int64) time.Duration {
	for other := range g.running {
		if other.kind != (shutdown.Kind{}) {
			g.durations.Record(r.since, other.kind, other.size, r.since.Sub(other.since))
		}
	}
	allowance, known := g.durations.Allowance(r.since, r.kind, r.size)
	left := time.UnixMilli(deadline).Sub(r.since)
	switch {
	case !known && deadline == 0:
		return dispatch.UnknownAllowance(g.began, g.closes)
	case !known:
		return left
	case deadline == 0:
		return allowance
	default:
		return min(left, allowance)
	}
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

// add adds a request that runs, unless callers' requests are refused.
func (g *shutdownGuard) add(r *guardedRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.running[r] = struct{}{}
	}
	return !g.ended
}

func (g *shutdownGuard) remove(r *guardedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, r)
}

// refuseCallers refuses all callers' requests that come later.
func (g *shutdownGuard) refuseCallers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

// endCallers ends the callers' requests that have no part of an answer, and all that come later.
func (g *shutdownGuard) endCallers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.endUnanswered(false)
}

// endPeers ends the peers' requests that have no part of an answer.
func (g *shutdownGuard) endPeers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endUnanswered(true)
}

// endStreams ends the callers' requests that still run. A caller may take up its stream elsewhere.
func (g *shutdownGuard) endStreams() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range g.running {
		if !r.peer {
			r.cancel(dispatch.ErrShutdown)
		}
	}
}

// endUnanswered ends requests that have no part of an answer. The guard must be locked.
func (g *shutdownGuard) endUnanswered(peers bool) {
	for r := range g.running {
		if r.peer == peers && r.cancel != nil && !r.begun() {
			r.cancel(dispatch.ErrShutdown)
		}
	}
}

// active returns the requests that have not ended, the oldest first.
func (g *shutdownGuard) active() []*guardedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*guardedRequest, 0, len(g.running))
	for r := range g.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *guardedRequest) int { return a.since.Compare(b.since) })
	return all
}

// durationKind returns the kind of requests that take about as long as this one.
func durationKind(request peer.Request) shutdown.Kind {
	if request.Service != "" {
		return shutdown.Kind{Service: catalog.Service(request.Service)}
	}
	return shutdown.Kind{Route: cmp.Or(request.Model, request.Profile)}
}

// phase is how far a request had got that a stop cut.
type phase string

const (
	phaseUnanswered phase = "unanswered"
	phaseAnswering  phase = "answering" // a part of the answer was passed on
)

// reportCut logs and counts the requests that have not ended shortly before connections are closed.
func (n *Node) reportCut() {
	now := n.clock()
	for _, r := range n.guard.active() {
		p := phaseUnanswered
		if r.begun() {
			p = phaseAnswering
		}
		_ = level.Warn(n.logger).Log("step", "cut", "id", r.id, "peer", r.peer, "phase", string(p), "age", now.Sub(r.since))
		metrics.GetOrRegisterCounter("cut_requests;phase="+string(p), n.registry).Inc(1)
	}
}
