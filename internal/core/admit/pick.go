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
			if e := q.best(level); e != nil {
				return e
			}
		}
	}
	for level := range q.lanes {
		if q.mayTake(level, level) {
			if e := q.best(level); e != nil {
				return e
			}
		}
	}
	return nil
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
	return beyond
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
