package admit

import (
	"container/heap"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// entry is a queued or running request.
type entry struct {
	item Item
	// latestStart is the latest start time that still meets the deadline.
	latestStart time.Time
	heapIndex   int
	queue       *profileQueue
	running     bool
	startedAt   time.Time
}

// profileQueue holds the requests of one profile in one rank, earliest latestStart first.
type profileQueue struct {
	profile fleet.Profile
	level   int
	waiting []*entry
	running int
	// maxShare is the maximum share of the slots for the profile; zero for no limit.
	maxShare float64
	// lastOffer is when the profile last offered a request.
	lastOffer time.Time
}

func (l *profileQueue) Len() int { return len(l.waiting) }
func (l *profileQueue) Less(i, j int) bool {
	return l.waiting[i].latestStart.Before(l.waiting[j].latestStart)
}

func (l *profileQueue) Swap(i, j int) {
	l.waiting[i], l.waiting[j] = l.waiting[j], l.waiting[i]
	l.waiting[i].heapIndex = i
	l.waiting[j].heapIndex = j
}

// Push implements heap.Interface.
func (l *profileQueue) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(l.waiting)
	l.waiting = append(l.waiting, e)
}

// Pop implements heap.Interface.
func (l *profileQueue) Pop() any {
	last := len(l.waiting) - 1
	e := l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
	return e
}

func (l *profileQueue) add(e *entry)    { heap.Push(l, e) }
func (l *profileQueue) remove(e *entry) { heap.Remove(l, e.heapIndex) }

// idleTimeout is how long slots stay reserved for a profile that sends no requests.
const idleTimeout = 30 * time.Second

// idle reports whether a profile has no requests here and has offered none within idleTimeout.
func (l *profileQueue) idle(now time.Time) bool {
	return len(l.waiting) == 0 && l.running == 0 && now.Sub(l.lastOffer) > idleTimeout
}

// mostUrgent returns the waiting request with the earliest latestStart. Suspects are
// skipped unless suspects is set.
func (l *profileQueue) mostUrgent(suspects bool) *entry {
	if len(l.waiting) == 0 {
		return nil
	}
	if earliest := l.waiting[0]; suspects || !earliest.item.Suspect {
		return earliest
	}
	var best *entry
	for _, e := range l.waiting {
		if !e.item.Suspect && (best == nil || e.latestStart.Before(best.latestStart)) {
			best = e
		}
	}
	return best
}
