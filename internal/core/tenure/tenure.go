// Package tenure decides when an instance may give orders to endpoints that
// don't check who orders: one holder at a time, by a lease in the store.
//
// It has no clock. Times are those of a clock that also runs while the machine
// is suspended.
package tenure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// unsettled is the record while a holder still waits for the one before it. If the new
// one were on record already and started again, it would go on at once.
const unsettled = "*"

// Alone reports whether nobody but this machine can have ordered before: it is the last
// holder on record, or there is none. The record has no lease.
func Alone(last, self string) bool { return last == "" || last == self }

// Record is what a machine writes as the last holder together with its claim. One that
// isn't alone writes its own name once it may order.
func Record(alone bool, self string) string {
	if alone {
		return self
	}
	return unsettled
}

// Tenure is this instance's right to give orders. It is not safe for concurrent use.
type Tenure struct {
	ttl    time.Duration
	margin time.Duration
	apart  time.Duration
	fence  fleet.Fence
	// until is when the lease may end at the earliest.
	until time.Duration
	// from is when the holder before can no longer have ordered.
	from time.Duration
}

// New returns a tenure that isn't held. A lease lasts ttl; orders stop a margin
// before its end; orders of two holders are apart by the given time.
func New(ttl, margin, apart time.Duration) *Tenure {
	return &Tenure{ttl: ttl, margin: margin, apart: apart}
}

// Acquired notes the key as taken, at a revision that is the fencing number. The
// lease was asked for at the given time. Where this machine was the holder before
// too, nobody else can have ordered, and it goes on at once.
func (t *Tenure) Acquired(now, asked time.Duration, fence fleet.Fence, before bool) {
	t.fence, t.until, t.from = fence, asked+t.ttl, now+t.apart
	if before {
		t.from = now
	}
}

// Renewed notes a good renewal that was asked for at the given time.
func (t *Tenure) Renewed(asked time.Duration) {
	if t.fence != 0 {
		t.until = max(t.until, asked+t.ttl)
	}
}

// Lost notes that the lease has ended or was given back.
func (t *Tenure) Lost() { t.fence, t.until = 0, 0 }

// Held reports whether the lease can't have ended, with the margin.
func (t *Tenure) Held(now time.Duration) bool { return t.fence != 0 && now < t.until-t.margin }

// Orders reports whether an order may leave now: the lease is held, and the
// holder before can't have ordered within the time that keeps holders apart.
func (t *Tenure) Orders(now time.Duration) bool { return t.Held(now) && now >= t.from }

// Until returns when the lease may end at the earliest, From when the holder before can
// no longer have ordered.
func (t *Tenure) Until() time.Duration { return t.until }

// From is documented at Until.
func (t *Tenure) From() time.Duration { return t.from }

// Fence returns the fencing number, 0 when not held.
func (t *Tenure) Fence() fleet.Fence { return t.fence }
