package models

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// The mechanisms of orders.
const (
	offMargin  = "margin"
	offSent    = "sent"
	offApart   = "apart"
	offLast    = "last"
	offGuarded = "guarded"
	offEnded   = "ended"
	offAsleep  = "asleep"
	offSettled = "settled"
)

// Times of the model, in ticks. A tick is the margin, and what an order takes on its way.
const (
	ordersTTL    = 4
	ordersMargin = 1
	ordersApart  = 2
	ordersBetter = 3 // what must lie between the orders of two holders
	ordersOnWay  = 1
	ordersFaults = 2
	ordersLong   = 6 // as good as for ever
)

var (
	errTurns = errors.New("orders of two holders are too close")
	errFence = errors.New("a holder's fence is not above that of the one before")
)

func orders() Model {
	return Model{
		Name:    "orders",
		Promise: "orders of two holders are apart, and fences rise",
		Drives:  "internal/core/tenure, Tenure and Alone",
		Mechanisms: []Mechanism{
			{offMargin, "a holder stops a margin before its lease may end"},
			{offSent, "a lease counts from when it was asked for, not from its answer"},
			{offApart, "a new holder waits for the one before"},
			{offLast, "only the machine that held it last goes on at once"},
			{offGuarded, "the key is written only over what was read"},
			{offEnded, "a lease that has ended can't be renewed"},
			{offAsleep, "the clock runs on while the machine is suspended"},
			{offSettled, "a machine is on record as the last holder once it has waited for the one before"},
		},
		Start: func(off string) explore.State { return newOrders(off) },
	}
}

// ordersState is two machines, the store's two keys and what is on its way to them.
type ordersState struct {
	off      string
	now      int
	faults   int
	machines [2]orderer
	// holder is the machine whose lease the key stands on, 0 for none.
	holder           int
	last             string // for good
	expires          int
	lease, revision  int
	holderAt, lastAt int // revisions of the keys
	// ordered is the newest order of each machine, -1 for none, with its fence.
	ordered [2]int
	fences  [2]fleet.Fence
}

// orderer is a machine.
type orderer struct {
	tenure tenure.OrderLease
	frozen bool
	slept  int
	lease  int
	// record is the revision of the last holder's key, 0 once it names the machine.
	record int
	call   leaseCall
	// late is one that the machine waits for no longer, and that may be served still.
	late leaseCall
}

// leaseCall is one on its way to the store and back.
type leaseCall struct {
	kind  leaseCallKind
	asked int // by the machine's clock
	// sent is when it left, by the store's.
	sent         int
	holder, last int // what was read before a claim: revisions
	lastName     string
	lease        int
	done, good   bool
	fence        int
}

type leaseCallKind string

const (
	leaseNone  leaseCallKind = ""
	leaseClaim leaseCallKind = "claim"
	leaseRenew leaseCallKind = "renewal"
	// leaseSettle puts a machine on record as the last holder.
	leaseSettle leaseCallKind = "record"
)

func newOrders(off string) *ordersState {
	s := &ordersState{off: off, faults: ordersFaults, ordered: [2]int{-1, -1}, revision: 1}
	for i := range s.machines {
		s.machines[i].tenure = s.tenure()
	}
	return s
}

func (s *ordersState) tenure() tenure.OrderLease {
	margin, apart := time.Duration(ordersMargin), time.Duration(ordersApart)
	if s.off == offMargin {
		margin = 0
	}
	if s.off == offApart {
		apart = 0
	}
	return *tenure.New(ordersTTL, margin, apart)
}

// clock is a machine's time. It begins above 0, as a lease asked for at 0 counts too.
func (s *ordersState) clock(m *orderer) int {
	if s.off == offAsleep {
		return 1 + s.now - m.slept
	}
	return 1 + s.now
}

// Key implements explore.State. Times count from now, of revisions it matters only which
// are the same, and of machines not which is called which.
func (s *ordersState) Key() string { return min(s.key(0), s.key(1)) }

