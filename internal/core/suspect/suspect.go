// Package suspect finds the request that kills endpoints.
//
// When an endpoint dies, every request that ran on it becomes a suspect, known by
// its fingerprint. A suspect runs again alone among suspects. If the endpoint dies
// once more while it does, it is convicted and refused; if it ends, it is cleared.
// Innocent requests beside it are suspects at most, and end.
package suspect

import (
	"slices"
	"time"
)

// Limits of a book.
const (
	// DefaultExpiry is how long a fingerprint is remembered after its last death.
	DefaultExpiry = 30 * time.Minute
	// DefaultLimit is how many fingerprints are remembered.
	DefaultLimit = 4096

	maxIncarnations = 8
)

// Fingerprint is the hash of a request.
type Fingerprint uint64

// Suspect is what instances tell each other of a fingerprint.
type Suspect struct {
	Fingerprint Fingerprint
	// Incarnations are the incarnations that died with it.
	Incarnations []string
	// Poison: it was alone among suspects when an endpoint died.
	Poison bool
}

// Decision says whether a request may be sent to an endpoint now.
type Decision string

// The decisions.
const (
	// DecisionRun: send it.
	DecisionRun Decision = "run"
	// DecisionWait: another suspect, or the same request, runs on this endpoint.
	DecisionWait Decision = "wait"
	// DecisionRefuse: it kills endpoints; refuse with a clear error.
	DecisionRefuse Decision = "refuse"
)

type entry struct {
	suspect   Suspect
	lastCrash time.Time
	// cleared: it ended since the last death.
	cleared bool
}

// Tracker remembers suspects. It is not safe for concurrent use.
type Tracker struct {
	entries map[Fingerprint]*entry
	expiry  time.Duration
	limit   int
	enabled bool
}

// Option changes a book at construction.
type Option func(*Tracker)

// WithExpiry sets how long a fingerprint is remembered after its last death.
func WithExpiry(d time.Duration) Option {
	return func(b *Tracker) { b.expiry = d }
}

// WithLimit sets how many fingerprints are remembered.
func WithLimit(n int) Option {
	return func(b *Tracker) { b.limit = n }
}

// New returns an empty book.
func New(opts ...Option) *Tracker {
	b := &Tracker{
		entries: map[Fingerprint]*entry{},
		expiry:  DefaultExpiry,
		limit:   DefaultLimit,
		enabled: true,
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Admit decides whether a request may go to an endpoint beside those that run there.
func (b *Tracker) Admit(now time.Time, f Fingerprint, running []Fingerprint) Decision {
	e, ok := b.get(now, f)
	switch {
	case !b.enabled || !ok:
		return DecisionRun
	case e.suspect.Poison:
		return DecisionRefuse
	case e.cleared:
		return DecisionRun
	}
	for _, other := range running {
		if b.Suspected(now, other) {
			return DecisionWait
		}
	}
	return DecisionRun
}

// Suspected says whether a fingerprint is a suspect that was not cleared since.
func (b *Tracker) Suspected(now time.Time, f Fingerprint) bool {
	e, ok := b.get(now, f)
	return ok && !e.cleared
}

// IsPoison says whether a fingerprint is refused.
func (b *Tracker) IsPoison(now time.Time, f Fingerprint) bool {
	e, ok := b.get(now, f)
	return ok && e.suspect.Poison
}

// Run is one request that ran on an endpoint when it died.
type Run struct {
	Fingerprint Fingerprint
	// Trial: it was a suspect already when it was sent there.
	Trial bool
}

// RecordCrashInferTrials is Blame for a caller that doesn't know which requests were sent as suspects:
// those that are suspects now count as such.
func (b *Tracker) RecordCrashInferTrials(now time.Time, incarnation string, running []Fingerprint) []Suspect {
	runs := make([]Run, 0, len(running))
	for _, f := range running {
		runs = append(runs, Run{Fingerprint: f, Trial: b.Suspected(now, f)})
	}
	return b.RecordCrash(now, incarnation, runs)
}

// RecordCrash takes the death of an endpoint's incarnation with what ran on it, repeats
// left in, and returns what to tell the other instances. A trial is convicted if it
// was the only one.
func (b *Tracker) RecordCrash(now time.Time, incarnation string, runs []Run) []Suspect {
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
		updates = append(updates, b.recordCrash(now, incarnation, f, onlyTrial))
	}
	return updates
}

func distinct(list []Fingerprint) []Fingerprint {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// recordCrash adds a death to a fingerprint, and convicts it when it was the one suspect.
func (b *Tracker) recordCrash(now time.Time, incarnation string, f Fingerprint, onlyTrial bool) Suspect {
	e := b.ensure(now, f)
	if slices.Contains(e.suspect.Incarnations, incarnation) {
		return e.clone()
	}
	e.suspect.Incarnations = appendBounded(e.suspect.Incarnations, incarnation)
	e.suspect.Poison = e.suspect.Poison || onlyTrial
	e.cleared, e.lastCrash = false, now
	return e.clone()
}

// Finished clears a suspect that ended without a death, until the next one.
func (b *Tracker) Finished(now time.Time, f Fingerprint) {
	if e, ok := b.get(now, f); ok && !e.suspect.Poison {
		e.cleared = true
	}
}

// Merge takes what another instance told. It returns true when anything was new.
func (b *Tracker) Merge(now time.Time, received []Suspect) bool {
	changed := false
	for _, s := range received {
		changed = b.merge(now, s) || changed
	}
	return changed
}

func (b *Tracker) merge(now time.Time, s Suspect) bool {
	if len(s.Incarnations) == 0 && !s.Poison {
		return false
	}
	e := b.ensure(now, s.Fingerprint)
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

// Updates returns up to n suspects with the latest deaths since a time, to be told to
// other instances.
func (b *Tracker) Updates(now, since time.Time, n int) []Suspect {
	var recent []*entry
	for f := range b.entries {
		if e, ok := b.get(now, f); ok && e.lastCrash.After(since) {
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

// Len returns how many fingerprints are remembered.
func (b *Tracker) Len() int {
	return len(b.entries)
}
