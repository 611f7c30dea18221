package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

type connectionKey struct{}

// connection is what is known of a caller's connection.
type connection struct {
	slowest atomic.Int64 // longest time that the caller took to read an answer, in nanoseconds
}

// ConnContext is the ConnContext of an http.Server whose handler is a Gateway. With it, callers that read
// slowly are known by their earlier requests on the connection.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, new(connection))
}

// connectionOf returns the connection of a request, one without a past if the server has no ConnContext.
func connectionOf(ctx context.Context) *connection {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		return c
	}
	return new(connection)
}

// readTime returns how long the caller may take to read an answer.
func (c *connection) readTime() time.Duration { return time.Duration(c.slowest.Load()) }

// record records how long the caller took to read an answer. A connection has one request at a time.
func (c *connection) record(took time.Duration) {
	c.slowest.Store(max(c.slowest.Load(), int64(took)))
}
