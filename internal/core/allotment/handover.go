package allotment

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Handover is the state that a leaving owner passes to its successor: the shares lent to it and its credit.
type Handover struct {
	// Stamp is the successor's, as the owner had received it before.
	Stamp    Stamp           `cbor:"t"`
	Shares   []HandedShare   `cbor:"h,omitempty"`
	Accounts []HandedAccount `cbor:"a,omitempty"`
}

// HandedShare is a share that the owner was lent, and what was left of its lease.
type HandedShare struct {
	Lender fleet.Instance `cbor:"i"`
	Share  float64        `cbor:"h"`
	Left   time.Duration  `cbor:"l"`
}

// HandedAccount is the credit of a workspace: that can be granted, and that may still be in portions.
type HandedAccount struct {
	Workspace   string  `cbor:"w"`
	Level       float64 `cbor:"l,omitempty"`
	Outstanding float64 `cbor:"o,omitempty"`
}

// Successor is the instance, at one incarnation, that has taken over the accounts of a leaving owner.
type Successor struct {
	Instance fleet.Instance `cbor:"i"`
	Stamp    Stamp          `cbor:"t"`
}

// Lent reports whether shares are lent to the owner.
func (b *Accounts) Lent(now time.Duration) bool {
	b.advance(now)
	return len(b.lent) > 0
}

// HandOver closes the accounts and returns their state for the successor that has sent a stamp. The owner
// neither grants nor takes anything afterwards.
func (b *Accounts) HandOver(now time.Duration, successor Stamp) Handover {
	b.advance(now)
	h := Handover{Stamp: successor}
	for _, lender := range slices.Sorted(maps.Keys(b.lent)) {
		l := b.lent[lender]
		h.Shares = append(h.Shares, HandedShare{lender, l.share, l.until - now})
	}
	b.limitAll(now)
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		if a := b.accounts[name]; a.level != 0 || a.outstanding > 0 {
			h.Accounts = append(h.Accounts, HandedAccount{name, a.level, a.outstanding})
		}
	}
	b.closed = true
	clear(b.lent)
	b.limitAll(now)
	return h
}

// TakeOver adds the shares and the credit of a leaving owner to the accounts. It reports false if the
// handover is for another incarnation, or these accounts are closed.
func (b *Accounts) TakeOver(now time.Duration, h *Handover) bool {
	b.advance(now)
	if b.closed || h.Stamp.Incarnation != b.incarnation || h.Stamp.At > now {
		return false
	}
	b.limitAll(now)
	share := 0.0
	for _, s := range h.Shares {
		// The owner's clock isn't known, but the stamp is older than what was left of the lease.
		until := h.Stamp.At + min(s.Left, LeaseTime)
		if until <= now || s.Share <= 0 {
			continue
		}
		share += s.Share
		if until > b.lent[s.Lender].until {
			b.lent[s.Lender] = lentShare{s.Share, until}
		}
	}
	for _, one := range h.Accounts {
		if _, ok := b.limits[one.Workspace]; !ok {
			continue
		}
		a := b.account(one.Workspace)
		// A lease that ended on the way takes its credit along.
		a.level += min(one.Level, max(0, usable(share)*a.limit.capacity()-one.Outstanding))
		if one.Outstanding > 0 {
			b.lastID++
			a.granted = append(a.granted, &granted{id: b.lastID, amount: one.Outstanding, until: now + PortionTime})
			a.outstanding += one.Outstanding
		}
		b.update(now, a)
	}
	return true
}

// Moved records that the owner, at the incarnation that the share was lent to, has handed over to a successor.
// The share may be lent there at once, since the successor counts the credit that it has backed.
func (l *Lender) Moved(now time.Duration, owner fleet.Instance, incarnation string, to Successor) {
	if owner != l.owner || incarnation != l.stamp.Incarnation || to.Instance == "" || to.Stamp.Incarnation == "" {
		return
	}
	l.owner, l.stamp, l.stampedAt = to.Instance, to.Stamp, now
}
