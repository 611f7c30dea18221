package allotment

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// wantMemory is for how long a want counts when scarce credit is divided.
	wantMemory = 400 * time.Millisecond
	// rounds is the number of grants of one owner that an instance can save up for a request.
	rounds = 2
	// reserve is the part of an account's capacity that is kept for requests that wait, where
	// there is too little to grant portions ahead to all.
	reserve = 0.5
	// maxWait bounds how long refused callers are asked to stay away.
	maxWait = 8 * time.Second
)

// Accounts holds the accounts of an owner. It is not safe for concurrent use.
type Accounts struct {
	incarnation string
	limits      map[string]Limit
	accounts    map[string]*account
	lent        map[fleet.Instance]lentShare
	// accrued is the time since the start, weighed by the usable part of the allotments, as of at.
	accrued float64
	at      time.Duration
	lastID  uint64
	closed  bool // it has handed over
}

type lentShare struct {
	share float64
	until time.Duration
}

// account is the credit of one workspace.
type account struct {
	limit Limit
	// level is the credit that can be granted; accrued is that of all accounts when it was last
	// updated.
	level, accrued float64
	// granted are the portions that may still be in use, in the order of their ends, and
	// outstanding is their sum.
	granted     []*granted
	byID        map[uint64]*granted
	outstanding float64
	wants       map[fleet.Instance]pastWant
	// backlog is what refused callers will ask for when they come back.
	backlog float64
}

type granted struct {
	id     uint64
	holder fleet.Instance
	amount float64
	until  time.Duration
}

type pastWant struct {
	amount float64
	at     time.Duration
}

// NewAccounts returns the accounts of an instance's start.
func NewAccounts(now time.Duration, incarnation string) *Accounts {
	return &Accounts{
		incarnation: incarnation, at: now, limits: make(map[string]Limit),
		accounts: make(map[string]*account), lent: make(map[fleet.Instance]lentShare),
	}
}

// SetLimits replaces the limits. Credit beyond a lower limit is dropped.
func (b *Accounts) SetLimits(now time.Duration, limits map[string]Limit) {
	b.advance(now)
	for name, a := range b.accounts {
		b.update(now, a)
		limit, ok := limits[name]
		if !ok {
			delete(b.accounts, name)
			continue
		}
		a.limit = limit
		b.update(now, a)
	}
	b.limits = limits
}

// Stamp returns the owner's time.
func (b *Accounts) Stamp(now time.Duration) Stamp { return Stamp{Incarnation: b.incarnation, At: now} }

// Lend records what an instance lends.
func (b *Accounts) Lend(now time.Duration, o Offer) {
	b.advance(now)
	until := o.Stamp.At + LeaseTime
	if b.closed || o.Share <= 0 || o.Stamp.Incarnation != b.incarnation || o.Stamp.At > now || until <= max(now, b.lent[o.Lender].until) {
		return
	}
	before := b.usable()
	b.lent[o.Lender] = lentShare{o.Share, until}
	if b.usable() < before {
		b.limitAll(now)
	}
}

// Usable returns the part of the allotments that the owner may use.
func (b *Accounts) Usable(now time.Duration) float64 {
	b.advance(now)
	return b.usable()
}

// Credit returns the credit of a workspace that can be granted.
func (b *Accounts) Credit(now time.Duration, workspace string) float64 {
	b.advance(now)
	a := b.accounts[workspace]
	if a == nil {
		l := b.limits[workspace]
		return min(l.Rate*b.accrued, b.usable()*l.capacity())
	}
	b.update(now, a)
	return a.level
}

func (b *Accounts) usable() float64 {
	total := 0.0
	for _, l := range b.lent {
		total += l.share
	}
	return usable(total)
}

// advance accrues the time since the last call, by the shares that are still lent now.
func (b *Accounts) advance(now time.Duration) {
	lost := false
	for lender, l := range b.lent {
		if l.until <= now {
			delete(b.lent, lender)
			lost = true
		}
	}
	if now > b.at {
		b.accrued += b.usable() * (now - b.at).Seconds()
		b.at = now
	}
	if lost {
		b.limitAll(now)
	}
}

// limitAll lowers the credit of every account to what the remaining shares cover, also of accounts without
// requests: the next owner of the lost shares grants the same credit.
func (b *Accounts) limitAll(now time.Duration) {
	for name := range b.limits {
		b.update(now, b.account(name))
	}
}

