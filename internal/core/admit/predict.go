package admit

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// holdWeight is the weight of the newest run in the average time of a run.
const holdWeight = 0.05

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
	a.value += time.Duration(holdWeight * float64(d-a.value))
}

// Wait predicts how long a request of the rank would wait before it starts.
func (q *Queue) Wait(now time.Time, r fleet.Rank) time.Duration {
	return q.waitFor(now, r.Level(), nil)
}

// waitFor predicts the wait of e, or of a request behind all others of the rank when e is nil.
func (q *Queue) waitFor(now time.Time, level int, e *entry) time.Duration {
	wait := q.breaker.wait(now)
	wait = max(wait, q.slotWait(level, q.ahead(level, e)))
	return wait + q.prefillWait(now, level)
}

// ahead counts the waiting requests that would start first.
func (q *Queue) ahead(level int, e *entry) int {
	count := 0
	for l := range level {
		count += q.waiting[l]
	}
	if e == nil {
		return count + q.waiting[level]
	}
	for _, l := range q.lanes[level] {
		count += q.aheadIn(l, e)
	}
	return count
}

// aheadIn counts the requests of one profile that would start before e.
func (q *Queue) aheadIn(l *lane, e *entry) int {
	mine := l.profile == e.item.Profile
	beyond := l.running >= q.profileSlots()
	if beyond && !mine {
		return 0
	}
	count := 0
	for _, other := range l.waiting {
		if other.latest.Before(e.latest) {
			count++
		}
	}
	return count
}

// slotWait predicts the time until a slot is free for a request behind count others.
func (q *Queue) slotWait(level, count int) time.Duration {
	free := q.capacity(level) - q.Running() - q.unfilled(level)
	if count < free {
		return 0
	}
	usable := q.usable(level)
	turns := count - max(free, 0) + 1
	return time.Duration(float64(q.meanHold()) * float64(turns) / usable)
}

// capacity returns how many requests may run beside the models at work.
func (q *Queue) capacity(level int) int {
	if q.gap <= 0 || q.speed.Each <= 0 {
		return q.slots
	}
	models := max(len(q.models), 1)
	if level == fleet.RankBulk.Level() {
		models += q.spare
	}
	room := q.gap - q.speed.step(0, models)
	return min(max(int(room/q.speed.Each), 1), q.slots)
}

// usable returns the slots that a rank can count on beside the floors of the others.
func (q *Queue) usable(level int) float64 {
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

// meanHold returns how long a run takes, averaged over what runs now.
func (q *Queue) meanHold() time.Duration {
	var sum time.Duration
	count := 0
	for level := range rankCount {
		sum += time.Duration(q.running[level]) * q.holdOf(level)
		count += q.running[level]
	}
	if count == 0 {
		return q.holdOf(fleet.RankUrgent.Level())
	}
	return sum / time.Duration(count)
}

// holdOf returns the mean time of a run of the rank.
func (q *Queue) holdOf(level int) time.Duration {
	if q.hold[level].known {
		return q.hold[level].value
	}
	return time.Duration(typicalTokens) * q.speed.step(q.Running(), len(q.models))
}

// typicalTokens is the assumed length of an answer before any has ended.
const typicalTokens = 128

// prefillWait predicts the time until the endpoint has read the prompts handed to it.
func (q *Queue) prefillWait(now time.Time, level int) time.Duration {
	var wait time.Duration
	for l := 0; l <= level; l++ {
		wait += max(q.prefill[l].Sub(now), 0)
	}
	return wait
}

func (q *Queue) notePrefill(now time.Time, level, prompt int) {
	if q.prefill[level].Before(now) {
		q.prefill[level] = now
	}
	q.prefill[level] = q.prefill[level].Add(q.speed.prefill(prompt))
}

// refused builds the verdict of a refusal: the largest wait over all scopes
// that limit the request, for a try that only one of them lets through is in vain.
func (q *Queue) refused(now time.Time, it Item, code Code) Verdict {
	level := it.Rank.Level()
	wait := q.rule.of(q.breaker.wait(now), q.Wait(now, it.Rank), q.profileWait(level, it.Profile))
	return Verdict{State: StateRefused, Code: code, RetryAfter: q.spread(max(wait, minRetryAfter))}
}

// of returns the wait that the rule names; scopes that do not limit have none.
func (r WaitRule) of(waits ...time.Duration) time.Duration {
	if r == WaitLargest {
		return slices.Max(waits)
	}
	var least time.Duration
	for _, wait := range waits {
		if wait > 0 && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 100 * time.Millisecond

// profileWait predicts when the profile is within its cap again.
func (q *Queue) profileWait(level int, p fleet.Profile) time.Duration {
	limit := q.profileSlots()
	for _, l := range q.lanes[level] {
		if l.profile == p {
			excess := l.running + len(l.waiting) - limit
			return time.Duration(max(excess, 0)) * q.holdOf(level) / time.Duration(limit)
		}
	}
	return 0
}

// spread adds jitter, so that refused callers do not return together.
func (q *Queue) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(q.jitter*q.random.Float64()*float64(wait))
}
