package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newEndpoint(i, dataCentre int, models ...fleet.Model) EndpointView {
	return EndpointView{
		Endpoint: fleet.Endpoint(fmt.Sprintf("e%03d", i)),
		Place:    fleet.Place{Region: "sask", DataCentre: fleet.DataCentre(fmt.Sprintf("s%d", dataCentre))},
		Memory:   64 * gib,
		Used:     int64(len(models)) * 16 * gib,
		Models:   models,
	}
}

func newModel(name fleet.Model, demand float64) ModelView {
	return ModelView{Model: name, Bytes: 16 * gib, Fast: demand, Slow: demand}
}

func TestUnavailableModelIsLoadedFirst(t *testing.T) {
	v := View{
		Endpoints: []EndpointView{newEndpoint(0, 1, "hot"), newEndpoint(1, 1)},
		Models:    []ModelView{newModel("hot", 3), newModel("lost", 0)},
	}
	moves := New().Plan(start, v)
	require.NotEmpty(t, moves)
	require.Equal(t, Move{Kind: KindLoad, Model: "lost", Endpoint: "e001", Reason: ReasonUnreachable}, moves[0])
}

func TestDeadEndpointsDoNotCount(t *testing.T) {
	dead := newEndpoint(0, 1, "a")
	dead.Dead = true
	moves := New().Plan(start, View{
		Endpoints: []EndpointView{dead, newEndpoint(1, 1)},
		Models:    []ModelView{newModel("a", 0.1)},
	})
	require.Equal(t, []Move{{Kind: KindLoad, Model: "a", Endpoint: "e001", Reason: ReasonUnreachable}}, moves)
}

func TestLastCopyIsNotEvicted(t *testing.T) {
	v := View{
		Endpoints: []EndpointView{newEndpoint(0, 1, "a", "b", "c", "d"), newEndpoint(1, 1, "a", "e", "f", "g")},
		Models: []ModelView{
			newModel("a", 0.1), newModel("b", 0.1), newModel("c", 0.1), newModel("d", 0.1),
			newModel("e", 0.1), newModel("f", 0.1), newModel("g", 0.1), newModel("lost", 0.1),
		},
	}
	moves := New().Plan(start, v)
	require.Len(t, moves, 1)
	require.Equal(t, KindUnload, moves[0].Kind)
	require.Equal(t, fleet.Model("a"), moves[0].Model)
	require.Equal(t, fleet.Model("lost"), moves[0].For)
}

// To make room for an unavailable model, the planner evicts the third copy of one model rather
// than the second copy of another, even though the third copy serves more work: the
// other model would be left with a single copy.
func TestEvictionAvoidsLeavingASingleCopy(t *testing.T) {
	v := View{
		Endpoints: []EndpointView{
			newEndpoint(0, 1, "two", "x", "y"), newEndpoint(1, 1, "two", "z", "w"),
			newEndpoint(2, 1, "three", "p", "q"), newEndpoint(3, 1, "three", "r", "s"), newEndpoint(4, 1, "three", "t", "u"),
		},
		Models: []ModelView{newModel("two", 0.3), newModel("three", 1.05), newModel("lost", 0.1)},
	}
	for i := range v.Endpoints {
		v.Endpoints[i].Memory = 48 * gib
		for _, m := range v.Endpoints[i].Models[1:] {
			v.Models = append(v.Models, newModel(m, 0.1))
		}
	}
	victim := func(opts ...Option) fleet.Model {
		moves := New(opts...).Plan(start, v)
		require.Len(t, moves, 1)
		require.Equal(t, ReasonRoom, moves[0].Reason)
		return moves[0].Model
	}
	require.Equal(t, fleet.Model("three"), victim())
	require.Equal(t, fleet.Model("two"), victim(Exposure(0)), "with exposure off")
}

func TestOverloadedModelGetsACopy(t *testing.T) {
	v := View{
		Endpoints: []EndpointView{newEndpoint(0, 1, "a"), newEndpoint(1, 2, "b"), newEndpoint(2, 2, "b")},
		Models:    []ModelView{newModel("a", 1.6), newModel("b", 0.2)},
	}
	moves := New().Plan(start, v)
	require.NotEmpty(t, moves)
	require.Equal(t, KindLoad, moves[0].Kind)
	require.Equal(t, fleet.Model("a"), moves[0].Model)
	require.Equal(t, ReasonDemand, moves[0].Reason)
}

