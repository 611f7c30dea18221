// Package explore walks through every state that a model can reach, breadth first, so
// that the first broken invariant is shown by one of the shortest ways that lead there.
package explore

import (
	"context"
	"crypto/sha256"
	"fmt"
)

// State is one state of a model. It never changes: a step returns another state.
type State interface {
	// Key is the same for two states exactly if they behave alike from here on.
	Key() string
	// Steps returns what may happen next, always in the same order.
	Steps() []Step
	// Check returns the invariant that is broken, nil when all hold.
	Check() error
}

// Step is one thing that may happen.
type Step struct {
	Name string
	Take func() State
}

// Bound names what ended an exploration early.
type Bound string

// The bounds of an exploration.
const (
	// BoundNone: every reachable state was seen, or an invariant broke before.
	BoundNone   Bound = "none"
	BoundDepth  Bound = "depth"
	BoundStates Bound = "states"
	BoundTime   Bound = "time"
)

// Limits bound an exploration; the time is bound by the context. Zero is no bound.
type Limits struct {
	Depth  int
	States int
}

// Result is what an exploration has seen.
type Result struct {
	// Depth is how many steps from the start every state was checked.
	Depth int
	// States is how many different states were checked.
	States int
	// Steps is how many steps were taken between them.
	Steps int
	Bound Bound
	// Violation is the invariant that does not hold, nil when none was found.
	Violation error
	// Trace is the way to it, one step a line.
	Trace []string
}

// digest stands for a state's key; two keys in one digest would hide a state, which
// 128 bits make out of the question.
type digest [16]byte

// origin is the step that first led to a state.
type origin struct {
	parent int32
	step   int32
}

type search struct {
	ctx     context.Context
	limits  Limits
	start   State
	seen    map[digest]struct{}
	origins []origin
	result  Result
}

// Run explores from a start state until an invariant breaks, no new state is left or a
// bound is met.
func Run(ctx context.Context, start State, limits Limits) Result {
	w := &search{ctx: ctx, limits: limits, start: start, seen: map[digest]struct{}{}}
	w.result.Bound = BoundNone
	layer := w.visit(nil, start, origin{parent: -1})
	for len(layer) > 0 && !w.ended() {
		if limits.Depth > 0 && w.result.Depth == limits.Depth {
			w.result.Bound = BoundDepth
			break
		}
		layer = w.expand(layer)
	}
	return w.result
}

// node is a state whose steps were not taken yet.
type node struct {
	state State
	index int32
}

func (w *search) ended() bool {
	return w.result.Violation != nil || w.result.Bound != BoundNone
}

// expand takes every step of a layer and returns the states that are new.
func (w *search) expand(layer []node) []node {
	var next []node
	for _, n := range layer {
		for i, s := range n.state.Steps() {
			w.result.Steps++
			next = w.visit(next, s.Take(), origin{parent: n.index, step: int32(i)})
			if w.ended() {
				return nil
			}
		}
		if w.ctx.Err() != nil {
			w.result.Bound = BoundTime
			return nil
		}
	}
	if len(next) > 0 {
		w.result.Depth++
	}
	return next
}

// visit checks a state and appends it if it is new.
func (w *search) visit(layer []node, s State, from origin) []node {
	sum := sha256.Sum256([]byte(s.Key()))
	key := digest(sum[:len(digest{})])
	if _, ok := w.seen[key]; ok {
		return layer
	}
	if w.limits.States > 0 && w.result.States == w.limits.States {
		w.result.Bound = BoundStates
		return layer
	}
	w.seen[key] = struct{}{}
	w.origins = append(w.origins, from)
	w.result.States++
	index := int32(len(w.origins) - 1)
	if err := s.Check(); err != nil {
		w.result.Violation, w.result.Trace = err, w.trace(index)
	}
	return append(layer, node{state: s, index: index})
}

// trace takes the steps to a state again and names them.
func (w *search) trace(index int32) []string {
	var indexes []int32
	for i := index; w.origins[i].parent >= 0; i = w.origins[i].parent {
		indexes = append(indexes, w.origins[i].step)
	}
	state := w.start
	names := make([]string, 0, len(indexes))
	for i := len(indexes) - 1; i >= 0; i-- {
		s := state.Steps()[indexes[i]]
		names = append(names, fmt.Sprintf("%d. %s", len(names)+1, s.Name))
		state = s.Take()
	}
	return names
}
