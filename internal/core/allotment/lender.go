package allotment

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Lender decides to which owner an instance lends its share. It is not safe for concurrent use.
type Lender struct {
	self  fleet.Instance
	owner fleet.Instance
	// stamp is the newest one of the owner, received at stampedAt.
	stamp     Stamp
	stampedAt time.Duration
	// promisedUntil is until when what was lent may be in use, lendFrom from when on the
	// share may be lent to the present owner.
	promisedUntil, lendFrom time.Duration
	hold                    time.Duration
	lending                 bool // the newest offer lent the share
}

// LenderOption configures a Lender under construction.
type LenderOption func(*Lender)

// WithHold sets how long after the end of a lease the share is lent to nobody else, in place of
// the time for which portions may be spent.
func WithHold(d time.Duration) LenderOption { return func(l *Lender) { l.hold = d } }

// NewLender returns the lender of an instance that starts now. It lends nothing until what its
// previous start may have lent has expired.
func NewLender(now time.Duration, self fleet.Instance, opts ...LenderOption) *Lender {
	l := &Lender{self: self, hold: PortionTime}
	for _, opt := range opts {
		opt(l)
	}
	l.lendFrom = now + LeaseTime + l.hold
	return l
}

// Offer returns the owner to ask and what to lend to it. The candidate is who should be the
// owner, members how many instances have a share.
func (l *Lender) Offer(now time.Duration, candidate fleet.Instance, members int) (fleet.Instance, Offer) {
	if candidate != l.owner && (l.owner == "" || now >= l.promisedUntil) {
		l.owner, l.stamp = candidate, Stamp{}
	}
	offer := Offer{Lender: l.self, Stamp: l.stamp}
	l.lending = candidate == l.owner && l.stamp != (Stamp{}) && now >= l.lendFrom && now < l.stampedAt+LeaseTime
	if l.lending {
		offer.Share = 1 / float64(max(1, members))
		l.promisedUntil = max(l.promisedUntil, l.stampedAt+LeaseTime+l.hold)
	}
	return l.owner, offer
}

// Received records the stamp in an owner's reply.
func (l *Lender) Received(now time.Duration, owner fleet.Instance, s Stamp) {
	switch {
	case owner != l.owner:
		return
	case s.Incarnation != l.stamp.Incarnation:
		// The owner has restarted; what its previous start granted may still be in use.
		l.lendFrom = max(l.lendFrom, l.promisedUntil)
	case s.At <= l.stamp.At:
		return
	}
	l.stamp, l.stampedAt = s, now
}

// Lending reports whether the newest offer lent the share.
func (l *Lender) Lending() bool { return l.lending }

// Incarnation returns the incarnation of the present owner, empty if it isn't known yet.
func (l *Lender) Incarnation() string { return l.stamp.Incarnation }
