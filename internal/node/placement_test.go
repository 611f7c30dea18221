package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// A change in a dispatcher's report on an endpoint makes the placer read that endpoint again.
// Changes in load only do not.
func TestPlacerReadsChangedEndpointsAgain(t *testing.T) {
	now := time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)
	row := directory.Registration{Endpoint: "e1", Incarnation: "1"}
	report := directory.Report{Endpoint: "e1", Incarnation: "a", Serial: 3, Models: []fleet.Model{"m"}}
	tests := []struct {
		name   string
		change func(row *directory.Registration, report *directory.Report)
		want   bool
	}{
		{name: "nothing", change: func(*directory.Registration, *directory.Report) {}},
		{name: "changed load only", change: func(_ *directory.Registration, r *directory.Report) { r.Running = 7 }},
		{name: "models", change: func(_ *directory.Registration, r *directory.Report) { r.Serial++ }, want: true},
		{name: "a new process", change: func(_ *directory.Registration, r *directory.Report) { r.Incarnation = "b" }, want: true},
		{name: "new registration", change: func(w *directory.Registration, _ *directory.Report) { w.Incarnation = "2" }, want: true},
		{name: "down", change: func(_ *directory.Registration, r *directory.Report) { r.Down = true }, want: true},
		{name: "leaving", change: func(_ *directory.Registration, r *directory.Report) { r.Leaving = true }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, seen := directory.New(), &readVersions{}
			row, report := row, report
			d.ReplaceAll(1, []directory.Registration{row})
			d.ApplyReport(now, report)
			e, _ := d.Get("e1")
			require.True(t, seen.hasChanged(e), "never read")
			seen.record(e)
			tt.change(&row, &report)
			d.ReplaceAll(2, []directory.Registration{row})
			d.ApplyReport(now, report)
			e, _ = d.Get("e1")
			require.Equal(t, tt.want, seen.hasChanged(e))
		})
	}
}
