// Package explore is a model checker: it searches the reachable states of a model breadth
// first, so that the first invariant violation found has one of the shortest traces.
package explore

import (
	"context"
	"crypto/sha256"
	"fmt"
)

// State is one state of a model. It is immutable: a step returns another state.
type State interface {
	// Key is equal for two states if and only if they have the same future behaviour.
	Key() string
	// Steps returns the enabled transitions, always in the same order.
	Steps() []Step
	// Check returns the violated invariant, nil if all hold.
	Check() error
}

// Step is one transition of a model.
type Step struct {
	Name string
	// Take returns the state after the step.
	Take func() State
}

// Bound names what ended an exploration early.
type Bound string

// The bounds of an exploration.
const (
	// BoundNone: every reachable state was checked, or a violation was found first.
	BoundNone   Bound = "none"
	BoundDepth  Bound = "depth"
	BoundStates Bound = "states"
	BoundTime   Bound = "time"
)

// Limits bound an exploration; the context bounds its time. Zero means no limit.
type Limits struct {
	Depth  int
	States int
}

// Result is the outcome of an exploration.
type Result struct {
	// Depth is the number of steps from the start up to which all states were checked.
	Depth int
	// States is the number of distinct states that were checked.
	States int
	// Steps is the number of steps that were taken between them.
	Steps int
	Bound Bound
	// Violation is the invariant that does not hold, nil if no violation was found.
	Violation error
	// Trace is the numbered names of the steps from the start to the violation.
	Trace []string
}

// digest is the truncated hash of a state's key. A collision would hide a state; with
// 128 bits it is too unlikely to matter.
type digest [16]byte

// origin is the step by which a state was first reached: the index of the previous state
// and of the step among that state's steps.
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

// Run explores from a start state until an invariant is violated, no new state is left or
// a bound is reached.
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

// node is a state that is not expanded yet.
type node struct {
	state State
	index int32
}

func (se *search) ended() bool {
	return se.result.Violation != nil || se.result.Bound != BoundNone
}

// expand takes every step from the states of a layer and returns the new states.
func (se *search) expand(layer []node) []node {
	var next []node
	for _, n := range layer {
		for i, s := range n.state.Steps() {
			se.result.Steps++
			next = se.visit(next, s.Take(), origin{parent: n.index, step: int32(i)})
			if se.ended() {
				return nil
			}
		}
		if se.ctx.Err() != nil {
			se.result.Bound = BoundTime
			return nil
		}
	}
	if len(next) > 0 {
		se.result.Depth++
	}
	return next
}

// visit checks a state and appends it to the layer if it is new.
func (se *search) visit(layer []node, s State, from origin) []node {
	sum := sha256.Sum256([]byte(s.Key()))
	key := digest(sum[:len(digest{})])
	if _, ok := se.seen[key]; ok {
		return layer
	}
	if se.limits.States > 0 && se.result.States == se.limits.States {
		se.result.Bound = BoundStates
		return layer
	}
	se.seen[key] = struct{}{}
	se.origins = append(se.origins, from)
	se.result.States++
	index := int32(len(se.origins) - 1)
	if err := s.Check(); err != nil {
		se.result.Violation, se.result.Trace = err, se.trace(index)
	}
	return append(layer, node{state: s, index: index})
}

// trace replays the steps to a state and returns their names. Only step indexes are
// stored during the search.
func (se *search) trace(index int32) []string {
	var indexes []int32
	for i := index; se.origins[i].parent >= 0; i = se.origins[i].parent {
		indexes = append(indexes, se.origins[i].step)
	}
	state := se.start
	names := make([]string, 0, len(indexes))
	for i := len(indexes) - 1; i >= 0; i-- {
		s := state.Steps()[indexes[i]]
		names = append(names, fmt.Sprintf("%d. %s", len(names)+1, s.Name))
		state = s.Take()
	}
	return names
}