// key describes the state with one machine first.
func (s *ordersState) key(first int) string {
	var b strings.Builder
	fmt.Fprint(&b, s.faults, max(0, s.expires-s.now), s.fences[first] < s.fences[1-first])
	for _, i := range []int{first, 1 - first} {
		m := &s.machines[i]
		now := time.Duration(s.clock(m))
		fmt.Fprint(&b, "|", s.holder == i+1, s.last == machineName(i), s.last == "", m.frozen, m.lease == 0, m.lease == s.lease, m.record != 0, m.record == s.lastAt,
			max(0, m.tenure.EarliestExpiry()-now), max(0, m.tenure.MayOrderFrom()-now),
			m.tenure.Fence() == s.fences[i], m.tenure.Fence() > s.fences[1-i], min(s.now-s.ordered[i], ordersLong), s.ordered[i] < 0)
		for _, c := range []*leaseCall{&m.call, &m.late} {
			if c.kind != leaseNone {
				fmt.Fprint(&b, " ", c.kind, min(s.clock(m)-c.asked, ordersLong), min(s.now-c.sent, ordersLong), c.holder == s.holderAt, c.last == s.lastAt,
					c.lastName == machineName(i), c.lastName == "", c.lease == s.lease, c.done, c.good, c.fence > 0, c.fence == s.lease, c.fence > int(s.fences[1-i]))
			}
		}
	}
	return b.String()
}

// Check implements explore.State.
func (s *ordersState) Check() error {
	for i := range s.machines {
		other := 1 - i
		if s.ordered[i] < 0 || s.ordered[other] < 0 || s.ordered[i] < s.ordered[other] {
			continue
		}
		if s.ordered[i]-(s.ordered[other]+ordersOnWay) < ordersBetter {
			return fmt.Errorf("%w: machine %d at %d, the other at %d", errTurns, i+1, s.ordered[i], s.ordered[other])
		}
		if s.fences[i] <= s.fences[other] {
			return fmt.Errorf("%w: %d after %d", errFence, s.fences[i], s.fences[other])
		}
	}
	return nil
}

// Steps implements explore.State.
func (s *ordersState) Steps() []explore.Step {
	var steps []explore.Step
	add := func(name string, do func(s *ordersState)) {
		steps = append(steps, explore.Step{Name: name, Take: func() explore.State {
			next := *s
			do(&next)
			next.order()
			return &next
		}})
	}
	add("a tick passes", (*ordersState).tick)
	for i := range s.machines {
		mine := func(name string, do func(s *ordersState, m *orderer)) {
			add(fmt.Sprintf("machine %d %s", i+1, name), func(s *ordersState) { do(s, &s.machines[i]) })
		}
		m := &s.machines[i]
		s.store(i, m, mine)
		if m.frozen {
			mine("wakes", func(_ *ordersState, m *orderer) { m.frozen = false })
			continue
		}
		s.runs(i, m, mine)
		if s.faults > 0 && !m.frozen && (m.lease != 0 || m.call.kind != leaseNone) {
			mine("freezes", func(s *ordersState, m *orderer) {
				s.faults--
				m.frozen = true
			})
			mine("starts again", func(s *ordersState, m *orderer) {
				s.faults--
				*m = orderer{tenure: s.tenure()}
			})
		}
	}
	return steps
}

func (s *ordersState) tick() {
	s.now++
	for i := range s.machines {
		if s.machines[i].frozen {
			s.machines[i].slept++
		}
	}
	for i := range s.machines {
		if l := &s.machines[i].late; l.kind == leaseClaim && s.now >= l.sent+ordersTTL {
			*l = leaseCall{} // its lease has ended
		}
	}
	if s.holder != 0 && s.now >= s.expires {
		s.holder, s.holderAt = 0, 0
	}
}

func (s *ordersState) may(m *orderer) bool { return m.tenure.MayOrder(time.Duration(s.clock(m))) }

// order has each machine order whenever it may, which is the worst that can happen.
func (s *ordersState) order() {
	for i := range s.machines {
		m := &s.machines[i]
		if !m.frozen && s.may(m) {
			s.ordered[i], s.fences[i] = s.now, m.tenure.Fence()
		}
	}
}

