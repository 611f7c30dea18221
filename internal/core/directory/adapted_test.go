package directory

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

func TestAdapters(t *testing.T) {
	row := Row{Endpoint: "e1", Incarnation: "1"}
	other := Row{Endpoint: "e2", Incarnation: "1"}
	models := []fleet.Model{"a"}
	kit := []Adapted{{Model: "a", Adapter: "kit"}}
	both := []Adapted{{Model: "a", Adapter: "glove"}, {Model: "a", Adapter: "kit"}}
	tests := []struct {
		name    string
		reports []Report
		relist  []Row
		want    []fleet.Endpoint
	}{
		{name: "not told"},
		{name: "told", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}}, want: []fleet.Endpoint{"e1"}},
		{name: "unchanged keeps", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}, {Endpoint: "e1"}}, want: []fleet.Endpoint{"e1"}},
		{name: "another beside", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}, {Endpoint: "e1", Models: models, Adapters: both}}, want: []fleet.Endpoint{"e1"}},
		{name: "gone", reports: []Report{{Endpoint: "e1", Models: models, Adapters: both}, {Endpoint: "e1", Models: models}}},
		{name: "of another model", reports: []Report{{Endpoint: "e1", Models: models, Adapters: []Adapted{{Model: "b", Adapter: "kit"}}}}},
		{name: "of a model that is not ready", reports: []Report{{Endpoint: "e1", Models: []fleet.Model{}, Adapters: kit}, {Endpoint: "e2", Models: models, Adapters: kit}}, want: []fleet.Endpoint{"e2"}},
		{name: "on two", reports: []Report{{Endpoint: "e2", Models: models, Adapters: kit}, {Endpoint: "e1", Models: models, Adapters: kit}}, want: []fleet.Endpoint{"e1", "e2"}},
		{name: "endpoint dropped", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}}, relist: []Row{other}},
		{name: "endpoint started anew", reports: []Report{{Endpoint: "e1", Models: models, Adapters: kit}}, relist: []Row{{Endpoint: "e1", Incarnation: "2"}, other}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New()
			d.List(1, []Row{row, other})
			for _, r := range tt.reports {
				d.Report(start, r)
			}
			if tt.relist != nil {
				d.List(2, tt.relist)
				require.Empty(t, d.adapted)
			}
			var got []fleet.Endpoint
			d.EachAdapted("a", "kit", "", func(e *Entry, has bool) {
				if has {
					got = append(got, e.Endpoint)
				}
			})
			require.Equal(t, tt.want, got)
		})
	}
}