// account returns the account of a workspace that has a limit.
func (b *Accounts) account(workspace string) *account {
	a := b.accounts[workspace]
	if a == nil {
		a = &account{limit: b.limits[workspace], byID: make(map[uint64]*granted), wants: make(map[fleet.Instance]pastWant)}
		b.accounts[workspace] = a
	}
	return a
}

// update brings an account up to date with what has accrued.
func (b *Accounts) update(now time.Duration, a *account) {
	amount := a.limit.Rate * (b.accrued - a.accrued)
	a.level, a.accrued = a.level+amount, b.accrued
	a.backlog = max(0, a.backlog-amount)
	for len(a.granted) > 0 && a.granted[0].until <= now {
		a.outstanding -= a.granted[0].amount
		delete(a.byID, a.granted[0].id)
		a.granted = a.granted[1:]
	}
	if len(a.granted) == 0 {
		a.outstanding = 0 // without the errors of rounding
	}
	a.level = min(a.level, max(0, b.usable()*a.limit.capacity()-a.outstanding))
}

// Grant decides on a want of an instance. Returns count only if they were granted by this owner,
// which the caller must have checked by the incarnation.
func (b *Accounts) Grant(now time.Duration, from fleet.Instance, w Want) Grant {
	b.advance(now)
	if _, ok := b.limits[w.Workspace]; !ok || b.closed {
		return Grant{Workspace: w.Workspace}
	}
	a := b.account(w.Workspace)
	a.takeBack(from, w.Returns)
	b.update(now, a)
	a.backlog = min(a.backlog+w.Refused, a.limit.Rate*maxWait.Seconds())
	amount := a.portion(now, from, w, b.usable()*a.limit.capacity())
	if amount <= 0 {
		return Grant{Workspace: w.Workspace, Wait: a.wait(w.Min, b.usable()), Askers: len(a.wants)}
	}
	b.lastID++
	g := &granted{id: b.lastID, holder: from, amount: amount, until: now + PortionTime}
	a.level -= amount
	a.granted, a.byID[g.id] = append(a.granted, g), g
	a.outstanding += amount
	return Grant{Workspace: w.Workspace, ID: g.id, Amount: amount}
}

// takeBack returns unspent portions to the account, if they have not ended.
func (a *account) takeBack(from fleet.Instance, returns []Return) {
	for _, r := range returns {
		g := a.byID[r.ID]
		if g == nil || g.holder != from || r.Amount <= 0 {
			continue
		}
		amount := min(r.Amount, g.amount)
		g.amount -= amount
		a.outstanding -= amount
		a.level += amount
	}
}

// portion returns how much of the account a want gets. A request larger than the account can
// ever hold gets it once the account is full, which then is in debt.
func (a *account) portion(now time.Duration, from fleet.Instance, w Want, capacity float64) float64 {
	total := a.wanted(now, from, w)
	if a.level <= 0 {
		return 0
	}
	if w.Urgent {
		if a.level < min(w.Min, capacity) {
			return 0
		}
		return max(w.Min, min(w.Amount, a.level))
	}
	if total <= 0 {
		return 0
	}
	amount := w.Amount * min(1, a.level/total)
	switch {
	case amount*rounds >= w.Min:
		return amount
	case a.level-w.Min >= reserve*capacity:
		return w.Min
	default:
		return 0
	}
}

// wanted records a want and returns how much the instances want that have asked lately.
func (a *account) wanted(now time.Duration, from fleet.Instance, w Want) float64 {
	past := pastWant{w.Amount, now}
	if w.Urgent {
		past.amount = a.wants[from].amount
	}
	a.wants[from] = past
	total := 0.0
	for instance, past := range a.wants {
		if now-past.at > wantMemory {
			delete(a.wants, instance)
			continue
		}
		total += past.amount
	}
	return total
}

// wait returns when the account has room for an amount, after what was refused before.
func (a *account) wait(amount, share float64) time.Duration {
	if share <= 0 || a.limit.Rate <= 0 {
		return LeaseTime + PortionTime
	}
	missing := max(0, amount-a.level) + a.backlog
	return min(maxWait, time.Duration(missing/(a.limit.Rate*share)*float64(time.Second)))
}
