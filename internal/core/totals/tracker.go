package totals

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

const (
	// forwardTimeout is how long the totals of a data centre may go without being forwarded
	// before any instance that received them forwards them.
	forwardTimeout = 2 * member.DefaultExchangeInterval
	// maxForwardAge is how long after its receipt a message may be forwarded. An older one
	// would make a data centre look live that has been lost in the meantime.
	maxForwardAge = member.DefaultExchangeInterval
	// snapshotRetention is how long a snapshot is kept after its last delta.
	snapshotRetention = 2 * maxSnapshotInterval
)

// Result is the outcome of receiving a message.
type Result string

// The results of receiving a message.
const (
	// Applied: the message is now the recorded state.
	Applied Result = "taken"
	// Stale: a message of the same source that is as new or newer was received before.
	Stale Result = "stale"
	// Unknown: the delta refers to an unknown snapshot, which has to be requested.
	Unknown Result = "unknown"
)

// sourceState is the latest snapshot of a source with the latest delta on it.
type sourceState struct {
	snapshot Message
	delta    Message
	lastUsed time.Time
}

// dataCentre is the recorded state of one data centre.
type dataCentre struct {
	sources      map[Source]*sourceState
	latestSource Source // that sent the latest applied delta
	lastReceived time.Time
	// forwardSource is the source whose messages this instance forwards.
	forwardSource Source
	unforwarded   map[Source]time.Time // receipt times of deltas since the last forwarding
	// lastForwarded is when any instance last forwarded the totals, lastForwardedBase the
	// snapshot that it sent or referred to.
	lastForwarded     time.Time
	lastForwardedBase ID
}

// Tracker records the totals of other data centres. It is not safe for concurrent use.
type Tracker struct {
	dataCentres map[fleet.DataCentre]*dataCentre
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{dataCentres: map[fleet.DataCentre]*dataCentre{}}
}

// Receive applies a message that came directly from the data centre that it describes.
func (t *Tracker) Receive(now time.Time, m Message) Result {
	result, dc := t.apply(now, m)
	if result == Applied && !m.IsSnapshot() {
		dc.unforwarded[m.Base.Source] = now
	}
	return result
}

// ReceiveForwarded applies a message that another instance of the local data centre
// forwarded.
func (t *Tracker) ReceiveForwarded(now time.Time, m Message) Result {
	result, dc := t.apply(now, m)
	if result == Applied && !m.IsSnapshot() {
		dc.lastForwarded, dc.lastForwardedBase = now, m.Base
	}
	return result
}

func (t *Tracker) apply(now time.Time, m Message) (Result, *dataCentre) {
	dc, ok := t.dataCentres[m.Place.DataCentre]
	if !ok {
		dc = &dataCentre{sources: map[Source]*sourceState{}, unforwarded: map[Source]time.Time{}}
		t.dataCentres[m.Place.DataCentre] = dc
	}
	source, known := dc.sources[m.Base.Source]
	if known && m.Base.Serial < source.snapshot.Base.Serial {
		return Stale, dc
	}
	if m.IsSnapshot() {
		return dc.applySnapshot(now, m), dc
	}
	if !known || m.Base != source.snapshot.Base {
		return Unknown, dc
	}
	if m.Number <= source.delta.Number {
		return Stale, dc
	}
	source.delta, source.lastUsed = m, now
	dc.latestSource, dc.lastReceived = m.Base.Source, now
	dc.dropUnused(now)
	return Applied, dc
}

func (dc *dataCentre) applySnapshot(now time.Time, m Message) Result {
	if source, ok := dc.sources[m.Base.Source]; ok && source.snapshot.Base == m.Base {
		return Stale
	}
	dc.sources[m.Base.Source] = &sourceState{snapshot: m, lastUsed: now}
	delete(dc.unforwarded, m.Base.Source) // until the first delta on this snapshot
	return Applied
}

// dropUnused drops snapshots that have had no delta for snapshotRetention.
func (dc *dataCentre) dropUnused(now time.Time) {
	for id, source := range dc.sources {
		if now.Sub(source.lastUsed) > snapshotRetention {
			delete(dc.sources, id)
			delete(dc.unforwarded, id)
		}
	}
}

