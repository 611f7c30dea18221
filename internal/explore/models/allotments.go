package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// Mechanisms of the allotments model.
const (
	mechanismBound    = "bound"
	mechanismHold     = "hold"
	mechanismStarted  = "started"
	mechanismStamped  = "stamped"
	mechanismAnother  = "another"
	mechanismAsked    = "asked"
	mechanismGivenOut = "given-out"

	mechanismClosed         = "closed"
	mechanismHandedLease    = "handed-lease"
	mechanismHandedPortions = "handed-portions"
)

const (
	allotmentsTick      = 250 * time.Millisecond
	allotmentsStart     = time.Hour
	allotmentsWorkspace = "w"
	allotmentsLender    = fleet.Instance("lender")
	allotmentsLongTicks = 9 // until the end of a lease and of what it backed
	maxAllotmentsFaults = 2
	allotmentsWarmUp    = 12 // ticks until the first owner has all the credit that it can have
	allotmentsRounding  = 1e-6
	noOwner             = -1
)

var (
	errUsedTwice      = errors.New("owners may use more than the whole allotment")
	errTooMuchUnspent = errors.New("more is unspent than the allotment allows")
	allotmentsLimit   = allotment.Limit{Rate: 1, Burst: 0.5}
)

func allotmentsModel() Model {
	return Model{
		Name:          "allotments",
		Promise:       "all instances together never admit more than rate, burst and the time of a portion allow",
		CodeUnderTest: "internal/core/allotment, Lender, Accounts and Credit",
		Mechanisms: []Mechanism{
			{mechanismBound, "a share that was lent isn't lent to another owner before the lease has ended"},
			{mechanismHold, "nor before the portions that it backed have ended"},
			{mechanismStarted, "an instance lends nothing until what it may have lent before its start has ended"},
			{mechanismStamped, "a lease counts from the owner's stamp, not from the arrival of the offer"},
			{mechanismAnother, "a start of an owner doesn't accept what was offered to the one before"},
			{mechanismAsked, "a portion's time counts from the question, not from its reply"},
			{mechanismGivenOut, "credit in portions counts as unspent until they end"},
		},
		Start: func(disabled string) explore.State { return newAllotmentsState(disabled, false) },
	}
}

func handoverModel() Model {
	return Model{
		Name:          "handover",
		Promise:       "the same while owners leave and hand over to each other",
		CodeUnderTest: "internal/core/allotment, Lender, Accounts and Credit",
		Mechanisms: []Mechanism{
			{mechanismClosed, "an owner that has handed over grants nothing any more"},
			{mechanismHandedLease, "what is left of a lease that is handed over counts from the successor's stamp"},
			{mechanismHandedPortions, "a successor counts what the owner before it has in portions"},
		},
		Start: func(disabled string) explore.State { return newAllotmentsState(disabled, true) },
	}
}

// allotmentsState is an instance with the only share, two owners to lend it to, and a call
// between them that is delayed: for any time, which also stands for freezes. Other calls are
// answered at once. The share has been lent to the first owner for a while.
type allotmentsState struct {
	disabled   string
	leaving    bool // owners may leave and hand over
	warm       bool // the first owner has credit, and a mechanism may be off
	ticks      int
	faultsLeft int
	candidate  int // the owner that the instance should ask
	lender     *allotment.Lender
	credit     *allotment.Credit
	accounts   [2]*allotment.Accounts
	starts     [2]int
	delayed    *portionsCall
	successors [2]*allotment.Successor // to whom the owners have handed over
	handed     *handedOver
}

// handedOver is what an owner hands over to the other, on its way.
type handedOver struct {
	from    int
	content allotment.Handover
}

// portionsCall is a call to an owner.
type portionsCall struct {
	owner    int
	orphan   bool // the caller has restarted
	answered bool
	askedAt  time.Duration
	offer    allotment.Offer
	want     allotment.Want
	stamp    allotment.Stamp
	grant    allotment.Grant
	// successor is to whom the owner had handed over.
	successor *allotment.Successor
}

