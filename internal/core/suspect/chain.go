package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxCrashes bounds the deaths remembered for one request.
const maxCrashes = 8

// Crash is that of an endpoint with a request in flight.
type Crash struct {
	Fingerprint Fingerprint
	Incarnation string
	// SentAt is when the request was sent there, Broke when its run broke off.
	SentAt, FailedAt time.Time
}

// CrashChains count how many endpoints died with a request one after the other, for
// instances that each know only their own requests. Equal requests that were in flight
// when several endpoints died at once make a chain of one, and an answer ends a chain.
// It is not safe for concurrent use.
type CrashChains struct {
	chains map[Fingerprint]*crashChain
	expiry time.Duration
	limit  int
}

type crashChain struct {
	crashes  []Crash // in the order in which the runs broke off
	answered time.Time
}

// NewCrashChains returns an empty record with the default bounds of a book.
func NewCrashChains() *CrashChains {
	return &CrashChains{chains: make(map[Fingerprint]*crashChain), expiry: DefaultExpiry, limit: DefaultLimit}
}

// Add notes a death. One that is known already changes nothing.
func (c *CrashChains) Add(d Crash) {
	record := c.chains[d.Fingerprint]
	if record == nil {
		if len(c.chains) >= c.limit {
			c.evict()
		}
		record = &crashChain{}
		c.chains[d.Fingerprint] = record
	}
	if slices.ContainsFunc(record.crashes, func(known Crash) bool { return known.Incarnation == d.Incarnation }) {
		return
	}
	record.crashes = append(record.crashes, d)
	slices.SortStableFunc(record.crashes, func(a, b Crash) int { return a.FailedAt.Compare(b.FailedAt) })
	record.crashes = record.crashes[max(0, len(record.crashes)-maxCrashes):]
}

// evict drops the chain whose last death is longest ago.
func (c *CrashChains) evict() {
	var oldest Fingerprint
	var last time.Time
	for f, record := range c.chains {
		if at := record.crashes[len(record.crashes)-1].FailedAt; last.IsZero() || cmp.Or(at.Compare(last), cmp.Compare(f, oldest)) < 0 {
			oldest, last = f, at
		}
	}
	delete(c.chains, oldest)
}

// Answered notes that a request was answered: what died before doesn't count.
func (c *CrashChains) Answered(now time.Time, f Fingerprint) {
	if record := c.chains[f]; record != nil {
		record.answered = now
	}
}

// Length returns how many endpoints have died with a request, each after it was sent
// there because the one before had died.
func (c *CrashChains) Length(now time.Time, f Fingerprint) int {
	record := c.chains[f]
	if record == nil {
		return 0
	}
	if now.Sub(record.crashes[len(record.crashes)-1].FailedAt) > c.expiry {
		delete(c.chains, f)
		return 0
	}
	n, last := 0, record.answered
	for _, d := range record.crashes {
		if !d.SentAt.Before(last) {
			n, last = n+1, d.FailedAt
		}
	}
	return n
}
