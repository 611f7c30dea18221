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
		if len(wants) == 0 && a.rounds%renewalRounds != 0 {
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
	reply := &gossip.PortionsReply{Stamp: b.Stamp(now)}
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

// receivePortions applies the reply to a call.
func (s *state) receivePortions(c *portionsCall, r *gossip.PortionsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, now, part := s.allotments, s.uptime(), c.question.Part
	a.lenders[part].Received(now, c.owner, r.Stamp)
	for i := range min(len(r.Grants), len(c.question.Wants)) {
		want := c.question.Wants[i]
		if _, ok := a.limits[want.Workspace]; ok {
			a.credit(want.Workspace).Receive(now, c.askedAt, part, r.Stamp.Incarnation, want, r.Grants[i])
		}
	}
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

// askForPortions makes a call to the owner of a part, and applies its reply.
func (n *Node) askForPortions(ctx context.Context, c *portionsCall, timeout time.Duration) error {
	if c.address == "" {
		n.state.receivePortions(c, n.state.answerPortions(c.question))
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.gossip.Portions(limited, c.address, c.question)
	if err != nil {
		if ctx.Err() == nil { // else the caller has left
			n.state.ownerFailed(c.question.Part)
		}
		_ = level.Warn(n.logger).Log("step", "portions", "part", c.question.Part, "peer", c.owner, "wants", len(c.question.Wants), "err", err)
		return err
	}
	n.state.receivePortions(c, reply)
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
