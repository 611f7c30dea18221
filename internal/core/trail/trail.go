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
	requestLimit = 512
	stepLimit    = 32
)

// Trail keeps the steps of the latest requests. It is safe for concurrent use.
type Trail struct {
	clock func() time.Time

	mu    sync.Mutex
	steps map[string][]Step
	order [requestLimit]string
	next  int
}

// New returns an empty trail.
func New(clock func() time.Time) *Trail {
	return &Trail{clock: clock, steps: make(map[string][]Step, requestLimit)}
}

// Note adds a step. A request that takes too many steps keeps its first ones.
func (t *Trail) Note(request, step, peer, note string) {
	if request == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	steps, known := t.steps[request]
	if !known {
		t.admit(request)
	}
	if len(steps) < stepLimit {
		t.steps[request] = append(steps, Step{Time: t.clock(), Step: step, Peer: peer, Note: note})
	}
}

func (t *Trail) admit(request string) {
	delete(t.steps, t.order[t.next])
	t.order[t.next] = request
	t.next = (t.next + 1) % requestLimit
}

// Steps returns a copy of the steps of a request, oldest first.
func (t *Trail) Steps(request string) []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps[request]...)
}
