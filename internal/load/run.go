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
	target Target
	flight int
	longer time.Duration
	seen   func(Sample)
}

// NewRunner returns a runner with the most calls in flight, the longest time
// for one call, and what to do with each sample as it comes, or nil.
func NewRunner(target Target, flight int, longest time.Duration, seen func(Sample)) *Runner {
	return &Runner{target: target, flight: flight, longer: longest, seen: seen}
}

// Run sends all calls, which are in order of Due, and returns their samples in
// that order.
func (r *Runner) Run(ctx context.Context, calls []Call) []Sample {
	samples := make([]Sample, len(calls))
	var group errgroup.Group
	group.SetLimit(r.flight)
	var mu sync.Mutex
	keep := func(at int, s Sample) {
		mu.Lock()
		defer mu.Unlock()
		samples[at] = s
		if r.seen != nil {
			r.seen(s)
		}
	}
	began := time.Now()
	for i, call := range calls {
		if pause(ctx, time.Until(began.Add(call.Due))) != nil {
			samples = samples[:i]
			break
		}
		late := time.Since(began) - call.Due
		sent := group.TryGo(func() error {
			keep(i, r.send(ctx, call, late))
			return nil
		})
		if !sent {
			dropped := newSample(call)
			dropped.Late, dropped.Code, dropped.Outcome = late, CodeDropped, "not-run"
			keep(i, dropped)
		}
	}
	_ = group.Wait() // calls tell of their failures in samples
	return samples
}

func (r *Runner) send(ctx context.Context, call Call, late time.Duration) Sample {
	ctx, cancel := context.WithTimeout(ctx, r.longer)
	defer cancel()
	sample := r.target.Send(ctx, call)
	sample.Late = late
	return sample
}

func pause(ctx context.Context, wait time.Duration) error {
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