func newAllotmentsState(disabled string, leaving bool) *allotmentsState {
	s := &allotmentsState{disabled: disabled, leaving: leaving, faultsLeft: maxAllotmentsFaults, credit: allotment.NewCredit(allotmentsWorkspace, 1)}
	s.lender = s.newLender(true)
	for i := range s.accounts {
		s.accounts[i] = s.newAccounts(i)
	}
	for range allotmentsWarmUp {
		s.pass()
		c := s.ask()
		s.answer(c)
		s.receive(c)
	}
	s.warm = true
	return s
}

// off reports whether a mechanism is switched off now.
func (s *allotmentsState) off(mechanism string) bool { return s.warm && s.disabled == mechanism }

func (s *allotmentsState) now() time.Duration {
	return allotmentsStart + time.Duration(s.ticks)*allotmentsTick
}

// newLender returns the lender of a start, or of one long ago.
func (s *allotmentsState) newLender(longAgo bool) *allotment.Lender {
	at := s.now()
	if longAgo {
		at -= allotment.LeaseTime + allotment.PortionTime
	}
	if s.disabled == mechanismHold {
		return allotment.NewLender(at, allotmentsLender, allotment.WithHold(0))
	}
	return allotment.NewLender(at, allotmentsLender)
}

func (s *allotmentsState) newAccounts(i int) *allotment.Accounts {
	incarnation := fmt.Sprint(allotmentsOwner(i), s.starts[i])
	if s.disabled == mechanismAnother {
		incarnation = fmt.Sprint(allotmentsOwner(i))
	}
	b := allotment.NewAccounts(s.now(), incarnation)
	b.SetLimits(s.now(), map[string]allotment.Limit{allotmentsWorkspace: allotmentsLimit})
	return b
}

func allotmentsOwner(i int) fleet.Instance { return fleet.Instance([]string{"a", "b"}[i]) }

// Key implements explore.State.
func (s *allotmentsState) Key() string {
	var b strings.Builder
	now := s.now()
	newest := func(owner string) uint64 {
		for _, one := range s.accounts {
			if one.Stamp(now).Incarnation == owner {
				return one.LastID()
			}
		}
		return 0
	}
	fmt.Fprint(&b, s.faultsLeft, s.candidate, s.starts, "|", s.lender.Fingerprint(now), "|", s.credit.Fingerprint(now, newest))
	for _, one := range s.accounts {
		fmt.Fprint(&b, "|", one.Fingerprint(now))
	}
	if s.delayed != nil {
		b.WriteString("|" + s.delayed.key(now, newest))
	}
	for _, one := range s.successors {
		b.WriteString("|" + successorKey(now, one))
	}
	if h := s.handed; h != nil {
		fmt.Fprint(&b, "|", h.from, h.content.Stamp.Incarnation, min(now-h.content.Stamp.At, allotment.LeaseTime), h.content.Shares)
		for _, one := range h.content.Accounts {
			fmt.Fprintf(&b, " %.4f %.4f", one.Level, one.Outstanding)
		}
	}
	return b.String()
}

func successorKey(now time.Duration, s *allotment.Successor) string {
	if s == nil {
		return ""
	}
	return fmt.Sprint(s.Instance, s.Stamp.Incarnation, min(now-s.Stamp.At, allotment.LeaseTime))
}

func (c *portionsCall) key(now time.Duration, newest func(string) uint64) string {
	age := func(stamp allotment.Stamp) time.Duration { return min(now-stamp.At, allotment.LeaseTime) }
	var b strings.Builder
	fmt.Fprint(&b, c.owner, c.orphan, c.answered, min(now-c.askedAt, allotment.PortionTime))
	if !c.answered {
		fmt.Fprint(&b, c.offer.Share, c.offer.Stamp.Incarnation, age(c.offer.Stamp))
		for _, r := range c.want.Returns {
			fmt.Fprintf(&b, " %d %.4f", newest(c.offer.Stamp.Incarnation)-r.ID, r.Amount)
		}
		return b.String()
	}
	b.WriteString(successorKey(now, c.successor))
	fmt.Fprintf(&b, "%s %s %.4f %d", c.stamp.Incarnation, age(c.stamp), c.grant.Amount, newest(c.stamp.Incarnation)-c.grant.ID)
	return b.String()
}

