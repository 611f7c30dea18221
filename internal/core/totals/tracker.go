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
	// forwardTimeout is how long nobody may pass on the totals of a data centre before any
	// instance that heard them does.
	forwardTimeout = 2 * member.DefaultExchangeInterval
	// maxForwardAge is how long after it was heard a message may be passed on. Later it would
	// make a data centre look alive that has been lost meanwhile.
	maxForwardAge = member.DefaultExchangeInterval
	// snapshotRetention is how long a full is kept that nothing rests on any more.
	snapshotRetention = 2 * maxSnapshotInterval
)

// Result says what became of a message.
type Result string

// The verdicts.
const (
	// Applied: the state is now that of the message.
	Applied Result = "taken"
	// Stale: newer news of the same source is known.
	Stale Result = "stale"
	// Unknown: the message rests on a full that is not known, and has to be asked for.
	Unknown Result = "unknown"
)

// sourceState is one full with the latest difference on it.
type sourceState struct {
	snapshot Message
	delta    Message
	lastUsed time.Time // when last used
}

// dataCentre is what is known of one data centre.
type dataCentre struct {
	sources      map[Source]*sourceState
	latestSource Source // of whom the latest message came
	lastReceived time.Time
	// forwardSource is the source whose messages this instance passes on.
	forwardSource Source
	unforwarded   map[Source]time.Time // when heard from there, since last passed on
	// lastForwarded is when the totals were last passed on by anybody, toldBase on which full.
	lastForwarded     time.Time
	lastForwardedBase ID
}

// Tracker keeps the totals of other data centres. It is not safe for concurrent use.
type Tracker struct {
	dataCentres map[fleet.DataCentre]*dataCentre
}

// NewTracker returns an empty book.
func NewTracker() *Tracker {
	return &Tracker{dataCentres: map[fleet.DataCentre]*dataCentre{}}
}

// Receive takes a message from the data centre that it tells of.
func (t *Tracker) Receive(now time.Time, m Message) Result {
	result, dc := t.apply(now, m)
	if result == Applied && !m.IsSnapshot() {
		dc.unforwarded[m.Base.Source] = now
	}
	return result
}

// ReceiveForwarded takes a message that another instance of the own data centre passed on.
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
	delete(dc.unforwarded, m.Base.Source) // until a difference comes
	return Applied
}

// dropUnused drops fulls that nothing rests on any more.
func (dc *dataCentre) dropUnused(now time.Time) {
	for id, source := range dc.sources {
		if now.Sub(source.lastUsed) > snapshotRetention {
			delete(dc.sources, id)
			delete(dc.unforwarded, id)
		}
	}
}

// KnownSnapshot returns the full of a source that is held.
func (t *Tracker) KnownSnapshot(dc fleet.DataCentre, source Source) ID {
	if c, ok := t.dataCentres[dc]; ok && c.sources[source] != nil {
		return c.sources[source].snapshot.Base
	}
	return ID{}
}

// SnapshotAndDelta returns the full of a source with the latest difference on it, to be given to
// an instance that lacks it.
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

// Forward returns what to pass on inside the own data centre: of each data centre that
// this instance is the first to speak to, all that it heard, and of others only what
// nobody has passed on for long. A full is passed on once.
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

// Instances returns the instances of a data centre that take new work, as last told.
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

// Locations returns the data centres with copies of a model, by name. What was heard
// longer ago than the expiry is left out.
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
