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

func (p *profileQueue) Len() int { return len(p.waiting) }
func (p *profileQueue) Less(i, j int) bool {
	return p.waiting[i].latestStart.Before(p.waiting[j].latestStart)
}

func (p *profileQueue) Swap(i, j int) {
	p.waiting[i], p.waiting[j] = p.waiting[j], p.waiting[i]
	p.waiting[i].heapIndex = i
	p.waiting[j].heapIndex = j
}

// Push implements heap.Interface.
func (p *profileQueue) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(p.waiting)
	p.waiting = append(p.waiting, e)
}

// Pop implements heap.Interface.
func (p *profileQueue) Pop() any {
	last := len(p.waiting) - 1
	e := p.waiting[last]
	p.waiting[last] = nil
	p.waiting = p.waiting[:last]
	return e
}

func (p *profileQueue) add(e *entry)    { heap.Push(p, e) }
func (p *profileQueue) remove(e *entry) { heap.Remove(p, e.heapIndex) }

// idleTimeout is how long slots stay reserved for a profile that sends no requests.
const idleTimeout = 30 * time.Second

// idle reports whether a profile has no requests here and has offered none within idleTimeout.
func (p *profileQueue) idle(now time.Time) bool {
	return len(p.waiting) == 0 && p.running == 0 && now.Sub(p.lastOffer) > idleTimeout
}

// mostUrgent returns the waiting request with the earliest latestStart. Suspects are
// skipped unless suspects is set.
func (p *profileQueue) mostUrgent(suspects bool) *entry {
	if len(p.waiting) == 0 {
		return nil
	}
	if earliest := p.waiting[0]; suspects || !earliest.item.Suspect {
		return earliest
	}
	var best *entry
	for _, e := range p.waiting {
		if !e.item.Suspect && (best == nil || e.latestStart.Before(best.latestStart)) {
			best = e
		}
	}
	return best
}
