// Package measure is a discrete-event simulator. It runs the routing, admission
// and placement decisions of the core against simulated engines in virtual time
// and reports how they compare with simple baseline policies.
package measure

import (
	"container/heap"
	"time"
)

// epoch is the time at which each scene starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// event is a callback scheduled at a time of a scene.
type event struct {
	at       time.Duration
	sequence uint64
	callback func()
}

// eventQueue is a heap of events ordered by time, then by insertion.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// clock runs scheduled events in virtual time.
type clock struct {
	now      time.Duration
	sequence uint64
	pending  eventQueue
}

// at schedules a callback; a time in the past counts as now.
func (c *clock) at(when time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.pending, event{at: max(when, c.now), sequence: c.sequence, callback: callback})
}

// after schedules a callback after a delay.
func (c *clock) after(wait time.Duration, callback func()) {
	c.at(c.now+wait, callback)
}

// wallTime returns the current virtual time as the absolute time that the core is given.
func (c *clock) wallTime() time.Time {
	return epoch.Add(c.now)
}

// runUntil runs all events up to and including a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= end {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.callback()
	}
	c.now = end
}
