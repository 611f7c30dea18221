// Package allotment keeps the sum of what all instances admit for a workspace within the
// workspace's allotment, without a coordination service.
//
// Every instance has an equal share of every allotment and lends it, for a short lease, to an
// owner on which the instances mostly agree. The owner's Accounts accrue credit at the rate of the
// shares that it has been lent, and grant portions of it to the instances ahead of their
// demand; an instance's Credit spends them. Owners that don't agree, restart or are cut off from each other
// only ever divide the shares, and a share goes to another owner only after what it backed
// has expired.
//
// The package has no clock and no goroutine: callers pass the time, on a clock that keeps running
// while the process is suspended.
package allotment

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// LeaseTime is how long an owner may use a share that it was lent: a few calls may be lost.
	LeaseTime = 1500 * time.Millisecond
	// PortionTime is how long a portion may be spent. Credit of this time can be spent beyond the
	// rate and the burst, since portions are granted before they are used.
	PortionTime = 700 * time.Millisecond
	// AskInterval is how often an instance with demand asks for portions and renews its shares.
	AskInterval = 300 * time.Millisecond
	// fullShare and noShare are the parts of all shares with which an owner may use the whole
	// allotment, and none of it. In between its part rises evenly, so that the owners of one
	// moment never use more than the whole, and some instances may be missing.
	fullShare = 0.75
	noShare   = 0.25
)

// Limit is the allotment of a workspace. Amounts are in its unit, requests or tokens.
type Limit struct{ Rate, Burst float64 }

// capacity is the most credit that may be unspent at any time, in the accounts of the owners and
// in portions.
func (l Limit) capacity() float64 { return l.Burst + l.Rate*PortionTime.Seconds() }

// Part returns one of a number of equal parts of the limit.
func (l Limit) Part(parts int) Limit {
	return Limit{Rate: l.Rate / float64(parts), Burst: l.Burst / float64(parts)}
}

// usable returns the part of the allotment that an owner may use with a part of all shares.
func usable(share float64) float64 {
	return min(1, max(0, (share-noShare)/(fullShare-noShare)))
}

// Stamp is a time on the clock of one start of an owner.
type Stamp struct {
	Incarnation string        `cbor:"i"`
	At          time.Duration `cbor:"t"`
}

// Offer lends an owner a share. The lease counts from the stamp, which the owner has sent
// before, so that an offer which arrives late lends for no longer.
type Offer struct {
	Lender fleet.Instance `cbor:"i"`
	Share  float64        `cbor:"h"`
	Stamp  Stamp          `cbor:"t"`
}

// Return gives back the unspent rest of a portion.
type Return struct {
	ID     uint64  `cbor:"i"`
	Amount float64 `cbor:"a"`
}

// Want asks an owner for a portion for a workspace.
type Want struct {
	Workspace string  `cbor:"w"`
	Amount    float64 `cbor:"a"`
	// Min is the smallest portion that is of use.
	Min float64 `cbor:"m,omitempty"`
	// Urgent is set if a request waits for the portion.
	Urgent bool `cbor:"u,omitempty"`
	// Refused is what was refused since the last want.
	Refused float64  `cbor:"x,omitempty"`
	Returns []Return `cbor:"r,omitempty"`
}

// Grant answers a Want. The amount is 0 if there is too little credit; Wait is then how long
// a request that is refused now should stay away.
type Grant struct {
	Workspace string        `cbor:"w"`
	ID        uint64        `cbor:"i"`
	Amount    float64       `cbor:"a"`
	Wait      time.Duration `cbor:"t,omitempty"`
	// Askers is how many instances have asked lately, beside an amount of 0.
	Askers int `cbor:"n,omitempty"`
}
