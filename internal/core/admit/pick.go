package admit

import (
	"math"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// pick returns the request that may start now, nil when none may.
//
// A rank below its floor goes first, the most urgent such rank before the
// others; then rank decides. The floor of the most urgent rank is kept empty
// for it, for a running answer ends too late to make room.
func (q *Queue) pick(now time.Time) *entry {
	if q.Running() >= q.slots || !q.breaker.allow(now) {
		return nil
	}
	for level := range q.lanes {
		if q.running[level] >= q.floor(level) || !q.mayTake(level, urgentOnly) {
			continue
		}
		if e := q.best(level); e != nil && q.inTime(e, urgentOnly) {
			return e
		}
	}
	for level := range q.lanes {
		if e := q.best(level); e != nil && q.mayTake(level, level) {
			if q.inTime(e, level) {
				return e
			}
			return nil
		}
	}
	return nil
}

// urgentOnly limits the floors that are kept empty to that of the most urgent rank.
const urgentOnly = 1

// inTime reports whether tokens still come within the gap once a request has
// started and the more urgent ranks below limit have filled their floors. Beyond
// its floor the least urgent rank also leaves time for a further model.
func (q *Queue) inTime(e *entry, limit int) bool {
	if q.gap <= 0 || q.Running() == 0 {
		return true
	}
	running := q.Running() + 1 + q.unfilled(min(e.lane.level, limit))
	models := len(q.models)
	if q.models[e.item.Model] == 0 {
		models++
	}
	if limit == fleet.RankBulk.Level() {
		models += q.spare
	}
	return q.speed.step(running, models) <= q.gap
}

// unfilled returns the slots that the ranks more urgent than level may still take of their floors.
func (q *Queue) unfilled(level int) int {
	slots := 0
	for l := range level {
		slots += max(q.floor(l)-q.running[l], 0)
	}
	return slots
}

// mayTake reports whether a rank may take a slot and leave the unused floors
// of the more urgent ranks below limit free.
func (q *Queue) mayTake(level, limit int) bool {
	return q.slots-q.Running() > q.unfilled(min(level, limit))
}

// floor returns the slots that a rank keeps.
func (q *Queue) floor(level int) int {
	return int(math.Ceil(q.floors.of(level) * float64(q.slots)))
}

// best returns the most pressing request of a rank. Profiles within their cap
// go before those beyond it.
func (q *Queue) best(level int) *entry {
	var within, beyond *entry
	limit := q.profileSlots()
	for _, l := range q.lanes[level] {
		e := l.head(q.suspects == 0)
		if e == nil || q.full(l) {
			continue
		}
		if l.running < limit {
			within = earlier(within, e)
		} else {
			beyond = earlier(beyond, e)
		}
	}
	if within != nil {
		return within
	}
	if beyond != nil && q.guarded(beyond) > 0 && q.Running()+q.guarded(beyond) >= q.capacity(level) {
		return nil
	}
	return beyond
}

// guarded returns the slots that a request beyond the cap of its profile leaves
// empty for other profiles of the rank, zero when none has asked lately.
func (q *Queue) guarded(e *entry) int {
	for _, l := range q.lanes[e.lane.level] {
		if l != e.lane && l.running < q.profileSlots() {
			return int(math.Ceil(q.guard * float64(q.slots)))
		}
	}
	return 0
}

// full reports whether a profile has the share that its operators allow it.
func (q *Queue) full(l *lane) bool {
	return l.cap > 0 && l.running >= max(int(l.cap*float64(q.slots)), 1)
}

func (q *Queue) profileSlots() int {
	return max(int(q.cap*float64(q.slots)), 1)
}

func earlier(a, b *entry) *entry {
	if a == nil || b.latest.Before(a.latest) {
		return b
	}
	return a
}
