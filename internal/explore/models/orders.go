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

// Mechanisms of the orders model.
const (
	mechanismMargin  = "margin"
	mechanismSent    = "sent"
	mechanismApart   = "apart"
	mechanismLast    = "last"
	mechanismGuarded = "guarded"
	mechanismEnded   = "ended"
	mechanismAsleep  = "asleep"
	mechanismSettled = "settled"
	mechanismEra     = "era"
	mechanismRecord  = "record"
	mechanismUnended = "unended"
)

// Times of the model in ticks. One tick is the margin and also the delivery time of an order.
const (
	ordersTTL          = 4
	ordersMargin       = 1
	ordersSeparation   = 2
	ordersMinGap       = 3 // required between the delivery of one holder's last order and the next holder's first
	ordersDeliveryTime = 1
	maxOrdersFaults    = 2
	ordersHorizon      = 6 // longer times are all treated as equal
)

var (
	errOrdersTooClose = errors.New("orders of two lease holders are too close in time")
	errFenceNotAbove  = errors.New("the fence of a lease holder is not above that of the previous holder")
)

func ordersModel() Model {
	return Model{
		Name:          "orders",
		Promise:       "orders of two lease holders are separated in time, and fences increase",
		CodeUnderTest: "internal/core/tenure, OrderLease and NoOtherHolder",
		Mechanisms: []Mechanism{
			{mechanismMargin, "a holder stops sending orders a margin before its lease may expire"},
			{mechanismSent, "the lease time counts from the request, not from its reply"},
			{mechanismApart, "a new holder waits for the separation from the orders of the previous holder"},
			{mechanismLast, "only the last holder may send orders without waiting"},
			{mechanismGuarded, "the keys are written only over the revisions that were read"},
			{mechanismEnded, "an expired lease can't be renewed"},
			{mechanismAsleep, "the clock advances while the machine is suspended"},
			{mechanismSettled, "a machine is recorded as the last holder only after it has waited for the previous one"},
		},
		Start: func(disabled string) explore.State { return newOrders(disabled) },
	}
}

// returnsModel is the orders model with a store that comes back from an older copy. The copy was made
// after the first machine had held the lease, and before anything else happened.
func returnsModel() Model {
	return Model{
		Name:          "returns",
		Promise:       "orders of two lease holders are separated in time, and fences increase, also when the store comes back from an older copy",
		CodeUnderTest: "internal/core/tenure, OrderLease, RecordHolds and InEra",
		Mechanisms: []Mechanism{
			{mechanismEra, "revisions, and with them fences, guards and leases, are of the store's era"},
			{mechanismRecord, "a record from before the return is not trusted"},
			{mechanismUnended, "a new holder waits until the lost lease has ended by its holder's clock"},
		},
		Start: func(disabled string) explore.State {
			s := newOrders(disabled)
			s.revision, s.lastHolder, s.lastHolderRevision = 2, machineName(0), 2
			s.copied = storeCopy{made: true, lastHolder: s.lastHolder, lastRevision: s.lastHolderRevision, revision: s.revision}
			for i := range s.machines {
				s.machines[i].era = 0
			}
			return s
		},
	}
}

// ordersState is two machines, the store's two keys (the lease's and the last holder's) and
// the calls in flight.
type ordersState struct {
	disabled   string
	now        int
	faultsLeft int
	machines   [2]machine
	// holder is the number of the machine that holds the lease key, 0 for none.
	holder                             int
	lastHolder                         string // name, not removed when the lease expires
	expires                            int
	leaseID, revision                  int
	holderRevision, lastHolderRevision int // revisions of the two keys
	// lastOrderAt is the time of each machine's last order, -1 for none; fences are the
	// fences of these orders.
	lastOrderAt [2]int
	fences      [2]fleet.Fence
	// era counts the returns of the store from copied, which is set once it has been made.
	era    int
	copied storeCopy
}

// storeCopy is the state of the store at an earlier time, when no machine held the lease.
type storeCopy struct {
	made                   bool
	lastHolder             string
	lastRevision, revision int
}

// machine is one of the machines that compete for the order lease.
type machine struct {
	orderLease tenure.OrderLease
	frozen     bool
	sleptTicks int
	leaseID    int
	// era is the newest era that the machine has seen, -1 before the first; eraSince is when, on
	// its clock, and seenReturn whether it had seen an earlier one.
	era, eraSince int
	seenReturn    bool
	// unsettledRevision is the revision of the last holder's key while this still has to be
	// updated to name the machine, 0 otherwise.
	unsettledRevision int
	call              leaseCall
	// abandoned is a call that timed out and may still be served by the store.
	abandoned leaseCall
}

