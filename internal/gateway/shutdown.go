package gateway

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// shutdownRetryAfter is the retry delay of requests refused since the instance shuts down: other instances
// can take them at once.
const shutdownRetryAfter = minRetryAfter

// checkShutdown returns ErrShutdown if the instance is shutting down and would cut the request. One whose
// answer has begun goes on, since its rest may still be in time.
func (j *job) checkShutdown(ctx context.Context) error {
	closes, leaving := j.gateway.fleet.Leaving()
	if !leaving || j.delivery.begun() || switches.Off(switches.ShutdownCheck) {
		return nil
	}
	if now := j.gateway.clock(); now.Add(j.needs(ctx, now)).After(closes) {
		return ErrShutdown
	}
	return nil
}

// needs returns how long the request may take once it is sent: at most until its caller has waited long
// enough.
func (j *job) needs(ctx context.Context, now time.Time) time.Duration {
	need := j.timeLeft(ctx)
	if allowance, ok := j.gateway.allowance(now, j); ok {
		need = min(need, allowance)
	}
	return need
}

// waitBeforeShutdown limits how long the request may wait, so that it can end before the instance does.
func (j *job) waitBeforeShutdown(ctx context.Context, wait time.Duration) time.Duration {
	closes, leaving := j.gateway.fleet.Leaving()
	if !leaving {
		return wait
	}
	now := j.gateway.clock()
	return min(wait, closes.Sub(now)-j.needs(ctx, now))
}

func (j *job) durationKind() shutdown.Kind {
	return shutdown.Kind{Service: j.service, Kind: j.route.Kind}
}

// allowance returns how long the rest of a request may take once it was sent. Requests that run count with
// how long they have run.
func (g *Gateway) allowance(now time.Time, j *job) (time.Duration, bool) {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	for r := range g.active.all {
		if other := r.job; other != nil && other != j && !r.sentAt.IsZero() {
			g.durations.Record(now, other.durationKind(), other.request.OutputTokens, now.Sub(r.sentAt))
		}
	}
	return g.durations.Allowance(now, j.durationKind(), j.request.OutputTokens)
}

// recordDuration records how long a complete answer took.
func (g *Gateway) recordDuration(j *job) {
	now := g.clock()
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	if sent := j.active.sentAt; !sent.IsZero() {
		g.durations.Record(now, j.durationKind(), j.request.OutputTokens, now.Sub(sent))
	}
}

// sent records when a request was first sent to an endpoint.
func (s *activeRequests) sent(r *activeRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.sentAt.IsZero() {
		r.sentAt = now
	}
}
