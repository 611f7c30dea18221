package direct

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// endCheckDelay is how long after a connection broke its endpoint is asked whether it is gone.
	endCheckDelay = 100 * time.Millisecond
	// brokenRunRetention is how long an endpoint may take to be found gone after the connection
	// to it broke.
	brokenRunRetention = 2 * time.Second
	// partReviewAfter is how long after the last crash a part of prompts is refused, twice as long
	// after each review that ended an endpoint, maxReviewDoublings times at most. Then one request
	// with it may be sent in each partReviewTurn, by an instance that changes with it.
	partReviewAfter    = time.Minute
	maxReviewDoublings = 4
	partReviewTurn     = 10 * time.Second
	// promptNewsTime is how long heartbeats repeat a crash and the answers that clear parts of it.
	promptNewsTime = 4 * time.Second
	// maxTransit is the longest usual time of a heartbeat on its way. Times of answers that are
	// passed on are taken as earlier by that, else they would grow later with each instance.
	maxTransit = 100 * time.Millisecond
	// Limits on what one heartbeat carries.
	maxAnnouncedEnds     = 32
	maxAnnouncedBegun    = 64
	maxAnnouncedVerdicts = 16
)

// brokenPrompt is the prompt of a request whose endpoint closed the connection before an answer
// had begun.
type brokenPrompt struct {
	parts            []suspect.Key
	sentAt, brokenAt time.Time
}

// sharedParts returns the parts of a prompt but the last one, which is the request's own.
func sharedParts(a *balance.Request) []suspect.Key {
	var parts []suspect.Key
	for i := range len(a.Parts) - 1 {
		parts = append(parts, suspect.PartKey(a.Parts[i].ID))
	}
	return parts
}

// PromptInterrupted records that the connection to an endpoint broke before an answer had begun.
// This counts as a crash only once the endpoint is found gone.
func (s *state) PromptInterrupted(t gateway.Target, a *balance.Request, sentAt time.Time) {
	parts := sharedParts(a)
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.roster.Get(t.ID); e != nil && e.Born == t.Born && e.Leaving {
		return
	}
	key := incarnation{t.ID, t.Born}
	s.brokenPrompts[key] = append(s.brokenPrompts[key], brokenPrompt{parts: parts, sentAt: sentAt, brokenAt: s.clock()})
}

// PromptBegun records that an answer has begun, which clears the parts of its prompt of earlier
// crashes.
func (s *state) PromptBegun(a *balance.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, part := range sharedParts(a) {
		s.parts.Answered(part, now)
	}
}

// CheckPrompt returns an error if a request may not be sent because of a part of its prompt, and
// when the verdict on that part is reviewed.
func (s *state) CheckPrompt(a *balance.Request) (time.Duration, error) {
	return s.checkPrompt(a, false)
}

// ClaimPrompt checks a request immediately before it is sent. If it is the one that may try a
// part again, it takes that place.
func (s *state) ClaimPrompt(a *balance.Request) (time.Duration, error) {
	return s.checkPrompt(a, true)
}

func (s *state) checkPrompt(a *balance.Request, claim bool) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var reviewed []suspect.Verdict
	for _, part := range sharedParts(a) {
		v, ok := s.parts.Verdict(now, part)
		if !ok {
			continue
		}
		if wait := s.untilReview(now, v); wait > 0 {
			return wait, fmt.Errorf("%w: %s, %d crashes, the last %s ago", gateway.ErrCrashingPart, part, v.Crashes, now.Sub(v.FailedAt).Round(time.Millisecond))
		}
		reviewed = append(reviewed, v)
	}
	for _, v := range reviewed {
		if claim {
			s.reviews[v.Key] = now
		}
	}
	return 0, nil
}

// reviewAfter returns how long after its last crash a part is refused.
func reviewAfter(v suspect.Verdict) time.Duration {
	return partReviewAfter << min(v.Reviews, maxReviewDoublings)
}

// reviewTurn returns the number of the turn in which a verdict is reviewed, negative before the
// first one.
func reviewTurn(now time.Time, v suspect.Verdict) int {
	age := now.Sub(v.FailedAt) - reviewAfter(v)
	if age < 0 {
		return -1
	}
	return int(age / partReviewTurn)
}

// untilReview returns after what time a request with a convicted part may be sent, 0 for now.
func (s *state) untilReview(now time.Time, v suspect.Verdict) time.Duration {
	turn := reviewTurn(now, v)
	if turn < 0 {
		return v.FailedAt.Add(reviewAfter(v)).Sub(now)
	}
	if now.Sub(s.reviews[v.Key]) < partReviewTurn || s.reviewer(v.Key, turn) != s.view.Self().Instance {
		return v.FailedAt.Add(reviewAfter(v) + time.Duration(turn+1)*partReviewTurn).Sub(now)
	}
	return 0
}

// reviewer returns the instance that may try a convicted part again in a turn.
func (s *state) reviewer(part suspect.Key, turn int) fleet.Instance {
	best := s.view.Self().Instance
	score := func(i fleet.Instance) uint64 {
		return xxhash.Sum64String(string(i) + "/" + string(part) + "/" + strconv.Itoa(turn))
	}
	for _, p := range s.view.Live("") {
		if score(p.Instance) > score(best) {
			best = p.Instance
		}
	}
	return best
}

