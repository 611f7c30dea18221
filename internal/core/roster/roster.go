package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Record is a change of the list of endpoints.
type Record struct {
	ID fleet.Endpoint
	// Entry is valid unless the endpoint was removed or Forged is set.
	Entry    Entry
	Revision int64
	Removed  bool
	// Invalid is set where the entry names no endpoint to use.
	Invalid bool
}

// Endpoint is what is known of an endpoint. It belongs to the Roster.
type Endpoint struct {
	Entry
	// Report is the newest one; its zero value before the first.
	Report Report
	// Lost is set once the endpoint has gone or its entry was not back in time.
	Lost bool
	// suspectUntil bounds a suspicion by failed sends.
	suspectUntil time.Time
	failures     int
	// missingSince is when its entry was removed while the store was not to be trusted.
	missingSince time.Time
	observations map[Adapter]observation
}

const (
	// registrationWindow is how long the platform gives endpoints to register again
	// after the store was away, with room for the way.
	registrationWindow = 2200 * time.Millisecond
	// initialBackoff is the first wait before a failed endpoint is tried again; it
	// doubles with each further failure up to longestSuspicion.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// failureWindow is how long after a failed call the store's removals are doubted.
	failureWindow = time.Second
)

// Roster is the list of endpoints. It is not safe for concurrent use.
type Roster struct {
	endpoints map[fleet.Endpoint]*Endpoint
	// departed remembers incarnations that left, so that late news can't bring them back.
	departed       map[fleet.Endpoint]int64
	revision       int64
	storeFailed    time.Time // of the store's last failed call
	storeRecovered time.Time // of the first good call after it
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{endpoints: make(map[fleet.Endpoint]*Endpoint), departed: make(map[fleet.Endpoint]int64)}
}

// Revision is the store's revision up to which changes are known.
func (r *Roster) Revision() int64 { return r.revision }

// RecordStoreFailure notes a failed call to the store.
func (r *Roster) RecordStoreFailure(now time.Time) {
	r.storeFailed, r.storeRecovered = now, time.Time{}
}

// RecordStoreSuccess notes a good call to the store.
func (r *Roster) RecordStoreSuccess(now time.Time) {
	if r.storeRecovered.IsZero() {
		r.storeRecovered = now
	}
}

// storeUntrusted reports whether the store may miss entries of endpoints that live.
func (r *Roster) storeUntrusted(now time.Time) bool {
	if r.storeFailed.IsZero() {
		return false
	}
	return r.storeRecovered.IsZero() || now.Sub(r.storeRecovered) < registrationWindow && now.Sub(r.storeFailed) < registrationWindow+failureWindow
}

// Apply takes changes, in the store's order, up to a revision.
func (r *Roster) Apply(now time.Time, records []Record, revision int64) {
	for i := range records {
		r.apply(now, &records[i])
	}
	r.revision = max(r.revision, revision)
}

// Replace takes the whole list as of a revision. Endpoints that are not in it
// have gone, or their entries lapsed while the store was away.
func (r *Roster) Replace(now time.Time, records []Record, revision int64) {
	if revision < r.revision {
		return
	}
	listed := make(map[fleet.Endpoint]bool, len(records))
	for i := range records {
		listed[records[i].ID] = true
		r.apply(now, &records[i])
	}
	for id, e := range r.endpoints {
		if !listed[id] && e.Revision <= revision {
			r.remove(now, e)
		}
	}
	r.revision = revision
}

func (r *Roster) apply(now time.Time, c *Record) {
	known := r.endpoints[c.ID]
	if c.Removed {
		if known != nil && known.Revision <= c.Revision {
			r.remove(now, known)
		}
		return
	}
	if c.Invalid {
		return
	}
	if born, ok := r.departed[c.ID]; ok && c.Entry.Born <= born {
		return
	}
	switch {
	case known == nil || c.Entry.Born > known.Born:
		r.endpoints[c.ID] = &Endpoint{Entry: c.Entry}
	case c.Entry.Born < known.Born || c.Revision < known.Revision:
		return
	default:
		leaving := known.Leaving
		known.Entry = c.Entry
		known.Leaving = known.Leaving || leaving
		known.missingSince = time.Time{}
	}
}

func (r *Roster) remove(now time.Time, e *Endpoint) {
	if r.storeUntrusted(now) && !e.Leaving {
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		return
	}
	r.markLost(e)
}

func (r *Roster) markLost(e *Endpoint) {
	e.Lost = true
	r.departed[e.ID] = e.Born
	delete(r.endpoints, e.ID)
}

// RemoveMissing gives up endpoints whose entries did not come back in time, and returns them.
func (r *Roster) RemoveMissing(now time.Time) []*Endpoint {
	var lost []*Endpoint
	for _, e := range r.endpoints {
		if !e.missingSince.IsZero() && !r.storeUntrusted(now) {
			r.markLost(e)
			lost = append(lost, e)
		}
	}
	return lost
}

// MarkLeaving notes that an incarnation of an endpoint leaves, whoever said so.
func (r *Roster) MarkLeaving(id fleet.Endpoint, born int64) {
	if e := r.endpoints[id]; e != nil && e.Born == born {
		e.Leaving = true
	}
}

// RecordReport takes an endpoint's report. An older one than known changes nothing.
func (r *Roster) RecordReport(id fleet.Endpoint, report Report) {
	e := r.endpoints[id]
	if e == nil || report.Born != e.Born || !report.Taken.After(e.Report.Taken) {
		return
	}
	e.Leaving = e.Leaving || report.Leaving
	e.Report = report
}

// RecordFailure notes a send that got no answer: the endpoint is avoided for a while.
func (r *Roster) RecordFailure(now time.Time, id fleet.Endpoint, born int64) {
	e := r.endpoints[id]
	if e == nil || e.Born != born {
		return
	}
	backoff := min(initialBackoff<<min(e.failures, 4), maxBackoff)
	e.failures++
	if until := now.Add(backoff); until.After(e.suspectUntil) {
		e.suspectUntil = until
	}
}

// RecordSuccess notes an answer, which ends a suspicion.
func (r *Roster) RecordSuccess(id fleet.Endpoint) {
	if e := r.endpoints[id]; e != nil {
		e.failures, e.suspectUntil = 0, time.Time{}
	}
}

// Get returns an endpoint, nil if it is not known.
func (r *Roster) Get(id fleet.Endpoint) *Endpoint { return r.endpoints[id] }

// All returns the endpoints in the order of their IDs.
func (r *Roster) All() []*Endpoint {
	ids := slices.Sorted(maps.Keys(r.endpoints))
	all := make([]*Endpoint, 0, len(ids))
	for _, id := range ids {
		all = append(all, r.endpoints[id])
	}
	return all
}

// Suspect reports whether the endpoint is avoided for its failures.
func (e *Endpoint) Suspect(now time.Time) bool { return now.Before(e.suspectUntil) }

// Holdings returns what the endpoint holds, by its newest word.
func (e *Endpoint) Holdings() []Holding {
	if e.Report.Taken.IsZero() {
		return e.Models
	}
	return e.Report.Models
}
