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

// drainExpiry is how long a model gets nothing new after the placer last asked for that.
const drainExpiry = 5 * time.Second

// copyID names one copy of a model.
type copyID struct {
	endpoint fleet.Endpoint
	model    fleet.Model
}

// drains keeps which copies are about to be unloaded. It implements
// dispatch.Draining and placer.Drainer.
type drains struct {
	clock     func() time.Time
	members   *members
	directory *directory.Directory
	pool      func() *dispatch.Pool

	mu    sync.Mutex
	wants map[copyID]time.Time // asked for by the own placer
	heard map[copyID]time.Time // asked for by any
}

func newDrains(clock func() time.Time, m *members, dir *directory.Directory, pool func() *dispatch.Pool) *drains {
	return &drains{
		clock: clock, members: m, directory: dir, pool: pool,
		wants: make(map[copyID]time.Time), heard: make(map[copyID]time.Time),
	}
}

// Draining implements dispatch.Draining.
func (d *drains) Draining(e fleet.Endpoint, m fleet.Model) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.heard) == 0 {
		return false
	}
	at, ok := d.heard[copyID{e, m}]
	return ok && d.clock().Sub(at) < drainExpiry
}

// Drains implements entry.Draining.
func (d *drains) Drains(m fleet.Model) []fleet.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []fleet.Endpoint
	for id, at := range d.heard {
		if id.model == m && d.clock().Sub(at) < drainExpiry {
			list = append(list, id.endpoint)
		}
	}
	slices.Sort(list)
	return list
}

// Drained implements placer.Drainer. Asking makes the copy drain; it is drained
// once the dispatcher of the endpoint has said so.
func (d *drains) Drained(_ context.Context, e fleet.Endpoint, m fleet.Model) bool {
	now := d.clock()
	d.mu.Lock()
	d.wants[copyID{e, m}] = now
	d.heard[copyID{e, m}] = now
	d.mu.Unlock()
	entry, ok := d.directory.Get(e)
	return ok && slices.Contains(entry.Report.Drained, m)
}

// asked returns what the own placer wants drained, to be told to the others.
func (d *drains) asked(now time.Time) []*peerpb.Draining {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*peerpb.Draining
	for id, at := range d.wants {
		if now.Sub(at) > drainExpiry {
			delete(d.wants, id)
			continue
		}
		list = append(list, &peerpb.Draining{Endpoint: string(id.endpoint), Model: string(id.model)})
	}
	return list
}

func (d *drains) hear(now time.Time, list []*peerpb.Draining) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range d.heard {
		if now.Sub(at) > drainExpiry {
			delete(d.heard, id)
		}
	}
	for _, l := range list {
		d.heard[copyID{fleet.Endpoint(l.Endpoint), fleet.Model(l.Model)}] = now
	}
}

// drained returns the models that get nothing new on an endpoint dispatched
// here and have nothing in flight.
func (d *drains) drained(e fleet.Endpoint) []fleet.Model {
	d.mu.Lock()
	var asked []fleet.Model
	for id := range d.heard {
		if id.endpoint == e {
			asked = append(asked, id.model)
		}
	}
	d.mu.Unlock()
	var done []fleet.Model
	for _, m := range asked {
		if d.Draining(e, m) && !d.pool().Busy(e, m) {
			done = append(done, m)
		}
	}
	slices.Sort(done)
	return done
}
