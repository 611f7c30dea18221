package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// StepShutdown is the step of requests that end since an instance on their way shuts down.
	StepShutdown = "shutdown"
	// shutdownRetryAfter is the retry delay of requests refused since the instance shuts down: other
	// instances can take them at once.
	shutdownRetryAfter = time.Second
	// unknownDivisor is the part of the drain time that a request may take of whose kind nothing is known.
	unknownDivisor = 2
)

var (
	// ErrShutdown cancels a request that has no answer as the instance shuts down.
	ErrShutdown = errors.New("the instance shuts down")
	// errClosed ends an attempt that runs as the pool is closed. The endpoint keeps its answer, which
	// another dispatcher can take up.
	errClosed = errors.New("the dispatcher was closed")
)

// RefuseForShutdown returns the end of a request that has not run and that the instance can't answer before
// it shuts down.
func RefuseForShutdown() *peerpb.End {
	return Refuse(CodeLeaving, StepShutdown, "the instance shuts down before the request can end", shutdownRetryAfter)
}

// FailForShutdown returns the end of a request that may have run, and has no answer as the instance shuts down.
func FailForShutdown() *peerpb.End {
	return Fail(CodeLost, StepShutdown, "the instance shut down before the request was answered")
}

// HandedBack reports whether a dispatcher that shuts down gave back a request that has not run.
func HandedBack(end *peerpb.End) bool { return end.Code == CodeLeaving && end.Step == StepShutdown }

// UnknownAllowance returns how long a request may take of whose kind nothing is known, if it began to
// be drained at one time and has to end by another.
func UnknownAllowance(began, finish time.Time) time.Duration {
	return max(0, finish.Sub(began)/unknownDivisor)
}

// shutdownState decides which requests can end before the instance shuts down, and ends the others. It is
// safe for concurrent use.
type shutdownState struct {
	mu            sync.Mutex
	began, finish time.Time // zero while the instance doesn't leave
	bounded       bool      // only requests whose deadline is before finish are sent
	ended         bool      // nothing more is sent to an endpoint
	waiting       map[*run]waitingRun
	durations     shutdown.Durations
}

// waitingRun is a request that no endpoint has received.
type waitingRun struct {
	cancel context.CancelCauseFunc
	queued bool // it is not claimed
	// withdrawn is set if its entry leaves and wants it back.
	withdrawn bool
}

// Leave announces when the requests have to have ended. Those that can't end by then are refused.
func (p *Pool) Leave(finish time.Time) {
	s := &p.shutdown
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began, s.finish = p.timers.Now(), finish
}

// RequireDeadlines refuses the requests that have not run and whose deadline is after the instance has left,
// however short others of their kind were: their callers can send them to other instances.
func (p *Pool) RequireDeadlines() {
	s := &p.shutdown
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounded = true
}

// Refuses reports whether a request with this deadline that has not run is refused by RequireDeadlines.
func (p *Pool) Refuses(deadline time.Time) bool {
	s := &p.shutdown
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounded && deadline.After(s.finish)
}

// Withdraw refuses an attempt that waits in a queue, since the instance that it came from leaves.
func (p *Pool) Withdraw(attempt string) {
	s := &p.shutdown
	s.mu.Lock()
	defer s.mu.Unlock()
	for r, w := range s.waiting {
		if r.id == attempt && w.queued {
			s.waiting[r] = waitingRun{cancel: w.cancel, queued: true, withdrawn: true}
			w.cancel(ErrShutdown)
		}
	}
}

// EndUnanswered ends the requests that have no part of an answer, and all that come later: with a refusal
// if they have not run.
func (p *Pool) EndUnanswered() {
	p.shutdown.endWaiting()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.live {
		if !r.begun() {
			r.cancel(ErrShutdown)
		}
	}
}

// endWaiting ends the requests that wait, and all that come later.
func (s *shutdownState) endWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, w := range s.waiting {
		w.cancel(ErrShutdown)
	}
}

// endLate records how long the attempts of a pool have run, and ends the queued requests that can't end in
// time any more.
func (s *shutdownState) endLate(now time.Time, live []*run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range live {
		if !r.admitted.IsZero() {
			s.durations.Record(now, durationKind(r.request), durationSize(r.request), now.Sub(r.admitted))
		}
	}
	for r, w := range s.waiting {
		if w.queued && s.isLate(now, r) {
			w.cancel(ErrShutdown)
		}
	}
}

// wait returns a context that ends with ErrShutdown if the request can't be sent any more.
func (s *shutdownState) wait(ctx context.Context, r *run) (waiting context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[*run]waitingRun)
	}
	s.waiting[r] = waitingRun{cancel: cancel, queued: true}
	if s.ended {
		cancel(ErrShutdown)
	}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, r)
		cancel(nil)
	}
}

// leaveQueue refuses a request that has left its queue and can't end in time. From then on only
// EndUnanswered ends it.
func (s *shutdownState) leaveQueue(now time.Time, r *run) *peerpb.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[r].withdrawn || s.isLate(now, r) {
		return RefuseForShutdown()
	}
	s.waiting[r] = waitingRun{cancel: s.waiting[r].cancel}
	r.admitted = now
	return nil
}

// check refuses a request that can't end in time.
func (s *shutdownState) check(now time.Time, r *run) *peerpb.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isLate(now, r) {
		return RefuseForShutdown()
	}
	return nil
}

// isLate reports whether a request that is sent now can't end before the instance does. The state must be
// locked.
func (s *shutdownState) isLate(now time.Time, r *run) bool {
	if s.ended {
		return true
	}
	if s.finish.IsZero() {
		return false
	}
	if s.bounded && !r.request.Rerun {
		return r.request.Deadline == 0 || time.UnixMilli(r.request.Deadline).After(s.finish)
	}
	need, known := s.durations.Allowance(now, durationKind(r.request), durationSize(r.request))
	if !known {
		need = UnknownAllowance(s.began, s.finish)
	}
	if d := r.request.Deadline; d > 0 {
		need = min(need, time.UnixMilli(d).Sub(now))
	}
	return now.Add(need).After(s.finish)
}

func (s *shutdownState) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.finish.IsZero()
}

func (s *shutdownState) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// recordDuration records how long a request with a complete answer took since it left the queue.
func (s *shutdownState) recordDuration(now time.Time, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.Record(now, durationKind(r.request), durationSize(r.request), now.Sub(r.admitted))
}

func durationKind(request peer.Request) shutdown.Kind {
	return shutdown.Kind{Service: catalog.Service(request.Service), Route: request.Model}
}

func durationSize(request peer.Request) shutdown.Size {
	return shutdown.Size{Prompt: int(request.Prompt), Output: int(request.Tokens)}
}
