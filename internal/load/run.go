package load

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// CodeDropped marks calls that were not sent, since too many were in flight.
const CodeDropped = "dropped-by-load"

// Runner sends calls when they are due, however many are still unanswered, up
// to a limit: what goes over it is counted as dropped and not sent later.
type Runner struct {
	target      Target
	maxInFlight int
	timeout     time.Duration
	onSample    func(Sample)
}

// NewRunner returns a runner with the most calls in flight, the longest time
// for one call, and what to do with each sample as it comes, or nil.
func NewRunner(target Target, maxInFlight int, timeout time.Duration, onSample func(Sample)) *Runner {
	return &Runner{target: target, maxInFlight: maxInFlight, timeout: timeout, onSample: onSample}
}

// Run sends all calls, which are in order of Due, and returns their samples in
// that order.
func (r *Runner) Run(ctx context.Context, calls []Call) []Sample {
	samples := make([]Sample, len(calls))
	var group errgroup.Group
	group.SetLimit(r.maxInFlight)
	var mu sync.Mutex
	record := func(index int, s Sample) {
		mu.Lock()
		defer mu.Unlock()
		samples[index] = s
		if r.onSample != nil {
			r.onSample(s)
		}
	}
	start := time.Now()
	for i, call := range calls {
		if sleep(ctx, time.Until(start.Add(call.Due))) != nil {
			samples = samples[:i]
			break
		}
		delay := time.Since(start) - call.Due
		accepted := group.TryGo(func() error {
			record(i, r.send(ctx, call, delay))
			return nil
		})
		if !accepted {
			dropped := newSample(call)
			dropped.SendDelay, dropped.Code, dropped.Outcome = delay, CodeDropped, "not-run"
			record(i, dropped)
		}
	}
	_ = group.Wait() // calls tell of their failures in samples
	return samples
}

func (r *Runner) send(ctx context.Context, call Call, delay time.Duration) Sample {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	sample := r.target.Send(ctx, call)
	sample.SendDelay = delay
	return sample
}

func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