// Check implements explore.State.
func (s *allotmentsState) Check() error {
	now := s.now()
	usable, unspent := 0.0, s.credit.Clone().Credit(now)
	for _, b := range s.accounts {
		one := b.Clone()
		usable += one.Usable(now)
		unspent += one.Credit(now, allotmentsWorkspace)
	}
	if usable > 1+allotmentsRounding {
		return fmt.Errorf("%w: %g times", errUsedTwice, usable)
	}
	if most := allotmentsLimit.Burst + allotmentsLimit.Rate*allotment.PortionTime.Seconds(); unspent > most+allotmentsRounding {
		return fmt.Errorf("%w: %g, allowed %g", errTooMuchUnspent, unspent, most)
	}
	return nil
}

// Steps implements explore.State.
func (s *allotmentsState) Steps() []explore.Step {
	var steps []explore.Step
	add := func(name string, do func(s *allotmentsState)) {
		steps = append(steps, explore.Step{Name: name, Take: func() explore.State {
			next := s.clone()
			do(next)
			return next
		}})
	}
	add(fmt.Sprintf("%s pass", allotmentsTick), (*allotmentsState).pass)
	add(fmt.Sprintf("%s pass", allotmentsLongTicks*allotmentsTick), func(s *allotmentsState) {
		for range allotmentsLongTicks {
			s.pass()
		}
	})
	other := 1 - s.candidate
	add(fmt.Sprintf("instance takes %s for the owner", allotmentsOwner(other)), func(s *allotmentsState) {
		s.candidate = other
		if s.disabled == mechanismBound {
			s.lender = s.newLender(true)
		}
	})
	add("instance asks for portions and gets the reply", func(s *allotmentsState) {
		c := s.ask()
		s.answer(c)
		s.receive(c)
	})
	s.delayedSteps(add)
	s.handOverSteps(add)
	if s.faultsLeft > 0 {
		add("instance restarts", (*allotmentsState).restart)
		for i := range s.accounts {
			add(fmt.Sprintf("owner %s restarts", allotmentsOwner(i)), func(s *allotmentsState) {
				s.faultsLeft--
				s.starts[i]++
				s.accounts[i], s.successors[i] = s.newAccounts(i), nil
				if s.handed != nil && s.handed.from == i {
					s.handed.from = noOwner
				}
			})
		}
	}
	return steps
}

// delayedSteps adds the steps of a call that is delayed on the way there or back, or lost.
func (s *allotmentsState) delayedSteps(add func(string, func(*allotmentsState))) {
	switch c := s.delayed; {
	case c == nil:
		add("instance asks for portions in a call that is delayed", func(s *allotmentsState) { s.delayed = s.ask() })
		return
	case !c.answered:
		add("the delayed call is answered", func(s *allotmentsState) {
			s.answer(s.delayed)
			if s.delayed.orphan {
				s.delayed = nil
			}
		})
	default:
		add("the delayed call returns", func(s *allotmentsState) {
			s.receive(s.delayed)
			s.delayed = nil
		})
	}
	add("the delayed call is lost", func(s *allotmentsState) { s.delayed = nil })
}

// handOverSteps adds the steps of an owner that leaves and hands over to the other.
func (s *allotmentsState) handOverSteps(add func(string, func(*allotmentsState))) {
	if s.handed != nil {
		add("what was handed over arrives", (*allotmentsState).takeOver)
		add("what was handed over is lost", func(s *allotmentsState) { s.handed = nil })
		return
	}
	for i, b := range s.accounts {
		if s.leaving && s.successors[i] == nil && b.Clone().Lent(s.now()) {
			add(fmt.Sprintf("owner %s hands over", allotmentsOwner(i)), func(s *allotmentsState) {
				from := s.accounts[i]
				if s.off(mechanismClosed) {
					from = from.Clone()
				}
				s.handed = &handedOver{i, from.HandOver(s.now(), s.accounts[1-i].Stamp(s.now()))}
			})
		}
	}
}

