package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxCrashes limits the crashes recorded for one request.
const maxCrashes = 8

// Crash is the crash of an endpoint while a request was in flight there.
type Crash struct {
	Fingerprint Fingerprint
	Incarnation string
	// SentAt is when the request was sent there, FailedAt when its run was interrupted.
	SentAt, FailedAt time.Time
}

// CrashChains counts how many endpoints crashed in sequence while they ran the same
// request, for instances that each see only their own requests. Equal requests that were
// in flight when several endpoints crashed at once count as one, since they don't show
// that the request is the cause. An answer resets the count. It is not safe for
// concurrent use.
type CrashChains struct {
	chains map[Fingerprint]*crashChain
	expiry time.Duration
	limit  int
}

type crashChain struct {
	crashes  []Crash // in order of FailedAt
	answered time.Time
}

// NewCrashChains returns an empty CrashChains with the default limits of a Tracker.
func NewCrashChains() *CrashChains {
	return &CrashChains{chains: make(map[Fingerprint]*crashChain), expiry: DefaultExpiry, limit: DefaultLimit}
}

// Add records a crash. A second one with the same incarnation is ignored.
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

// evict drops the chain whose last crash is the oldest.
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

// Answered records that a request was answered: earlier crashes no longer count.
func (c *CrashChains) Answered(now time.Time, f Fingerprint) {
	if record := c.chains[f]; record != nil {
		record.answered = now
	}
}

// Length returns how many endpoints crashed in sequence with a request: each counted
// one was sent the request after the previous one had crashed.
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
