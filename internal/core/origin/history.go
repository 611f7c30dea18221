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

// listing is versions of services that an endpoint was listed with.
type listing map[catalog.Service]map[fleet.Software]struct{}

func (l listing) add(s catalog.Service, v fleet.Software) {
	if l[s] == nil {
		l[s] = make(map[fleet.Software]struct{})
	}
	l[s][v] = struct{}{}
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
		delete(t.listed[s.Service], v)
		t.remember(now, s.Service, v)
	}
}

// HasHistory reports whether the versions on record were read.
func (t *Table) HasHistory() bool { return !t.historyRead.IsZero() }

// ForgetHistory has the versions on record read again, after the store has come back from an older
// copy, and all streams of this instance recorded again. What is known here stays known.
func (t *Table) ForgetHistory() {
	clear(t.history)
	for service, versions := range t.versions {
		for v := range versions {
			t.listed.add(service, v)
		}
	}
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
// is added once an endpoint was listed with it, and removed when streams that it began are no longer
// taken up; so instances that have started at different times agree.
func (t *Table) Unrecorded(now time.Time) []Serving {
	if t.HistoryDue() {
		return nil
	}
	var changed []Serving
	for _, service := range slices.Sorted(maps.Keys(t.versions)) {
		recorded, known := t.history[service], t.Versions(now, service)
		if len(known) == 0 {
			continue
		}
		versions := slices.DeleteFunc(slices.Clone(recorded.Versions), func(v fleet.Software) bool {
			return t.Settled(now) && !slices.Contains(known, v)
		})
		for v := range t.listed[service] {
			if slices.Contains(known, v) && !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		slices.Sort(versions)
		if !slices.Equal(versions, recorded.Versions) {
			changed = append(changed, Serving{Service: service, Versions: versions, Revision: recorded.Revision})
		}
	}
	return changed
}
