package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func newWithEndpoint() *Directory {
	d := New()
	d.ReplaceAll(1, []Registration{{Endpoint: "e1", Service: "matcher", Incarnation: "1"}})
	return d
}

func TestApplyReport(t *testing.T) {
	tests := []struct {
		name    string
		reports []Report
		want    []fleet.Model
	}{
		{name: "told", reports: []Report{{Serial: 3, Models: []fleet.Model{"a"}}}, want: []fleet.Model{"a"}},
		{name: "unchanged by a report without models", reports: []Report{{Serial: 3, Models: []fleet.Model{"a"}}, {Serial: 3}}, want: []fleet.Model{"a"}},
		{name: "first report without models, second with them", reports: []Report{{Serial: 3}, {Serial: 3, Models: []fleet.Model{"a"}}}, want: []fleet.Model{"a"}},
		{name: "removed by an empty list of models", reports: []Report{{Serial: 3, Models: []fleet.Model{"a"}}, {Serial: 4, Models: []fleet.Model{}}}},
		{name: "serial of the next dispatcher restarts", reports: []Report{{Serial: 9, Models: []fleet.Model{"a"}}, {Serial: 1, Models: []fleet.Model{"b"}}}, want: []fleet.Model{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newWithEndpoint()
			for _, r := range tt.reports {
				r.Endpoint = "e1"
				d.ApplyReport(start, r)
			}
			require.Equal(t, tt.want, append([]fleet.Model(nil), d.Models()...))
		})
	}
}

func TestLeavingLastsForIncarnation(t *testing.T) {
	d := newWithEndpoint()
	d.MarkLeaving("e1")
	d.ReplaceAll(2, []Registration{{Endpoint: "e1", Service: "matcher", Incarnation: "1"}})
	e, _ := d.Get("e1")
	require.True(t, e.Leaving, "a stale live registration never overrides leaving")
	d.ReplaceAll(3, []Registration{{Endpoint: "e1", Service: "matcher", Incarnation: "2"}})
	e, _ = d.Get("e1")
	require.False(t, e.Leaving, "a new incarnation is not leaving")
}

func TestReplaceAllDropsMissingEndpoints(t *testing.T) {
	d := newWithEndpoint()
	d.ApplyReport(start, Report{Endpoint: "e1", Models: []fleet.Model{"a"}})
	d.ReplaceAll(2, nil)
	require.Empty(t, d.All())
	require.Empty(t, d.Models())
}
