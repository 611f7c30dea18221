package suspect

import (
	"cmp"
	"slices"
	"time"
)

// deathsKept bounds the deaths remembered for one request.
const deathsKept = 8

// Death is that of an endpoint with a request in flight.
type Death struct {
	Fingerprint Fingerprint
	Incarnation string
	// Began is when the request was sent there, Broke when its run broke off.
	Began, Broke time.Time
}

// Chains count how many endpoints died with a request one after the other, for
// instances that each know only their own requests. Equal requests that were in flight
// when several endpoints died at once make a chain of one, and an answer ends a chain.
// It is not safe for concurrent use.
type Chains struct {
	chains map[Fingerprint]*chain
	expiry time.Duration
	limit  int
}

type chain struct {
	deaths []Death // in the order in which the runs broke off
	ended  time.Time
}

// NewChains returns an empty record with the default bounds of a book.
func NewChains() *Chains {
	return &Chains{chains: make(map[Fingerprint]*chain), expiry: DefaultExpiry, limit: DefaultLimit}
}

// Add notes a death. One that is known already changes nothing.
func (c *Chains) Add(d Death) {
	known := c.chains[d.Fingerprint]
	if known == nil {
		if len(c.chains) >= c.limit {
			c.evict()
		}
		known = &chain{}
		c.chains[d.Fingerprint] = known
	}
	if slices.ContainsFunc(known.deaths, func(k Death) bool { return k.Incarnation == d.Incarnation }) {
		return
	}
	known.deaths = append(known.deaths, d)
	slices.SortStableFunc(known.deaths, func(a, b Death) int { return a.Broke.Compare(b.Broke) })
	known.deaths = known.deaths[max(0, len(known.deaths)-deathsKept):]
}

// evict drops the chain whose last death is longest ago.
func (c *Chains) evict() {
	var oldest Fingerprint
	var last time.Time
	for f, known := range c.chains {
		if at := known.deaths[len(known.deaths)-1].Broke; last.IsZero() || cmp.Or(at.Compare(last), cmp.Compare(f, oldest)) < 0 {
			oldest, last = f, at
		}
	}
	delete(c.chains, oldest)
}

// Ended notes that a request was answered: what died before doesn't count.
func (c *Chains) Ended(now time.Time, f Fingerprint) {
	if known := c.chains[f]; known != nil {
		known.ended = now
	}
}

// Length returns how many endpoints have died with a request, each after it was sent
// there because the one before had died.
func (c *Chains) Length(now time.Time, f Fingerprint) int {
	known := c.chains[f]
	if known == nil {
		return 0
	}
	if now.Sub(known.deaths[len(known.deaths)-1].Broke) > c.expiry {
		delete(c.chains, f)
		return 0
	}
	n, last := 0, known.ended
	for _, d := range known.deaths {
		if !d.Began.Before(last) {
			n, last = n+1, d.Broke
		}
	}
	return n
}
