package load

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// CodeDropped marks calls that were not sent because too many were in flight.
const CodeDropped = "dropped-by-load"

// Runner sends calls on schedule (open loop), whether or not earlier calls have
// been answered. Calls beyond the in-flight limit are recorded as dropped and
// not sent later.
type Runner struct {
	target      Target
	maxInFlight int
	callTimeout time.Duration
	onSample    func(Sample)
}

// NewRunner returns a runner that keeps at most maxInFlight calls in flight and
// cancels each call after the timeout. If onSample is not nil, it is called with
// each sample as it completes, one at a time.
func NewRunner(target Target, maxInFlight int, timeout time.Duration, onSample func(Sample)) *Runner {
	return &Runner{target: target, maxInFlight: maxInFlight, callTimeout: timeout, onSample: onSample}
}

// Run sends all calls, which must be sorted by Due, and returns their samples in
// the same order. If the context ends first, the calls not yet due are left out.
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
	_ = group.Wait() // failures are recorded in the samples
	return samples
}

func (r *Runner) send(ctx context.Context, call Call, delay time.Duration) Sample {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
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
