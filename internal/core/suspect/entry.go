package suspect

import (
	"cmp"
	"slices"
	"time"
)

// get returns a fingerprint that has not expired.
func (b *Book) get(now time.Time, f Fingerprint) (*entry, bool) {
	e, ok := b.entries[f]
	if !ok {
		return nil, false
	}
	if now.Sub(e.last) > b.expiry {
		delete(b.entries, f)
		return nil, false
	}
	return e, true
}

func (b *Book) ensure(now time.Time, f Fingerprint) *entry {
	if e, ok := b.get(now, f); ok {
		return e
	}
	if len(b.entries) >= b.limit {
		b.evict(now)
	}
	e := &entry{suspect: Suspect{Fingerprint: f}, last: now}
	b.entries[f] = e
	return e
}

// evict makes room: expired ones first, then the one least worth keeping.
func (b *Book) evict(now time.Time) {
	var worst *entry
	for f := range b.entries {
		e, ok := b.get(now, f)
		if ok && (worst == nil || worth(e, worst) < 0) {
			worst = e
		}
	}
	if worst != nil && len(b.entries) >= b.limit {
		delete(b.entries, worst.suspect.Fingerprint)
	}
}

// worth orders entries: cleared before suspected before convicted, older first.
func worth(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(grade(a), grade(b)),
		a.last.Compare(b.last),
		cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint),
	)
}

func grade(e *entry) int {
	switch {
	case e.suspect.Convicted:
		return 2
	case e.cleared:
		return 0
	default:
		return 1
	}
}

func newestFirst(a, b *entry) int {
	return cmp.Or(b.last.Compare(a.last), cmp.Compare(a.suspect.Fingerprint, b.suspect.Fingerprint))
}

// copy returns a suspect that later deaths don't change.
func (e *entry) copy() Suspect {
	s := e.suspect
	s.Endpoints = slices.Clone(s.Endpoints)
	return s
}

func add(list []string, incarnation string) []string {
	list = append(list, incarnation)
	return list[max(0, len(list)-incarnationsKept):]
}