// runs adds what a machine that isn't frozen may do.
func (s *ordersState) runs(i int, m *orderer, mine func(string, func(*ordersState, *orderer))) {
	switch {
	case m.call.kind == leaseNone && m.lease == 0 && (s.holder == 0 || s.holder == i+1):
		mine("reads the keys and claims", func(s *ordersState, m *orderer) {
			m.call = leaseCall{kind: leaseClaim, asked: s.clock(m), sent: s.now, holder: s.holderAt, last: s.lastAt, lastName: s.last}
		})
	case m.call.kind == leaseNone && m.record != 0 && s.may(m):
		mine("puts itself on record", func(s *ordersState, m *orderer) {
			m.call = leaseCall{kind: leaseSettle, asked: s.clock(m), sent: s.now, last: m.record}
		})
	case m.call.kind == leaseNone && m.lease != 0 && int(m.tenure.EarliestExpiry())-s.clock(m) < ordersTTL: // no twice in a tick
		mine("renews", func(s *ordersState, m *orderer) {
			m.call = leaseCall{kind: leaseRenew, asked: s.clock(m), sent: s.now, lease: m.lease}
		})
	case m.call.done:
		mine("reads the answer", func(s *ordersState, m *orderer) { s.answer(i, m) })
	}
	s.fails(m, mine)
}

// fails adds the loss of an answer: the call is served late, and not waited for.
func (s *ordersState) fails(m *orderer, mine func(string, func(*ordersState, *orderer))) {
	if m.call.kind != leaseNone && !m.call.done && s.now > m.call.sent && s.faults > 0 {
		mine("has no answer and waits no longer", func(s *ordersState, m *orderer) { s.unanswered(m) })
	}
}

// store adds what the store may do with a call, at once or late.
func (s *ordersState) store(i int, m *orderer, mine func(string, func(*ordersState, *orderer))) {
	if m.late.kind != leaseNone {
		mine("is served late", func(s *ordersState, m *orderer) {
			s.serve(i, &m.late)
			m.late = leaseCall{}
		})
	}
	if m.call.kind == leaseNone || m.call.done {
		return
	}
	mine("is served by the store", func(s *ordersState, m *orderer) { s.serve(i, &m.call) })
}

func (s *ordersState) serve(i int, c *leaseCall) {
	c.done = true
	if c.kind == leaseRenew {
		c.good = s.holder == i+1 && s.lease == c.lease
		if c.good {
			s.expires = s.now + ordersTTL
		}
		return
	}
	if c.kind == leaseSettle {
		if c.good = c.last == s.lastAt; c.good {
			s.revision++
			s.last, s.lastAt = machineName(i), s.revision
		}
		return
	}
	ends := c.sent + ordersTTL // the lease was granted right after the keys were read
	same := c.holder == s.holderAt && c.last == s.lastAt
	if s.now >= ends || !same && s.off != offGuarded {
		return
	}
	s.revision++
	s.holder, s.expires, s.lease = i+1, ends, s.revision
	s.last, s.holderAt, s.lastAt = tenure.HolderRecord(s.alone(c.lastName, i), machineName(i)), s.revision, s.revision
	if s.off == offSettled {
		s.last = machineName(i)
	}
	c.good, c.fence = true, s.revision
}

// answer does what the shell does with an answer.
func (s *ordersState) answer(i int, m *orderer) {
	c := m.call
	m.call = leaseCall{}
	now, asked := s.clock(m), c.asked
	if s.off == offSent {
		asked = now
	}
	switch {
	case c.kind == leaseClaim && c.good:
		m.lease = c.fence
		alone := s.alone(c.lastName, i)
		if !alone {
			m.record = c.fence
		}
		m.tenure.Acquired(time.Duration(now), time.Duration(asked), fleet.Fence(c.fence), alone)
	case c.kind == leaseSettle:
		m.record = 0 // done, or another holder's
	case c.kind == leaseRenew && (c.good || s.off == offEnded):
		m.tenure.Renewed(time.Duration(asked))
	case c.kind == leaseRenew:
		m.tenure.Lost()
		m.lease = 0
	}
}

func (s *ordersState) alone(last string, i int) bool {
	return s.off == offLast || tenure.NoOtherHolder(last, machineName(i))
}

func machineName(i int) string { return fmt.Sprint("m", i+1) }

// unanswered does what the shell does after a time-out.
func (s *ordersState) unanswered(m *orderer) {
	s.faults--
	kind := m.call.kind
	if m.call.kind != leaseRenew { // a late renewal only lengthens a lease
		m.late = m.call
	}
	m.call = leaseCall{}
	if kind == leaseRenew && !m.tenure.Held(time.Duration(s.clock(m))) {
		m.tenure.Lost()
		m.lease = 0
	}
}
