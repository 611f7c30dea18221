package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/contact"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Record is a change to the list of endpoints.
type Record struct {
	ID fleet.Endpoint
	// Entry is set unless Removed or Invalid is.
	Entry    Entry
	Revision int64
	Removed  bool
	// InForce is set if a peer has the removal in force.
	InForce bool
	// Invalid is set if the entry could not be decoded to a usable endpoint.
	Invalid bool
}

// Endpoint is the recorded state of an endpoint. It is owned by the Roster.
type Endpoint struct {
	Entry
	// Report is the newest report, the zero value before the first.
	Report Report
	// Lost is set once the endpoint is removed, or its entry did not reappear in time.
	Lost bool
	// listedAt is when the incarnation was first listed here.
	listedAt time.Time
	// suspectUntil is when a suspicion due to failed sends ends.
	suspectUntil time.Time
	failures     int
	// deferredUntil is when the endpoint's limit leaves room for a request of this instance,
	// sparedUntil when a time ends for which it has asked this instance to send nothing.
	deferredUntil, sparedUntil time.Time
	// missingSince is when its entry disappeared while the store could not be trusted.
	missingSince time.Time
	// missingRevision is the store's revision of that removal, removedAt of the one in force.
	missingRevision, removedAt int64
	observations               map[Adapter]observation
	// changedAt is the store's revision of the last change that affects where requests go.
	changedAt int64
	// listedLeaving is set if its entry says that it leaves; Leaving may be known sooner.
	listedLeaving bool
	// reportedAt is when peers first reported that it leaves, while only they have; disproved is
	// set once the store has shown that they are wrong.
	reportedAt time.Time
	disproved  bool
	// returned is set if the same start has registered again after it was removed.
	returned bool
}

// departure is an incarnation that was removed from the list.
type departure struct {
	born     int64
	revision int64 // the store's revision of the removal
	final    bool  // the endpoint itself had shown that it leaves
}

// removal is an endpoint that was removed from the list, at a revision of the store.
type removal struct {
	id       fleet.Endpoint
	revision int64
}

const (
	// registrationWindow is how long the platform gives endpoints to register again
	// after a store outage, with a margin for the transfer.
	registrationWindow = 2200 * time.Millisecond
	// initialBackoff is how long an endpoint is avoided after its first failure; it
	// doubles with each further failure up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxRemovals is the number of removals kept for ChangesSince.
	maxRemovals = 256
	// lapseDelay is a time after the beginning of an outage of the store in which no entry lapses.
	lapseDelay = 2 * time.Second
	// confirmationWindow is how long the store may take to confirm a peer's report that an endpoint
	// leaves.
	confirmationWindow = 5 * time.Second
)

// Roster is the list of endpoints. It is not safe for concurrent use.
type Roster struct {
	endpoints map[fleet.Endpoint]*Endpoint
	sorted    []*Endpoint // by ID; nil after an endpoint was added or removed
	// departed are the incarnations that were removed, so that late updates can't add them again.
	departed       map[fleet.Endpoint]departure
	revision       int64
	changedAt      int64     // revision of the last change that affects where requests go
	removals       []removal // most recent ones, in the order in which they took effect here
	removalsFrom   int64     // revision from which on removals is complete
	storeFailed    time.Time // time of the last failed call to the store, or of the last answer before a silence
	storeRecovered time.Time // time of the first successful call after it
	// doubtedFrom is the time of the last answer before the store failed.
	doubtedFrom time.Time
	contacts    contact.Log
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{endpoints: make(map[fleet.Endpoint]*Endpoint), departed: make(map[fleet.Endpoint]departure)}
}

// Revision is the store's revision up to which changes have been applied.
func (r *Roster) Revision() int64 { return r.revision }

// InForceTo is the store's revision up to which all changes are in force here: up to the first removal
// that is held back.
func (r *Roster) InForceTo() int64 {
	complete := r.revision
	for _, e := range r.endpoints {
		if !e.missingSince.IsZero() {
			complete = min(complete, e.missingRevision-1)
		}
	}
	return complete
}

// HoldsRemovals reports whether a removal is held back.
func (r *Roster) HoldsRemovals() bool { return r.InForceTo() < r.revision }

// ChangedAt is the store's revision of the last change that affects where requests go:
// endpoints rewrite their entries every second or so, mostly with the same contents.
func (r *Roster) ChangedAt() int64 { return r.changedAt }

// CompleteTo is the store's revision up to which an instance that applies ChangesSince has all
// changes: not beyond what this list is complete to, nor beyond a removal that is held back
// here, since others may trust it.
func (r *Roster) CompleteTo() int64 {
	return min(r.changedAt, r.InForceTo())
}