// brokenEndpoint is an endpoint whose connections broke before answers had begun.
type brokenEndpoint struct {
	incarnation
	address string
}

// brokenEndpoints returns the endpoints to ask whether they are gone. Those that are no longer
// listed, or listed again, are recorded as crashed without a question.
func (s *state) brokenEndpoints() []brokenEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []brokenEndpoint
	for key := range s.brokenPrompts {
		e := s.roster.Get(key.id)
		if e == nil || e.Born > key.born {
			s.recordEnd(key)
			continue
		}
		list = append(list, brokenEndpoint{incarnation: key, address: e.Address})
	}
	return list
}

func (s *state) hasBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.brokenPrompts) > 0
}

// recordBroken records whether an endpoint was found gone by a question sent at askedAt. Runs
// that broke before an endpoint answered were not its crash.
func (s *state) recordBroken(key incarnation, askedAt time.Time, gone bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gone {
		s.recordEnd(key)
		return
	}
	now := s.clock()
	s.brokenPrompts[key] = slices.DeleteFunc(s.brokenPrompts[key], func(r brokenPrompt) bool {
		return err == nil && r.brokenAt.Before(askedAt) || now.Sub(r.brokenAt) > brokenRunRetention
	})
	if len(s.brokenPrompts[key]) == 0 {
		delete(s.brokenPrompts, key)
	}
}

// recordEnd records the crash of an endpoint under the prompts that were in flight there.
func (s *state) recordEnd(key incarnation) {
	runs := s.brokenPrompts[key]
	delete(s.brokenPrompts, key)
	if len(runs) == 0 {
		return
	}
	d := suspect.EndpointCrash{Incarnation: crashID(key.id, key.born), FailedAt: runs[0].brokenAt}
	for _, r := range runs {
		d.Runs = append(d.Runs, suspect.CrashedRun{Keys: r.parts, Age: d.FailedAt.Sub(r.sentAt)})
	}
	s.parts.Add(s.clock(), d)
}

func crashID(id fleet.Endpoint, born int64) string {
	return string(id) + "/" + strconv.FormatInt(born, 10)
}

// addPromptNews adds the recent crashes, the answers that clear parts of their prompts, and the
// verdicts to a heartbeat. Instances also pass on what they have heard of.
func (s *state) addPromptNews(now time.Time, b *gossip.Heartbeat) {
	recent := s.parts.Since(now.Add(-promptNewsTime))
	recent = recent[:min(len(recent), maxAnnouncedEnds)]
	for i := range recent {
		d := gossip.EndpointCrash{Incarnation: recent[i].Incarnation, FailedAgo: now.Sub(recent[i].FailedAt)}
		for _, r := range recent[i].Runs {
			d.Runs = append(d.Runs, gossip.CrashedRun{Keys: r.Keys, Age: r.Age})
		}
		b.Ended = append(b.Ended, d)
	}
	for part, at := range s.parts.Answers(recent, now.Add(-promptNewsTime)) {
		if len(b.Begun) < maxAnnouncedBegun {
			b.Begun = append(b.Begun, gossip.BegunKey{Key: part, Ago: now.Sub(at)})
		}
	}
	verdicts := s.parts.Verdicts(now)
	for _, v := range verdicts[:min(len(verdicts), maxAnnouncedVerdicts)] {
		b.Verdicts = append(b.Verdicts, gossip.Verdict{Key: v.Key, Crashes: v.Crashes, Reviews: v.Reviews, FailedAgo: now.Sub(v.FailedAt)})
	}
}

// receivePromptNews records the crashes, answers and verdicts of a heartbeat that was delayed by
// the given time longer than usual.
func (s *state) receivePromptNews(now time.Time, b *gossip.Heartbeat, delay time.Duration) {
	at := func(ago time.Duration) time.Time { return now.Add(-ago - delay) }
	for _, a := range b.Begun {
		s.parts.Answered(a.Key, at(a.Ago+maxTransit))
	}
	for i := range b.Ended {
		d := suspect.EndpointCrash{Incarnation: b.Ended[i].Incarnation, FailedAt: at(b.Ended[i].FailedAgo)}
		for _, r := range b.Ended[i].Runs {
			d.Runs = append(d.Runs, suspect.CrashedRun{Keys: r.Keys, Age: r.Age})
		}
		s.parts.Add(now, d)
	}
	for _, v := range b.Verdicts {
		if v.FailedAgo+delay > promptNewsTime {
			s.parts.Keep(now, suspect.Verdict{Key: v.Key, Crashes: v.Crashes, Reviews: v.Reviews, FailedAt: at(v.FailedAgo)})
		}
	}
}

// logVerdicts logs the verdicts that are new or no longer hold.
func (s *state) logVerdicts(now time.Time) {
	current := make(map[suspect.Key]bool)
	for _, v := range s.parts.Verdicts(now) {
		current[v.Key] = true
		if !s.loggedVerdicts[v.Key] {
			_ = s.logger.Log("step", "convicted", "part", v.Key, "crashes", v.Crashes, "age", now.Sub(v.FailedAt))
		}
	}
	for part := range s.loggedVerdicts {
		if !current[part] {
			delete(s.reviews, part)
			_ = s.logger.Log("step", "cleared", "part", part)
		}
	}
	s.loggedVerdicts = current
}
