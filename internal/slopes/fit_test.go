package slopes

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFitAndInterpolation(t *testing.T) {
	s := Series{Name: "cost", By: "peers", Unit: "B", Points: []Point{{10, 120}, {20, 220}, {40, 420}}}
	line := s.Fit()
	require.InDelta(t, 20, line.Fixed, 1e-9)
	require.InDelta(t, 10, line.Slope, 1e-9)
	require.InDelta(t, 1, line.R2, 1e-9)
	tests := []struct{ size, want float64 }{{10, 120}, {30, 320}, {100, 1020}, {-10, 0}}
	for _, tt := range tests {
		require.InDelta(t, tt.want, s.At(tt.size), 1e-9)
	}
	bent := Series{Points: []Point{{0, 0}, {10, 10}, {20, 100}}}
	require.InDelta(t, 55, bent.At(15), 1e-9)
}

func TestReportNamesMissingSeries(t *testing.T) {
	r := &Report{}
	_, err := r.Rows(Target{Instances: 9, Centres: 3, Runners: 21, Models: 34})
	require.ErrorContains(t, err, "was not measured")
	require.Error(t, r.PrintTarget(&bytes.Buffer{}, 0))
}

// Guards the required times: a document change is in force everywhere within 12 s, and a
// lost instance, rack, data centre or region is taken over within the same time. The fleet
// here is small; "make slopes" simulates the target size.
func TestTakeoverAndPropagationTimes(t *testing.T) {
	losses, err := Losses(22)
	require.NoError(t, err)
	require.Len(t, losses, 7)
	for _, l := range losses {
		require.LessOrEqual(t, l.Time, 12*time.Second, l.Name)
	}
}
