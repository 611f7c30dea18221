package process

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/switches"
)

// dispatcherOf returns the instance that dispatches for an endpoint, and another instance.
func (dp *deployment) dispatcherOf(endpoint string) (dispatcher, other *instance) {
	dp.t.Helper()
	dp.eventually("dispatcher of "+endpoint, func() bool {
		status, err := dp.operatorClient(dp.instances[0]).Status(dp.t.Context())
		if err != nil {
			return false
		}
		for _, d := range status.Dispatchers {
			for _, n := range dp.instances {
				if d.Endpoint == endpoint && d.Instance == n.name {
					dispatcher = n
				}
			}
		}
		return dispatcher != nil
	})
	for _, n := range dp.instances {
		if n != dispatcher {
			other = n
		}
	}
	return dispatcher, other
}

// Guards against running an order twice: its dispatcher is killed at each step of the claim
// and the caller retries through another instance. The order runs at most once, and its
// outcome is "ran" or "unknown", never "not-run" after it ran.
func TestOrderRunsAtMostOnceWhenDispatcherDiesAtEachStep(t *testing.T) {
	tests := []struct {
		step    switches.CrashPoint
		runs    int
		outcome string // final outcome after retries
	}{
		{switches.CrashUnclaimed, 1, "ran"},
		{switches.CrashClaimed, 0, "unknown"},
		{switches.CrashAnswered, 1, "unknown"},
		{switches.CrashUnrecorded, 1, "unknown"},
		{switches.CrashRecorded, 1, "ran"}, // the outcome is recorded before the reply to the caller
	}
	for _, tt := range tests {
		t.Run(string(tt.step), func(t *testing.T) {
			b := newSouthDeployment(t, "")
			dispatcher, from := b.dispatcherOf("order-south-1")
			key := switches.CrashKey(tt.step, dispatcher.process.Process.Pid)
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