// ChangesSince returns the endpoints that changed after a revision, and the IDs and
// revisions of those removed. ok is false if removals that old are no longer recorded.
func (r *Roster) ChangesSince(revision int64) (changed []*Endpoint, removed map[fleet.Endpoint]int64, ok bool) {
	if revision < r.removalsFrom {
		return nil, nil, false
	}
	for _, e := range r.All() {
		if e.changedAt > revision {
			changed = append(changed, e)
		}
	}
	removed = make(map[fleet.Endpoint]int64)
	for _, m := range r.removals {
		if m.revision > revision && r.endpoints[m.id] == nil {
			removed[m.id] = m.revision
		}
	}
	return changed, removed, true
}

// RecordStoreFailure records a failed call to the store.
func (r *Roster) RecordStoreFailure(now time.Time) {
	lastAnswer := now
	if own, ok := r.contacts.Own(); ok {
		lastAnswer = own.Until
	}
	r.doubtSince(now, lastAnswer)
	r.storeFailed, r.storeRecovered = now, time.Time{}
	r.contacts.Failed()
}

// RecordStoreSuccess records a successful call to the store.
func (r *Roster) RecordStoreSuccess(now time.Time) { r.RecordStoreAnswer(now, now, 0) }

// RecordStoreAnswer records an answered call to the store that was to take as long as wait. If none was
// made for long, the store may have been away without a failed one.
func (r *Roster) RecordStoreAnswer(sent, now time.Time, wait time.Duration) {
	previous, _ := r.contacts.Own()
	silence := r.contacts.Answered(sent, now, wait)
	switch {
	case r.storeRecovered.IsZero():
		r.storeRecovered = now
	case silence > lapseDelay:
		r.doubtSince(now, previous.Until)
		r.storeFailed, r.storeRecovered = previous.Until, now
	}
}

// doubtSince begins a doubt whether the store was away since its last answer, unless an earlier one lasts.
func (r *Roster) doubtSince(now, lastAnswer time.Time) {
	if !r.mayLackEntries(now) {
		r.doubtedFrom = lastAnswer
	}
}

// Contact returns the span over which the store has answered each call of this instance. ok is false
// if there is none.
func (r *Roster) Contact() (s contact.Span, ok bool) { return r.contacts.Own() }

// RecordContact records a span over which the store answered a peer.
func (r *Roster) RecordContact(s contact.Span) { r.contacts.Observe(s) }

// RecordRestore records that the store came back from an older copy, first seen by a list or changes
// up to a revision. Entries that the copy has don't show that their endpoints are alive.
func (r *Roster) RecordRestore(revision int64) {
	r.contacts.Clear()
	for id, d := range r.departed {
		d.revision = max(d.revision, revision)
		r.departed[id] = d
	}
}

// storeUntrusted reports whether the store may lack entries of live endpoints: this instance may have
// missed an outage, and nobody was answered all the while.
func (r *Roster) storeUntrusted(now time.Time) bool {
	if !r.mayLackEntries(now) {
		return false
	}
	until := r.storeRecovered
	if until.IsZero() {
		until = now.Add(-lapseDelay)
	}
	if until.Before(r.doubtedFrom) {
		until = r.doubtedFrom
	}
	return !r.contacts.Covers(contact.Span{Since: r.doubtedFrom, Until: until})
}

// mayLackEntries reports the same by what this instance knows from its own calls. When the store came
// back is only known to be before the first successful one.
func (r *Roster) mayLackEntries(now time.Time) bool {
	if r.storeFailed.IsZero() {
		return false
	}
	return r.storeRecovered.IsZero() || now.Sub(r.storeRecovered) < registrationWindow
}

// Apply applies changes, in the store's order, up to a revision.
func (r *Roster) Apply(now time.Time, records []Record, revision int64) {
	for i := range records {
		r.apply(now, &records[i], records[i].Revision)
	}
	r.revision = max(r.revision, revision)
}

// Replace applies the complete list as of a revision. Endpoints that are not in it
// have been removed, or their entries expired during a store outage.
func (r *Roster) Replace(now time.Time, records []Record, revision int64) {
	if revision < r.revision {
		return
	}
	if r.revision == 0 {
		r.removalsFrom = revision // the list doesn't show what was removed before
	}
	listed := make(map[fleet.Endpoint]bool, len(records))
	for i := range records {
		listed[records[i].ID] = true
		r.apply(now, &records[i], revision)
	}
	for id, e := range r.endpoints {
		if !listed[id] && e.Revision <= revision {
			r.remove(now, e, revision)
		}
	}
	r.revision = revision
}

