package copies_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

func engine(names ...fleet.Model) *catalog.Engine {
	e := &catalog.Engine{MemoryMB: 220, AdapterSlots: 5, MaxLoadsPerSecond: 2}
	for _, n := range names {
		e.Models = append(e.Models, catalog.Model{Name: n, MemoryMB: 72, AdapterMemoryMB: 0.1})
	}
	return e
}

func holds(id fleet.Endpoint, models ...fleet.Model) copies.Endpoint {
	return copies.Endpoint{ID: id, Holds: models}
}

var limits = copies.Limits{Cold: 4, Swaps: 4, Gain: 2, Least: 100, Ahead: 2}

func TestPlan(t *testing.T) {
	lent := limits
	lent.Cold = 0
	near := holds("q", "b", "c")
	near.AtHand = []fleet.Model{"a"}
	busy := holds("p", "b")
	busy.Busy = true
	lately := holds("q", "b", "c", "d")
	lately.Young = lately.Holds
	waits := holds("s", "b", "c", "d")
	waits.Busy = true
	adapters := engine("a", "b", "c", "d")
	adapters.Models[0].Adapters = []fleet.Adapter{"a1"}
	tests := []struct {
		name      string
		engine    *catalog.Engine
		endpoints []copies.Endpoint
		demand    map[fleet.Model]float64
		steady    map[fleet.Model]float64
		prone     map[fleet.Model]bool
		limits    copies.Limits
		want      []copies.Move
	}{
		{name: "all is well", endpoints: []copies.Endpoint{holds("p", "a", "b", "c")}, engine: engine("a", "b", "c"), limits: limits},
		{
			name: "a lost model is loaded where there is room", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "b", "c", "d"), holds("q", "b")},
			want:      []copies.Move{{Endpoint: "q", Model: "a", Cold: true}},
		},
		{
			name: "where its weights are at hand", engine: engine("a", "b", "c"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "b"), near}, want: []copies.Move{{Endpoint: "q", Model: "a"}},
		},
		{
			name: "only so many loads from the weight store", engine: engine("a", "b", "c"), limits: lent,
			endpoints: []copies.Endpoint{holds("p", "b", "c")},
		},
		{
			name: "a spare copy yields to a lost model", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "b", "c", "d"), holds("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"b": 500, "c": 50, "d": 500},
			want:      []copies.Move{{Endpoint: "p", Model: "c", Unload: true, For: "a"}},
		},
		{
			name: "the last copy never yields", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "b", "c", "d")},
		},
		{
			name: "a hot model gets the copy of a cold one", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 9000, "b": 200, "c": 10, "d": 1},
			want:      []copies.Move{{Endpoint: "q", Model: "c", Unload: true, For: "a"}},
		},
		{
			name: "but not if that is as hot over a while", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 9000},
			steady:    map[fleet.Model]float64{"b": 9000, "c": 9000},
		},
		{
			name: "nor a copy that was loaded lately", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c", "d"), lately},
			demand:    map[fleet.Model]float64{"a": 9000},
		},
		{
			name: "little demand moves nothing", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 99},
		},
		{
			name: "busy endpoints get no order", engine: engine("a", "b"), limits: limits,
			endpoints: []copies.Endpoint{busy},
		},
		{
			name: "free room serves a second copy of a model with adapters", engine: adapters, limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "d")},
			want:      []copies.Move{{Endpoint: "q", Model: "a", Cold: true}},
		},
		{
			name: "a copy with too much to do doesn't yield to a lost model while others are busy", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "b", "c", "d"), waits},
			demand:    map[fleet.Model]float64{"b": 900, "c": 900, "d": 900},
		},
		{
			name: "but if none is", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "b", "c", "d"), holds("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"b": 900, "c": 800, "d": 900},
			want:      []copies.Move{{Endpoint: "p", Model: "c", Unload: true, For: "a"}},
		},
		{
			name: "a prone model gets a copy ahead of demand from one with more than it needs", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d"), holds("r", "b", "c", "d")},
			prone:     map[fleet.Model]bool{"a": true, "c": true},
			want:      []copies.Move{{Endpoint: "q", Model: "b", Unload: true, For: "a"}},
		},
		{
			name: "but not if that is in demand", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d"), holds("r", "b", "c", "d")},
			prone:     map[fleet.Model]bool{"a": true, "c": true},
			demand:    map[fleet.Model]float64{"b": 300, "c": 300},
		},
		{
			name: "nor if it would keep too few itself", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d")},
			prone:     map[fleet.Model]bool{"a": true},
		},
		{
			name: "nor with the last loads that the weight store allows", engine: engine("a", "b", "c", "d"), limits: copies.Limits{Cold: 0, Swaps: 4, Gain: 2, Least: 100, Ahead: 2},
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "b", "c", "d"), holds("r", "b", "c", "d")},
			prone:     map[fleet.Model]bool{"a": true},
		},
		{
			name: "and half of what it allows is left for others", engine: engine("a", "b", "c", "d"), limits: copies.Limits{Cold: 2, Swaps: 4, Gain: 2, Least: 100, Ahead: 2},
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "d"), holds("r", "d")},
			prone:     map[fleet.Model]bool{"a": true, "b": true, "c": true},
			want:      []copies.Move{{Endpoint: "q", Model: "a", Cold: true}},
		},
		{
			name: "a prone model yields only to far more demand", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{holds("p", "a", "b", "c"), holds("q", "c", "b", "d")},
			demand:    map[fleet.Model]float64{"a": 150, "b": 9000},
			prone:     map[fleet.Model]bool{"c": true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, copies.Plan(tt.engine, tt.endpoints, copies.Demand{Newest: tt.demand, Steady: tt.steady, Prone: tt.prone}, tt.limits))
		})
	}
}

