// Package tenure implements the order lease: it decides when an instance may send orders to
// endpoints that don't check fencing tokens. A lease in the store allows one holder at a
// time.
//
// The package reads no clock. The times passed in must come from a clock that also runs
// while the machine is suspended.
package tenure

import (
	"strconv"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// unsettledHolder is the recorded last holder while a new holder still waits for the previous
// one. If the new holder wrote its own name at once and restarted during the wait, it would
// find itself on record and skip the wait.
const unsettledHolder = "*"

// NoOtherHolder reports whether no other machine can have sent orders before: this machine is
// the recorded last holder, or there is none. The record doesn't expire with the lease.
func NoOtherHolder(last, self string) bool { return last == "" || last == self }

// HolderRecord returns what a machine records as the last holder when it acquires the lease.
// If there was another holder, it records its own name only once it may send orders.
func HolderRecord(noOther bool, self string) string {
	if noOther {
		return self
	}
	return unsettledHolder
}

// InEra returns the name under which a machine is on record in an era of the store, which begins
// when the store comes back from an older copy.
func InEra(name string, era int64) string {
	if era == 0 {
		return name
	}
	return name + eraSeparator + strconv.FormatInt(era, 10)
}

const (
	eraSeparator = " "
	// firstEra is the highest era in which the store may never have come back from a copy.
	firstEra = 1
)

// RecordHolds reports whether the record of the last holder, empty if there is none, tells who may
// have given orders. A record from before the store came back may be older than the last holder,
// and that of a machine which still waits says nothing of those before it. SeenReturn is set if
// this machine has seen the store come back.
func RecordHolds(last string, era int64, seenReturn bool) bool {
	if last == "" {
		return era <= firstEra && !seenReturn
	}
	return era == 0 || strings.HasSuffix(last, eraSeparator+strconv.FormatInt(era, 10))
}

// OrderLease is this instance's state of the lease that allows it to send orders. It is not
// safe for concurrent use.
type OrderLease struct {
	ttl        time.Duration
	margin     time.Duration
	separation time.Duration
	fence      fleet.Fence
	// earliestExpiry is the earliest time at which the lease may expire.
	earliestExpiry time.Duration
	// mayOrderFrom is the time after which the previous holder can no longer have sent orders.
	mayOrderFrom time.Duration
}

// New returns a lease that isn't held. The lease lasts ttl, the holder stops sending orders
// a margin before its end, and a new holder waits for the given separation after it
// acquired the lease.
func New(ttl, margin, separation time.Duration) *OrderLease {
	return &OrderLease{ttl: ttl, margin: margin, separation: separation}
}

// Acquired records that the lease was acquired with a fencing token. requestedAt is when the
// lease was requested. If this machine was the previous holder too, no other can have sent
// orders, and it may send them at once.
func (o *OrderLease) Acquired(now, requestedAt time.Duration, fence fleet.Fence, wasHolder bool) {
	o.fence, o.earliestExpiry, o.mayOrderFrom = fence, requestedAt+o.ttl, now+o.separation
	if wasHolder {
		o.mayOrderFrom = now
	}
}

// AcquiredWithoutRecord records that the lease was acquired while it isn't known who may hold it by
// its own clock: the store came back from an older copy at eraSince or before, and has lost the
// record. Whoever held the lease before has renewed it before that.
func (o *OrderLease) AcquiredWithoutRecord(now, requestedAt time.Duration, fence fleet.Fence, eraSince time.Duration) {
	o.Acquired(now, requestedAt, fence, false)
	o.mayOrderFrom = max(o.mayOrderFrom, eraSince+o.ttl+o.separation)
}

// Reacquired records that the lease was acquired again while it was still held by this machine's
// clock, since the store had lost it. A wait for an earlier holder goes on.
func (o *OrderLease) Reacquired(requestedAt time.Duration, fence fleet.Fence) {
	o.fence, o.earliestExpiry = fence, requestedAt+o.ttl
}

// Renewed records a successful renewal that was requested at the given time.
func (o *OrderLease) Renewed(requestedAt time.Duration) {
	if o.fence != 0 {
		o.earliestExpiry = max(o.earliestExpiry, requestedAt+o.ttl)
	}
}

// Lost records that the lease has expired or was released.
func (o *OrderLease) Lost() { o.fence, o.earliestExpiry = 0, 0 }

// Held reports whether the lease is held and can't expire within the margin.
func (o *OrderLease) Held(now time.Duration) bool {
	return o.fence != 0 && now < o.earliestExpiry-o.margin
}

// MayOrder reports whether an order may be sent now: the lease is held, and the separation
// from the orders of the previous holder has passed.
func (o *OrderLease) MayOrder(now time.Duration) bool { return o.Held(now) && now >= o.mayOrderFrom }

// EarliestExpiry returns the earliest time at which the lease may expire.
func (o *OrderLease) EarliestExpiry() time.Duration { return o.earliestExpiry }

// MayOrderFrom returns the time after which the previous holder can no longer have sent
// orders.
func (o *OrderLease) MayOrderFrom() time.Duration { return o.mayOrderFrom }

// Fence returns the fencing token, 0 if the lease is not held.
func (o *OrderLease) Fence() fleet.Fence { return o.fence }
