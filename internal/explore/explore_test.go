package explore

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// counter is a model that adds one or two up to twelve. One value may be forbidden.
type counter struct {
	value  int
	forbid int
}

var errForbidden = errors.New("forbidden value")

func (c counter) Key() string { return fmt.Sprint(c.value) }

func (c counter) Steps() []Step {
	var steps []Step
	for _, by := range []int{1, 2} {
		if next := c.value + by; next <= 12 {
			steps = append(steps, Step{Name: fmt.Sprint("add ", by), Take: func() State { return counter{next, c.forbid} }})
		}
	}
	return steps
}

func (c counter) Check() error {
	if c.value == c.forbid {
		return errForbidden
	}
	return nil
}

func TestRun(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		forbid int
		limits Limits
		want   Result
	}{
		{name: "whole", ctx: t.Context(), forbid: -1, want: Result{Depth: 6, States: 13, Steps: 23, Bound: BoundNone}},
		{name: "depth", ctx: t.Context(), forbid: -1, limits: Limits{Depth: 3}, want: Result{Depth: 3, States: 7, Steps: 10, Bound: BoundDepth}},
		{name: "states", ctx: t.Context(), forbid: -1, limits: Limits{States: 4}, want: Result{Depth: 1, States: 4, Steps: 6, Bound: BoundStates}},
		{name: "time", ctx: cancelled, forbid: -1, want: Result{States: 3, Steps: 2, Bound: BoundTime}},
		{name: "violated at the start", ctx: t.Context(), want: Result{States: 1, Bound: BoundNone, Violation: errForbidden, Trace: []string{}}},
		{name: "shortest trace", ctx: t.Context(), forbid: 5, want: Result{
			Depth: 2, States: 6, Steps: 8, Bound: BoundNone, Violation: errForbidden,
			Trace: []string{"1. add 1", "2. add 2", "3. add 2"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Run(tt.ctx, counter{forbid: tt.forbid}, tt.limits))
		})
	}
}
