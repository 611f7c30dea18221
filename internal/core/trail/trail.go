// Package trail keeps a log of the decisions made for the latest requests.
package trail

import (
	"sync"
	"time"
)

// Step is one decision for a request.
type Step struct {
	Time time.Time
	Step string
	Peer string
	Note string
}

// Limits of a DecisionLog.
const (
	maxRequests = 512
	maxSteps    = 32
)

// DecisionLog keeps the steps of the latest requests in memory. It is safe for concurrent use.
type DecisionLog struct {
	clock func() time.Time

	mu    sync.Mutex
	steps map[string][]Step
	order [maxRequests]string
	next  int
}

// New returns an empty log.
func New(clock func() time.Time) *DecisionLog {
	return &DecisionLog{clock: clock, steps: make(map[string][]Step, maxRequests)}
}

// Note adds a step to a request. Beyond the limit, further steps are dropped.
func (d *DecisionLog) Note(request, step, peer, note string) {
	if request == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	steps, known := d.steps[request]
	if !known {
		d.admit(request)
	}
	if len(steps) < maxSteps {
		d.steps[request] = append(steps, Step{Time: d.clock(), Step: step, Peer: peer, Note: note})
	}
}

// admit adds a request and drops the oldest one if the log is full.
func (d *DecisionLog) admit(request string) {
	delete(d.steps, d.order[d.next])
	d.order[d.next] = request
	d.next = (d.next + 1) % maxRequests
}

// Steps returns a copy of the steps of a request, oldest first.
func (d *DecisionLog) Steps(request string) []Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Step(nil), d.steps[request]...)
}
