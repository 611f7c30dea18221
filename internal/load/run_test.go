package load

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// delayedTarget answers each call after a fixed delay.
type delayedTarget struct{ delay time.Duration }

func (d delayedTarget) Send(ctx context.Context, call Call) Sample {
	sample := newSample(call)
	sample.Complete = sleep(ctx, d.delay) == nil
	return sample
}

func TestRunnerSendsOnScheduleDespiteSlowAnswers(t *testing.T) {
	cases := []struct {
		name        string
		answerTime  time.Duration
		maxInFlight int
		complete    int
		dropped     int
		runTime     time.Duration
	}{
		{"all in flight", 10 * time.Second, 100, 100, 0, 10*time.Second + 990*time.Millisecond},
		{"over the limit", 10 * time.Second, 10, 10, 90, 10*time.Second + 90*time.Millisecond},
		{"fast", time.Millisecond, 10, 100, 0, 991 * time.Millisecond},
		{"over the timeout", time.Minute, 100, 0, 0, 30*time.Second + 990*time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []Call
				for i := range 100 {
					calls = append(calls, Call{Due: time.Duration(i) * 10 * time.Millisecond})
				}
				observed := 0
				start := time.Now()
				samples := NewRunner(delayedTarget{tc.answerTime}, tc.maxInFlight, 30*time.Second, func(Sample) { observed++ }).Run(t.Context(), calls)
				assert.Equal(t, tc.runTime, time.Since(start))
				assert.Equal(t, 100, observed)
				assert.Equal(t, tc.complete, CountComplete(samples))
				dropped := 0
				for i, s := range samples {
					assert.Equal(t, calls[i].Due, s.Due)
					assert.Zero(t, s.SendDelay)
					if s.Code == CodeDropped {
						dropped++
					}
				}
				assert.Equal(t, tc.dropped, dropped)
			})
		})
	}
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		calls := []Call{{}, {Due: time.Second}, {Due: time.Hour}}
		samples := NewRunner(delayedTarget{time.Millisecond}, 1, time.Minute, nil).Run(ctx, calls)
		assert.Len(t, samples, 2)
	})
}
