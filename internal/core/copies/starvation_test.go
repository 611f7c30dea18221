package copies_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// The load of a day on which callers ask for more models than the endpoints that are left can
// hold, each every few seconds: all but 1 + 10 in 100 of the models get a copy at some time.
func TestNoModelStarvesWhilePlacesAreShort(t *testing.T) {
	const (
		models, endpoints, places = 42, 11, 3
		step, day                 = 200 * time.Millisecond, 34 * time.Second
		loadTime, unloadTime      = 4 * time.Second, 500 * time.Millisecond
		serveTime                 = 10 * time.Second // for which a copy counts as recently loaded
		maxStarved                = 1 + models/10
	)
	e := &catalog.Engine{MemoryMB: 220, AdapterSlots: 5}
	demand := copies.Demand{Recent: make(map[fleet.Model]float64), InUse: make(map[fleet.Model]bool)}
	for i := range models {
		name := fleet.Model(fmt.Sprintf("m%02d", i))
		e.Models = append(e.Models, catalog.Model{Name: name, MemoryMB: 72})
		demand.Recent[name], demand.InUse[name] = float64(20+i), true
	}
	demand.LongTerm = demand.Recent
	fleetState := make([]copies.Endpoint, endpoints)
	ends := make([]time.Duration, endpoints) // when the move in progress is over
	loadedAt := make(map[fleet.Model]time.Duration)
	served := make(map[fleet.Model]bool)
	var shortage copies.Shortage
	for i := range fleetState {
		fleetState[i].ID = fleet.Endpoint(fmt.Sprintf("e%02d", i))
		for j := range places {
			fleetState[i].Loaded = append(fleetState[i].Loaded, e.Models[i*places+j].Name)
		}
	}
	for now := time.Duration(0); now < day; now += step {
		for i := range fleetState {
			p := &fleetState[i]
			if p.Busy && now >= ends[i] {
				p.Loaded = slices.DeleteFunc(p.Loaded, func(m fleet.Model) bool { return slices.Contains(p.Unloading, m) })
				if p.Loading != "" {
					p.Loaded, p.ReservedFor, loadedAt[p.Loading] = append(p.Loaded, p.Loading), "", now
				}
				p.Busy, p.Moving, p.Unloading, p.Loading = false, false, nil, ""
			}
			p.RecentlyLoaded = nil
			for _, m := range p.Loaded {
				served[m] = true
				if at, ok := loadedAt[m]; ok && now-at < serveTime {
					p.RecentlyLoaded = append(p.RecentlyLoaded, m)
				}
			}
		}
		demand.Starved = shortage.Observe(time.Unix(1_000_000, 0).Add(now), e, fleetState, demand.InUse)
		for _, m := range copies.Plan(e, fleetState, demand, limits) {
			i := slices.IndexFunc(fleetState, func(p copies.Endpoint) bool { return p.ID == m.Endpoint })
			p := &fleetState[i]
			p.Busy, p.Moving, ends[i] = true, true, now+loadTime
			if m.Unload {
				p.Unloading, p.ReservedFor, ends[i] = []fleet.Model{m.Model}, m.MakesRoomFor, now+unloadTime
			} else {
				p.Loading = m.Model
			}
		}
	}
	assert.LessOrEqual(t, models-len(served), maxStarved, "models that never had a copy")
}

// A model that callers ask for is starved once it has had no copy for long, and not any more as
// soon as it has one.
func TestShortage(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var shortage copies.Shortage
	without, with := []copies.Endpoint{withLoaded("p", "b")}, []copies.Endpoint{withLoaded("p", "a", "b")}
	unloading := []copies.Endpoint{{ID: "p", Loaded: []fleet.Model{"a"}, Unloading: []fleet.Model{"a"}}}
	inUse := map[fleet.Model]bool{"a": true, "b": true, "c": false}
	steps := []struct {
		at        time.Duration
		endpoints []copies.Endpoint
		starved   bool
	}{
		{0, without, false},
		{9 * time.Second, without, false},
		{10 * time.Second, without, true},
		{11 * time.Second, with, false},
		{12 * time.Second, unloading, false},
		{21 * time.Second, unloading, false},
		{22 * time.Second, unloading, true},
	}
	for _, c := range steps {
		starved := shortage.Observe(start.Add(c.at), engine("a", "b", "c"), c.endpoints, inUse)
		assert.Equal(t, c.starved, starved["a"], "at %s", c.at)
		assert.False(t, starved["c"], "nobody asks for it")
	}
}