// leaseCall is a call to the store, from its request until its reply is read.
type leaseCall struct {
	kind        leaseCallKind
	requestedAt int // on the machine's clock
	// sentAt is the time of the request on the store's clock.
	sentAt                             int
	holderRevision, lastHolderRevision int // revisions that were read before a claim
	lastHolder                         string
	leaseID                            int
	era                                int // of the store when the call was made
	servedEra                          int // of the store when it served the call
	held, mayOrder, recordHolds        bool
	served, succeeded                  bool
	fence                              int
}

type leaseCallKind string

const (
	leaseNone  leaseCallKind = ""
	leaseClaim leaseCallKind = "claim"
	leaseRenew leaseCallKind = "renewal"
	// leaseSettle records a machine as the last holder.
	leaseSettle leaseCallKind = "record"
)

func newOrders(disabled string) *ordersState {
	s := &ordersState{disabled: disabled, faultsLeft: maxOrdersFaults, lastOrderAt: [2]int{-1, -1}, revision: 1}
	for i := range s.machines {
		s.machines[i] = s.newMachine()
	}
	return s
}

func (s *ordersState) newMachine() machine {
	return machine{orderLease: s.newOrderLease(), era: -1}
}

func (s *ordersState) newOrderLease() tenure.OrderLease {
	margin, separation := time.Duration(ordersMargin), time.Duration(ordersSeparation)
	if s.disabled == mechanismMargin {
		margin = 0
	}
	if s.disabled == mechanismApart {
		separation = 0
	}
	return *tenure.New(ordersTTL, margin, separation)
}

// clock is a machine's time. It starts at 1, so that time 0 never occurs as a request time.
func (s *ordersState) clock(m *machine) int {
	if s.disabled == mechanismAsleep {
		return 1 + s.now - m.sleptTicks
	}
	return 1 + s.now
}

// Key implements explore.State. It normalises states: times are relative to now, revisions
// matter only by equality, and the two machines are interchangeable.
func (s *ordersState) Key() string { return min(s.key(0), s.key(1)) }

// key describes the state with the given machine first.
func (s *ordersState) key(first int) string {
	var b strings.Builder
	fmt.Fprint(&b, s.faultsLeft, max(0, s.expires-s.now), s.fences[first] < s.fences[1-first], s.era)
	if c := s.copied; c.made && s.era == 0 {
		fmt.Fprint(&b, " copy", c.lastHolder == s.lastHolder, c.lastRevision == s.lastHolderRevision, s.recordOf(c.lastHolder, first))
	}
	for _, i := range []int{first, 1 - first} {
		m := &s.machines[i]
		now := time.Duration(s.clock(m))
		fmt.Fprint(&b, "|", s.holder == i+1, s.recordOf(s.lastHolder, i), m.era, m.seenReturn, s.sinceEra(m), m.frozen, m.leaseID == 0, m.leaseID == s.leaseID, m.unsettledRevision != 0, m.unsettledRevision == s.lastHolderRevision,
			max(0, m.orderLease.EarliestExpiry()-now), max(0, m.orderLease.MayOrderFrom()-now),
			m.orderLease.Fence() == s.fences[i], m.orderLease.Fence() > s.fences[1-i], min(s.now-s.lastOrderAt[i], ordersHorizon), s.lastOrderAt[i] < 0)
		for _, c := range []*leaseCall{&m.call, &m.abandoned} {
			if c.kind != leaseNone {
				fmt.Fprint(&b, " ", c.kind, min(s.clock(m)-c.requestedAt, ordersHorizon), min(s.now-c.sentAt, ordersHorizon), c.holderRevision == s.holderRevision, c.lastHolderRevision == s.lastHolderRevision,
					s.recordOf(c.lastHolder, i), c.era, c.servedEra, c.held, c.mayOrder, c.recordHolds, c.leaseID == s.leaseID, c.served, c.succeeded, c.fence > 0, c.fence == s.leaseID, c.fence > int(s.fences[1-i]))
			}
		}
	}
	return b.String()
}

