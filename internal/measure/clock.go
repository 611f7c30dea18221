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
	at    time.Duration
	order uint64
	run   func()
}

// agenda orders events by time, then by when they were added.
type agenda []event

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	(*a)[last] = event{}
	*a = (*a)[:last]
	return e
}

// clock runs events in virtual time.
type clock struct {
	now    time.Duration
	order  uint64
	agenda agenda
}

// at adds an event.
func (c *clock) at(when time.Duration, run func()) {
	c.order++
	heap.Push(&c.agenda, event{at: max(when, c.now), order: c.order, run: run})
}

// after adds an event that comes after a while.
func (c *clock) after(wait time.Duration, run func()) {
	c.at(c.now+wait, run)
}

// time returns the present moment as the core sees it.
func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

// runUntil runs all events up to a moment.
func (c *clock) runUntil(end time.Duration) {
	for len(c.agenda) > 0 && c.agenda[0].at <= end {
		e := heap.Pop(&c.agenda).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
