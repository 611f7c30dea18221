package models

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/explore"
)

// ciStates bounds each exploration in CI; `make check` explores more states.
const ciStates = 30_000

// counterexampleStates is a bound that is above the states needed for any counterexample.
const counterexampleStates = 500_000

func TestPromiseHoldsInEveryState(t *testing.T) {
	for _, m := range All() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			result := explore.Run(t.Context(), m.Start(""), explore.Limits{States: ciStates})
			require.NoError(t, result.Violation, "%v", result.Trace)
			require.NotEqual(t, explore.BoundTime, result.Bound)
			t.Logf("depth %d, %d states, bound %s", result.Depth, result.States, result.Bound)
		})
	}
}

// Turning off any mechanism must lead to a violation. Otherwise the test above could pass
// only because the model lacks the faults that the mechanism guards against.
func TestPromiseBreaksWithoutMechanism(t *testing.T) {
	for _, m := range All() {
		require.NotEmpty(t, m.Mechanisms)
		for _, mechanism := range m.Mechanisms {
			t.Run(m.Name+" "+mechanism.Name, func(t *testing.T) {
				t.Parallel()
				result := explore.Run(t.Context(), m.Start(mechanism.Name), explore.Limits{States: counterexampleStates})
				require.Error(t, result.Violation)
				require.NotEmpty(t, result.Trace)
				t.Logf("depth %d, %d states: %v", len(result.Trace), result.States, result.Violation)
			})
		}
	}
}
