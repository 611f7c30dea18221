package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// drainExpiry is how long a copy gets no new requests after the placer's last drain request.
const drainExpiry = 5 * time.Second

// copyID identifies one copy of a model.
type copyID struct {
	endpoint fleet.Endpoint
	model    fleet.Model
}

// drainTracker records the copies that are drained before they are unloaded. It implements
// dispatch.Draining and placer.Drainer.
type drainTracker struct {
	clock     func() time.Time
	members   *members
	directory *directory.Directory
	pool      func() *dispatch.Pool

	mu        sync.Mutex
	requested map[copyID]time.Time // time of the last request by the placer of this instance
	draining  map[copyID]time.Time // time of the last request by any instance's placer
}

func newDrainTracker(clock func() time.Time, m *members, dir *directory.Directory, pool func() *dispatch.Pool) *drainTracker {
	return &drainTracker{
		clock: clock, members: m, directory: dir, pool: pool,
		requested: make(map[copyID]time.Time), draining: make(map[copyID]time.Time),
	}
}

// Draining implements dispatch.Draining.
func (d *drainTracker) Draining(e fleet.Endpoint, m fleet.Model) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.draining) == 0 {
		return false
	}
	at, ok := d.draining[copyID{e, m}]
	return ok && d.clock().Sub(at) < drainExpiry
}

// Drains implements entry.Draining.
func (d *drainTracker) Drains(m fleet.Model) []fleet.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []fleet.Endpoint
	for id, at := range d.draining {
		if id.model == m && d.clock().Sub(at) < drainExpiry {
			list = append(list, id.endpoint)
		}
	}
	slices.Sort(list)
	return list
}

// Drained implements placer.Drainer. The call itself starts or extends the drain; the copy
// is drained once the dispatcher of the endpoint reports it.
func (d *drainTracker) Drained(_ context.Context, e fleet.Endpoint, m fleet.Model) bool {
	now := d.clock()
	d.mu.Lock()
	d.requested[copyID{e, m}] = now
	d.draining[copyID{e, m}] = now
	d.mu.Unlock()
	entry, ok := d.directory.Get(e)
	return ok && slices.Contains(entry.Report.Drained, m)
}

// requests returns the drains that the placer of this instance requests, for the heartbeats
// to its peers.
func (d *drainTracker) requests(now time.Time) []*peerpb.Draining {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peerpb.Draining
	for id, at := range d.requested {
		if now.Sub(at) > drainExpiry {
			delete(d.requested, id)
			continue
		}
		list = append(list, &peerpb.Draining{Endpoint: string(id.endpoint), Model: string(id.model)})
	}
	return list
}

func (d *drainTracker) receive(now time.Time, list []*peerpb.Draining) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.draining {
		if now.Sub(at) > drainExpiry {
			delete(d.draining, id)
		}
	}
	for _, l := range list {
		d.draining[copyID{fleet.Endpoint(l.Endpoint), fleet.Model(l.Model)}] = now
	}
}

// drained returns the draining models of an endpoint dispatched here that have no requests
// in flight.
func (d *drainTracker) drained(e fleet.Endpoint) []fleet.Model {
	d.mu.Lock()
	var models []fleet.Model
	for id := range d.draining {
		if id.endpoint == e {
			models = append(models, id.model)
		}
	}
	d.mu.Unlock()
	var drained []fleet.Model
	for _, m := range models {
		if d.Draining(e, m) && !d.pool().Busy(e, m) {
			drained = append(drained, m)
		}
	}
	slices.Sort(drained)
	return drained
}
