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
		if q.running[level] < q.floor(level) && q.mayTake(level, fleet.RankUrgent.Level()+1) {
			if e := q.best(level); e != nil && q.inTime(e) {
				return e
			}
		}
	}
	for level := range q.lanes {
		if e := q.best(level); e != nil && q.mayTake(level, level) {
			if q.inTime(e) {
				return e
			}
			return nil
		}
	}
	return nil
}

// inTime reports whether tokens still come within the gap once a request has
// started. Other ranks also leave time for the floor of the most urgent one
// and for models that it may need.
func (q *Queue) inTime(e *entry) bool {
	if q.gap <= 0 || q.Running() == 0 {
		return true
	}
	running, models := q.Running()+1, len(q.models)
	if q.models[e.item.Model] == 0 {
		models++
	}
	urgent := fleet.RankUrgent.Level()
	if e.lane.level != urgent {
		running += max(q.floor(urgent)-q.running[urgent], 0)
		models += q.spare
	}
	return q.speed.step(running, models) <= q.gap
}

// mayTake reports whether a rank may take a slot and leave the unused floors
// of the more urgent ranks below limit free.
func (q *Queue) mayTake(level, limit int) bool {
	free := q.slots - q.Running()
	for l := 0; l < min(level, limit); l++ {
		free -= max(q.floor(l)-q.running[l], 0)
	}
	return free > 0
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
		if e == nil {
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

func (q *Queue) profileSlots() int {
	return max(int(q.cap*float64(q.slots)), 1)
}

func earlier(a, b *entry) *entry {
	if a == nil || b.latest.Before(a.latest) {
		return b
	}
	return a
}
