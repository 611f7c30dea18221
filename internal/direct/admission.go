package direct

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/pace"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// admitTimeout limits the question to the instance that admits an endpoint's requests: a
	// round trip between regions. After it the request is sent without being admitted.
	admitTimeout = 60 * time.Millisecond
	// maxOccupancyAge is how old a report may be for the free slots that it shows: a few probes.
	maxOccupancyAge = time.Second
	// outputTokenTime is how long a request in a busy batch takes for each output token.
	outputTokenTime = 10 * time.Millisecond
	// yieldDivisor is the part of its limit up to which a request that yields may fill an endpoint:
	// the rest is left to others.
	yieldDivisor = 4
	// admitterBackoff is how long an instance that didn't answer is not asked again.
	admitterBackoff = time.Second
)

// schedules are the prompts of the endpoints whose requests this instance admits.
type schedules map[incarnation]*pace.Schedule

// incarnation is one start of an endpoint.
type incarnation struct {
	id   fleet.Endpoint
	born int64
}

func (i incarnation) String() string { return string(i.id) + "/" + strconv.FormatInt(i.born, 10) }

// reserve admits a request to an endpoint of this instance and schedules its prompt, unless
// it would wait longer than its limit for a slot, for the prompts ahead, or because the endpoint
// has asked for a limit.
func (s *state) reserve(a *gossip.Admit) *gossip.AdmitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnation{a.Endpoint, a.Born}
	schedule := s.schedules[key]
	if schedule == nil {
		schedule = new(pace.Schedule)
		s.schedules[key] = schedule
	}
	now := s.clock()
	named, hold := s.limit(key), time.Duration(0)
	if named != nil {
		hold = named.all.Wait(now)
	}
	if hold > a.Limit {
		return &gossip.AdmitReply{Wait: hold, Refused: true, Limited: true}
	}
	slotWait := schedule.SlotWait(s.occupancy(now, a.Endpoint), a.Run)
	yields := s.yields(a)
	r := s.reserveInTime(now, schedule, a, slotWait, yields)
	if r.Refused && a.Late != nil {
		r = queue(schedule, now, a, slotWait, yields)
	}
	r.Yields = yields
	if !r.Refused {
		s.recordAdmitted(a)
		r.Hold = hold
		if named != nil {
			named.all.Take(now, named.Limit, 1)
		}
	}
	return r
}

// reserveInTime schedules a prompt if it can be in time. One that yields to others can't unless most of
// its limit is left, nor can one that more urgent ones are expected to displace, if its service lets
// requests wait instead.
func (s *state) reserveInTime(now time.Time, schedule *pace.Schedule, a *gossip.Admit, slotWait time.Duration, yields bool) *gossip.AdmitReply {
	limit := a.Limit
	if yields {
		limit /= yieldDivisor
	}
	if s.keepsLate(a) && schedule.Displaced(now, a.Level) > limit {
		return &gossip.AdmitReply{Wait: max(slotWait, schedule.Displaced(now, a.Level)), Refused: true}
	}
	if slotWait > limit || a.Late != nil && limit <= 0 {
		return &gossip.AdmitReply{Wait: slotWait, Refused: true}
	}
	wait, ok := schedule.Reserve(now, a.Level, a.Work, limit)
	return &gossip.AdmitReply{Wait: wait, Refused: !ok}
}

// keepsLate reports whether requests to an endpoint wait for room.
func (s *state) keepsLate(a *gossip.Admit) bool {
	e := s.roster.Get(a.Endpoint)
	return e != nil && s.queues(e.Service)
}

// yields reports whether a request leaves room to those of other workspaces, as its own surges.
// The decision on its first question holds for the others.
func (s *state) yields(a *gossip.Admit) bool {
	e := s.roster.Get(a.Endpoint)
	if a.Late != nil && (a.Late.Yields || a.Late.Asked) {
		return a.Late.Yields
	}
	if a.Usage == nil || e == nil {
		return false
	}
	shares := s.shares[e.Service]
	if shares == nil {
		shares = new(fairshare.Shares)
		s.shares[e.Service] = shares
	}
	return shares.Surges(s.uptime(), *a.Usage)
}

// queue decides on a request that can't be in time.
func queue(schedule *pace.Schedule, now time.Time, a *gossip.Admit, slotWait time.Duration, yields bool) *gossip.AdmitReply {
	place := schedule.Queue(now, pace.Late{
		ID: a.Late.ID, Level: a.Level, Work: a.Work, Waited: a.Late.Waited, Patience: a.Late.Patience, Asked: a.Late.Asked, Last: a.Late.Last, Yields: yields,
	}, slotWait)
	return &gossip.AdmitReply{Wait: place.Turn, Refused: !place.Admitted, Late: place.Admitted, AskAgain: place.AskAgain, Ahead: place.Ahead, Return: place.Return}
}

// withdraw ends the wait of a request at an endpoint of this instance.
func (s *state) withdraw(a *gossip.Admit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if schedule := s.schedules[incarnation{a.Endpoint, a.Born}]; schedule != nil {
		schedule.Withdraw(a.Late.ID)
	}
}

// occupancy returns what an endpoint reported of its requests, the zero value if that is not
// known or too old.
func (s *state) occupancy(now time.Time, id fleet.Endpoint) pace.Occupancy {
	e := s.roster.Get(id)
	if e == nil || now.Sub(e.Report.Taken) > maxOccupancyAge {
		return pace.Occupancy{}
	}
	return pace.Occupancy{Slots: e.Slots, Requests: e.Report.Running + e.Report.Queued, ReportedAt: e.Report.Taken}
}

