package models

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/explore"
)

// ciStates bounds each exploration in CI; `make check` goes further.
const ciStates = 30_000

// offStates is more than any counterexample takes.
const offStates = 500_000

func TestPromisesHoldInEveryState(t *testing.T) {
	for _, m := range All() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			result := explore.Run(t.Context(), m.Start(""), explore.Limits{States: ciStates})
			require.NoError(t, result.Broken, "%v", result.Session)
			require.NotEqual(t, explore.BoundTime, result.Bound)
			t.Logf("depth %d, %d states, bound %s", result.Depth, result.States, result.Bound)
		})
	}
}

// With a mechanism off the promise breaks, so the pass above is none for lack of faults.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, m := range All() {
		require.NotEmpty(t, m.Mechanisms)
		for _, off := range m.Mechanisms {
			t.Run(m.Name+" "+off.Name, func(t *testing.T) {
				t.Parallel()
				result := explore.Run(t.Context(), m.Start(off.Name), explore.Limits{States: offStates})
				require.Error(t, result.Broken)
				require.NotEmpty(t, result.Session)
				t.Logf("depth %d, %d states: %v", len(result.Session), result.States, result.Broken)
			})
		}
	}
}
