// Package presence tells whether the caller of a request is still there. The context of a request may end some
// time after its caller has left: what ends it runs on another goroutine.
package presence

import (
	"context"
	"errors"
)

type key struct{}

// With returns a context for the requests of a caller. left reports whether the caller has left by now; it must not
// block, and it is called from several goroutines.
func With(ctx context.Context, left func() bool) context.Context {
	return context.WithValue(ctx, key{}, left)
}

// Of returns a function that reports whether the caller of a request has left by now. Without With it always
// returns false.
func Of(ctx context.Context) (left func() bool) {
	if left, ok := ctx.Value(key{}).(func() bool); ok {
		return left
	}
	return func() bool { return false }
}

// Left reports whether the caller of a request has left, by the request's context or by the caller's connection.
// The end of a context by its deadline is no departure.
func Left(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) || Of(ctx)() }
