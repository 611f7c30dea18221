// Package trail remembers what was decided for the latest requests.
package trail

import (
	"sync"
	"time"
)

// Step is one decision.
type Step struct {
	Time time.Time
	Step string
	Peer string
	Note string
}

// Limits of a Trail.
const (
	maxRequests = 512
	maxSteps    = 32
)

// DecisionLog keeps the steps of the latest requests. It is safe for concurrent use.
type DecisionLog struct {
	clock func() time.Time

	mu    sync.Mutex
	steps map[string][]Step
	order [maxRequests]string
	next  int
}

// New returns an empty trail.
func New(clock func() time.Time) *DecisionLog {
	return &DecisionLog{clock: clock, steps: make(map[string][]Step, maxRequests)}
}

// Note adds a step. A request that takes too many steps keeps its first ones.
func (t *DecisionLog) Note(request, step, peer, note string) {
	if request == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	steps, known := t.steps[request]
	if !known {
		t.admit(request)
	}
	if len(steps) < maxSteps {
		t.steps[request] = append(steps, Step{Time: t.clock(), Step: step, Peer: peer, Note: note})
	}
}

func (t *DecisionLog) admit(request string) {
	delete(t.steps, t.order[t.next])
	t.order[t.next] = request
	t.next = (t.next + 1) % maxRequests
}

// Steps returns a copy of the steps of a request, oldest first.
func (t *DecisionLog) Steps(request string) []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps[request]...)
}
