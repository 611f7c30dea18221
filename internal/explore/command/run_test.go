package command

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/explore"
)

func TestRunPrintsCounterexample(t *testing.T) {
	code, text, stderr := execute(t, "run", "--off", "version", "residence")
	require.Equal(t, exitViolation, code)
	require.Contains(t, stderr, "a promise is broken: residence")
	require.Contains(t, text, "the last copy was given up")
	require.Contains(t, text, "\n  4. data centre 2 takes back the promise of its copy\n")
}

func TestRunReportsBounds(t *testing.T) {
	code, text, _ := execute(t, "run", "--depth", "3", "--output", "json", "residence", "leaving")
	require.Zero(t, code)
	var reports []report
	require.NoError(t, json.Unmarshal([]byte(text), &reports))
	require.Len(t, reports, 2)
	for _, r := range reports {
		require.Equal(t, 3, r.Depth)
		require.Equal(t, explore.BoundDepth, r.Bound)
		require.Positive(t, r.States)
		require.Empty(t, r.Violation)
	}
}
