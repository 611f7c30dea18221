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

	incarnationsKept = 8
)

// Fingerprint is the hash of a request.
type Fingerprint uint64

// Suspect is what instances tell each other of a fingerprint.
type Suspect struct {
	Fingerprint Fingerprint
	// Endpoints are the incarnations that died with it.
	Endpoints []string
	// Convicted: it was alone among suspects when an endpoint died.
	Convicted bool
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
	suspect Suspect
	last    time.Time
	// cleared: it ended since the last death.
	cleared bool
}

// Book remembers suspects. It is not safe for concurrent use.
type Book struct {
	entries map[Fingerprint]*entry
	expiry  time.Duration
	limit   int
	enabled bool
}

// Option changes a book at construction.
type Option func(*Book)

// WithExpiry sets how long a fingerprint is remembered after its last death.
func WithExpiry(d time.Duration) Option {
	return func(b *Book) { b.expiry = d }
}

// WithLimit sets how many fingerprints are remembered.
func WithLimit(n int) Option {
	return func(b *Book) { b.limit = n }
}

// New returns an empty book.
func New(opts ...Option) *Book {
	b := &Book{
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
func (b *Book) Admit(now time.Time, f Fingerprint, running []Fingerprint) Decision {
	e, ok := b.get(now, f)
	switch {
	case !b.enabled || !ok:
		return DecisionRun
	case e.suspect.Convicted:
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
func (b *Book) Suspected(now time.Time, f Fingerprint) bool {
	e, ok := b.get(now, f)
	return ok && !e.cleared
}

// Convicted says whether a fingerprint is refused.
func (b *Book) Convicted(now time.Time, f Fingerprint) bool {
	e, ok := b.get(now, f)
	return ok && e.suspect.Convicted
}

// Run is one request that ran on an endpoint when it died.
type Run struct {
	Fingerprint Fingerprint
	// Trial: it was a suspect already when it was sent there.
	Trial bool
}

// Died is Blame for a caller that doesn't know which requests were sent as suspects:
// those that are suspects now count as such.
func (b *Book) Died(now time.Time, incarnation string, running []Fingerprint) []Suspect {
	runs := make([]Run, 0, len(running))
	for _, f := range running {
		runs = append(runs, Run{Fingerprint: f, Trial: b.Suspected(now, f)})
	}
	return b.Blame(now, incarnation, runs)
}

// Blame takes the death of an endpoint's incarnation with what ran on it, repeats
// left in, and returns what to tell the other instances. A trial is convicted if it
// was the only one.
func (b *Book) Blame(now time.Time, incarnation string, runs []Run) []Suspect {
	var trials, all []Fingerprint
	for _, r := range runs {
		all = append(all, r.Fingerprint)
		if r.Trial {
			trials = append(trials, r.Fingerprint)
		}
	}
	trials, all = distinct(trials), distinct(all)
	news := make([]Suspect, 0, len(all))
	for _, f := range all {
		alone := len(trials) == 1 && trials[0] == f
		news = append(news, b.blame(now, incarnation, f, alone))
	}
	return news
}

func distinct(list []Fingerprint) []Fingerprint {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}

// blame adds a death to a fingerprint, and convicts it when it was the one suspect.
func (b *Book) blame(now time.Time, incarnation string, f Fingerprint, alone bool) Suspect {
	e := b.ensure(now, f)
	if slices.Contains(e.suspect.Endpoints, incarnation) {
		return e.copy()
	}
	e.suspect.Endpoints = add(e.suspect.Endpoints, incarnation)
	e.suspect.Convicted = e.suspect.Convicted || alone
	e.cleared, e.last = false, now
	return e.copy()
}

// Finished clears a suspect that ended without a death, until the next one.
func (b *Book) Finished(now time.Time, f Fingerprint) {
	if e, ok := b.get(now, f); ok && !e.suspect.Convicted {
		e.cleared = true
	}
}

// Merge takes what another instance told. It returns true when anything was new.
func (b *Book) Merge(now time.Time, told []Suspect) bool {
	news := false
	for _, s := range told {
		news = b.merge(now, s) || news
	}
	return news
}

func (b *Book) merge(now time.Time, s Suspect) bool {
	if len(s.Endpoints) == 0 && !s.Convicted {
		return false
	}
	e := b.ensure(now, s.Fingerprint)
	news := s.Convicted && !e.suspect.Convicted
	for _, incarnation := range s.Endpoints {
		if slices.Contains(e.suspect.Endpoints, incarnation) {
			continue
		}
		e.suspect.Endpoints = add(e.suspect.Endpoints, incarnation)
		e.cleared, news = false, true
	}
	e.suspect.Convicted = e.suspect.Convicted || s.Convicted
	if news {
		e.last = now
	}
	return news
}

// News returns up to n suspects with the latest deaths since a time, to be told to
// other instances.
func (b *Book) News(now, since time.Time, n int) []Suspect {
	var rows []*entry
	for f := range b.entries {
		if e, ok := b.get(now, f); ok && e.last.After(since) {
			rows = append(rows, e)
		}
	}
	slices.SortFunc(rows, newestFirst)
	list := make([]Suspect, 0, min(n, len(rows)))
	for _, e := range rows[:min(n, len(rows))] {
		list = append(list, e.copy())
	}
	return list
}

// Len returns how many fingerprints are remembered.
func (b *Book) Len() int {
	return len(b.entries)
}
