package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func TestFailed(t *testing.T) {
	tests := []struct {
		name    string
		attempt Attempt
		want    Reason
	}{
		{name: "idempotent", attempt: Attempt{Idempotent: true, Outcome: fleet.OutcomeUnknown}},
		{name: "not run", attempt: Attempt{Outcome: fleet.OutcomeNotRun}},
		{name: "may have run", attempt: Attempt{Outcome: fleet.OutcomeUnknown}, want: ReasonOnce},
		{name: "ran", attempt: Attempt{Outcome: fleet.OutcomeRan}, want: ReasonOnce},
		{name: "retries used on other hops", attempt: Attempt{Outcome: fleet.OutcomeNotRun, Spent: 2}, want: ReasonLimit},
		{name: "retry after the deadline", attempt: Attempt{
			Outcome: fleet.OutcomeNotRun, Deadline: start.Add(time.Second), RetryAfter: 2 * time.Second,
		}, want: ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := New().Failed(start, tt.attempt)
			require.Equal(t, tt.want, got.Reason)
			require.Equal(t, tt.want == "", got.Retry)
			if got.Retry {
				require.Equal(t, tt.attempt.Spent+1, got.Spent)
				require.Positive(t, got.Wait)
			}
		})
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	b := New(Share(0.1), Burst(10))
	retries := 0
	for range 1000 {
		b.Submitted("chat")
		if b.Failed(start, Attempt{Profile: "chat", Outcome: fleet.OutcomeNotRun}).Retry {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 110)
	require.InDelta(t, DefaultBurst, b.Left("match"), 0, "the budget of another profile is unchanged")
}