// apply applies a change. The store had it as of a revision.
func (r *Roster) apply(now time.Time, c *Record, asOf int64) {
	known := r.endpoints[c.ID]
	if c.Removed {
		switch {
		case known == nil || known.Revision > c.Revision:
		case c.InForce:
			r.markLost(known, c.Revision)
		default:
			r.remove(now, known, c.Revision)
		}
		return
	}
	if c.Invalid {
		return
	}
	d, departed := r.departed[c.ID]
	if departed && !d.precedes(c) {
		return
	}
	switch {
	case known == nil || c.Entry.Born > known.Born:
		r.endpoints[c.ID] = &Endpoint{
			Entry: c.Entry, changedAt: c.Revision, listedLeaving: c.Entry.Leaving, listedAt: now,
			disproved: departed && c.Entry.Born == d.born, returned: departed && c.Entry.Born == d.born,
		}
		r.sorted, r.changedAt = nil, max(r.changedAt, c.Revision)
		delete(r.departed, c.ID)
	case c.Entry.Born < known.Born || c.Revision < known.Revision:
		return
	default:
		if known.update(c, asOf) {
			r.changedAt = max(r.changedAt, c.Revision)
		}
	}
}

// update applies a newer entry and reports whether it affects where requests go, here or at a peer that
// trusted a removal. An entry from before a removal that is held back is no sign that the endpoint is back.
func (e *Endpoint) update(c *Record, asOf int64) bool {
	returned := !e.missingSince.IsZero() && c.Revision > e.missingRevision
	if returned {
		e.Leaving = e.Leaving && e.reportedAt.IsZero()
		e.reportedAt, e.disproved = time.Time{}, true
	}
	changed := returned || c.Entry.Leaving != e.listedLeaving || c.Entry.routesDifferently(&e.Entry)
	if changed {
		e.changedAt = c.Revision
	}
	leaving := e.Leaving || c.Entry.Leaving
	e.Entry, e.listedLeaving = c.Entry, c.Entry.Leaving
	e.Leaving = leaving
	if asOf > e.missingRevision {
		e.missingSince = time.Time{}
	}
	if c.Entry.Leaving {
		e.reportedAt = time.Time{}
	}
	return changed
}

// precedes reports whether an entry shows that its endpoint runs after the departure: another start, or
// the same one that has registered again.
func (d departure) precedes(c *Record) bool {
	return c.Entry.Born > d.born || c.Entry.Born == d.born && !d.final && c.Revision > d.revision
}

func (r *Roster) remove(now time.Time, e *Endpoint, revision int64) {
	if r.storeUntrusted(now) && !e.Leaving {
		if e.missingSince.IsZero() {
			e.missingSince, e.missingRevision = now, revision
		}
		return
	}
	r.markLost(e, revision)
}

func (r *Roster) markLost(e *Endpoint, revision int64) {
	e.Lost, e.removedAt = true, revision
	r.departed[e.ID] = departure{born: e.Born, revision: revision, final: e.Leaving && e.reportedAt.IsZero()}
	delete(r.endpoints, e.ID)
	r.sorted, r.changedAt = nil, max(r.changedAt, revision)
	r.removals = append(r.removals, removal{id: e.ID, revision: revision})
	if n := len(r.removals) - maxRemovals; n > 0 {
		for _, m := range r.removals[:n] {
			r.removalsFrom = max(r.removalsFrom, m.revision)
		}
		r.removals = slices.Delete(r.removals, 0, n)
	}
}

// RemoveMissing removes endpoints whose entries did not reappear in time, and returns them.
func (r *Roster) RemoveMissing(now time.Time) []*Endpoint {
	var lost []*Endpoint
	for _, e := range r.endpoints {
		if !e.missingSince.IsZero() && !r.storeUntrusted(now) {
			r.markLost(e, e.missingRevision)
			lost = append(lost, e)
		}
	}
	return lost
}

// MarkLeaving records that an incarnation of an endpoint has shown that it leaves.
func (r *Roster) MarkLeaving(id fleet.Endpoint, born int64) {
	if e := r.endpoints[id]; e != nil && e.Born == born {
		e.Leaving, e.reportedAt = true, time.Time{}
	}
}

// ReportLeaving records that a peer has reported that an incarnation of an endpoint leaves.
func (r *Roster) ReportLeaving(now time.Time, id fleet.Endpoint, born int64) {
	if e := r.endpoints[id]; e != nil && e.Born == born && !e.Leaving && !e.disproved {
		e.Leaving, e.reportedAt = true, now
	}
}