// Whatever is demanded and lost: memory is never promised twice, the last copy of a
// model stays, and no endpoint gets two orders at once.
func TestPlanKeepsItsPromises(t *testing.T) {
	names := []fleet.Model{"a", "b", "c", "d", "e", "f", "g"}
	rapid.Check(t, func(t *rapid.T) {
		e := engine(names...)
		model := rapid.SampledFrom(names)
		var endpoints []copies.Endpoint
		for i := range rapid.IntRange(1, 5).Draw(t, "endpoints") {
			p := copies.Endpoint{ID: fleet.Endpoint(rune('p' + i)), Busy: rapid.Bool().Draw(t, "busy")}
			p.Holds = rapid.SliceOfNDistinct(model, 0, 3, rapid.ID).Draw(t, "holds")
			if p.Busy && rapid.Bool().Draw(t, "loads") {
				p.Loading = model.Draw(t, "loading")
			}
			p.AtHand = rapid.SliceOfNDistinct(model, 0, 3, rapid.ID).Draw(t, "at hand")
			endpoints = append(endpoints, p)
		}
		demand := rapid.MapOf(model, rapid.Float64Range(0, 1e5)).Draw(t, "demand")
		prone := rapid.MapOf(model, rapid.Bool()).Draw(t, "prone")
		count := make(map[fleet.Model]int)
		room := make(map[fleet.Endpoint]int)
		for _, p := range endpoints {
			room[p.ID] = 3 - len(p.Holds)
			for _, m := range p.Holds {
				count[m]++
			}
		}
		seen := make(map[fleet.Endpoint]bool)
		cold := 0
		for _, m := range copies.Plan(e, endpoints, copies.Demand{Newest: demand, Steady: demand, Prone: prone}, limits) {
			if seen[m.Endpoint] {
				t.Fatalf("two orders for %s", m.Endpoint)
			}
			seen[m.Endpoint] = true
			if m.Cold {
				cold++
			}
			if !m.Unload {
				if room[m.Endpoint]--; room[m.Endpoint] < 0 {
					t.Fatalf("no room for %s at %s", m.Model, m.Endpoint)
				}
				continue
			}
			if count[m.Model]--; count[m.Model] < 1 {
				t.Fatalf("the last copy of %s yields", m.Model)
			}
		}
		if cold > limits.Cold {
			t.Fatalf("%d loads from the weight store", cold)
		}
	})
}