// KnownSnapshot returns the ID of the stored snapshot of a source, zero if there is none.
func (t *Tracker) KnownSnapshot(dc fleet.DataCentre, source Source) ID {
	if c, ok := t.dataCentres[dc]; ok && c.sources[source] != nil {
		return c.sources[source].snapshot.Base
	}
	return ID{}
}

// SnapshotAndDelta returns the stored snapshot of a source and the latest delta on it, to
// be sent to an instance that lacks the snapshot.
func (t *Tracker) SnapshotAndDelta(dc fleet.DataCentre, source Source) []Message {
	c, ok := t.dataCentres[dc]
	if !ok || c.sources[source] == nil {
		return nil
	}
	state := c.sources[source]
	if state.delta.IsSnapshot() {
		return []Message{state.snapshot}
	}
	return []Message{state.snapshot, state.delta}
}

// Forward returns the messages to forward inside the local data centre: the totals of each
// data centre for which this instance is the first speaker, and those of others only if no
// instance has forwarded them for forwardTimeout. A snapshot is forwarded once.
func (t *Tracker) Forward(now time.Time, isFirstSpeaker func(fleet.DataCentre) bool) []Message {
	var list []Message
	for _, dc := range slices.Sorted(maps.Keys(t.dataCentres)) {
		c := t.dataCentres[dc]
		if isFirstSpeaker(dc) || now.Sub(c.lastForwarded) >= forwardTimeout {
			list = append(list, c.forward(now)...)
		}
	}
	return list
}

func (dc *dataCentre) forward(now time.Time) []Message {
	maps.DeleteFunc(dc.unforwarded, func(_ Source, at time.Time) bool { return now.Sub(at) > maxForwardAge })
	if len(dc.unforwarded) == 0 {
		return nil
	}
	if _, ok := dc.unforwarded[dc.forwardSource]; !ok {
		if source, ok := dc.sources[dc.forwardSource]; ok && now.Sub(source.lastUsed) < forwardTimeout {
			return nil
		}
		dc.forwardSource = slices.Sorted(maps.Keys(dc.unforwarded))[0]
	}
	clear(dc.unforwarded)
	source := dc.sources[dc.forwardSource]
	list := []Message{source.delta}
	if source.snapshot.Base != dc.lastForwardedBase {
		list = []Message{source.snapshot, source.delta}
	}
	dc.lastForwarded, dc.lastForwardedBase = now, source.snapshot.Base
	return list
}

// Instances returns the instances of a data centre that accept new work, as last reported.
func (t *Tracker) Instances(dc fleet.DataCentre) []member.Peer {
	c, ok := t.dataCentres[dc]
	if !ok || c.sources[c.latestSource] == nil {
		return nil
	}
	source := c.sources[c.latestSource]
	rows := make(map[uint32]member.Peer, len(source.snapshot.Rows))
	for _, r := range slices.Concat(source.snapshot.Rows, source.delta.Rows) {
		r.Peer.Revision = source.delta.Revision
		rows[r.Number] = r.Peer
	}
	for _, number := range source.delta.Removed {
		delete(rows, number)
	}
	for _, behind := range source.delta.Behind {
		p := rows[behind.Number]
		p.Revision = behind.Revision
		rows[behind.Number] = p
	}
	list := slices.Collect(maps.Values(rows))
	slices.SortFunc(list, func(a, b member.Peer) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Location is a data centre that has copies of a model.
type Location struct {
	Place fleet.Place
	Sum   Sum
}

// Locations returns the data centres with copies of a model, sorted by name. Data centres
// whose last message is older than the expiry are omitted.
func (t *Tracker) Locations(now time.Time, model string, expiry time.Duration) []Location {
	var list []Location
	for _, dc := range slices.Sorted(maps.Keys(t.dataCentres)) {
		c := t.dataCentres[dc]
		source := c.sources[c.latestSource]
		if source == nil || now.Sub(c.lastReceived) > expiry {
			continue
		}
		sum, changed := findSum(source.delta.Models, model)
		if !changed {
			sum, _ = findSum(source.snapshot.Models, model)
		}
		if sum.Copies > 0 {
			list = append(list, Location{Place: source.snapshot.Place, Sum: sum})
		}
	}
	return list
}

func byModel(a, b Sum) int { return cmp.Compare(a.Model, b.Model) }
