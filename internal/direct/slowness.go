package direct

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// minExpected is the shortest expected time that shows an endpoint's speed.
	minExpected = 30 * time.Millisecond
	// maxOverhead is how long a request may be expected to take beside prompts; with more, it waits
	// for something else.
	maxOverhead = 300 * time.Millisecond
	// answerInterval is how long answers are collected before they are sent.
	answerInterval = 100 * time.Millisecond
	// maxUnsentAnswers bounds the answers that are collected for one instance.
	maxUnsentAnswers = 64
)

// expectation is what an attempt is expected to take once it is admitted.
type expectation struct {
	slowness            float64
	chosenAt, decidedAt time.Time
	// prompts is the time for the prompts ahead and its own.
	prompts time.Duration
	delayMs int32 // of the endpoint, at its admission
}

// expect records an attempt at a chosen endpoint.
func (s *state) expect(now time.Time, t *gateway.Target, a *balance.Request, c balance.Choice) {
	x := expectation{slowness: c.Slowness, chosenAt: now}
	if a.Model == "" {
		x.decidedAt = now
	} else {
		t.Age = c.Age
		s.reported.Send(now, t.ID, a.Level, t.PendingPrefill)
	}
	s.expectations[a] = x
}

// slownessOf returns what the choice for an attempt took the slowness of its endpoint to be.
func (s *state) slownessOf(a *balance.Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expectations[a].slowness
}

// scaleToSpeed corrects the work of a prompt by what is known here of the endpoint's speed.
func (s *state) scaleToSpeed(a *gossip.Admit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Slowness == 0 {
		return
	}
	work := time.Duration(float64(a.Work) * s.slowness.Of(s.clock(), a.Endpoint) / a.Slowness.Factor())
	a.Limit = max(0, a.Limit-(work-a.Work))
	a.Work = work
}

// addBacklog adds what the sender of an admission records of the endpoint, if its service is
// spread by backlogs.
func (s *state) addBacklog(a *gossip.Admit, r *gossip.AdmitReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.roster.Get(a.Endpoint); e == nil || !s.spreads(e.Service) {
		return
	}
	now, key := s.clock(), incarnation{a.Endpoint, a.Born}
	r.Backlog = gossip.NewBacklogWork(s.scheduled(now, key))
	r.Slowness = gossip.NewPercent(s.slowness.Of(now, a.Endpoint))
	if d := s.delays[key]; d != nil {
		r.DelayMs = int32(d.Total().Milliseconds())
	}
}

// receiveAdmission records what the answer to an admission says of the endpoint, if anything. It
// was asked for at a time and decided a while later.
func (s *state) receiveAdmission(t gateway.Target, a *balance.Request, r *gossip.AdmitReply, askedAt time.Time, way time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Backlog) == 0 {
		return
	}
	slowness := r.Slowness.Factor()
	s.reported.Record(t.ID, backlog.Report{Work: r.Backlog.Work(), At: askedAt.Add(way), Sent: askedAt, Slowness: slowness})
	if x, ok := s.expectations[a]; ok && !r.Refused {
		own := time.Duration(float64(t.PendingPrefill) * slowness / x.slowness)
		if r.Work > 0 {
			own = r.Work
		}
		s.expectations[a] = expectation{slowness: slowness, chosenAt: x.chosenAt, decidedAt: askedAt.Add(way), prompts: r.Wait + own, delayMs: r.DelayMs}
	}
}

// measure updates the speeds of the model and the endpoint from the first byte of an answer.
func (s *state) measure(t gateway.Target, a *balance.Request, x expectation, took time.Duration) {
	now, overhead := s.clock(), t.Wait-t.Prefill
	s.counts.Spread(t.Age, t.Wait, now.Sub(x.chosenAt))
	if x.decidedAt.IsZero() || x.prompts < minExpected || overhead > maxOverhead {
		return
	}
	s.balancer.Measured(a.Model, x.prompts, took)
	answer, ok := s.slowness.Measure(now, a.Service, now.Sub(x.decidedAt), x.prompts+max(0, overhead), x.slowness)
	if ok && answer.Remarkable(x.slowness) {
		s.reportAnswer(now, t, answer, x.delayMs)
	}
}