func TestBalancedFleetGetsNoMoves(t *testing.T) {
	v := View{
		Endpoints: []EndpointView{newEndpoint(0, 1, "a", "b"), newEndpoint(1, 2, "a", "b")},
		Models:    []ModelView{newModel("a", 0.4), newModel("b", 0.3)},
	}
	require.Empty(t, New().Plan(start, v))
}

func TestPendingLoadsAreBounded(t *testing.T) {
	v := View{}
	for i := range 20 {
		v.Endpoints = append(v.Endpoints, newEndpoint(i, i%2))
		v.Models = append(v.Models, newModel(fleet.Model(fmt.Sprint(i)), 0.1))
	}
	v.Endpoints[0].Pending = []Pending{{Kind: KindLoad, Model: "0"}}
	require.Len(t, New(MaxPendingLoads(4)).Plan(start, v), 3)
}

// On a cold start, before any request, small models must not take all pending loads:
// models requested a moment later would have to wait for them.
func TestUnrequestedModelsDoNotTakeAllLoads(t *testing.T) {
	idle := View{}
	for i := range 8 {
		idle.Endpoints = append(idle.Endpoints, newEndpoint(i, 1))
		idle.Models = append(idle.Models, newModel(fleet.Model(fmt.Sprint(i)), 0))
	}
	require.Len(t, New(MaxPendingLoads(4)).Plan(start, idle), 1)
	require.Len(t, New(MaxPendingLoads(4), MaxUnrequestedLoads(0)).Plan(start, idle), 4, "with the bound off")

	idle.Models[6], idle.Models[7] = newModel("6", 0.2), newModel("7", 0.1)
	moves := New(MaxPendingLoads(4)).Plan(start, idle)
	require.Len(t, moves, 3)
	require.Equal(t, fleet.Model("6"), moves[0].Model)
	require.Equal(t, fleet.Model("7"), moves[1].Model)
}

func TestRecentCopiesAreNotEvicted(t *testing.T) {
	tests := []struct {
		name  string
		stay  time.Duration
		moves bool
	}{
		{name: "min stay on", stay: 3 * time.Minute, moves: false},
		{name: "min stay off", stay: 0, moves: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New(MinStay(tt.stay))
			small := newEndpoint(1, 1, "b")
			small.Memory = 32 * gib
			v := View{
				Endpoints: []EndpointView{newEndpoint(0, 1, "a", "b"), small},
				Models:    []ModelView{newModel("a", 1.2), newModel("b", 0.01)},
			}
			first := p.Plan(start, v)
			require.Contains(t, first, Move{Kind: KindLoad, Model: "a", Endpoint: "e001", Reason: ReasonDemand})
			v.Endpoints[1].Models = []fleet.Model{"a", "b"}
			v.Endpoints[1].Used = 32 * gib
			v.Models = append(v.Models, newModel("c", 1.8))
			v.Endpoints[0].Models = []fleet.Model{"a", "b", "c"}
			v.Endpoints[0].Used = 64 * gib
			v.Models[0] = newModel("a", 0)
			v.Models[1] = newModel("b", 0.2)
			second := p.Plan(start.Add(time.Minute), v)
			dropped := Move{Kind: KindUnload, Model: "a", Endpoint: "e001", Reason: ReasonRoom, For: "c"}
			if tt.moves {
				require.Contains(t, second, dropped)
			} else {
				require.NotContains(t, second, dropped)
			}
		})
	}
}

