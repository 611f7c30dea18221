package direct

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
)

const (
	// firstReviewAfter is how long after the last crash a key is refused, twice as long after each
	// review that ended an endpoint, maxReviewDoublings times at most. Then one request with it may
	// be sent in each reviewTurnTime, by an instance that changes with it.
	firstReviewAfter = time.Minute
	// recoveryTime replaces firstReviewAfter for a request that no review has convicted, if an endpoint
	// that can take it has been listed for soundTime, and so has recovered from another cause of the
	// crashes.
	recoveryTime       = 8 * time.Second
	soundTime          = 4 * time.Second
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
	check := func(key, shared suspect.Key) {
		v, ok := s.crashes.Verdict(now, key)
		if !ok {
			return
		}
		if wait := s.untilReview(now, v, shared, a); wait > longest {
			longest = wait
			refusal = fmt.Errorf("%w: %s, %d crashes, the last %s ago", refusalReason(v), key, v.Crashes, now.Sub(v.FailedAt).Round(time.Millisecond))
		}
		reviewed = append(reviewed, v)
	}
	for _, part := range sharedParts(a) {
		check(part, part)
	}
	keys := id.Keys()
	for _, key := range keys {
		check(key, keys[0])
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
	case doubtful(v):
		return gateway.ErrSuspect
	case v.Key.IsRequest():
		return gateway.ErrPoison
	default:
		return gateway.ErrCrashingPart
	}
}

// doubtful reports whether a verdict has another likely explanation. The endpoints under a request may
// have ended for another reason as long as no review has crashed one that had recovered.
func doubtful(v suspect.Verdict) bool { return v.Provisional || v.Key.IsRequest() && v.Reviews == 0 }

// reviewAfter returns how long after its last crash a key is refused.
func (s *state) reviewAfter(now time.Time, v suspect.Verdict, a *balance.Request) time.Duration {
	switch {
	case v.Provisional:
		return 0
	case doubtful(v) && s.hasSoundEndpoint(now, a):
		return recoveryTime
	default:
		return firstReviewAfter << min(v.Reviews, maxReviewDoublings)
	}
}

// hasSoundEndpoint reports whether an endpoint that can take a request has been listed for soundTime.
func (s *state) hasSoundEndpoint(now time.Time, a *balance.Request) bool {
	return slices.ContainsFunc(s.roster.All(), func(e *roster.Endpoint) bool {
		return e.Service == a.Service && !e.Leaving && !e.Suspect(now) && e.Age(now) >= soundTime && (a.Model == "" || e.Serves(now, a.Model, ""))
	})
}

// untilReview returns after what time a request with a convicted key may be sent, 0 for now. shared
// is the key by which the reviewer is chosen: that of the resource for both keys of a request, or the
// two would have different reviewers, neither of which may send it.
func (s *state) untilReview(now time.Time, v suspect.Verdict, shared suspect.Key, a *balance.Request) time.Duration {
	age := now.Sub(v.FailedAt)
	if wait := s.reviewAfter(now, v, a) - age; wait > 0 {
		return wait
	}
	turn := int(age / reviewTurnTime)
	if now.Sub(s.reviews[v.Key]) < reviewTurnTime || s.reviewer(shared, turn) != s.view.Self().Instance {
		return time.Duration(turn+1)*reviewTurnTime - age
	}
	return 0
}

// reviewer returns the instance that may try a convicted key again in a turn, counted from its last
// crash.
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
