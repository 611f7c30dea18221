// Package presence tells what the connection of a request's caller shows: whether the caller is still there, and how
// long its request waited to be read. The context of a request may end some time after its caller has left: what
// ends it runs on another goroutine.
package presence

import (
	"context"
	"errors"
	"time"
)

// Caller is the caller of a request. Its methods don't block.
type Caller interface {
	// Left reports whether the caller has left by now. It is safe for concurrent use.
	Left() bool
	// Unread returns for how long the request had lain on this machine when its handler was called, 0 if that is
	// not known.
	Unread() time.Duration
}

// Func is a Caller that has left once the function returns true.
type Func func() bool

// Left implements Caller.
func (f Func) Left() bool { return f() }

// Unread implements Caller.
func (Func) Unread() time.Duration { return 0 }

type key struct{}

// With returns a context for the requests of a caller.
func With(ctx context.Context, c Caller) context.Context { return context.WithValue(ctx, key{}, c) }

// Of returns the caller of a request, without With one that never leaves.
func Of(ctx context.Context) Caller {
	if c, ok := ctx.Value(key{}).(Caller); ok {
		return c
	}
	return Func(func() bool { return false })
}

// Left reports whether the caller of a request has left, by the request's context or by the caller's connection.
// The end of a context by its deadline is no departure.
func Left(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) || Of(ctx).Left() }