// Disprove ends reports of peers that the store has not confirmed, and returns their endpoints.
func (r *Roster) Disprove(now time.Time) []*Endpoint {
	if r.storeUntrusted(now) {
		return nil
	}
	var wrong []*Endpoint
	for _, e := range r.endpoints {
		if !e.reportedAt.IsZero() && e.missingSince.IsZero() && now.Sub(e.reportedAt) >= confirmationWindow {
			e.Leaving, e.reportedAt, e.disproved = false, time.Time{}, true
			wrong = append(wrong, e)
		}
	}
	return wrong
}

// RecordReport stores an endpoint's report. It ignores one of another incarnation, and one
// that is no newer than the stored one.
func (r *Roster) RecordReport(id fleet.Endpoint, report Report) {
	e := r.endpoints[id]
	if e == nil || report.Born != e.Born || !report.Taken.After(e.Report.Taken) {
		return
	}
	if report.Leaving {
		e.Leaving, e.reportedAt = true, time.Time{}
	}
	e.Report = report
}

// RecordFailure records a send without an answer: the endpoint is avoided for a backoff time.
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

// RecordSuccess records an answer, which ends a suspicion.
func (r *Roster) RecordSuccess(id fleet.Endpoint) {
	if e := r.endpoints[id]; e != nil {
		e.failures, e.suspectUntil = 0, time.Time{}
	}
}

// Defer records that an endpoint's limit leaves no room for a request of this instance before a
// time.
func (r *Roster) Defer(id fleet.Endpoint, born int64, until time.Time) {
	if e := r.endpoints[id]; e != nil && e.Born == born {
		e.deferredUntil = until
	}
}

// Spare records that an endpoint wants nothing from this instance before a time.
func (r *Roster) Spare(id fleet.Endpoint, born int64, until time.Time) {
	if e := r.endpoints[id]; e != nil && e.Born == born && until.After(e.sparedUntil) {
		e.sparedUntil = until
	}
}

// Get returns an endpoint, nil if it is not in the list.
func (r *Roster) Get(id fleet.Endpoint) *Endpoint { return r.endpoints[id] }

// All returns the endpoints in the order of their IDs. The slice must not be changed.
func (r *Roster) All() []*Endpoint {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.endpoints), func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r.sorted
}

// Age returns how long ago the incarnation was first listed here.
func (e *Endpoint) Age(now time.Time) time.Duration { return now.Sub(e.listedAt) }

// ListedLeaving reports whether the endpoint's entry says that it leaves.
func (e *Endpoint) ListedLeaving() bool { return e.listedLeaving }

// HeldSince returns since when a removal of the endpoint is held back. ok is false if none is, or was
// before it took effect.
func (e *Endpoint) HeldSince() (since time.Time, ok bool) {
	return e.missingSince, !e.missingSince.IsZero()
}

// RemovedAt returns the store's revision of the removal that is in force or held back, 0 if there is none.
func (e *Endpoint) RemovedAt() int64 { return cmp.Or(e.removedAt, e.missingRevision) }

// Returned reports whether the same start of the endpoint has registered again after it was removed.
func (e *Endpoint) Returned() bool { return e.returned }

// Suspect reports whether the endpoint is avoided because of failed sends.
func (e *Endpoint) Suspect(now time.Time) bool { return now.Before(e.suspectUntil) }

// DeferredFor returns for how long the endpoint takes no request from this instance.
func (e *Endpoint) DeferredFor(now time.Time) time.Duration {
	return max(0, e.deferredUntil.Sub(now), e.sparedUntil.Sub(now))
}

// Spared reports whether the endpoint wants nothing from this instance for now, not even polls
// and orders.
func (e *Endpoint) Spared(now time.Time) bool { return now.Before(e.sparedUntil) }

// Holdings returns the models loaded on the endpoint, from its report or its entry, whichever
// shows more orders.
func (e *Endpoint) Holdings() []Holding {
	if e.Report.Taken.IsZero() || e.Seq > e.Report.Seq {
		return e.Models
	}
	return e.Report.Models
}

// reportValidity is how long a report's load counts. In a fleet of hundreds of instances a
// report may be seconds old when the next one arrives.
const reportValidity = 2 * time.Second

// Occupied reports whether a prompt exceeds the KV cache that was free when the endpoint
// last reported.
func (e *Endpoint) Occupied(now time.Time, promptTokens int) bool {
	return e.reportValid(now) && e.Report.Total > 0 && e.Report.Used+promptTokens > e.Report.Total
}

// Busy reports whether the endpoint last reported that it carries out an order for a model.
func (e *Endpoint) Busy(now time.Time) bool { return e.reportValid(now) && e.Report.Busy }

func (e *Endpoint) reportValid(now time.Time) bool {
	return e.Report.Taken.IsZero() || now.Sub(e.Report.Taken) < reportValidity
}
