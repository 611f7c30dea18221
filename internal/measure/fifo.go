package measure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// queue is the admission queue of one endpoint: that of the core or a FIFO baseline.
type queue interface {
	Offer(now time.Time, it admit.Item) admit.Decision
	Next(now time.Time) (admit.Item, bool)
	Done(now time.Time, id string, end admit.End)
	Cancel(now time.Time, id string) (wasRunning bool)
	Expire(now time.Time) []admit.Refusal
	Due(now time.Time) (time.Time, bool)
	Running() int
	Queued() int
	Wait(now time.Time, r fleet.Rank) time.Duration
}

// fifo is a baseline queue that starts requests in order of arrival and refuses none.
type fifo struct {
	slots   int
	waiting []admit.Item
	running map[string]bool
}

func newFIFO(slots int) *fifo {
	return &fifo{slots: slots, running: make(map[string]bool)}
}

// Offer implements queue.
func (f *fifo) Offer(_ time.Time, it admit.Item) admit.Decision {
	if len(f.waiting) == 0 && len(f.running) < f.slots {
		f.running[it.ID] = true
		return admit.Decision{State: admit.StateStart}
	}
	f.waiting = append(f.waiting, it)
	return admit.Decision{State: admit.StateQueued}
}

// Next implements queue.
func (f *fifo) Next(time.Time) (admit.Item, bool) {
	if len(f.waiting) == 0 || len(f.running) >= f.slots {
		return admit.Item{}, false
	}
	it := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running[it.ID] = true
	return it, true
}

// Done implements queue.
func (f *fifo) Done(_ time.Time, id string, _ admit.End) { delete(f.running, id) }

// Cancel implements queue.
func (f *fifo) Cancel(_ time.Time, id string) bool {
	if f.running[id] {
		delete(f.running, id)
		return true
	}
	for i := range f.waiting {
		if f.waiting[i].ID == id {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			break
		}
	}
	return false
}

// Expire implements queue.
func (f *fifo) Expire(time.Time) []admit.Refusal { return nil }

// Due implements queue.
func (f *fifo) Due(time.Time) (time.Time, bool) { return time.Time{}, false }

// Running implements queue.
func (f *fifo) Running() int { return len(f.running) }

// Queued implements queue.
func (f *fifo) Queued() int { return len(f.waiting) }

// Wait implements queue.
func (f *fifo) Wait(time.Time, fleet.Rank) time.Duration {
	return time.Duration(len(f.waiting)) * fifoStartInterval
}

// fifoStartInterval is the assumed interval between two starts at an endpoint without free slots.
const fifoStartInterval = 200 * time.Millisecond
