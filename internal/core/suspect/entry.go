package suspect

import (
	"cmp"
	"slices"
	"time"
)

// get returns the entry of a fingerprint unless it has expired.
func (t *Tracker) get(now time.Time, f Fingerprint) (*entry, bool) {
	e, ok := t.entries[f]
	if !ok {
		return nil, false
	}
	if now.Sub(e.lastCrash) > t.expiry {
		delete(t.entries, f)
		return nil, false
	}
	return e, true
}

func (t *Tracker) ensure(now time.Time, f Fingerprint) *entry {
	if e, ok := t.get(now, f); ok {
		return e
	}
	if len(t.entries) >= t.limit {
		t.evict(now)
	}
	e := &entry{suspect: Suspect{Fingerprint: f}, lastCrash: now}
	t.entries[f] = e
	return e
}

// evict removes expired entries and, if that is not enough, the first one by
// compareEvictionOrder.
func (t *Tracker) evict(now time.Time) {
	var victim *entry
	for f := range t.entries {
		e, ok := t.get(now, f)
		if ok && (victim == nil || compareEvictionOrder(e, victim) < 0) {
			victim = e
		}
	}
	if victim != nil && len(t.entries) >= t.limit {
		delete(t.entries, victim.suspect.Fingerprint)
	}
}

// compareEvictionOrder sorts cleared entries before suspects before poison requests, and
// older ones first.
func compareEvictionOrder(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(evictionClass(a), evictionClass(b)),
		a.lastCrash.Compare(b.lastCrash),
		cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint),
	)
}

func evictionClass(e *entry) int {
	switch {
	case e.suspect.Poison:
		return 2
	case e.cleared:
		return 0
	default:
		return 1
	}
}

func newestFirst(a, b *entry) int {
	return cmp.Or(b.lastCrash.Compare(a.lastCrash), cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint))
}

// clone returns a copy of the suspect that does not share memory with the entry.
func (e *entry) clone() Suspect {
	s := e.suspect
	s.Incarnations = slices.Clone(s.Incarnations)
	return s
}

func appendBounded(list []string, incarnation string) []string {
	list = append(list, incarnation)
	return list[max(0, len(list)-maxIncarnations):]
}
