package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// shutdownRetryAfter is the retry delay of requests refused since the instance shuts down: other instances
// can take them at once.
const shutdownRetryAfter = minRetryAfter

// ageInterval is how often the ages of the requests that run are recorded.
const ageInterval = 100 * time.Millisecond

// checkShutdown returns ErrShutdown if the instance is shutting down and would cut the request. One whose
// answer has begun goes on, since its rest may still be in time.
func (j *job) checkShutdown(ctx context.Context) error {
	plan, leaving := j.gateway.fleet.Leaving()
	if !leaving || j.delivery.begun() || switches.Off(switches.ShutdownCheck) {
		return nil
	}
	if now := j.gateway.clock(); now.Add(j.needs(ctx, plan, now)).After(plan.Closes) {
		return ErrShutdown
	}
	return nil
}

// needs returns how long the request may take once it is sent: at most until its caller has waited long
// enough.
func (j *job) needs(ctx context.Context, plan shutdown.Plan, now time.Time) time.Duration {
	need := j.timeLeft(ctx)
	if !plan.Estimates(j.read) {
		return need
	}
	if allowance, ok := j.gateway.allowance(now, j); ok {
		need = min(need, allowance+j.connection.readTime())
	}
	return need
}

// waitBeforeShutdown limits how long the request may wait, so that it can end before the instance does.
func (j *job) waitBeforeShutdown(ctx context.Context, wait time.Duration) time.Duration {
	plan, leaving := j.gateway.fleet.Leaving()
	if !leaving {
		return wait
	}
	now := j.gateway.clock()
	return min(wait, plan.Closes.Sub(now)-j.needs(ctx, plan, now))
}

// RefuseNew refuses all requests that begin later.
func (g *Gateway) RefuseNew() { g.active.refuseNew() }

// EndUnanswered answers the requests that have no part of an answer, and all that come later, before their
// connections are closed: with a refusal if they have not run.
func (g *Gateway) EndUnanswered() { g.active.endUnanswered() }

// endsForShutdown reports whether the request was ended since the instance shuts down.
func endsForShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrShutdown) }

// durationKinds returns the kinds by which a request's duration is known, the closest first.
func (j *job) durationKinds() [2]shutdown.Kind {
	return [2]shutdown.Kind{{Service: j.service, Route: j.route.Name}, {Service: j.service}}
}

func (j *job) size() shutdown.Size {
	return shutdown.Size{Prompt: j.request.PromptTokens, Output: j.request.OutputTokens}
}

// allowance returns how long the rest of a request may take once it was sent: by the others of its route,
// else of its service. Requests that run count with how long they have run.
func (g *Gateway) allowance(now time.Time, j *job) (allowance time.Duration, ok bool) {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	if now.Sub(g.active.agesRecordedAt) >= ageInterval {
		g.active.agesRecordedAt = now
		for r := range g.active.all {
			if r.job != nil && r.job != j && !r.sentAt.IsZero() {
				g.recordAge(now, r)
			}
		}
	}
	for _, k := range j.durationKinds() {
		if allowance, ok = g.durations.Allowance(now, k, j.size()); ok {
			break
		}
	}
	return allowance, ok
}

// recordDuration records how long a complete answer took.
func (g *Gateway) recordDuration(j *job) {
	now := g.clock()
	j.connection.record(j.delivery.writeTime())
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	if !j.active.sentAt.IsZero() {
		g.recordAge(now, j.active)
	}
}

// recordAge records how long ago a request was first sent, without the time in which its caller read: that
// says nothing of the requests of others. The requests must be locked.
func (g *Gateway) recordAge(now time.Time, r *activeRequest) {
	age := now.Sub(r.sentAt) - r.job.delivery.writeTime()
	for _, k := range r.job.durationKinds() {
		g.durations.Record(now, k, r.job.size(), age)
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