// sinceEra is how long a machine has known the store's era, 0 where that doesn't matter.
func (s *ordersState) sinceEra(m *machine) int {
	if !s.copied.made {
		return 0
	}
	return min(s.clock(m)-m.eraSince, ordersTTL+ordersSeparation)
}

// recordOf describes a record without the machines' numbers: whose it is, and of which era.
func (s *ordersState) recordOf(record string, i int) string {
	name, era, _ := strings.Cut(record, " ")
	switch name {
	case machineName(i):
		return "own " + era
	case machineName(1 - i):
		return "other " + era
	default:
		return record
	}
}

// Check implements explore.State.
func (s *ordersState) Check() error {
	for i := range s.machines {
		other := 1 - i
		if s.lastOrderAt[i] < 0 || s.lastOrderAt[other] < 0 || s.lastOrderAt[i] < s.lastOrderAt[other] {
			continue
		}
		if s.lastOrderAt[i]-(s.lastOrderAt[other]+ordersDeliveryTime) < ordersMinGap {
			return fmt.Errorf("%w: machine %d at %d, the other at %d", errOrdersTooClose, i+1, s.lastOrderAt[i], s.lastOrderAt[other])
		}
		if s.fences[i] <= s.fences[other] {
			return fmt.Errorf("%w: %d after %d", errFenceNotAbove, s.fences[i], s.fences[other])
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
			next.issueOrders()
			return &next
		}})
	}
	add("a tick passes", (*ordersState).tick)
	s.returnSteps(add)
	for i := range s.machines {
		addFor := func(name string, do func(s *ordersState, m *machine)) {
			add(fmt.Sprintf("machine %d %s", i+1, name), func(s *ordersState) { do(s, &s.machines[i]) })
		}
		m := &s.machines[i]
		s.storeSteps(i, m, addFor)
		if m.frozen {
			addFor("wakes", func(_ *ordersState, m *machine) { m.frozen = false })
			continue
		}
		s.machineSteps(i, m, addFor)
		if s.faultsLeft > 0 && !m.frozen && (m.leaseID != 0 || m.call.kind != leaseNone) {
			addFor("freezes", func(s *ordersState, m *machine) {
				s.faultsLeft--
				m.frozen = true
			})
			addFor("starts again", func(s *ordersState, m *machine) {
				s.faultsLeft--
				*m = s.newMachine()
			})
		}
	}
	return steps
}

func (s *ordersState) tick() {
	s.now++
	for i := range s.machines {
		if s.machines[i].frozen {
			s.machines[i].sleptTicks++
		}
	}
	for i := range s.machines {
		if l := &s.machines[i].abandoned; l.kind == leaseClaim && s.now >= l.sentAt+ordersTTL {
			*l = leaseCall{} // its lease has expired
		}
	}
	if s.holder != 0 && s.now >= s.expires {
		s.holder, s.holderRevision = 0, 0
	}
}

func (s *ordersState) mayOrder(m *machine) bool {
	return m.orderLease.MayOrder(time.Duration(s.clock(m)))
}

// issueOrders lets each machine send an order whenever it may, the worst case for the
// separation of orders.
func (s *ordersState) issueOrders() {
	for i := range s.machines {
		m := &s.machines[i]
		if !m.frozen && s.mayOrder(m) {
			s.lastOrderAt[i], s.fences[i] = s.now, m.orderLease.Fence()
		}
	}
}

// machineSteps adds the steps of a machine that isn't frozen.
func (s *ordersState) machineSteps(i int, m *machine, addFor func(string, func(*ordersState, *machine))) {
	switch {
	case m.call.kind == leaseNone && m.leaseID == 0 && (s.holder == 0 || s.holder == i+1):
		addFor("reads the keys and claims", func(s *ordersState, m *machine) {
			s.seeEra(m)
			held := m.orderLease.Held(time.Duration(s.clock(m)))
			m.call = leaseCall{
				kind: leaseClaim, requestedAt: s.clock(m), sentAt: s.now, era: s.era, held: held, mayOrder: s.mayOrder(m), recordHolds: s.recordHolds(m),
				holderRevision: s.holderRevision, lastHolderRevision: s.lastHolderRevision, lastHolder: s.lastHolder,
			}
		})
	case m.call.kind == leaseNone && m.unsettledRevision != 0 && s.mayOrder(m):
		addFor("puts itself on record", func(s *ordersState, m *machine) {
			m.call = leaseCall{kind: leaseSettle, requestedAt: s.clock(m), sentAt: s.now, era: m.era, lastHolderRevision: m.unsettledRevision}
		})
	case m.call.kind == leaseNone && m.leaseID != 0 && int(m.orderLease.EarliestExpiry())-s.clock(m) < ordersTTL: // at most one renewal per tick
		addFor("renews", func(s *ordersState, m *machine) {
			m.call = leaseCall{kind: leaseRenew, requestedAt: s.clock(m), sentAt: s.now, era: m.era, leaseID: m.leaseID}
		})
	case m.call.served:
		addFor("reads the answer", func(s *ordersState, m *machine) { s.handleReply(i, m) })
	}
	s.timeoutSteps(m, addFor)
}

