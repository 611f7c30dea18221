package process

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/switches"
)

// dispatcherOf returns the instance that dispatches an endpoint, and another one.
func (b *deployment) dispatcherOf(endpoint string) (dispatcher, other *instance) {
	b.t.Helper()
	b.eventually("dispatcher of "+endpoint, func() bool {
		status, err := b.operatorClient(b.instances[0]).Status(b.t.Context())
		if err != nil {
			return false
		}
		for _, d := range status.Dispatchers {
			for _, n := range b.instances {
				if d.Endpoint == endpoint && d.Instance == n.name {
					dispatcher = n
				}
			}
		}
		return dispatcher != nil
	})
	for _, n := range b.instances {
		if n != dispatcher {
			other = n
		}
	}
	return dispatcher, other
}

// The dispatcher of an order ends at each step of its claim. The caller sends the order
// again: it runs once at most, and is told "ran" or "unknown", never "not run" after it ran.
func TestOrderRunsAtMostOnceWhenDispatcherDiesAtEachStep(t *testing.T) {
	tests := []struct {
		step switches.Step
		runs int
		outcome string // at last
	}{
		{switches.StepUnclaimed, 1, "ran"},
		{switches.StepClaimed, 0, "unknown"},
		{switches.StepAnswered, 1, "unknown"},
		{switches.StepUnrecorded, 1, "unknown"},
		{switches.StepRecorded, 1, "ran"}, // its end is recorded before its caller is told
	}
	for _, tt := range tests {
		t.Run(string(tt.step), func(t *testing.T) {
			b := newSouthDeployment(t, "")
			dispatcher, from := b.dispatcherOf("order-south-1")
			key := switches.DeathKey(tt.step, dispatcher.process.Process.Pid)
			b.sendOrder(from, key)
			<-dispatcher.exited
			var last reply
			b.eventually("an answer to the order", func() bool {
				last = b.sendOrder(from, key)
				require.False(t, last.outcome == "not-run" && b.orders.Counts().Keys[key] > 0)
				return last.outcome == tt.outcome
			})
			require.Equal(t, tt.runs, b.orders.Counts().Keys[key])
			require.Equal(t, tt.outcome, b.sendOrder(from, key).outcome)
			require.Equal(t, tt.runs, b.orders.Counts().Keys[key])
		})
	}
}
