// Package measure runs the decisions of the core against small fakes in
// virtual time and reports how they compare with plain baselines.
package measure

import (
	"container/heap"
	"time"
)

// epoch is the moment at which each scene starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// event is something that happens at a moment of a scene.
type event struct {
	at       time.Duration
	sequence uint64
	callback func()
}

// eventQueue orders events by time, then by when they were added.
type eventQueue []event

func (a eventQueue) Len() int      { return len(a) }
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].sequence < a[j].sequence
}

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	(*a)[last] = event{}
	*a = (*a)[:last]
	return e
}

// clock runs events in virtual time.
type clock struct {
	now      time.Duration
	sequence uint64
	pending  eventQueue
}

// at adds an event.
func (c *clock) at(when time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.pending, event{at: max(when, c.now), sequence: c.sequence, callback: callback})
}

// after adds an event that comes after a while.
func (c *clock) after(wait time.Duration, callback func()) {
	c.at(c.now+wait, callback)
}

// wallTime returns the present moment as the core sees it.
func (c *clock) wallTime() time.Time {
	return epoch.Add(c.now)
}

// runUntil runs all events up to a moment.
func (c *clock) runUntil(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.callback()
	}
	c.now = end
}
