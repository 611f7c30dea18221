// Package suspect identifies poison requests, which crash the endpoints that run them.
//
// When an endpoint crashes, every request that ran on it becomes a suspect, identified
// by its fingerprint. A suspect is retried on an endpoint that runs no other suspect.
// If that endpoint crashes too, the request is a poison request and is refused; if it
// finishes, the suspicion is cleared. Harmless requests that ran beside it become
// suspects at most, and finish.
package suspect

import (
	"fmt"
	"slices"
	"time"
)

// Default limits of a Tracker.
const (
	// DefaultExpiry is how long a fingerprint is kept after its last crash.
	DefaultExpiry = 30 * time.Minute
	// DefaultLimit is the maximum number of fingerprints.
	DefaultLimit = 4096

	maxIncarnations = 8
)

// Fingerprint is the hash of a request.
type Fingerprint uint64

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Suspect is what instances report to each other about a fingerprint.
type Suspect struct {
	Fingerprint Fingerprint
	// Incarnations are those of the endpoints that crashed while they ran it.
	Incarnations []string
	// Poison: it was the only suspect on an endpoint that crashed.
	Poison bool
}

// Decision says whether a request can be sent to an endpoint now.
type Decision string

// The decisions.
const (
	// DecisionRun: send it.
	DecisionRun Decision = "run"
	// DecisionWait: another suspect, or the same request, runs on this endpoint.
	DecisionWait Decision = "wait"
	// DecisionRefuse: it is a poison request; refuse it with an error that names the reason.
	DecisionRefuse Decision = "refuse"
)

type entry struct {
	suspect   Suspect
	lastCrash time.Time
	// cleared: it has finished since the last crash.
	cleared bool
}

// Tracker records suspects. It is not safe for concurrent use.
type Tracker struct {
	entries map[Fingerprint]*entry
	expiry  time.Duration
	limit   int
	enabled bool
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithExpiry sets how long a fingerprint is kept after its last crash.
func WithExpiry(d time.Duration) Option {
	return func(t *Tracker) { t.expiry = d }
}

// WithLimit sets the maximum number of fingerprints.
func WithLimit(n int) Option {
	return func(t *Tracker) { t.limit = n }
}

// New returns an empty Tracker.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		entries: map[Fingerprint]*entry{},
		expiry:  DefaultExpiry,
		limit:   DefaultLimit,
		enabled: true,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Admit decides whether a request can be sent to an endpoint, given the requests running there.
func (t *Tracker) Admit(now time.Time, f Fingerprint, running []Fingerprint) Decision {
	e, ok := t.get(now, f)
	switch {
	case !t.enabled || !ok:
		return DecisionRun
	case e.suspect.Poison:
		return DecisionRefuse
	case e.cleared:
		return DecisionRun
	}
	for _, other := range running {
		if t.Suspected(now, other) {
			return DecisionWait
		}
	}
	return DecisionRun
}

// Suspected reports whether a fingerprint is a suspect and has not been cleared.
func (t *Tracker) Suspected(now time.Time, f Fingerprint) bool {
	e, ok := t.get(now, f)
	return ok && !e.cleared
}

// IsPoison reports whether a fingerprint is that of a poison request, which is refused.
func (t *Tracker) IsPoison(now time.Time, f Fingerprint) bool {
	e, ok := t.get(now, f)
	return ok && e.suspect.Poison
}

// Run is one request that was running on an endpoint when it crashed.
type Run struct {
	Fingerprint Fingerprint
	// Trial: it was already a suspect when it was sent there.
	Trial bool
}

// RecordCrashInferTrials is RecordCrash for a caller that did not record which requests
// were sent as suspects: those that are suspects now count as trials.
func (t *Tracker) RecordCrashInferTrials(now time.Time, incarnation string, running []Fingerprint) []Suspect {
	runs := make([]Run, 0, len(running))
	for _, f := range running {
		runs = append(runs, Run{Fingerprint: f, Trial: t.Suspected(now, f)})
	}
	return t.RecordCrash(now, incarnation, runs)
}

// RecordCrash records the crash of an endpoint's incarnation and the requests that ran
// on it, which may contain duplicates. It returns the updates for the other instances.
// A request is marked as poison if it was the only trial.
func (t *Tracker) RecordCrash(now time.Time, incarnation string, runs []Run) []Suspect {
	var trials, all []Fingerprint
	for _, r := range runs {
		all = append(all, r.Fingerprint)
		if r.Trial {
			trials = append(trials, r.Fingerprint)
		}
	}
	trials, all = distinct(trials), distinct(all)
	updates := make([]Suspect, 0, len(all))
	for _, f := range all {
		onlyTrial := len(trials) == 1 && trials[0] == f
		updates = append(updates, t.recordCrash(now, incarnation, f, onlyTrial))
	}
	return updates
}

func distinct(list []Fingerprint) []Fingerprint {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// recordCrash adds a crash to a fingerprint, and marks it as poison if it was the only trial.
func (t *Tracker) recordCrash(now time.Time, incarnation string, f Fingerprint, onlyTrial bool) Suspect {
	e := t.ensure(now, f)
	if slices.Contains(e.suspect.Incarnations, incarnation) {
		return e.clone()
	}
	e.suspect.Incarnations = appendBounded(e.suspect.Incarnations, incarnation)
	e.suspect.Poison = e.suspect.Poison || onlyTrial
	e.cleared, e.lastCrash = false, now
	return e.clone()
}

// Finished clears a suspect that finished without a crash, until the next crash.
func (t *Tracker) Finished(now time.Time, f Fingerprint) {
	if e, ok := t.get(now, f); ok && !e.suspect.Poison {
		e.cleared = true
	}
}

// Merge applies updates from another instance. It reports whether any of them was new.
func (t *Tracker) Merge(now time.Time, received []Suspect) bool {
	changed := false
	for _, s := range received {
		changed = t.merge(now, s) || changed
	}
	return changed
}

func (t *Tracker) merge(now time.Time, s Suspect) bool {
	if len(s.Incarnations) == 0 && !s.Poison {
		return false
	}
	e := t.ensure(now, s.Fingerprint)
	changed := s.Poison && !e.suspect.Poison
	for _, incarnation := range s.Incarnations {
		if slices.Contains(e.suspect.Incarnations, incarnation) {
			continue
		}
		e.suspect.Incarnations = appendBounded(e.suspect.Incarnations, incarnation)
		e.cleared, changed = false, true
	}
	e.suspect.Poison = e.suspect.Poison || s.Poison
	if changed {
		e.lastCrash = now
	}
	return changed
}

// Updates returns up to n suspects whose last crash is after a time, the newest first,
// to be sent to other instances.
func (t *Tracker) Updates(now, since time.Time, n int) []Suspect {
	var recent []*entry
	for f := range t.entries {
		if e, ok := t.get(now, f); ok && e.lastCrash.After(since) {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, newestFirst)
	list := make([]Suspect, 0, min(n, len(recent)))
	for _, e := range recent[:min(n, len(recent))] {
		list = append(list, e.clone())
	}
	return list
}

// Len returns the number of fingerprints.
func (t *Tracker) Len() int {
	return len(t.entries)
}