func TestFreedMemoryIsReservedForItsModel(t *testing.T) {
	p := New(MinStay(0))
	v := View{
		Endpoints: []EndpointView{newEndpoint(0, 1, "a", "c", "d", "e"), newEndpoint(1, 1, "b", "c", "d", "e")},
		Models: []ModelView{
			newModel("a", 1.6), newModel("b", 0.1), newModel("c", 0.05), newModel("d", 0.05), newModel("e", 0.05),
		},
	}
	first := p.Plan(start, v)
	require.NotEmpty(t, first)
	require.Equal(t, KindUnload, first[0].Kind)
	require.Equal(t, fleet.Model("a"), first[0].For)
	v.Endpoints[1].Models = slices.DeleteFunc(v.Endpoints[1].Models, func(m fleet.Model) bool { return m == first[0].Model })
	v.Endpoints[1].Used -= 16 * gib
	v.Models[0] = newModel("a", 0.6)
	second := p.Plan(start.Add(5*time.Second), v)
	want := Move{Kind: KindLoad, Model: "a", Endpoint: "e001", Reason: ReasonDemand}
	require.Equal(t, []Move{want}, second, "demand that fell in the meantime does not cancel the move")
	require.NotContains(t, New(MinStay(0)).Plan(start, v), want, "without the deferred load of the first plan")
}

func TestSpareCopyGoesToModelWithMaxDemand(t *testing.T) {
	other := newEndpoint(1, 2)
	other.Memory = 16 * gib
	v := View{
		Endpoints: []EndpointView{newEndpoint(0, 1, "a", "b", "c"), other},
		Models:    []ModelView{newModel("a", 0.05), newModel("b", 0.2), newModel("c", 0.1)},
	}
	want := []Move{{Kind: KindLoad, Model: "b", Endpoint: "e001", Reason: ReasonSpread}}
	require.Equal(t, want, New().Plan(start, v))
}

func TestFewRequestsCauseLittleDemand(t *testing.T) {
	d := NewDemand(DefaultFastTimeConstant, DefaultSlowTimeConstant)
	for i := range 3 {
		d.Add(start.Add(time.Duration(i)*time.Second), 0.5)
	}
	now := start.Add(3 * time.Second)
	require.Less(t, d.Fast(now), 0.1, "1.5 s of work in 3 s would be half an accelerator")
	require.Less(t, d.Slow(now), 0.1)
}

func TestFastAverageFollowsARise(t *testing.T) {
	d := NewDemand(DefaultFastTimeConstant, DefaultSlowTimeConstant)
	now := start
	for range 3600 {
		now = now.Add(time.Second)
		d.Add(now, 0.1)
	}
	require.InDelta(t, 0.1, d.Fast(now), 0.01)
	require.InDelta(t, 0.1, d.Slow(now), 0.01)
	for range 60 {
		now = now.Add(time.Second)
		d.Add(now, 1)
	}
	require.InDelta(t, 0.9, d.Fast(now), 0.1)
	require.Less(t, d.Slow(now), 0.3)
}

func benchmarkView(endpoints, models int) View {
	v := View{}
	for i := range models {
		m := newModel(fleet.Model(fmt.Sprintf("m%03d", i)), 0.3*float64(i%7))
		v.Models = append(v.Models, m)
	}
	for i := range endpoints {
		a := v.Models[i%models].Model
		b := v.Models[(i*7+3)%models].Model
		c := v.Models[(i*13+5)%models].Model
		v.Endpoints = append(v.Endpoints, newEndpoint(i, i%3, a, b, c))
	}
	return v
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{60, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := benchmarkView(n, n*760/600)
			b.ReportAllocs()
			for b.Loop() {
				New().Plan(start, v)
			}
		})
	}
}

// Models are loaded only on endpoints of their own service, even if others have free
// memory, and get the configured minimum of copies where memory is free.
func TestServicesAndMinCopies(t *testing.T) {
	view := View{
		Endpoints: []EndpointView{
			{Endpoint: "m1", Service: "matcher", Memory: 10},
			{Endpoint: "m2", Service: "matcher", Memory: 10},
			{Endpoint: "b1", Service: "board", Memory: 100},
		},
		Models: []ModelView{
			{Model: "m", Service: "matcher", Bytes: 8, MinCopies: 2},
			{Model: "n", Service: "matcher", Bytes: 8, MinCopies: 1},
		},
	}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	for _, m := range New().Plan(now, view) {
		require.NotEqual(t, fleet.Endpoint("b1"), m.Endpoint)
	}
	view.Models = view.Models[:1]
	moves := New().Plan(now, view)
	require.Len(t, moves, 2)
	require.Equal(t, ReasonUnreachable, moves[0].Reason)
	require.Equal(t, ReasonCopies, moves[1].Reason)
	require.NotEqual(t, moves[0].Endpoint, moves[1].Endpoint)
}
