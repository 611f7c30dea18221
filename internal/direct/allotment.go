package direct

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// allotmentParts is the number of equal parts in which allotments are kept, each by an owner
	// of its own: one in each of two regions, so that requests seldom wait for the other region,
	// and half of an allotment is left while an owner is lost.
	allotmentParts = 2
	// portionsTimeout limits the call that asks for portions ahead, urgentTimeout that for which a
	// request waits: a round trip between regions.
	portionsTimeout = 250 * time.Millisecond
	urgentTimeout   = 60 * time.Millisecond
	// ownerBackoff is how long requests do not wait for an owner that has not answered.
	ownerBackoff = 300 * time.Millisecond
	// renewalRounds is the number of rounds between two renewals of what is lent, if nothing
	// else is asked: two within a lease.
	renewalRounds = 2
)

// allotments is what an instance knows of the workspaces' allotments.
type allotments struct {
	lenders  []*allotment.Lender
	accounts []*allotment.Accounts // for the parts that this instance owns
	credits  map[string]*allotment.Credit
	limits   map[string]allotment.Limit
	rounds   int
	// successors are those to whom this instance has handed over the parts that it owned.
	successors [allotmentParts]*allotment.Successor
	// silentUntil is until when requests don't wait for the owner of a part.
	silentUntil [allotmentParts]time.Duration
}

func newAllotments(now time.Duration, self member.Peer) *allotments {
	a := &allotments{credits: make(map[string]*allotment.Credit)}
	for range allotmentParts {
		a.lenders = append(a.lenders, allotment.NewLender(now, self.Instance))
		a.accounts = append(a.accounts, allotment.NewAccounts(now, self.Incarnation))
	}
	return a
}

// setLimits applies the allotments of a configuration.
func (a *allotments) setLimits(now time.Duration, workspaces []catalog.Workspace) {
	a.limits = make(map[string]allotment.Limit)
	parts := make(map[string]allotment.Limit)
	for i := range workspaces {
		if w := &workspaces[i]; w.Limited() {
			a.limits[w.Name] = allotment.Limit{Rate: w.Rate, Burst: w.Burst}
			parts[w.Name] = a.limits[w.Name].Part(allotmentParts)
		}
	}
	for _, b := range a.accounts {
		b.SetLimits(now, parts)
	}
	maps.DeleteFunc(a.credits, func(name string, _ *allotment.Credit) bool {
		_, ok := a.limits[name]
		return !ok
	})
}

func (a *allotments) credit(workspace string) *allotment.Credit {
	w := a.credits[workspace]
	if w == nil {
		w = allotment.NewCredit(workspace, allotmentParts)
		a.credits[workspace] = w
	}
	return w
}

// portionsCall is a question to the owner of a part of the allotments.
type portionsCall struct {
	owner    fleet.Instance
	address  string // empty if this instance is the owner
	question *gossip.Portions
	askedAt  time.Duration
}

// plannedCalls returns the calls of a round: portions ahead of demand, and what is lent.
func (s *state) plannedCalls() []portionsCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now := s.allotments, s.uptime()
	if len(a.limits) == 0 {
		return nil
	}
	a.rounds++
	var calls []portionsCall
	for part := range allotmentParts {
		var wants []allotment.Want
		for _, name := range slices.Sorted(maps.Keys(a.credits)) {
			if want, ok := a.credits[name].Plan(now, part, a.lenders[part].Incarnation()); ok {
				wants = append(wants, want)
			}
		}
		if len(wants) == 0 && a.rounds%renewalRounds != 0 && a.lenders[part].Lending() {
			continue
		}
		if c, ok := s.portionsCall(now, part, wants); ok {
			calls = append(calls, c)
		}
	}
	maps.DeleteFunc(a.credits, func(_ string, w *allotment.Credit) bool { return w.Idle(now) })
	return calls
}

