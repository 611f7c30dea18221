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
	served := make(map[fleet.Model]bool)
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
					p.Loaded, p.ReservedFor = append(p.Loaded, p.Loading), ""
				}
				p.Busy, p.Moving, p.Unloading, p.Loading = false, false, nil, ""
			}
			for _, m := range p.Loaded {
				served[m] = true
			}
		}
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
