// Package timer calls subscribed functions after delays and at intervals. One goroutine calls
// all of them, so a function must not block.
package timer

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Clock is the source of time for a Service.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Wake returns a channel that receives after the wait, and a function that cancels it.
	Wake(wait time.Duration) (<-chan time.Time, func())
}

// maxIdleWait is how long a service without subscriptions waits before it checks again.
const maxIdleWait = time.Hour

// Service calls subscribed functions when they are due.
type Service struct {
	clock   Clock
	random  func() float64
	mu      sync.Mutex
	queue   queue
	changed chan struct{}
}

// Option configures a Service.
type Option func(*Service)

// WithRandom sets the random source for jitter, which returns numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(s *Service) { s.random = random }
}

// New returns a service that uses the clock. Nothing is called before Start.
func New(clock Clock, options ...Option) *Service {
	s := &Service{clock: clock, random: rand.Float64, changed: make(chan struct{}, 1)}
	for _, o := range options {
		o(s)
	}
	return s
}

// Start runs the service in the group until the context ends.
func (s *Service) Start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error {
		s.run(ctx)
		return nil
	})
}

// Now returns the clock's current time.
func (s *Service) Now() time.Time { return s.clock.Now() }

// Every calls fn after each interval plus a random fraction of jitter, until cancelled.
func (s *Service) Every(interval, jitter time.Duration, fn func(now time.Time)) (cancel func()) {
	return s.add(&subscription{interval: interval, jitter: jitter, fn: fn})
}

// After calls fn once after the wait, unless it is cancelled first.
func (s *Service) After(wait time.Duration, fn func(now time.Time)) (cancel func()) {
	return s.add(&subscription{wait: wait, fn: fn})
}

func (s *Service) add(e *subscription) func() {
	now := s.clock.Now()
	s.mu.Lock()
	e.at = now.Add(s.delay(e))
	heap.Push(&s.queue, e)
	s.mu.Unlock()
	s.notify()
	return func() { s.remove(e) }
}

func (s *Service) delay(e *subscription) time.Duration {
	if e.interval == 0 {
		return e.wait
	}
	return e.interval + time.Duration(s.random()*float64(e.jitter))
}

func (s *Service) remove(e *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.cancelled = true
	if e.index >= 0 {
		heap.Remove(&s.queue, e.index)
	}
}

func (s *Service) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Service) run(ctx context.Context) {
	for {
		s.Fire()
		wake, stop := s.clock.Wake(s.untilNext())
		select {
		case <-ctx.Done():
			stop()
			return
		case <-s.changed:
		case <-wake:
		}
		stop()
	}
}

func (s *Service) untilNext() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return maxIdleWait
	}
	return max(s.queue[0].at.Sub(s.clock.Now()), 0)
}

// Fire calls all functions that are due. Tests may call it instead of Start.
func (s *Service) Fire() {
	now := s.clock.Now()
	for {
		e := s.popDue(now)
		if e == nil {
			return
		}
		e.fn(now)
		s.reschedule(e, now)
	}
}

func (s *Service) popDue(now time.Time) *subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 || s.queue[0].at.After(now) {
		return nil
	}
	return heap.Pop(&s.queue).(*subscription)
}

func (s *Service) reschedule(e *subscription, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.interval == 0 || e.cancelled {
		return
	}
	e.at = now.Add(s.delay(e))
	heap.Push(&s.queue, e)
}
