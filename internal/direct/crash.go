package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// settleBeats is how many heartbeat intervals the reports of answers take to arrive: a few
	// rounds of them reach an instance of a large fleet.
	settleBeats = 3
	// endCheckDelay is how long after a connection broke its endpoint is first asked whether it is
	// gone. Each further time it is asked after twice as long.
	endCheckDelay = 100 * time.Millisecond
	// brokenPromptRetention is how long an endpoint may take to be found gone after a connection to
	// it broke, for the prompts in flight there. Until then it is asked.
	brokenPromptRetention = 2 * time.Second
	// brokenRequestRetention is the same for whole requests. If the endpoint can't be asked, its
	// entry in the store tells, which expires only after some seconds.
	brokenRequestRetention = 15 * time.Second
	// crashNewsTime is how long heartbeats repeat a crash and the answers that clear keys of it.
	crashNewsTime = 4 * time.Second
	// maxTransit is the longest usual time of a heartbeat on its way. Times of answers that are
	// passed on are taken as earlier by that, else they would grow later with each instance.
	maxTransit = 100 * time.Millisecond
	// Limits on what one heartbeat carries.
	maxAnnouncedCrashes  = 32
	maxAnnouncedRequests = 256
	maxAnnouncedAnswers  = 64
	maxAnnouncedVerdicts = 16
)

// brokenRun is a run whose endpoint closed the connection before the answer was complete.
type brokenRun struct {
	keys             []suspect.Key
	sentAt, brokenAt time.Time
	begun            bool // the answer to a whole request had begun
}

func (r *brokenRun) isRequest() bool { return r.keys[0].IsRequest() }

func (r *brokenRun) expired(now time.Time) bool {
	if r.isRequest() {
		return now.Sub(r.brokenAt) > brokenRequestRetention
	}
	return now.Sub(r.brokenAt) > brokenPromptRetention
}

// brokenEndpoint is an endpoint whose connections broke and that may be gone.
type brokenEndpoint struct {
	incarnation
	address string
	runs    []brokenRun
	// askAt is when to ask it next, and askDelay how long after the time before.
	askAt    time.Time
	askDelay time.Duration
}

// askable reports whether it makes sense to ask the endpoint: the last connection broke lately.
func (e *brokenEndpoint) askable(now time.Time) bool {
	return now.Sub(e.runs[len(e.runs)-1].brokenAt) <= brokenPromptRetention
}

// AnswerInterrupted records that the connection to an endpoint broke while it ran a request
// sent at sentAt. This counts as a crash only once the endpoint is found gone, since connections
// also break for other reasons. begun tells whether an answer had begun.
func (s *state) AnswerInterrupted(t gateway.Target, id suspect.Identity, sentAt time.Time, begun bool) {
	s.recordBrokenRun(t, brokenRun{keys: id.Keys(), sentAt: sentAt, begun: begun})
}

// PromptInterrupted does the same for the parts of a prompt whose answer had not begun.
func (s *state) PromptInterrupted(t gateway.Target, a *balance.Request, sentAt time.Time) {
	if parts := sharedParts(a); len(parts) > 0 {
		s.recordBrokenRun(t, brokenRun{keys: parts, sentAt: sentAt})
	}
}

func (s *state) recordBrokenRun(t gateway.Target, r brokenRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.roster.Get(t.ID); e != nil && e.Born == t.Born && e.Leaving {
		return
	}
	now, key := s.clock(), incarnation{t.ID, t.Born}
	e := s.brokenEndpoints[key]
	if e == nil {
		e = &brokenEndpoint{incarnation: key, address: t.Address, askAt: now.Add(endCheckDelay), askDelay: endCheckDelay}
		s.brokenEndpoints[key] = e
	}
	r.brokenAt = now
	e.runs = append(e.runs, r)
}

// AnswerCompleted records that a request got a complete answer, which clears it of earlier crashes.
func (s *state) AnswerCompleted(id suspect.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, key := range id.Keys() {
		s.crashes.Answered(key, now)
	}
}

// settleBroken records the crashes of endpoints that are no longer listed, or listed again, and
// forgets the runs whose endpoints may have ended for another reason.
func (s *state) settleBroken(now time.Time) {
	for key, e := range s.brokenEndpoints {
		if listed := s.roster.Get(key.id); listed == nil || listed.Born > key.born {
			s.recordCrash(e)
			continue
		}
		s.dropRuns(e, func(r brokenRun) bool { return r.expired(now) })
	}
}

// dropRuns forgets the matching runs at an endpoint.
func (s *state) dropRuns(e *brokenEndpoint, matches func(brokenRun) bool) {
	if e.runs = slices.DeleteFunc(e.runs, matches); len(e.runs) == 0 {
		delete(s.brokenEndpoints, e.incarnation)
	}
}

// endpointsToAsk returns the endpoints to ask now whether they are gone. pending is set if there
// are any to ask, now or later.
func (s *state) endpointsToAsk() (due []brokenEndpoint, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.settleBroken(now)
	for _, e := range s.brokenEndpoints {
		if !e.askable(now) {
			continue
		}
		pending = true
		if !now.Before(e.askAt) {
			e.askDelay *= 2
			e.askAt = now.Add(e.askDelay)
			due = append(due, *e)
		}
	}
	return due, pending
}