// portionsCall returns the call to the owner of a part. ok is false if its address isn't known.
func (s *state) portionsCall(now time.Duration, part int, wants []allotment.Want) (portionsCall, bool) {
	owner, offer := s.allotments.lenders[part].Offer(now, s.allotmentOwner(part), len(s.view.All()))
	if !s.view.ListReceived() {
		offer.Share = 0 // the number of instances isn't known
	}
	p, ok := s.view.Get(owner)
	c := portionsCall{owner: owner, address: p.Address, question: &gossip.Portions{Part: part, Offer: offer, Wants: wants}, askedAt: now}
	if owner == s.view.Self().Instance {
		c.address = ""
	}
	return c, ok
}

// allotmentOwner returns the instance that should own a part: in the part's region if it has one.
func (s *state) allotmentOwner(part int) fleet.Instance {
	regions := s.sortedRegions()
	p, ok := s.view.Dispatcher(fleet.Endpoint(fmt.Sprint("allotment/", part)), fleet.Place{Region: regions[part%len(regions)]})
	if !ok {
		return s.view.Self().Instance
	}
	return p.Instance
}

func (s *state) sortedRegions() []fleet.Region {
	regions := []fleet.Region{s.place.Region}
	for _, r := range s.regions {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// answerPortions decides as the owner of a part.
func (s *state) answerPortions(q *gossip.Portions) *gossip.PortionsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Part < 0 || q.Part >= allotmentParts {
		return &gossip.PortionsReply{}
	}
	b, now := s.allotments.accounts[q.Part], s.uptime()
	reply := &gossip.PortionsReply{Stamp: b.Stamp(now), Successor: s.allotments.successors[q.Part]}
	b.Lend(now, q.Offer)
	for _, w := range q.Wants {
		if q.Offer.Stamp.Incarnation != reply.Stamp.Incarnation {
			w.Returns = nil // another start granted them
		}
		reply.Grants = append(reply.Grants, b.Grant(now, q.Offer.Lender, w))
	}
	return reply
}

// ownerFailed records that the owner of a part has not answered.
func (s *state) ownerFailed(part int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotments.silentUntil[part] = s.uptime() + ownerBackoff
}

// ownerSilent reports whether requests shouldn't wait for the owner of a part.
func (s *state) ownerSilent(part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.uptime() < s.allotments.silentUntil[part]
}

// receivePortions applies the reply to a call. again is set if the owner has handed over to another, which
// the next call asks the same, or if the share can be lent now that the owner's stamp is known.
func (s *state) receivePortions(c *portionsCall, r *gossip.PortionsReply) (next portionsCall, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now, part := s.allotments, s.uptime(), c.question.Part
	a.lenders[part].Received(now, c.owner, r.Stamp)
	if r.Successor != nil {
		a.lenders[part].Moved(now, c.owner, r.Stamp.Incarnation, *r.Successor)
		wants := slices.Clone(c.question.Wants)
		for i := range wants {
			wants[i].Returns = nil // another owner granted them
		}
		next, known := s.portionsCall(now, part, wants)
		return next, known && next.owner != c.owner
	}
	for i := range min(len(r.Grants), len(c.question.Wants)) {
		want := c.question.Wants[i]
		if _, ok := a.limits[want.Workspace]; ok {
			a.credit(want.Workspace).Receive(now, c.askedAt, part, r.Stamp.Incarnation, want, r.Grants[i])
		}
	}
	if c.question.Offer.Share > 0 {
		return portionsCall{}, false
	}
	next, known := s.portionsCall(now, part, nil)
	return next, known && next.question.Offer.Share > 0
}

// handOver closes the accounts of a part for a successor that has sent a stamp. ok is false if nothing is lent
// to this instance.
func (s *state) handOver(part int, successor allotment.Stamp) (question *gossip.HandOver, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, now := s.allotments.accounts[part], s.uptime()
	if successor.Incarnation == "" || !b.Lent(now) {
		return nil, false
	}
	return &gossip.HandOver{Part: part, Handover: b.HandOver(now, successor)}, true
}

// successor returns the instance that takes over a part which this instance owns, as it leaves.
func (s *state) successor(part int) (p member.Peer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	agreed := feature.Agreed(feature.Handover, s.loadFeatures.announced, s.loadFeatures.othersKnown, s.announcements())
	if !agreed || !s.allotments.accounts[part].Lent(s.uptime()) {
		return member.Peer{}, false // lenders of an earlier build would ask this instance until their leases end
	}
	p, ok = s.view.Get(s.allotmentOwner(part))
	return p, ok && p.Instance != s.view.Self().Instance
}

// handedOver records that a successor has taken over a part.
func (s *state) handedOver(part int, to allotment.Successor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotments.successors[part] = &to
}

// takeOver answers a leaving owner.
func (s *state) takeOver(q *gossip.HandOver) *gossip.HandOverReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Part < 0 || q.Part >= allotmentParts {
		return &gossip.HandOverReply{}
	}
	b, now := s.allotments.accounts[q.Part], s.uptime()
	return &gossip.HandOverReply{Stamp: b.Stamp(now), Taken: b.TakeOver(now, &q.Handover)}
}

