package copies_test

import (
	"fmt"
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

func withLoaded(id fleet.Endpoint, models ...fleet.Model) copies.Endpoint {
	return copies.Endpoint{ID: id, Loaded: models}
}

var limits = copies.Limits{ColdLoads: 4, MaxMoves: 4, MinGain: 2, MinDemand: 100, StandbyCopies: 2}

func TestPlan(t *testing.T) {
	noColdLoads := limits
	noColdLoads.ColdLoads = 0
	cachedWeights := withLoaded("q", "b", "c")
	cachedWeights.Cached = []fleet.Model{"a"}
	busy := withLoaded("p", "b")
	busy.Busy = true
	recentlyLoaded := withLoaded("q", "b", "c", "d")
	recentlyLoaded.RecentlyLoaded = recentlyLoaded.Loaded
	busyFull := withLoaded("s", "b", "c", "d")
	busyFull.Busy = true
	withAdapters := engine("a", "b", "c", "d")
	withAdapters.Models[0].Adapters = []fleet.Adapter{"a1"}
	tests := []struct {
		name      string
		engine    *catalog.Engine
		endpoints []copies.Endpoint
		demand    map[fleet.Model]float64
		longTerm  map[fleet.Model]float64
		atRisk    map[fleet.Model]bool
		inUse     map[fleet.Model]bool
		limits    copies.Limits
		want      []copies.Move
	}{
		{name: "no change needed", endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c")}, engine: engine("a", "b", "c"), limits: limits},
		{
			name: "an unavailable model is loaded where memory is free", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d"), withLoaded("q", "b")},
			want:      []copies.Move{{Endpoint: "q", Model: "a", Cold: true}},
		},
		{
			name: "an unavailable model is loaded where its weights are cached", engine: engine("a", "b", "c"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b"), cachedWeights}, want: []copies.Move{{Endpoint: "q", Model: "a"}},
		},
		{
			name: "no load beyond the limit of the weight store", engine: engine("a", "b", "c"), limits: noColdLoads,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c")},
		},
		{
			name: "a redundant copy is evicted for an unavailable model", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d"), withLoaded("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"b": 500, "c": 50, "d": 500},
			want:      []copies.Move{{Endpoint: "p", Model: "c", Unload: true, MakesRoomFor: "a"}},
		},
		{
			name: "the last copy is never evicted", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d")},
		},
		{
			name: "a model that nobody asks for makes room for an unavailable one in demand", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 1, "b": 500, "d": 1},
			want:      []copies.Move{{Endpoint: "p", Model: "c", Unload: true, MakesRoomFor: "a"}},
		},
		{
			name: "no eviction of a last copy with long-term demand or at risk", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 900, "b": 5}, longTerm: map[fleet.Model]float64{"c": 5}, atRisk: map[fleet.Model]bool{"d": true},
		},
		{
			name: "no eviction of a last copy that callers have asked for lately", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 900}, inUse: map[fleet.Model]bool{"b": true, "c": true, "d": true},
		},
		{
			name: "no eviction of a last copy that was loaded recently", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{recentlyLoaded}, demand: map[fleet.Model]float64{"a": 900},
		},
		{
			name: "a copy with little demand is evicted for a model with much demand", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 9000, "b": 200, "c": 10, "d": 1},
			want:      []copies.Move{{Endpoint: "q", Model: "c", Unload: true, MakesRoomFor: "a"}},
		},
		{
			name: "no eviction of a model with equal long-term demand", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 9000},
			longTerm:  map[fleet.Model]float64{"b": 9000, "c": 9000},
		},
		{
			name: "no eviction of a recently loaded copy", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c", "d"), recentlyLoaded},
			demand:    map[fleet.Model]float64{"a": 9000},
		},
		{
			name: "demand below the minimum causes no moves", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"a": 99},
		},
		{
			name: "a busy endpoint gets no order", engine: engine("a", "b"), limits: limits,
			endpoints: []copies.Endpoint{busy},
		},
		{
			name: "free memory is used for a second copy of a model with adapters", engine: withAdapters, limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "d")},
			want:      []copies.Move{{Endpoint: "q", Model: "a", Cold: true}},
		},
		{
			name: "an overloaded copy isn't evicted for an unavailable model while an endpoint is busy", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d"), busyFull},
			demand:    map[fleet.Model]float64{"b": 900, "c": 900, "d": 900},
		},
		{
			name: "an overloaded copy is evicted for an unavailable model if no endpoint is busy", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "b", "c", "d"), withLoaded("q", "b", "c", "d")},
			demand:    map[fleet.Model]float64{"b": 900, "c": 800, "d": 900},
			want:      []copies.Move{{Endpoint: "p", Model: "c", Unload: true, MakesRoomFor: "a"}},
		},
		{
			name: "a redundant copy is evicted for a standby copy of a model at risk", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d"), withLoaded("r", "b", "c", "d")},
			atRisk:    map[fleet.Model]bool{"a": true, "c": true},
			want:      []copies.Move{{Endpoint: "q", Model: "b", Unload: true, MakesRoomFor: "a"}},
		},
		{
			name: "no eviction of models in demand for a standby copy", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d"), withLoaded("r", "b", "c", "d")},
			atRisk:    map[fleet.Model]bool{"a": true, "c": true},
			demand:    map[fleet.Model]float64{"b": 300, "c": 300},
		},
		{
			name: "no eviction for a standby copy if too few copies would remain", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d")},
			atRisk:    map[fleet.Model]bool{"a": true},
		},
		{
			name: "no standby copy without a load allowed by the weight store", engine: engine("a", "b", "c", "d"), limits: copies.Limits{ColdLoads: 0, MaxMoves: 4, MinGain: 2, MinDemand: 100, StandbyCopies: 2},
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "b", "c", "d"), withLoaded("r", "b", "c", "d")},
			atRisk:    map[fleet.Model]bool{"a": true},
		},
		{
			name: "standby copies use at most half of the loads allowed by the weight store", engine: engine("a", "b", "c", "d"), limits: copies.Limits{ColdLoads: 2, MaxMoves: 4, MinGain: 2, MinDemand: 100, StandbyCopies: 2},
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "d"), withLoaded("r", "d")},
			atRisk:    map[fleet.Model]bool{"a": true, "b": true, "c": true},
			want:      []copies.Move{{Endpoint: "q", Model: "a", Cold: true}},
		},
		{
			name: "a model at risk is evicted only for a much higher demand", engine: engine("a", "b", "c", "d"), limits: limits,
			endpoints: []copies.Endpoint{withLoaded("p", "a", "b", "c"), withLoaded("q", "c", "b", "d")},
			demand:    map[fleet.Model]float64{"a": 150, "b": 9000},
			atRisk:    map[fleet.Model]bool{"c": true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, copies.Plan(tt.engine, tt.endpoints, copies.Demand{Recent: tt.demand, LongTerm: tt.longTerm, AtRisk: tt.atRisk, InUse: tt.inUse}, tt.limits))
		})
	}
}

