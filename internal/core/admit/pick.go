package admit

import (
	"math"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// pick returns the request that may start now, nil when none may.
//
// Ranks below their floor go first, the most urgent of them before the others; after
// that the rank decides. The floor of the most urgent rank is kept free for it, because
// running requests end too late to make room.
func (q *Queue) pick(now time.Time) *entry {
	if q.Running() >= q.slots || !q.breaker.allow(now) {
		return nil
	}
	for level := range q.queues {
		if q.running[level] >= q.floor(level) || !q.hasSlot(level, urgentOnly) {
			continue
		}
		if e := q.mostUrgent(level); e != nil && q.meetsTokenGap(e, urgentOnly) {
			return e
		}
	}
	for level := range q.queues {
		if e := q.mostUrgent(level); e != nil && q.hasSlot(level, level) {
			if q.meetsTokenGap(e, level) {
				return e
			}
			return nil
		}
	}
	return nil
}

// urgentOnly is the limit with which only the floor of the most urgent rank is kept free.
const urgentOnly = 1

// meetsTokenGap reports whether the time between tokens stays within the limit once the
// request has started and the more urgent ranks below limit have filled their floors.
// Above its floor the least urgent rank also leaves time for additional models.
func (q *Queue) meetsTokenGap(e *entry, limit int) bool {
	if q.maxTokenGap <= 0 || q.Running() == 0 {
		return true
	}
	running := q.Running() + 1 + q.unusedFloors(min(e.queue.level, limit))
	models := len(q.models)
	if q.models[e.item.Model] == 0 {
		models++
	}
	if limit == fleet.RankBulk.Level() {
		models += q.spareModels
	}
	return q.speed.stepTime(running, models) <= q.maxTokenGap
}

// unusedFloors returns how many slots the ranks more urgent than level may still take to
// fill their floors.
func (q *Queue) unusedFloors(level int) int {
	slots := 0
	for l := range level {
		slots += max(q.floor(l)-q.running[l], 0)
	}
	return slots
}

// hasSlot reports whether a rank may take a slot while the unused floors of the more
// urgent ranks below limit stay free.
func (q *Queue) hasSlot(level, limit int) bool {
	return q.slots-q.Running() > q.unusedFloors(min(level, limit))
}

// floor returns the number of slots that a rank is guaranteed.
func (q *Queue) floor(level int) int {
	return int(math.Ceil(q.floors.forLevel(level) * float64(q.slots)))
}

// mostUrgent returns the request of a rank with the earliest latestStart. Profiles within
// their cap go before those above it.
func (q *Queue) mostUrgent(level int) *entry {
	var withinCap, overCap *entry
	limit := q.profileCapSlots()
	for _, l := range q.queues[level] {
		e := l.mostUrgent(q.suspects == 0)
		if e == nil || q.atMaxShare(l) {
			continue
		}
		if l.running < limit {
			withinCap = earlier(withinCap, e)
		} else {
			overCap = earlier(overCap, e)
		}
	}
	if withinCap != nil {
		return withinCap
	}
	if overCap != nil && q.reservedSlots(overCap) > 0 && q.Running()+q.reservedSlots(overCap) >= q.capacity(level) {
		return nil
	}
	return overCap
}

// reservedSlots returns how many slots a request of a profile above its cap leaves free
// for other profiles of the rank, zero when none of them sent requests recently.
func (q *Queue) reservedSlots(e *entry) int {
	for _, l := range q.queues[e.queue.level] {
		if l != e.queue && l.running < q.profileCapSlots() {
			return int(math.Ceil(q.reserve * float64(q.slots)))
		}
	}
	return 0
}

// atMaxShare reports whether a profile uses the maximum share that operators configured for it.
func (q *Queue) atMaxShare(l *profileQueue) bool {
	return l.maxShare > 0 && l.running >= max(int(l.maxShare*float64(q.slots)), 1)
}

func (q *Queue) profileCapSlots() int {
	return max(int(q.profileCap*float64(q.slots)), 1)
}

func earlier(a, b *entry) *entry {
	if a == nil || b.latestStart.Before(a.latestStart) {
		return b
	}
	return a
}
