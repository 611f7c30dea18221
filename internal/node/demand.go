package node

import (
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// demandExpiry is how long another instance's demand counts.
	demandExpiry = 30 * time.Second
	// refusedWork is taken as the work of a request that found no place.
	refusedWork = time.Second
	// perAccelerator is the unit in which demand is told.
	perAccelerator = 1000
)

// told is the demand that another instance told.
type told struct {
	demand []*peerpb.Demand
	heard  time.Time
}

// rates is a model's demand in accelerators, by a fast and a slow average.
type rates struct {
	fast float64
	slow float64
}

// demand keeps the work for each model, of this instance and of the others of
// its data centre. It implements dispatch.Meter.
type demand struct {
	clock func() time.Time
	slots int // requests that keep one accelerator busy

	mu     sync.Mutex
	models map[fleet.Model]*place.Demand
	others map[fleet.Instance]told
}

func newDemand(clock func() time.Time, slots int) *demand {
	return &demand{
		clock: clock, slots: slots,
		models: make(map[fleet.Model]*place.Demand), others: make(map[fleet.Instance]told),
	}
}

// Worked implements dispatch.Meter.
func (d *demand) Worked(model fleet.Model, busy time.Duration) {
	if model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.models[model]
	if !ok {
		m = place.NewDemand(place.DefaultFastTimeConstant, place.DefaultSlowTimeConstant)
		d.models[model] = m
	}
	m.Add(d.clock(), busy.Seconds()/float64(d.slots))
}

// Refused implements dispatch.Meter.
func (d *demand) Refused(model fleet.Model) { d.Worked(model, refusedWork) }

// own returns the demand of this instance, models without any left out.
func (d *demand) own(now time.Time) []*peerpb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peerpb.Demand
	for model, m := range d.models {
		row := &peerpb.Demand{
			Model: string(model),
			Fast:  uint32(m.Fast(now) * perAccelerator),
			Slow:  uint32(m.Slow(now) * perAccelerator),
		}
		if row.Fast > 0 || row.Slow > 0 {
			list = append(list, row)
		}
	}
	return list
}

func (d *demand) hear(now time.Time, from fleet.Instance, list []*peerpb.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others[from] = told{demand: list, heard: now}
}

// sums adds up the demand of the data centre.
func (d *demand) sums(now time.Time) map[fleet.Model]rates {
	sums := make(map[fleet.Model]rates)
	for _, row := range d.own(now) {
		sums[fleet.Model(row.Model)] = plus(sums[fleet.Model(row.Model)], row)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for from, t := range d.others {
		if now.Sub(t.heard) > demandExpiry {
			delete(d.others, from)
			continue
		}
		for _, row := range t.demand {
			sums[fleet.Model(row.Model)] = plus(sums[fleet.Model(row.Model)], row)
		}
	}
	return sums
}

func plus(r rates, row *peerpb.Demand) rates {
	r.fast += float64(row.Fast) / perAccelerator
	r.slow += float64(row.Slow) / perAccelerator
	return r
}
