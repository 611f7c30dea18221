package timer

import "time"

// subscription is a function with the time of its next call. With a zero interval it is called
// once, after wait.
type subscription struct {
	at        time.Time
	wait      time.Duration
	interval  time.Duration
	jitter    time.Duration
	fn        func(now time.Time)
	index     int
	cancelled bool
}

// queue is a heap of subscriptions, ordered by the time of their next call.
type queue []*subscription

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*subscription)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.index = -1
	return e
}