// removeIdleSchedules drops the schedules that hold no prompt.
func (s *state) removeIdleSchedules(now time.Time) {
	for key, schedule := range s.schedules {
		if schedule.Idle(now) {
			delete(s.schedules, key)
		}
	}
}

// admitter returns the address of the instance that admits an endpoint's requests, empty if it is
// this one. ok is false if the endpoint is unknown or the instance did not answer lately.
func (s *state) admitter(id fleet.Endpoint) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.roster.Get(id)
	if e == nil {
		return "", false
	}
	p, ok := s.dispatcher(e)
	if !ok || s.clock().Before(s.admitterDownUntil[p.Instance]) {
		return "", false
	}
	if p.Instance == s.view.Self().Instance {
		return "", true
	}
	return p.Address, true
}

// admitterFailed records that the instance that admits an endpoint's requests did not answer.
func (s *state) admitterFailed(id fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.roster.Get(id); e != nil {
		if p, ok := s.dispatcher(e); ok {
			s.admitterDownUntil[p.Instance] = s.clock().Add(admitterBackoff)
		}
	}
}

// Admit decides on a request of another instance.
func (n *Node) Admit(_ context.Context, a *gossip.Admit) (*gossip.AdmitReply, error) {
	return n.state.admit(a), nil
}

func (s *state) admit(a *gossip.Admit) *gossip.AdmitReply {
	if a.Late != nil && a.Late.Withdrawn {
		s.withdraw(a)
		return &gossip.AdmitReply{Refused: true}
	}
	if a.Rate != nil {
		s.mu.Lock()
		s.receiveLimit(a.Rate, 0, "admit")
		s.mu.Unlock()
	}
	s.receiveAnswers(a.Answers)
	if a.Endpoint == "" {
		return new(gossip.AdmitReply)
	}
	asked := a.Work
	s.scaleToSpeed(a)
	s.scaleToCache(a)
	reply := s.reserve(a)
	s.addBacklog(a, reply)
	if a.Work != asked {
		reply.Work = a.Work
	}
	return reply
}

// Admit asks when a request may be sent to the target. It is refused if that is too late. If the instance that admits the endpoint's requests doesn't answer, the request may be sent at
// once, or under this instance's part of a limit that the endpoint has asked for.
func (g gatewayFleet) Admit(ctx context.Context, t gateway.Target, a *balance.Request, q gateway.Question) gateway.Admission {
	address, known := g.admitter(t.ID)
	if !known {
		return g.admitAlone(t, a, q)
	}
	question := &gossip.Admit{Endpoint: t.ID, Born: t.Born, Level: a.Level, Work: q.Work, Run: time.Duration(a.OutputTokens) * outputTokenTime, Limit: q.Limit, Usage: a.Usage, Slowness: gossip.NewPercent(g.slownessOf(a))}
	if l := q.Late; l != nil {
		question.Late = &gossip.Late{ID: l.ID, Waited: l.Waited, Patience: l.Patience, Last: l.Last, Yields: l.Yields, Asked: l.Asked}
	}
	g.addPrompt(question, a)
	askedAt := g.clock()
	if address == "" {
		answer := g.admit(question)
		g.receiveAdmission(t, a, answer, askedAt, 0)
		return g.admitted(t, answer, 0)
	}
	question.Rate = g.knownLimit(t)
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	answer, err := g.node.gossip.Admit(ctx, address, question)
	if err != nil {
		g.admitterFailed(t.ID)
		_ = level.Warn(g.node.logger).Log("step", "admit", "endpoint", t.ID, "peer", address, "err", err)
		return g.admitAlone(t, a, q)
	}
	way := g.clock().Sub(askedAt) / 2
	g.receiveAdmission(t, a, answer, askedAt, way)
	return g.admitted(t, answer, way)
}

// admitted converts the answer to a question that took a while to come back.
func (g gatewayFleet) admitted(t gateway.Target, r *gossip.AdmitReply, way time.Duration) gateway.Admission {
	if r.Limited {
		g.deferEndpoint(t, r.Wait)
	}
	admission := gateway.Admission{Wait: max(0, r.Wait-way), Hold: max(0, r.Hold-way), Refused: r.Refused, Limited: r.Limited, Late: r.Late, Ahead: r.Ahead, Yields: r.Yields, Return: r.Return}
	if r.AskAgain > 0 {
		admission.AskAgain = max(time.Millisecond, r.AskAgain-way)
	}
	return admission
}

// admitAlone decides on a request to an endpoint whose admitting instance doesn't answer. One that
// is predicted to miss its target is not sent: without a schedule it would displace others.
func (g gatewayFleet) admitAlone(t gateway.Target, a *balance.Request, q gateway.Question) gateway.Admission {
	if q.Late != nil && t.Wait > balance.MaxWait(a) {
		return gateway.Admission{Wait: t.Wait, Refused: true}
	}
	return g.takeOwnShare(t, q.Limit)
}

// Queues reports whether requests to a service wait for room.
func (g gatewayFleet) Queues(service catalog.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queues(service)
}

// Withdraw ends the wait of a request. If the message is lost, its place lapses.
func (g gatewayFleet) Withdraw(ctx context.Context, t gateway.Target, id uint64) {
	address, known := g.admitter(t.ID)
	withdrawal := &gossip.Admit{Endpoint: t.ID, Born: t.Born, Late: &gossip.Late{ID: id, Withdrawn: true}}
	if address == "" {
		if known {
			g.withdraw(withdrawal)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	_, _ = g.node.gossip.Admit(ctx, address, withdrawal)
}
