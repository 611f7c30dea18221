package allotment

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Clone returns an independent copy.
func (l *Lender) Clone() *Lender {
	c := *l
	return &c
}

// Fingerprint returns a string that is equal for two lenders if they behave alike from now on.
func (l *Lender) Fingerprint(now time.Duration) string {
	age := min(now-l.stampedAt, LeaseTime)
	return fmt.Sprint(l.owner, l.stamp.Incarnation, age, max(0, l.promisedUntil-now), max(0, l.lendFrom-now))
}

// Clone returns an independent copy.
func (b *Accounts) Clone() *Accounts {
	c := *b
	c.lent = maps.Clone(b.lent)
	c.accounts = make(map[string]*account, len(b.accounts))
	for name, a := range b.accounts {
		c.accounts[name] = a.clone()
	}
	return &c
}

func (a *account) clone() *account {
	c := *a
	c.wants = maps.Clone(a.wants)
	c.byID = make(map[uint64]*granted, len(a.byID))
	c.granted = make([]*granted, 0, len(a.granted))
	for _, g := range a.granted {
		copied := *g
		c.granted = append(c.granted, &copied)
		c.byID[g.id] = &copied
	}
	return &c
}

// Fingerprint returns a string that is equal for two accounts if they behave alike from now on. Both
// must have been used at this time.
func (b *Accounts) Fingerprint(now time.Duration) string {
	var text strings.Builder
	fmt.Fprint(&text, b.incarnation, b.closed)
	for _, lender := range slices.Sorted(maps.Keys(b.lent)) {
		fmt.Fprint(&text, " ", lender, b.lent[lender].share, b.lent[lender].until-now)
	}
	c := b.Clone()
	for _, name := range slices.Sorted(maps.Keys(c.limits)) {
		fmt.Fprintf(&text, " %s %.4f", name, c.Credit(now, name))
		if a := c.accounts[name]; a != nil {
			for _, g := range a.granted {
				fmt.Fprintf(&text, " %d %s %.4f %s", c.lastID-g.id, g.holder, g.amount, g.until-now)
			}
		}
	}
	return text.String()
}

// LastID returns the number of the newest portion.
func (b *Accounts) LastID() uint64 { return b.lastID }

// Clone returns an independent copy.
func (w *Credit) Clone() *Credit {
	c := *w
	c.portions, c.refused = slices.Clone(w.portions), slices.Clone(w.refused)
	c.dryUntil, c.freeAt = slices.Clone(w.dryUntil), slices.Clone(w.freeAt)
	return &c
}

// Fingerprint describes the portions that may still be spent. Newest returns the number of an owner's
// newest portion.
func (w *Credit) Fingerprint(now time.Duration, newest func(owner string) uint64) string {
	var text strings.Builder
	for _, p := range w.portions {
		if p.until > now {
			fmt.Fprintf(&text, " %s %d %.4f %s", p.owner, newest(p.owner)-p.id, p.amount, p.until-now)
		}
	}
	return text.String()
}
