package load

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// slow answers each call after a time.
type slow struct{ time time.Duration }

func (s slow) Send(ctx context.Context, call Call) Sample {
	sample := newSample(call)
	sample.Whole = pause(ctx, s.time) == nil
	return sample
}

func TestCallsAreSentWhenDueHoweverSlowTheAnswers(t *testing.T) {
	cases := []struct {
		name    string
		answer  time.Duration
		flight  int
		whole   int
		dropped int
		end     time.Duration
	}{
		{"all in flight", 10 * time.Second, 100, 100, 0, 10*time.Second + 990*time.Millisecond},
		{"over the limit", 10 * time.Second, 10, 10, 90, 10*time.Second + 90*time.Millisecond},
		{"fast", time.Millisecond, 10, 100, 0, 991 * time.Millisecond},
		{"over the longest time", time.Minute, 100, 0, 0, 30*time.Second + 990*time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var calls []Call
				for i := range 100 {
					calls = append(calls, Call{Due: time.Duration(i) * 10 * time.Millisecond})
				}
				seen := 0
				began := time.Now()
				samples := NewRunner(slow{tc.answer}, tc.flight, 30*time.Second, func(Sample) { seen++ }).Run(t.Context(), calls)
				assert.Equal(t, tc.end, time.Since(began))
				assert.Equal(t, 100, seen)
				assert.Equal(t, tc.whole, CountWhole(samples))
				dropped := 0
				for i, s := range samples {
					assert.Equal(t, calls[i].Due, s.Due)
					assert.Zero(t, s.Late)
					if s.Code == CodeDropped {
						dropped++
					}
				}
				assert.Equal(t, tc.dropped, dropped)
			})
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		calls := []Call{{}, {Due: time.Second}, {Due: time.Hour}}
		samples := NewRunner(slow{time.Millisecond}, 1, time.Minute, nil).Run(ctx, calls)
		assert.Len(t, samples, 2)
	})
}