// Guards against plans that overcommit memory, evict the last copy of a model, send an
// endpoint two orders or exceed the limit of the weight store, for random demand and losses.
func TestPlanInvariants(t *testing.T) {
	names := []fleet.Model{"a", "b", "c", "d", "e", "f", "g"}
	rapid.Check(t, func(t *rapid.T) {
		e := engine(names...)
		model := rapid.SampledFrom(names)
		var endpoints []copies.Endpoint
		for i := range rapid.IntRange(1, 5).Draw(t, "endpoints") {
			p := copies.Endpoint{ID: fleet.Endpoint(rune('p' + i)), Busy: rapid.Bool().Draw(t, "busy")}
			p.Loaded = rapid.SliceOfNDistinct(model, 0, 3, rapid.ID).Draw(t, "holds")
			if p.Busy && rapid.Bool().Draw(t, "loads") {
				p.Loading = model.Draw(t, "loading")
			}
			p.Cached = rapid.SliceOfNDistinct(model, 0, 3, rapid.ID).Draw(t, "cached")
			endpoints = append(endpoints, p)
		}
		demand := rapid.MapOf(model, rapid.Float64Range(0, 1e5)).Draw(t, "demand")
		atRisk := rapid.MapOf(model, rapid.Bool()).Draw(t, "prone")
		starved := rapid.MapOf(model, rapid.Bool()).Draw(t, "starved")
		count := make(map[fleet.Model]int)
		freeSlots := make(map[fleet.Endpoint]int)
		for _, p := range endpoints {
			freeSlots[p.ID] = 3 - len(p.Loaded)
			for _, m := range p.Loaded {
				count[m]++
			}
		}
		seen := make(map[fleet.Endpoint]bool)
		cold := 0
		for _, m := range copies.Plan(e, endpoints, copies.Demand{Recent: demand, LongTerm: demand, AtRisk: atRisk, Starved: starved}, limits) {
			if seen[m.Endpoint] {
				t.Fatalf("endpoint %s gets two orders", m.Endpoint)
			}
			seen[m.Endpoint] = true
			if m.Cold {
				cold++
			}
			if !m.Unload {
				if freeSlots[m.Endpoint]--; freeSlots[m.Endpoint] < 0 {
					t.Fatalf("no free memory for %s on %s", m.Model, m.Endpoint)
				}
				continue
			}
			inUse := demand[m.Model] > 0 || atRisk[m.Model]
			forUnavailable := count[m.MakesRoomFor] == 0 && demand[m.MakesRoomFor] > 0
			takesTurn := starved[m.MakesRoomFor] && count[m.MakesRoomFor] == 0 && !atRisk[m.Model] && demand[m.Model] < limits.MinDemand
			if count[m.Model]--; count[m.Model] < 1 && !takesTurn && (inUse || !forUnavailable) {
				t.Fatalf("the last copy of %s is evicted for %s", m.Model, m.MakesRoomFor)
			}
		}
		if cold > limits.ColdLoads {
			t.Fatalf("%d loads from the weight store exceed the limit", cold)
		}
	})
}

// The load of a fleet of hundreds of endpoints whose demand moves to many models at once:
// the copies that may be made together grow with the fleet, within the weight store's rate.
func TestMovesGrowWithTheFleet(t *testing.T) {
	e := &catalog.Engine{MemoryMB: 220, AdapterSlots: 5}
	var endpoints []copies.Endpoint
	demand := make(map[fleet.Model]float64)
	for i := range 160 {
		name := fleet.Model(fmt.Sprintf("m%03d", i))
		e.Models = append(e.Models, catalog.Model{Name: name, MemoryMB: 72})
		endpoints = append(endpoints, withLoaded(fleet.Endpoint(fmt.Sprintf("e%03d", i)), name))
		if i < 50 {
			demand[name] = 1000
		}
	}
	allowed := limits
	allowed.ColdLoads = 100
	loaded := make(map[fleet.Model]bool)
	for _, m := range copies.Plan(e, endpoints, copies.Demand{Recent: demand, LongTerm: demand}, allowed) {
		assert.False(t, m.Unload)
		loaded[m.Model] = true
	}
	assert.Len(t, loaded, 50, "each of the models in demand gets another copy")
	allowed.ColdLoads = 23
	assert.Len(t, copies.Plan(e, endpoints, copies.Demand{Recent: demand, LongTerm: demand}, allowed), 23)
}