// timeoutSteps adds the time-out of a call: the machine stops waiting, and the store may
// still serve the call later.
func (s *ordersState) timeoutSteps(m *machine, addFor func(string, func(*ordersState, *machine))) {
	if m.call.kind != leaseNone && !m.call.served && s.now > m.call.sentAt && s.faultsLeft > 0 {
		addFor("has no answer and waits no longer", func(s *ordersState, m *machine) { s.timeOut(m) })
	}
}

// storeSteps adds the store's handling of a call, before or after its time-out.
func (s *ordersState) storeSteps(i int, m *machine, addFor func(string, func(*ordersState, *machine))) {
	if m.abandoned.kind != leaseNone {
		addFor("is served late", func(s *ordersState, m *machine) {
			s.serve(i, &m.abandoned)
			m.abandoned = leaseCall{}
		})
	}
	if s.mayServeAgain(&m.abandoned) {
		addFor("is served late, under numbers that were given out again", func(s *ordersState, m *machine) {
			s.serveAgain(i, &m.abandoned)
			m.abandoned = leaseCall{}
		})
	}
	if m.call.kind == leaseNone || m.call.served {
		return
	}
	addFor("is served by the store", func(s *ordersState, m *machine) { s.serve(i, &m.call) })
	if s.mayServeAgain(&m.call) {
		addFor("is served under numbers that were given out again", func(s *ordersState, m *machine) { s.serveAgain(i, &m.call) })
	}
}

// mayServeAgain reports whether a call from before the store's return could still have an effect if
// the revisions in its guards and the number of its lease were given out again since. The guard that
// a key doesn't exist has no number.
func (s *ordersState) mayServeAgain(c *leaseCall) bool {
	return s.era > c.era && (c.kind == leaseSettle || c.kind == leaseClaim && (c.holderRevision != 0 || s.holder == 0))
}

// serveAgain carries out a call whose numbers were given out again. Its answer is of the new era, so
// that its sender takes it for failed.
func (s *ordersState) serveAgain(i int, c *leaseCall) {
	c.served, c.servedEra = true, s.era
	s.revision++
	s.lastHolder, s.lastHolderRevision = s.recordName(i, c.era), s.revision
	if c.kind == leaseClaim {
		s.holder, s.expires, s.leaseID, s.holderRevision = i+1, s.now+ordersTTL, s.revision, s.revision
		s.lastHolder = tenure.HolderRecord(s.noOtherHolder(c, i), s.lastHolder)
	}
}

func (s *ordersState) serve(i int, c *leaseCall) {
	c.served, c.servedEra = true, s.era
	if c.kind == leaseRenew {
		c.succeeded = s.holder == i+1 && s.leaseID == c.leaseID && s.sameEra(c)
		if c.succeeded {
			s.expires = s.now + ordersTTL
		}
		return
	}
	if c.kind == leaseSettle {
		if c.succeeded = c.lastHolderRevision == s.lastHolderRevision && s.sameEra(c); c.succeeded {
			s.revision++
			s.lastHolder, s.lastHolderRevision = s.recordName(i, c.era), s.revision
		}
		return
	}
	expires := c.sentAt + ordersTTL // the lease was granted right after the keys were read
	unchanged := c.holderRevision == s.holderRevision && c.lastHolderRevision == s.lastHolderRevision
	if s.now >= expires || !unchanged && s.disabled != mechanismGuarded || !s.sameEra(c) {
		return
	}
	s.revision++
	s.holder, s.expires, s.leaseID = i+1, expires, s.revision
	s.lastHolder, s.holderRevision, s.lastHolderRevision = tenure.HolderRecord(s.noOtherHolder(c, i), s.recordName(i, c.era)), s.revision, s.revision
	if s.disabled == mechanismSettled {
		s.lastHolder = s.recordName(i, c.era)
	}
	c.succeeded, c.fence = true, s.revision
}

