package directory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

func TestEachWithAdapter(t *testing.T) {
	first := Registration{Endpoint: "e1", Incarnation: "1"}
	other := Registration{Endpoint: "e2", Incarnation: "1"}
	models := []fleet.Model{"a"}
	kit := []AdapterKey{{Model: "a", Adapter: "kit"}}
	both := []AdapterKey{{Model: "a", Adapter: "glove"}, {Model: "a", Adapter: "kit"}}
	tests := []struct {
		name     string
		reports  []Report
		nextList []Registration
		want     []fleet.Endpoint
	}{
		{name: "no report"},
		{name: "told", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}}, want: []fleet.Endpoint{"e1"}},
		{name: "unchanged by a report without models", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}, {Endpoint: "e1"}}, want: []fleet.Endpoint{"e1"}},
		{name: "another adapter added", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}, {Endpoint: "e1", Models: models, Adapters: both}}, want: []fleet.Endpoint{"e1"}},
		{name: "gone", reports: []Report{{Endpoint: "e1", Models: models, Adapters: both}, {Endpoint: "e1", Models: models}}},
		{name: "adapter of another model", reports: []Report{{Endpoint: "e1", Models: models, Adapters: []AdapterKey{{Model: "b", Adapter: "kit"}}}}},
		{name: "adapter of a model that is not ready", reports: []Report{{Endpoint: "e1", Models: []fleet.Model{}, Adapters: kit}, {Endpoint: "e2", Models: models, Adapters: kit}}, want: []fleet.Endpoint{"e2"}},
		{name: "on two endpoints", reports: []Report{{Endpoint: "e2", Models: models, Adapters: kit}, {Endpoint: "e1", Models: models, Adapters: kit}}, want: []fleet.Endpoint{"e1", "e2"}},
		{name: "endpoint dropped", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}}, nextList: []Registration{other}},
		{name: "endpoint restarted", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}}, nextList: []Registration{{Endpoint: "e1", Incarnation: "2"}, other}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			d.ReplaceAll(1, []Registration{first, other})
			for _, r := range tt.reports {
				d.ApplyReport(start, r)
			}
			if tt.nextList != nil {
				d.ReplaceAll(2, tt.nextList)
				require.Empty(t, d.adapters)
			}
			var got []fleet.Endpoint
			d.EachWithAdapter("a", "kit", "", func(e *Entry, has bool) {
				if has {
					got = append(got, e.Endpoint)
				}
			})
			require.Equal(t, tt.want, got)
		})
	}
}
