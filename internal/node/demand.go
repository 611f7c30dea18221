package node

import (
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// demandExpiry is how long the demand reported by another instance is counted.
	demandExpiry = 30 * time.Second
	// refusedRequestWork is the assumed work of a request that was refused for lack of capacity.
	refusedRequestWork = time.Second
	// demandUnit is one accelerator in the unit of demand reports (thousandths).
	demandUnit = 1000
)

// receivedDemand is the latest demand report of another instance.
type receivedDemand struct {
	demand     []*peerpb.Demand
	receivedAt time.Time
}

// rates is a model's demand in accelerators, as a fast and a slow moving average.
type rates struct {
	fast float64
	slow float64
}

// demand tracks the work for each model, measured at this instance and reported by the
// others of its data centre. It implements dispatch.Meter.
type demand struct {
	clock func() time.Time
	slots int // concurrent requests that fully use one accelerator

	mu     sync.Mutex
	models map[fleet.Model]*place.Demand
	remote map[fleet.Instance]receivedDemand
}

func newDemand(clock func() time.Time, slots int) *demand {
	return &demand{
		clock: clock, slots: slots,
		models: make(map[fleet.Model]*place.Demand), remote: make(map[fleet.Instance]receivedDemand),
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
func (d *demand) Refused(model fleet.Model) { d.Worked(model, refusedRequestWork) }

// local returns the demand measured at this instance. Models without demand are left out.
func (d *demand) local(now time.Time) []*peerpb.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peerpb.Demand
	for model, m := range d.models {
		row := &peerpb.Demand{
			Model: string(model),
			Fast:  uint32(m.Fast(now) * demandUnit),
			Slow:  uint32(m.Slow(now) * demandUnit),
		}
		if row.Fast > 0 || row.Slow > 0 {
			list = append(list, row)
		}
	}
	return list
}

func (d *demand) receive(now time.Time, from fleet.Instance, list []*peerpb.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remote[from] = receivedDemand{demand: list, receivedAt: now}
}

// sums adds up the demand of the data centre for each model. It drops expired reports.
func (d *demand) sums(now time.Time) map[fleet.Model]rates {
	sums := make(map[fleet.Model]rates)
	for _, row := range d.local(now) {
		sums[fleet.Model(row.Model)] = addDemand(sums[fleet.Model(row.Model)], row)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for from, t := range d.remote {
		if now.Sub(t.receivedAt) > demandExpiry {
			delete(d.remote, from)
			continue
		}
		for _, row := range t.demand {
			sums[fleet.Model(row.Model)] = addDemand(sums[fleet.Model(row.Model)], row)
		}
	}
	return sums
}

func addDemand(r rates, row *peerpb.Demand) rates {
	r.fast += float64(row.Fast) / demandUnit
	r.slow += float64(row.Slow) / demandUnit
	return r
}
