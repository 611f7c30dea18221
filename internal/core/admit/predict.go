package admit

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// runTimeWeight is the weight of the latest run in the average run time.
const runTimeWeight = 0.05

// average is an exponentially weighted mean.
type average struct {
	value time.Duration
	known bool
}

func (a *average) add(d time.Duration) {
	if !a.known {
		a.value, a.known = d, true
		return
	}
	a.value += time.Duration(runTimeWeight * float64(d-a.value))
}

// Wait predicts how long a request of the rank would wait before it starts.
func (q *Queue) Wait(now time.Time, r fleet.Rank) time.Duration {
	return q.waitFor(now, r.Level(), nil)
}

// waitFor predicts the wait of e, or of a request behind all others of the rank when e is nil.
func (q *Queue) waitFor(now time.Time, level int, e *entry) time.Duration {
	wait := q.breaker.remaining(now)
	wait = max(wait, q.slotWait(level, q.countAhead(level, e)))
	return wait + q.prefillWait(now, level)
}

// countAhead counts the waiting requests that would start before e.
func (q *Queue) countAhead(level int, e *entry) int {
	count := 0
	for l := range level {
		count += q.waiting[l]
	}
	if e == nil {
		return count + q.waiting[level]
	}
	for _, l := range q.queues[level] {
		count += q.countAheadIn(l, e)
	}
	return count
}

// countAheadIn counts the requests of one profile that would start before e.
func (q *Queue) countAheadIn(l *profileQueue, e *entry) int {
	sameProfile := l.profile == e.item.Profile
	overCap := l.running >= q.profileCapSlots()
	if overCap && !sameProfile {
		return 0
	}
	count := 0
	for _, other := range l.waiting {
		if other.latestStart.Before(e.latestStart) {
			count++
		}
	}
	return count
}

// slotWait predicts the time until a slot is free for a request with count others ahead of it.
func (q *Queue) slotWait(level, count int) time.Duration {
	free := q.capacity(level) - q.Running() - q.unusedFloors(level)
	if count < free {
		return 0
	}
	slots := q.usableSlots(level)
	releases := count - max(free, 0) + 1
	return time.Duration(float64(q.meanRunTime()) * float64(releases) / slots)
}

// capacity returns how many requests may run concurrently within the token gap, given
// the active models.
func (q *Queue) capacity(level int) int {
	if q.maxTokenGap <= 0 || q.speed.StepPerRequest <= 0 {
		return q.slots
	}
	models := max(len(q.models), 1)
	if level == fleet.RankBulk.Level() {
		models += q.spareModels
	}
	headroom := q.maxTokenGap - q.speed.stepTime(0, models)
	return min(max(int(headroom/q.speed.StepPerRequest), 1), q.slots)
}

// usableSlots returns how many slots a rank can count on, without the floors of the others.
func (q *Queue) usableSlots(level int) float64 {
	slots := q.capacity(level)
	for l := range rankCount {
		if l == level {
			continue
		}
		if l < level || q.waiting[l] > 0 {
			slots -= q.floor(l)
		}
	}
	return float64(max(slots, q.floor(level), 1))
}

// meanRunTime returns the average run time, weighted by the ranks of the running requests.
func (q *Queue) meanRunTime() time.Duration {
	var sum time.Duration
	count := 0
	for level := range rankCount {
		sum += time.Duration(q.running[level]) * q.runTimeOf(level)
		count += q.running[level]
	}
	if count == 0 {
		return q.runTimeOf(fleet.RankUrgent.Level())
	}
	return sum / time.Duration(count)
}

// runTimeOf returns the average run time of a rank.
func (q *Queue) runTimeOf(level int) time.Duration {
	if q.runTime[level].known {
		return q.runTime[level].value
	}
	return time.Duration(typicalTokens) * q.speed.stepTime(q.Running(), len(q.models))
}

// typicalTokens is the assumed answer length until a run has ended.
const typicalTokens = 128

// prefillWait predicts the time until the endpoint has processed the prompts sent to it.
func (q *Queue) prefillWait(now time.Time, level int) time.Duration {
	var wait time.Duration
	for l := 0; l <= level; l++ {
		wait += max(q.prefillDone[l].Sub(now), 0)
	}
	return wait
}

func (q *Queue) recordPrefill(now time.Time, level, prompt int) {
	if q.prefillDone[level].Before(now) {
		q.prefillDone[level] = now
	}
	q.prefillDone[level] = q.prefillDone[level].Add(q.speed.prefillTime(prompt))
}

// refusal builds the decision for a refused request. Its Retry-After is by default the
// largest wait over all limits that apply, since a retry that passes only one of them
// would be refused again.
func (q *Queue) refusal(now time.Time, it Item, code Code) Decision {
	level := it.Rank.Level()
	wait := q.retryAfterRule.choose(q.breaker.remaining(now), q.Wait(now, it.Rank), q.profileWait(level, it.Profile))
	return Decision{State: StateRefused, Code: code, RetryAfter: q.addJitter(max(wait, minRetryAfter))}
}

// choose returns the wait that the rule selects; a limit that does not apply has a zero wait.
func (r WaitRule) choose(waits ...time.Duration) time.Duration {
	if r == WaitLargest {
		return slices.Max(waits)
	}
	var smallest time.Duration
	for _, wait := range waits {
		if wait > 0 && (smallest == 0 || wait < smallest) {
			smallest = wait
		}
	}
	return smallest
}

// minRetryAfter is the minimum Retry-After.
const minRetryAfter = 100 * time.Millisecond

// profileWait predicts when the profile is within its cap again.
func (q *Queue) profileWait(level int, p fleet.Profile) time.Duration {
	limit := q.profileCapSlots()
	for _, l := range q.queues[level] {
		if l.profile == p {
			excess := l.running + len(l.waiting) - limit
			return time.Duration(max(excess, 0)) * q.runTimeOf(level) / time.Duration(limit)
		}
	}
	return 0
}

// addJitter adds random jitter, so that refused callers do not retry at the same time.
func (q *Queue) addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(q.jitter*q.random.Float64()*float64(wait))
}