// charge takes the cost of a request from the credit of its workspace at this instance.
func (s *state) charge(w *catalog.Workspace, cost float64, first bool) (allotment.Receipt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.uptime()
	if _, ok := s.allotments.limits[w.Name]; !ok {
		return allotment.Receipt{}, true // it has no limit in the newest configuration
	}
	credit := s.allotments.credit(w.Name)
	if first {
		credit.Count(now, cost)
	}
	return credit.Charge(now, cost)
}

// urgentCall returns the call with which a request that lacks credit asks the owner of a part, as
// long as so many others can be asked after it. ok is false if the owner had none just before.
func (s *state) urgentCall(w *catalog.Workspace, cost float64, part, others int) (portionsCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.uptime()
	credit := s.allotments.credit(w.Name)
	if !credit.MayAsk(now, part) {
		return portionsCall{}, false
	}
	return s.portionsCall(now, part, []allotment.Want{credit.Urgent(part, credit.Missing(now, cost), others)})
}

// refuseCharge returns when a refused request's workspace has room for it.
func (s *state) refuseCharge(w *catalog.Workspace, cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allotments.credit(w.Name).Refuse(s.uptime(), cost, w.Rate)
}

// Refund gives back what was charged for a request that has not run.
func (s *state) Refund(r allotment.Receipt) {
	if r.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.allotments.limits[r.Workspace()]; ok {
		s.allotments.credit(r.Workspace()).Refund(s.uptime(), r)
	}
}

// FairLevel returns the rank with which a request waits whose workspace has a rank of its own.
func (s *state) FairLevel(level int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.Level(s.uptime(), level)
}

// RecordService counts the end of a request whose workspace has a rank of its own.
func (s *state) RecordService(level int, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Record(s.uptime(), level, served)
}

// firstPart is the part whose owner is near, if it is in the part's region.
func (s *state) firstPart() int {
	return max(0, slices.Index(s.sortedRegions(), s.place.Region)) % allotmentParts
}

// Charge takes the cost of a request from its workspace's allotment: from the portions at hand,
// else from the owners. If neither has enough, the error is ErrOverAllotment and wait is when
// there is room again; it is ErrNoAllotment if no owner answers.
func (g gatewayFleet) Charge(ctx context.Context, w *catalog.Workspace, cost float64) (r allotment.Receipt, wait time.Duration, err error) {
	if !w.Limited() {
		return allotment.Receipt{}, 0, nil
	}
	r, ok := g.charge(w, cost, true)
	failed := 0
	for i := 0; !ok && i < allotmentParts; i++ {
		part := (g.firstPart() + i) % allotmentParts
		if g.ownerSilent(part) {
			failed++
			continue
		}
		c, mayAsk := g.urgentCall(w, cost, part, allotmentParts-1-i)
		if !mayAsk {
			continue
		}
		if err := g.node.askForPortions(ctx, &c, urgentTimeout); err != nil {
			failed++
		}
		r, ok = g.charge(w, cost, false)
	}
	switch {
	case ok:
		return r, 0, nil
	case failed == allotmentParts:
		return r, allotment.LeaseTime, gateway.ErrNoAllotment
	}
	return r, g.refuseCharge(w, cost), gateway.ErrOverAllotment
}

