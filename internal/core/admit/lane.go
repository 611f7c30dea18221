package admit

import (
	"container/heap"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// entry is a request that waits or runs.
type entry struct {
	item Item
	// latest is the last moment at which a start still meets the deadline.
	latest  time.Time
	index   int
	lane    *lane
	running bool
	started time.Time
}

// lane holds the requests of one profile in one rank, the most pressing first.
type lane struct {
	profile fleet.Profile
	level   int
	waiting []*entry
	running int
	// cap is the largest share of the slots that the profile may take; zero for no bound.
	cap float64
	// last is when the profile last asked.
	last time.Time
}

func (l *lane) Len() int           { return len(l.waiting) }
func (l *lane) Less(i, j int) bool { return l.waiting[i].latest.Before(l.waiting[j].latest) }

func (l *lane) Swap(i, j int) {
	l.waiting[i], l.waiting[j] = l.waiting[j], l.waiting[i]
	l.waiting[i].index = i
	l.waiting[j].index = j
}

// Push implements heap.Interface.
func (l *lane) Push(x any) {
	e := x.(*entry)
	e.index = len(l.waiting)
	l.waiting = append(l.waiting, e)
}

// Pop implements heap.Interface.
func (l *lane) Pop() any {
	last := len(l.waiting) - 1
	e := l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
	return e
}

func (l *lane) add(e *entry)    { heap.Push(l, e) }
func (l *lane) remove(e *entry) { heap.Remove(l, e.index) }

// idleTime is how long a profile that asks nothing still has room kept for it.
const idleTime = 30 * time.Second

// idle reports whether a profile has nothing here and has not asked lately.
func (l *lane) idle(now time.Time) bool {
	return len(l.waiting) == 0 && l.running == 0 && now.Sub(l.last) > idleTime
}

// head returns the most pressing request that may start; suspects only when asked for.
func (l *lane) head(suspects bool) *entry {
	if len(l.waiting) == 0 {
		return nil
	}
	if first := l.waiting[0]; suspects || !first.item.Suspect {
		return first
	}
	var best *entry
	for _, e := range l.waiting {
		if !e.item.Suspect && (best == nil || e.latest.Before(best.latest)) {
			best = e
		}
	}
	return best
}
