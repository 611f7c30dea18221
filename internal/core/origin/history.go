package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// firstEra is the latest era of a store that has never come back from an older copy.
	firstEra = 1
	// relistGap is the time without a listing after which a version that is listed again is also
	// written again: an instance that was cut off meanwhile may be about to remove it from the record.
	relistGap = 10 * time.Second
)

// Serving is the versions of a service's endpoints that the store has on record. The record outlives
// all instances.
type Serving struct {
	Service  catalog.Service
	Versions []fleet.Software
	// Revision is that of the record, 0 for none.
	Revision int64
	// Era is the store's era in which the versions are complete. The store may have come back since,
	// from a copy that lacks one.
	Era int64
}

// listing is versions of services that an endpoint was listed with.
type listing map[catalog.Service]map[fleet.Software]struct{}

func (l listing) add(s catalog.Service, v fleet.Software) {
	if l[s] == nil {
		l[s] = make(map[fleet.Software]struct{})
	}
	l[s][v] = struct{}{}
}

// ReadHistory records the versions that the store has on record in an era. The streams that they
// began may still be taken up, however long ago an endpoint was listed.
func (t *Table) ReadHistory(now time.Time, era int64, history []Serving) {
	if t.historyRead.IsZero() {
		t.historyRead = now
	}
	t.stale, t.era = false, era
	for _, s := range history {
		t.ReadServing(now, s)
	}
}

// ReadServing records the versions of one service that the store has on record. They are remembered
// for longer only if the record was written since it was last read.
func (t *Table) ReadServing(now time.Time, s Serving) {
	if s.Revision < t.history[s.Service].Revision {
		return // answers may overtake each other
	}
	written := s.Revision != t.history[s.Service].Revision
	t.history[s.Service] = s
	for _, v := range s.Versions {
		delete(t.listed[s.Service], v)
		if written {
			t.remember(now, s.Service, v)
		}
	}
}

// ForgetHistory has the versions on record read again, after the store has come back from an older
// copy, and the streams of this instance recorded again. The versions known here are kept.
func (t *Table) ForgetHistory(now time.Time) {
	for service := range t.versions {
		t.outlived[service] = t.Settled(now, service)
	}
	clear(t.history)
	for service, versions := range t.versions {
		for v := range versions {
			t.listed.add(service, v)
		}
	}
	t.stale = true
	t.ForgetStored()
}

// ForgetStored has the streams of this instance recorded again, after their records have ended.
func (t *Table) ForgetStored() {
	t.losses++
	for id, e := range t.streams {
		e.stored = false
		t.streams[id] = e
	}
	for service := range t.versions {
		if len(t.versions[service]) > 1 {
			t.announceOwn(service)
		}
	}
}

// HasHistory reports whether the versions on record were read.
func (t *Table) HasHistory() bool { return !t.historyRead.IsZero() }

// HistoryDue reports whether the versions on record are to be read.
func (t *Table) HistoryDue() bool { return !t.HasHistory() || t.stale }

// HistoryDiffers reports whether the versions on record, as they were last read, differ from those known
// here, as after another instance has written them.
func (t *Table) HistoryDiffers(now time.Time) bool {
	for service := range t.versions {
		if known := t.Versions(now, service); len(known) > 0 && !slices.Equal(known, t.history[service].Versions) {
			return true
		}
	}
	return false
}

// Observed reports whether this instance has observed the services for as long as streams are taken up.
func (t *Table) Observed(now time.Time) bool {
	return t.HasHistory() && now.Sub(t.historyRead) >= Retention
}

// Settled reports whether no version but those of Versions can have begun a stream that is still
// taken up: this instance has read a complete record of them and observed the service since.
func (t *Table) Settled(now time.Time, service catalog.Service) bool {
	if !t.HasHistory() {
		return false
	}
	recorded := t.history[service]
	return t.outlived[service] || t.Observed(now) || recorded.Revision != 0 && recorded.Era == t.era
}

// Unrecorded returns the services whose record of versions must be written, as it is to be. A version
// is added once an endpoint was listed with it, and removed when streams that it began are no longer
// taken up. Only an instance that has observed the service for that long removes one.
func (t *Table) Unrecorded(now time.Time) []Serving {
	if t.HistoryDue() {
		return nil
	}
	var changed []Serving
	for _, service := range slices.Sorted(maps.Keys(t.versions)) {
		if len(t.Versions(now, service)) == 0 {
			continue
		}
		recorded := t.history[service]
		next := t.nextServing(now, service)
		if len(t.listed[service]) > 0 || next.Era != recorded.Era || !slices.Equal(next.Versions, recorded.Versions) {
			changed = append(changed, next)
		}
	}
	return changed
}

func (t *Table) nextServing(now time.Time, service catalog.Service) Serving {
	recorded, known := t.history[service], t.Versions(now, service)
	next := Serving{Service: service, Revision: recorded.Revision, Era: recorded.Era}
	// Without a record this is the first start, unless the store has come back and lost it.
	if t.Settled(now, service) || recorded.Revision == 0 && t.era <= firstEra {
		next.Era = t.era
	}
	next.Versions = slices.DeleteFunc(slices.Clone(recorded.Versions), func(v fleet.Software) bool {
		return t.Observed(now) && !slices.Contains(known, v)
	})
	for v := range t.listed[service] {
		switch {
		case !slices.Contains(known, v):
			delete(t.listed[service], v)
		case !slices.Contains(next.Versions, v):
			next.Versions = append(next.Versions, v)
		}
	}
	slices.Sort(next.Versions)
	return next
}

// Recording reports whether the streams of any service that begin now are to be recorded in the store.
func (t *Table) Recording(now time.Time) bool {
	for service := range t.versions {
		if len(t.Versions(now, service)) > 0 && t.mixed(now, service) {
			return true
		}
	}
	return false
}

// Behind reports whether the only version of a service is missing from the record that this instance
// has read. Its streams are recorded one by one until it is on record.
func (t *Table) Behind(now time.Time) bool {
	for service := range t.versions {
		if known := t.Versions(now, service); len(known) == 1 && !slices.Contains(t.history[service].Versions, known[0]) {
			return true
		}
	}
	return false
}

// mixed reports whether streams of a service may have begun at several versions, by what this
// instance has observed or by the record, from which others start.
func (t *Table) mixed(now time.Time, service catalog.Service) bool {
	known := t.Versions(now, service)
	return len(known) != 1 || !slices.Equal(known, t.history[service].Versions)
}
