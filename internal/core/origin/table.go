// Package origin records which version of an endpoint's software began a stream, so that any
// instance at which its caller takes it up can continue it at that version.
//
// Each instance records the streams whose first event it passes on. While a service has several
// versions it also names them to their keepers: the instances that rendezvous hashing over the
// stream's ID picks, the same at all instances with the same view of the fleet. The platform's store
// gets them too, since all instances may be lost at once, and so does a history of the versions.
package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// Retention is the longest time after its first event that a stream is taken up again.
	Retention = time.Minute
	// Keepers is how many instances are asked for the origin of a stream. It is named to those of
	// them, other than the instance itself, of whom one may be lost.
	Keepers = 3
	named   = Keepers - 1
	// maxStreams limits the streams that are remembered.
	maxStreams = 16_384
)

// Stream is a stream with the version that wrote its first event.
type Stream struct {
	Service catalog.Service
	// ID is that of the caller's request that got the first event.
	ID       string
	Software fleet.Software
}

type entry struct {
	stream Stream
	at     time.Time
	own    bool // this instance passed the first event on
	stored bool // the store has a record of it
}

// Table holds one instance's records of streams, and the versions that are listed. It is not safe for
// concurrent use.
type Table struct {
	streams map[string]entry
	order   []string // of the streams by their age, some of which may be gone
	// versions are those of the services' endpoints, with when one was last listed.
	versions map[catalog.Service]map[fleet.Software]time.Time
	unnamed  []Stream
	unstored []string // IDs of streams to record in the store
	// history is what the store has on record of the versions, historyRead when it was first read.
	// It is stale if the store may have lost a part since.
	history     map[catalog.Service]Serving
	historyRead time.Time
	stale       bool
	era         int64 // of the store when it was last read
	// outlived are the services that this instance was settled about when the store came back from an older
	// copy.
	outlived map[catalog.Service]bool
	losses   int // how often records of streams may have ended
	// listed are the versions that the record may lack, now or soon.
	listed listing
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		streams: make(map[string]entry), versions: make(map[catalog.Service]map[fleet.Software]time.Time),
		history: make(map[catalog.Service]Serving), listed: make(listing), outlived: make(map[catalog.Service]bool),
	}
}

// Listed records that an endpoint with a version of a service's software is listed. When the second
// version appears, the streams that began before it are to be named and stored too.
func (t *Table) Listed(now time.Time, service catalog.Service, software fleet.Software) {
	last, known := t.versions[service][software]
	t.remember(now, service, software)
	if !slices.Contains(t.history[service].Versions, software) || known && now.Sub(last) > relistGap {
		t.listed.add(service, software)
	}
}

func (t *Table) remember(now time.Time, service catalog.Service, software fleet.Software) {
	versions := t.versions[service]
	if versions == nil {
		versions = make(map[fleet.Software]time.Time)
		t.versions[service] = versions
	}
	_, known := versions[software]
	versions[software] = now
	if !known && len(versions) == 2 {
		t.announceOwn(service)
	}
}

// announceOwn has the streams of a service that began here named and stored.
func (t *Table) announceOwn(service catalog.Service) {
	for _, id := range t.order {
		if e, ok := t.streams[id]; ok && e.own && e.stream.Service == service {
			t.unnamed = append(t.unnamed, e.stream)
			if !e.stored {
				t.unstored = append(t.unstored, id)
			}
		}
	}
}

// Versions returns the versions of a service's endpoints that are listed or were within Retention,
// sorted. One of them began any stream that is still taken up.
func (t *Table) Versions(now time.Time, service catalog.Service) []fleet.Software {
	maps.DeleteFunc(t.versions[service], func(_ fleet.Software, at time.Time) bool { return now.Sub(at) > Retention })
	return slices.Sorted(maps.Keys(t.versions[service]))
}

// Began records that this instance is about to pass on the first event of a stream. It reports
// whether the store must have a record of it before. It need not if a single version is listed and on
// record.
func (t *Table) Began(now time.Time, s Stream) bool {
	t.keep(now, s, true)
	if !t.mixed(now, s.Service) {
		return false
	}
	if len(t.Versions(now, s.Service)) > 1 {
		t.unnamed = append(t.unnamed, s)
	}
	if t.streams[s.ID].stored {
		return false
	}
	t.unstored = append(t.unstored, s.ID)
	return true
}

