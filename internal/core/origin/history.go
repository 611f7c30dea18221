package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Serving is the versions of a service's endpoints that the store has on record, and the revision of
// that record, 0 for none. The record outlives all instances.
type Serving struct {
	Service  catalog.Service
	Versions []fleet.Software
	Revision int64
}

// ReadHistory records the versions that the store has on record. The streams that they began may
// still be taken up, however long ago an endpoint was listed.
func (t *Table) ReadHistory(now time.Time, history []Serving) {
	if t.historyRead.IsZero() {
		t.historyRead = now
	}
	t.stale = false
	for _, s := range history {
		t.ReadServing(now, s)
	}
}

// ReadServing records the versions of one service that the store has on record.
func (t *Table) ReadServing(now time.Time, s Serving) {
	t.history[s.Service] = s
	for _, v := range s.Versions {
		t.remember(now, s.Service, v)
	}
}

// HasHistory reports whether the versions on record were read.
func (t *Table) HasHistory() bool { return !t.historyRead.IsZero() }

// OnRecord reports whether the store has the versions of a service on record.
func (t *Table) OnRecord(service catalog.Service) bool { return len(t.history[service].Versions) > 0 }

func (t *Table) onRecord(service catalog.Service, software fleet.Software) bool {
	return slices.Contains(t.history[service].Versions, software)
}

// Behind reports whether a version that is alone is not on record, as far as this instance has read
// it: its streams are recorded one by one until it is.
func (t *Table) Behind(now time.Time) bool {
	for service := range t.listed {
		versions := t.Versions(now, service)
		if len(versions) == 1 && !t.onRecord(service, versions[0]) {
			return true
		}
	}
	return false
}

// ForgetHistory has the versions on record read again, after the store has come back from an older
// copy, and all streams of this instance recorded again. What is known here stays known.
func (t *Table) ForgetHistory() {
	clear(t.history)
	t.stale = true
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

// HistoryDue reports whether the versions on record are to be read.
func (t *Table) HistoryDue() bool { return !t.HasHistory() || t.stale }

// Settled reports whether no version but those of Versions can have begun a stream that is still
// taken up: this instance has observed the services for Retention beside what is on record.
func (t *Table) Settled(now time.Time) bool {
	return t.HasHistory() && now.Sub(t.historyRead) >= Retention
}

// Unrecorded returns the services whose record of versions must be written, as it is to be. A version
// is added once an endpoint is listed with it, and removed when streams that it began are no longer
// taken up; so instances that have started at different times agree.
func (t *Table) Unrecorded(now time.Time, listed map[catalog.Service][]fleet.Software) []Serving {
	if t.HistoryDue() {
		return nil
	}
	var changed []Serving
	for _, service := range slices.Sorted(maps.Keys(listed)) {
		recorded := t.history[service]
		known := t.Versions(now, service)
		versions := slices.DeleteFunc(slices.Clone(recorded.Versions), func(v fleet.Software) bool {
			return t.Settled(now) && !slices.Contains(known, v)
		})
		versions = append(versions, listed[service]...)
		maps.DeleteFunc(t.listed[service], func(_ fleet.Software, at time.Time) bool { return now.Sub(at) > Retention })
		versions = slices.AppendSeq(versions, maps.Keys(t.listed[service])) // the store may have lost those that have left
		slices.Sort(versions)
		versions = slices.Compact(versions)
		if !slices.Equal(versions, recorded.Versions) {
			changed = append(changed, Serving{Service: service, Versions: versions, Revision: recorded.Revision})
		}
	}
	return changed
}