// askForPortions asks the owner of a part, and the one to which it has handed over, and applies the replies.
func (n *Node) askForPortions(ctx context.Context, c *portionsCall, timeout time.Duration) error {
	reply, err := n.callOwner(ctx, c, timeout)
	if err != nil {
		return err
	}
	next, again := n.state.receivePortions(c, reply)
	if !again {
		return nil
	}
	if reply, err = n.callOwner(ctx, &next, timeout); err == nil {
		n.state.receivePortions(&next, reply)
	}
	return err
}

// callOwner makes a call to the owner of a part.
func (n *Node) callOwner(ctx context.Context, c *portionsCall, timeout time.Duration) (*gossip.PortionsReply, error) {
	if c.address == "" {
		return n.state.answerPortions(c.question), nil
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.gossip.Portions(limited, c.address, c.question)
	if err != nil {
		if ctx.Err() == nil { // else the caller has left
			n.state.ownerFailed(c.question.Part)
		}
		_ = level.Warn(n.logger).Log("step", "portions", "part", c.question.Part, "peer", c.owner, "wants", len(c.question.Wants), "err", err)
	}
	return reply, err
}

// handOverAllotments has other instances take over the parts of the allotments that this one owns.
func (n *Node) handOverAllotments(ctx context.Context) {
	var group errgroup.Group
	for part := range allotmentParts {
		group.Go(func() error {
			if err := n.handOverPart(ctx, part); err != nil {
				_ = level.Warn(n.logger).Log("step", "hand over", "part", part, "err", err) // what was lent ends with its lease
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (n *Node) handOverPart(ctx context.Context, part int) error {
	p, ok := n.state.successor(part)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, portionsTimeout)
	defer cancel()
	reply, err := n.gossip.HandOver(ctx, p.Address, &gossip.HandOver{Part: part})
	if err != nil {
		return err
	}
	question, ok := n.state.handOver(part, reply.Stamp)
	if !ok {
		return nil
	}
	if reply, err = n.gossip.HandOver(ctx, p.Address, question); err != nil {
		return err
	}
	if !reply.Taken {
		return fmt.Errorf("peer %s has not taken over", p.Instance)
	}
	n.state.handedOver(part, allotment.Successor{Instance: p.Instance, Stamp: reply.Stamp})
	_ = level.Info(n.logger).Log("step", "hand over", "part", part, "peer", p.Instance)
	return nil
}

// refillPortions asks the owners of all parts for portions ahead of demand, and renews what is
// lent to them.
func (n *Node) refillPortions(ctx context.Context) {
	var group errgroup.Group
	for _, c := range n.state.plannedCalls() {
		group.Go(func() error {
			_ = n.askForPortions(ctx, &c, portionsTimeout) // logged; the next round asks again
			return nil
		})
	}
	_ = group.Wait()
}

// Portions answers another instance as the owner of a part of the allotments.
func (n *Node) Portions(_ context.Context, q *gossip.Portions) (*gossip.PortionsReply, error) {
	return n.state.answerPortions(q), nil
}

// HandOver takes over a part of the allotments from an instance that leaves.
func (n *Node) HandOver(_ context.Context, q *gossip.HandOver) (*gossip.HandOverReply, error) {
	return n.state.takeOver(q), nil
}
