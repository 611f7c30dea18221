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
func (l *lane) idle() bool      { return len(l.waiting) == 0 && l.running == 0 }

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