// handleReply does what the code around the core does with a reply.
func (s *ordersState) handleReply(i int, m *machine) {
	c := m.call
	m.call = leaseCall{}
	now, requestedAt := s.clock(m), c.requestedAt
	if c.servedEra > m.era && c.kind != leaseRenew {
		s.seeEra(m)
	}
	if s.disabled == mechanismSent {
		requestedAt = now
	}
	switch {
	case c.kind == leaseClaim && c.succeeded:
		s.acquire(i, m, &c, time.Duration(requestedAt))
	case c.kind == leaseSettle:
		m.unsettledRevision = 0 // recorded, or another holder has taken over
	case c.kind == leaseRenew && (c.succeeded || s.disabled == mechanismEnded):
		m.orderLease.Renewed(time.Duration(requestedAt))
	case c.kind == leaseRenew && s.era > c.era && m.orderLease.Held(time.Duration(now)):
		m.leaseID = 0 // claimed again; meanwhile the lost lease holds by the machine's clock
		s.seeEra(m)
	case c.kind == leaseRenew:
		m.orderLease.Lost()
		m.leaseID = 0
	}
}

func (s *ordersState) acquire(i int, m *machine, c *leaseCall, requestedAt time.Duration) {
	now, fence := time.Duration(s.clock(m)), fleet.Fence(c.fence)
	noOtherHolder := s.noOtherHolder(c, i)
	m.leaseID, m.unsettledRevision = c.fence, 0
	if !noOtherHolder {
		m.unsettledRevision = c.fence
	}
	switch {
	case c.held:
		m.orderLease.Reacquired(requestedAt, fence)
	case c.recordHolds || s.disabled == mechanismUnended:
		m.orderLease.Acquired(now, requestedAt, fence, noOtherHolder)
	default:
		m.orderLease.AcquiredWithoutRecord(now, requestedAt, fence, time.Duration(m.eraSince))
	}
}

func (s *ordersState) noOtherHolder(c *leaseCall, i int) bool {
	if c.held {
		return c.mayOrder
	}
	return s.disabled == mechanismLast || c.recordHolds && tenure.NoOtherHolder(c.lastHolder, s.recordName(i, c.era))
}

// recordName is the name under which a machine is on record.
func (s *ordersState) recordName(i, era int) string {
	if s.disabled == mechanismRecord {
		era = 0
	}
	return tenure.InEra(machineName(i), int64(era))
}

func (s *ordersState) recordHolds(m *machine) bool {
	return s.disabled == mechanismRecord || tenure.RecordHolds(s.lastHolder, int64(m.era), m.seenReturn)
}

// seeEra records the store's era as a machine learns it from an answer.
func (s *ordersState) seeEra(m *machine) {
	if m.era == s.era {
		return
	}
	m.seenReturn = m.seenReturn || m.era >= 0
	m.era, m.eraSince = s.era, s.clock(m)
}

// sameEra reports whether a call's guards and lease are of the store's era.
func (s *ordersState) sameEra(c *leaseCall) bool { return s.disabled == mechanismEra || c.era == s.era }

// returnSteps adds that the store comes back from the copy, if there is one.
func (s *ordersState) returnSteps(add func(string, func(*ordersState))) {
	if !s.copied.made || s.era > 0 || s.faultsLeft == 0 {
		return
	}
	add("the store comes back from the copy", func(s *ordersState) {
		s.faultsLeft--
		s.era++
		c := s.copied
		s.holder, s.holderRevision, s.lastHolder, s.lastHolderRevision = 0, 0, c.lastHolder, c.lastRevision
		if s.disabled == mechanismEra {
			s.revision = c.revision // given out again
		} else {
			s.revision++
			s.lastHolderRevision = s.revision
		}
	})
}

func machineName(i int) string { return fmt.Sprint("m", i+1) }

// timeOut does what the code around the core does after a time-out.
func (s *ordersState) timeOut(m *machine) {
	s.faultsLeft--
	kind := m.call.kind
	if m.call.kind != leaseRenew { // a late renewal only lengthens a lease
		m.abandoned = m.call
	}
	m.call = leaseCall{}
	if kind == leaseRenew && !m.orderLease.Held(time.Duration(s.clock(m))) {
		m.orderLease.Lost()
		m.leaseID = 0
	}
}
