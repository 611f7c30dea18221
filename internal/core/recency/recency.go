// Package recency tells for how long a configuration has been known to be the newest. It rests
// on evidence that the store, or a peer that has asked the store, held no newer version at some
// time.
//
// The package reads no clock. Times must come from a clock that also runs while the instance is
// suspended.
package recency

import "time"

// Evidence shows that at the time At no version above Version had been acknowledged.
type Evidence struct {
	Version int64
	At      time.Duration
}

// Tracker keeps the latest evidence for the active version.
type Tracker struct {
	active    int64
	confirmed time.Duration
	known     bool
	// ahead is the latest evidence for a version that is not active yet.
	ahead    Evidence
	hasAhead bool
}

// Activate records the active version. Evidence for an earlier version holds for a later one.
func (t *Tracker) Activate(version int64) {
	t.active = version
	if t.hasAhead && t.ahead.Version <= version {
		t.confirm(t.ahead.At)
		t.hasAhead = false
	}
}

// Observe records evidence.
func (t *Tracker) Observe(e Evidence) {
	switch {
	case e.Version <= t.active:
		t.confirm(e.At)
	case !t.hasAhead || e.At > t.ahead.At:
		t.ahead, t.hasAhead = e, true
	}
}

func (t *Tracker) confirm(at time.Duration) {
	if !t.known || at > t.confirmed {
		t.confirmed, t.known = at, true
	}
}

// Age returns how long ago the active version was last known to be the newest. ok is false
// without evidence, and if the clock reads an earlier time than that of the evidence.
func (t *Tracker) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - t.confirmed, t.known && now >= t.confirmed
}