// measurePlain updates the speed of an endpoint of a service without models. There is no expected
// time but the usual one.
func (s *state) measurePlain(t gateway.Target, a *balance.Request, x expectation, took time.Duration) {
	now := s.clock()
	answer, ok := s.slowness.Measure(now, a.Service, took, time.Second, 1)
	answer.Late = 0
	if ok && answer.Remarkable(x.slowness) {
		s.reportAnswer(now, t, answer, 0)
	}
}

// reportAnswer records what an answer has shown at the instance that admits the endpoint's requests.
func (s *state) reportAnswer(now time.Time, t gateway.Target, a balance.Answer, delayMs int32) {
	e := s.roster.Get(t.ID)
	if e == nil {
		return
	}
	p, known := s.dispatcher(e)
	shown := gossip.Answer{Endpoint: t.ID, Born: t.Born, Ratio: gossip.NewPercent(a.Ratio), LateMs: int32(a.Late.Milliseconds()), DelayMs: delayMs}
	switch {
	case !known:
	case p.Instance == s.view.Self().Instance:
		s.recordAnswer(now, &shown)
	case len(s.unsentAnswers[p.Address]) < maxUnsentAnswers:
		s.unsentAnswers[p.Address] = append(s.unsentAnswers[p.Address], shown)
	}
}

// receiveAnswers records what answers have shown of endpoints whose requests this instance admits.
func (s *state) receiveAnswers(all []gossip.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for i := range all {
		s.recordAnswer(now, &all[i])
	}
}

// recordAnswer records the speed that an answer has shown, and moves the schedule of a slow endpoint by
// what the answer was late.
func (s *state) recordAnswer(now time.Time, a *gossip.Answer) {
	key := incarnation{a.Endpoint, a.Born}
	e := s.roster.Get(a.Endpoint)
	if e == nil || e.Born != a.Born {
		return
	}
	s.slowness.Record(a.Endpoint, balance.Answer{Ratio: a.Ratio.Factor(), At: now})
	d := s.delays[key]
	if d == nil {
		d = new(backlog.Delay)
		s.delays[key] = d
	}
	shift := d.Observe(milliseconds(a.LateMs), milliseconds(a.DelayMs), s.slowness.IsSlow(now, a.Endpoint))
	if schedule := s.schedules[key]; schedule != nil {
		schedule.Shift(shift)
	}
}

func milliseconds(n int32) time.Duration { return time.Duration(n) * time.Millisecond }

// takeUnsentAnswers returns the answers to send, by address, and forgets them.
func (s *state) takeUnsentAnswers() map[string][]gossip.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.unsentAnswers
	s.unsentAnswers = make(map[string][]gossip.Answer)
	return all
}

// hasUnsentAnswers reports whether there are any.
func (s *state) hasUnsentAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unsentAnswers) > 0
}

// sendAnswers sends what answers have shown to the instances that admit the requests of their
// endpoints. What doesn't arrive is not sent again: there are newer answers soon.
func (n *Node) sendAnswers(ctx context.Context) {
	sleep(ctx, answerInterval)
	for address, answers := range n.state.takeUnsentAnswers() {
		ctx, cancel := context.WithTimeout(ctx, admitTimeout)
		if _, err := n.gossip.Admit(ctx, address, &gossip.Admit{Answers: answers}); err != nil {
			_ = level.Debug(n.logger).Log("step", "answers", "peer", address, "err", err)
		}
		cancel()
	}
}

// Answered also sends what the answer has shown to the instance that admits the endpoint's requests.
func (g gatewayFleet) Answered(t gateway.Target, a *balance.Request, took time.Duration) {
	g.state.Answered(t, a, took)
	if g.hasUnsentAnswers() {
		g.node.tasks.RunIfIdle("answers", g.node.sendAnswers)
	}
}