// Keep records a stream that another instance has named.
func (t *Table) Keep(now time.Time, s Stream) { t.keep(now, s, false) }

func (t *Table) keep(now time.Time, s Stream, own bool) {
	if _, known := t.streams[s.ID]; !known {
		t.order = append(t.order, s.ID)
	}
	known := t.streams[s.ID]
	t.streams[s.ID] = entry{stream: s, at: now, own: own || known.own, stored: known.stored}
	for len(t.streams) > maxStreams {
		delete(t.streams, t.order[0])
		t.order = t.order[1:]
	}
}

// Find returns the version that began a stream.
func (t *Table) Find(now time.Time, service catalog.Service, id string) (fleet.Software, bool) {
	e, ok := t.streams[id]
	if !ok || e.stream.Service != service || now.Sub(e.at) > Retention {
		return "", false
	}
	return e.stream.Software, true
}

// HasUnnamed reports whether there are streams to name, TakeUnnamed returns them, once.
func (t *Table) HasUnnamed() bool { return len(t.unnamed) > 0 }

// TakeUnnamed returns the streams to name to their keepers.
func (t *Table) TakeUnnamed() []Stream {
	streams := t.unnamed
	t.unnamed = nil
	return streams
}

// KeepStored records a stream that the store has on record.
func (t *Table) KeepStored(now time.Time, s Stream) {
	t.keep(now, s, false)
	t.MarkStored(s.ID)
}

// HasUnstored reports whether there are streams to record in the store.
func (t *Table) HasUnstored() bool { return len(t.unstored) > 0 }

// TakeUnstored returns streams to record in the store, the newest first: their callers wait for it,
// while most of those that began before a second version was listed have ended.
func (t *Table) TakeUnstored(limit int) []Stream {
	var streams []Stream
	for len(streams) < limit && len(t.unstored) > 0 {
		last := len(t.unstored) - 1
		e, ok := t.streams[t.unstored[last]]
		t.unstored = t.unstored[:last]
		if ok && !e.stored && !slices.Contains(streams, e.stream) {
			streams = append(streams, e.stream)
		}
	}
	return streams
}

// ReturnUnstored takes back streams whose record could not be written.
func (t *Table) ReturnUnstored(streams []Stream) {
	for _, s := range slices.Backward(streams) {
		t.unstored = append(t.unstored, s.ID)
	}
}

// MarkStored records that the store has a record of a stream.
func (t *Table) MarkStored(id string) {
	if e, ok := t.streams[id]; ok {
		e.stored = true
		t.streams[id] = e
	}
}

// Losses returns how often records of streams may have ended before their time. A record that was
// written before a loss may be gone.
func (t *Table) Losses() int { return t.losses }

// Stored reports whether the store has a record of a stream.
func (t *Table) Stored(id string) bool { return t.streams[id].stored }

// Expire forgets streams that are no longer taken up.
func (t *Table) Expire(now time.Time) {
	t.order = slices.DeleteFunc(t.order, func(id string) bool {
		e, ok := t.streams[id]
		if ok && now.Sub(e.at) <= Retention {
			return false
		}
		delete(t.streams, id)
		return true
	})
	t.unstored = slices.DeleteFunc(t.unstored, func(id string) bool { _, ok := t.streams[id]; return !ok })
}

// KeepersOf returns the instances that are asked for the origin of a stream, the first ones by
// rendezvous hashing.
func KeepersOf(id string, instances []fleet.Instance) []fleet.Instance {
	type scored struct {
		instance fleet.Instance
		score    uint64
	}
	var best []scored
	for _, i := range instances {
		s := scored{i, xxhash.Sum64String(string(i) + "/" + id)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance, b.instance))
		})
		if at < Keepers {
			best = slices.Insert(best, at, s)
			best = best[:min(len(best), Keepers)]
		}
	}
	keepers := make([]fleet.Instance, 0, len(best))
	for _, s := range best {
		keepers = append(keepers, s.instance)
	}
	return keepers
}

// NamedTo returns the keepers to which an instance names a stream.
func NamedTo(id string, self fleet.Instance, instances []fleet.Instance) []fleet.Instance {
	keepers := slices.DeleteFunc(KeepersOf(id, instances), func(i fleet.Instance) bool { return i == self })
	return keepers[:min(len(keepers), named)]
}