// hasEndpointsToAsk reports whether there are endpoints to ask whether they are gone.
func (s *state) hasEndpointsToAsk() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, e := range s.brokenEndpoints {
		if e.askable(now) {
			return true
		}
	}
	return false
}

// recordAsked records whether an endpoint was found gone by a question sent at askedAt. Runs
// that broke before an endpoint answered were not its crash.
func (s *state) recordAsked(key incarnation, askedAt time.Time, gone bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.brokenEndpoints[key]
	if err == nil && !gone {
		s.paths.Answered(s.clock(), key.id)
	}
	switch {
	case e == nil:
	case gone:
		s.recordCrash(e)
	default:
		now := s.clock()
		s.dropRuns(e, func(r brokenRun) bool { return err == nil && r.brokenAt.Before(askedAt) || r.expired(now) })
	}
}

// withdrawCrash removes the crash that was recorded when an endpoint's entry was removed, though the endpoint ran on.
func (s *state) withdrawCrash(now time.Time, id fleet.Endpoint) {
	e := s.roster.Get(id)
	if e == nil || !e.Returned() {
		return
	}
	if s.crashes.Withdraw(now, incarnation{id, e.Born}.String()) {
		_ = s.logger.Log("step", "died", "endpoint", id, "born", e.Born, "withdrawn", true)
	}
}

// recordCrash records the crash of an endpoint under the runs in flight there.
func (s *state) recordCrash(e *brokenEndpoint) {
	delete(s.brokenEndpoints, e.incarnation)
	d := suspect.EndpointCrash{Incarnation: e.String(), FailedAt: e.runs[0].brokenAt}
	var requests []string
	for _, r := range e.runs {
		d.Runs = append(d.Runs, suspect.CrashedRun{Keys: r.keys, Age: d.FailedAt.Sub(r.sentAt), Begun: r.begun})
		if r.isRequest() {
			requests = append(requests, string(r.keys[len(r.keys)-1]))
		}
	}
	s.crashes.Add(s.clock(), d)
	_ = s.logger.Log("step", "died", "endpoint", e.id, "born", e.born, "requests", strings.Join(requests, ","))
}

// addCrashNews adds the recent crashes, the answers that clear keys of them, and the verdicts to a
// heartbeat. Instances also pass on what others have reported.
func (s *state) addCrashNews(now time.Time, b *gossip.Heartbeat) {
	recent := s.crashes.Since(now.Add(-crashNewsTime))
	recent = recent[:min(len(recent), maxAnnouncedCrashes)]
	requests := 0
	for i := range recent {
		d := gossip.EndpointCrash{Incarnation: recent[i].Incarnation, FailedAgo: now.Sub(recent[i].FailedAt)}
		for _, r := range recent[i].Runs {
			if r.Keys[0].IsRequest() {
				if requests++; requests > maxAnnouncedRequests {
					continue
				}
			}
			d.Runs = append(d.Runs, gossip.CrashedRun{Keys: r.Keys, Age: r.Age, Begun: r.Begun})
		}
		b.Ended = append(b.Ended, d)
	}
	for key, at := range s.crashes.Answers(recent, now.Add(-crashNewsTime)) {
		if len(b.Begun) < maxAnnouncedAnswers {
			b.Begun = append(b.Begun, gossip.BegunKey{Key: key, Ago: now.Sub(at)})
		}
	}
	verdicts := s.crashes.Verdicts(now)
	for _, v := range verdicts[:min(len(verdicts), maxAnnouncedVerdicts)] {
		b.Verdicts = append(b.Verdicts, gossip.Verdict{Key: v.Key, Crashes: v.Crashes, Reviews: v.Reviews, Provisional: v.Provisional, FailedAgo: now.Sub(v.FailedAt)})
	}
}

// receiveCrashNews records the crashes, answers and verdicts of a heartbeat that was delayed by
// the given time longer than usual.
func (s *state) receiveCrashNews(now time.Time, b *gossip.Heartbeat, delay time.Duration) {
	at := func(ago time.Duration) time.Time { return now.Add(-ago - delay) }
	for _, a := range b.Begun {
		s.crashes.Answered(a.Key, at(a.Ago+maxTransit))
	}
	for i := range b.Ended {
		d := suspect.EndpointCrash{Incarnation: b.Ended[i].Incarnation, FailedAt: at(b.Ended[i].FailedAgo)}
		for _, r := range b.Ended[i].Runs {
			d.Runs = append(d.Runs, suspect.CrashedRun{Keys: r.Keys, Age: r.Age, Begun: r.Begun})
		}
		s.crashes.Add(now, d)
	}
	for _, v := range b.Verdicts {
		if v.Key.IsRequest() || v.FailedAgo+delay > crashNewsTime {
			s.crashes.Keep(now, suspect.Verdict{Key: v.Key, Crashes: v.Crashes, Reviews: v.Reviews, Provisional: v.Provisional, FailedAt: at(v.FailedAgo)})
		}
	}
}
