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
	// Forged is set where the entry names no endpoint to use.
	Forged bool
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
	// doubtSince is when its entry was removed while the store was not to be trusted.
	doubtSince time.Time
	beliefs    map[Adapter]belief
}

const (
	// back is how long the platform gives endpoints to register again
	// after the store was away, with room for the way.
	back = 2200 * time.Millisecond
	// suspicion is the first wait before a failed endpoint is tried again; it
	// doubles with each further failure up to longestSuspicion.
	suspicion        = 300 * time.Millisecond
	longestSuspicion = 2 * time.Second
	// shaky is how long after a failed call the store's removals are doubted.
	shaky = time.Second
)

// Roster is the list of endpoints. It is not safe for concurrent use.
type Roster struct {
	endpoints map[fleet.Endpoint]*Endpoint
	// gone remembers incarnations that left, so that late news can't bring them back.
	gone     map[fleet.Endpoint]int64
	revision int64
	trouble  time.Time // of the store's last failed call
	returned time.Time // of the first good call after it
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{endpoints: make(map[fleet.Endpoint]*Endpoint), gone: make(map[fleet.Endpoint]int64)}
}

// Revision is the store's revision up to which changes are known.
func (r *Roster) Revision() int64 { return r.revision }

// Troubled notes a failed call to the store.
func (r *Roster) Troubled(now time.Time) { r.trouble, r.returned = now, time.Time{} }

// Answered notes a good call to the store.
func (r *Roster) Answered(now time.Time) {
	if r.returned.IsZero() {
		r.returned = now
	}
}

// doubted reports whether the store may miss entries of endpoints that live.
func (r *Roster) doubted(now time.Time) bool {
	if r.trouble.IsZero() {
		return false
	}
	return r.returned.IsZero() || now.Sub(r.returned) < back && now.Sub(r.trouble) < back+shaky
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
	if c.Forged {
		return
	}
	if born, ok := r.gone[c.ID]; ok && c.Entry.Born <= born {
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
		known.doubtSince = time.Time{}
	}
}

func (r *Roster) remove(now time.Time, e *Endpoint) {
	if r.doubted(now) && !e.Leaving {
		if e.doubtSince.IsZero() {
			e.doubtSince = now
		}
		return
	}
	r.lose(e)
}

func (r *Roster) lose(e *Endpoint) {
	e.Lost = true
	r.gone[e.ID] = e.Born
	delete(r.endpoints, e.ID)
}

// Settle gives up endpoints whose entries did not come back in time, and returns them.
func (r *Roster) Settle(now time.Time) []*Endpoint {
	var lost []*Endpoint
	for _, e := range r.endpoints {
		if !e.doubtSince.IsZero() && !r.doubted(now) {
			r.lose(e)
			lost = append(lost, e)
		}
	}
	return lost
}

// Left notes that an incarnation of an endpoint leaves, whoever said so.
func (r *Roster) Left(id fleet.Endpoint, born int64) {
	if e := r.endpoints[id]; e != nil && e.Born == born {
		e.Leaving = true
	}
}

// Reported takes an endpoint's report. An older one than known changes nothing.
func (r *Roster) Reported(id fleet.Endpoint, report Report) {
	e := r.endpoints[id]
	if e == nil || report.Born != e.Born || !report.Taken.After(e.Report.Taken) {
		return
	}
	e.Leaving = e.Leaving || report.Leaving
	e.Report = report
}

// Failed notes a send that got no answer: the endpoint is avoided for a while.
func (r *Roster) Failed(now time.Time, id fleet.Endpoint, born int64) {
	e := r.endpoints[id]
	if e == nil || e.Born != born {
		return
	}
	wait := min(suspicion<<min(e.failures, 4), longestSuspicion)
	e.failures++
	if until := now.Add(wait); until.After(e.suspectUntil) {
		e.suspectUntil = until
	}
}

// Served notes an answer, which ends a suspicion.
func (r *Roster) Served(id fleet.Endpoint) {
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
