package node

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/entry"
)

// Metrics of ended requests are registered in the instance's own registry, with times rounded
// up to a millisecond.
func TestObservedTimesAreInRegistry(t *testing.T) {
	registry := metrics.NewRegistry()
	report := entry.Report{Profile: "chat", Rank: "urgent", First: 5 * time.Millisecond, Gap: 300 * time.Microsecond, Target: time.Second}
	newObserver(registry).Ended(report)
	tests := []struct {
		name string
		want float64
	}{
		{name: "first_milliseconds;profile=chat;rank=urgent", want: 5},
		{name: "gap_milliseconds;profile=chat;rank=urgent", want: 1},
	}
	for _, tt := range tests {
		h, ok := registry.Get(tt.name).(metrics.Histogram)
		require.True(t, ok, tt.name)
		require.InDelta(t, tt.want, h.Percentile(0.95), 0)
	}
	attained, ok := registry.Get("attained;profile=chat;rank=urgent").(metrics.Counter)
	require.True(t, ok)
	require.EqualValues(t, 1, attained.Count())
}