func (s *allotmentsState) takeOver() {
	now, content, from := s.now(), s.handed.content, s.handed.from
	to := slices.IndexFunc(s.accounts[:], func(b *allotment.Accounts) bool { return b.Stamp(now).Incarnation == content.Stamp.Incarnation })
	s.handed = nil
	if to < 0 {
		return
	}
	if s.off(mechanismHandedLease) {
		content.Stamp.At = now
	}
	if s.off(mechanismHandedPortions) {
		content.Accounts = slices.Clone(content.Accounts)
		for i := range content.Accounts {
			content.Accounts[i].Outstanding = 0
		}
	}
	if s.accounts[to].TakeOver(now, &content) && from != noOwner {
		s.successors[from] = &allotment.Successor{Instance: allotmentsOwner(to), Stamp: s.accounts[to].Stamp(now)}
	}
}

// pass lets a tick pass. Owners that accrue credit at each one accrue the most.
func (s *allotmentsState) pass() {
	s.ticks++
	for _, b := range s.accounts {
		b.Usable(s.now())
	}
}

func (s *allotmentsState) clone() *allotmentsState {
	next := *s
	next.lender, next.credit = s.lender.Clone(), s.credit.Clone()
	if s.delayed != nil {
		c := *s.delayed
		next.delayed = &c
	}
	if s.handed != nil {
		h := *s.handed
		next.handed = &h
	}
	for i, b := range s.accounts {
		next.accounts[i] = b.Clone()
	}
	return &next
}

// ask asks for all that there is, and gives back what ends soon.
func (s *allotmentsState) ask() *portionsCall {
	owner, offer := s.lender.Offer(s.now(), allotmentsOwner(s.candidate), 1)
	want, _ := s.credit.Plan(s.now(), 0, offer.Stamp.Incarnation)
	want.Amount, want.Urgent = allotmentsLimit.Burst+allotmentsLimit.Rate, true
	return &portionsCall{owner: slices.Index([]fleet.Instance{"a", "b"}, owner), askedAt: s.now(), offer: offer, want: want}
}

// answer has an owner answer a call, as instances do.
func (s *allotmentsState) answer(c *portionsCall) {
	now := s.now()
	b := s.accounts[c.owner]
	offer, want := c.offer, c.want
	if s.off(mechanismStamped) && offer.Share > 0 && offer.Stamp.Incarnation == b.Stamp(now).Incarnation {
		offer.Stamp = b.Stamp(now)
	}
	b.Lend(now, offer)
	if offer.Stamp.Incarnation != b.Stamp(now).Incarnation {
		want.Returns = nil
	}
	c.successor = s.successors[c.owner]
	c.grant, c.stamp, c.answered = b.Grant(now, allotmentsLender, want), b.Stamp(now), true
	if s.off(mechanismGivenOut) && c.grant.Amount > 0 {
		b.Grant(now, allotmentsLender, allotment.Want{Workspace: allotmentsWorkspace, Returns: []allotment.Return{{ID: c.grant.ID, Amount: c.grant.Amount}}})
	}
}

func (s *allotmentsState) receive(c *portionsCall) {
	now, askedAt := s.now(), c.askedAt
	if s.off(mechanismAsked) {
		askedAt = now
	}
	s.lender.Received(now, allotmentsOwner(c.owner), c.stamp)
	if c.successor != nil {
		s.lender.Moved(now, allotmentsOwner(c.owner), c.stamp.Incarnation, *c.successor)
		return
	}
	s.credit.Receive(now, askedAt, 0, c.stamp.Incarnation, c.want, c.grant)
}

// restart loses all that the instance knows. Its calls may still arrive.
func (s *allotmentsState) restart() {
	s.faultsLeft--
	s.lender, s.credit = s.newLender(s.disabled == mechanismStarted), allotment.NewCredit(allotmentsWorkspace, 1)
	if s.delayed != nil {
		s.delayed.orphan = true
		if s.delayed.answered {
			s.delayed = nil
		}
	}
}
