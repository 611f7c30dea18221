package direct

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
)

const (
	// firstReviewAfter is how long after the last crash a key is refused, twice as long after each
	// review that ended an endpoint, maxReviewDoublings times at most. Then one request with it may
	// be sent in each reviewTurnTime, by an instance that changes with it.
	firstReviewAfter   = time.Minute
	maxReviewDoublings = 4
	reviewTurnTime     = 10 * time.Second
)

// sharedParts returns the parts of a prompt but the last one, which is the request's own.
func sharedParts(a *balance.Request) []suspect.Key {
	var parts []suspect.Key
	for i := range len(a.Parts) - 1 {
		parts = append(parts, suspect.PartKey(a.Parts[i].ID))
	}
	return parts
}

// PromptBegun records that an answer has begun, which clears the parts of its prompt of earlier
// crashes.
func (s *state) PromptBegun(a *balance.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, part := range sharedParts(a) {
		s.crashes.Answered(part, now)
	}
}

// CheckRun returns an error if a request may not be sent because it, or a part of its prompt, crashes
// endpoints, and when the verdict is reviewed.
func (s *state) CheckRun(a *balance.Request, id suspect.Identity) (time.Duration, error) {
	return s.checkRun(a, id, false)
}

// ClaimRun checks a request immediately before it is sent. If it is the one that may try a key
// again, it takes that place.
func (s *state) ClaimRun(a *balance.Request, id suspect.Identity) (time.Duration, error) {
	return s.checkRun(a, id, true)
}

func (s *state) checkRun(a *balance.Request, id suspect.Identity, claim bool) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes.Empty() {
		return 0, nil
	}
	now := s.clock()
	var reviewed []suspect.Verdict
	var longest time.Duration
	var refusal error
	for _, key := range append(sharedParts(a), id.Keys()...) {
		v, ok := s.crashes.Verdict(now, key)
		if !ok {
			continue
		}
		if wait := s.untilReview(now, v); wait > longest {
			longest = wait
			refusal = fmt.Errorf("%w: %s, %d crashes, the last %s ago", refusalReason(v), key, v.Crashes, now.Sub(v.FailedAt).Round(time.Millisecond))
		}
		reviewed = append(reviewed, v)
	}
	if refusal != nil {
		return longest, refusal
	}
	for _, v := range reviewed {
		if claim {
			s.reviews[v.Key] = now
		}
	}
	return 0, nil
}

// refusalReason returns the error of a request that a verdict forbids to send.
func refusalReason(v suspect.Verdict) error {
	switch {
	case v.Provisional:
		return gateway.ErrSuspect
	case v.Key.IsRequest():
		return gateway.ErrPoison
	default:
		return gateway.ErrCrashingPart
	}
}

// reviewAfter returns how long after its last crash a key is refused.
func reviewAfter(v suspect.Verdict) time.Duration {
	if v.Provisional {
		return 0
	}
	return firstReviewAfter << min(v.Reviews, maxReviewDoublings)
}

// reviewTurn returns the number of the turn in which a verdict is reviewed, negative before the
// first one.
func reviewTurn(now time.Time, v suspect.Verdict) int {
	age := now.Sub(v.FailedAt) - reviewAfter(v)
	if age < 0 {
		return -1
	}
	return int(age / reviewTurnTime)
}

// untilReview returns after what time a request with a convicted key may be sent, 0 for now.
func (s *state) untilReview(now time.Time, v suspect.Verdict) time.Duration {
	turn := reviewTurn(now, v)
	if turn < 0 {
		return v.FailedAt.Add(reviewAfter(v)).Sub(now)
	}
	if now.Sub(s.reviews[v.Key]) < reviewTurnTime || s.reviewer(v.Key, turn) != s.view.Self().Instance {
		return v.FailedAt.Add(reviewAfter(v) + time.Duration(turn+1)*reviewTurnTime).Sub(now)
	}
	return 0
}

// reviewer returns the instance that may try a convicted key again in a turn.
func (s *state) reviewer(key suspect.Key, turn int) fleet.Instance {
	best := s.view.Self().Instance
	score := func(i fleet.Instance) uint64 {
		return xxhash.Sum64String(string(i) + "/" + string(key) + "/" + strconv.Itoa(turn))
	}
	for _, p := range s.view.Live("") {
		if score(p.Instance) > score(best) {
			best = p.Instance
		}
	}
	return best
}

// logVerdicts logs the verdicts that are new or no longer hold.
func (s *state) logVerdicts(now time.Time) {
	current := make(map[suspect.Key]bool)
	for _, v := range s.crashes.Verdicts(now) {
		current[v.Key] = true
		if !s.loggedVerdicts[v.Key] {
			_ = s.logger.Log("step", "convicted", "key", v.Key, "provisional", v.Provisional, "crashes", v.Crashes, "age", now.Sub(v.FailedAt))
		}
	}
	for key := range s.loggedVerdicts {
		if !current[key] {
			delete(s.reviews, key)
			_ = s.logger.Log("step", "cleared", "key", key)
		}
	}
	s.loggedVerdicts = current
}
