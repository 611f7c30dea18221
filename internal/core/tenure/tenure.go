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

// unsettledHolder is the record while a holder still waits for the one before it. If the new
// one were on record already and started again, it would go on at once.
const unsettledHolder = "*"

// NoOtherHolder reports whether nobody but this machine can have ordered before: it is the last
// holder on record, or there is none. The record has no lease.
func NoOtherHolder(last, self string) bool { return last == "" || last == self }

// HolderRecord is what a machine writes as the last holder together with its claim. One that
// isn't alone writes its own name once it may order.
func HolderRecord(noOther bool, self string) string {
	if noOther {
		return self
	}
	return unsettledHolder
}

// OrderLease is this instance's right to give orders. It is not safe for concurrent use.
type OrderLease struct {
	ttl        time.Duration
	margin     time.Duration
	separation time.Duration
	fence      fleet.Fence
	// earliestExpiry is when the lease may end at the earliest.
	earliestExpiry time.Duration
	// mayOrderFrom is when the holder before can no longer have ordered.
	mayOrderFrom time.Duration
}

// New returns a tenure that isn't held. A lease lasts ttl; orders stop a margin
// before its end; orders of two holders are apart by the given time.
func New(ttl, margin, separation time.Duration) *OrderLease {
	return &OrderLease{ttl: ttl, margin: margin, separation: separation}
}

// Acquired notes the key as taken, at a revision that is the fencing number. The
// lease was asked for at the given time. Where this machine was the holder before
// too, nobody else can have ordered, and it goes on at once.
func (t *OrderLease) Acquired(now, requestedAt time.Duration, fence fleet.Fence, wasHolder bool) {
	t.fence, t.earliestExpiry, t.mayOrderFrom = fence, requestedAt+t.ttl, now+t.separation
	if wasHolder {
		t.mayOrderFrom = now
	}
}

// Renewed notes a good renewal that was asked for at the given time.
func (t *OrderLease) Renewed(requestedAt time.Duration) {
	if t.fence != 0 {
		t.earliestExpiry = max(t.earliestExpiry, requestedAt+t.ttl)
	}
}

// Lost notes that the lease has ended or was given back.
func (t *OrderLease) Lost() { t.fence, t.earliestExpiry = 0, 0 }

// Held reports whether the lease can't have ended, with the margin.
func (t *OrderLease) Held(now time.Duration) bool {
	return t.fence != 0 && now < t.earliestExpiry-t.margin
}

// MayOrder reports whether an order may leave now: the lease is held, and the
// holder before can't have ordered within the time that keeps holders apart.
func (t *OrderLease) MayOrder(now time.Duration) bool { return t.Held(now) && now >= t.mayOrderFrom }

// EarliestExpiry returns when the lease may end at the earliest, From when the holder before can
// no longer have ordered.
func (t *OrderLease) EarliestExpiry() time.Duration { return t.earliestExpiry }

// MayOrderFrom is documented at Until.
func (t *OrderLease) MayOrderFrom() time.Duration { return t.mayOrderFrom }

// Fence returns the fencing number, 0 when not held.
func (t *OrderLease) Fence() fleet.Fence { return t.fence }
