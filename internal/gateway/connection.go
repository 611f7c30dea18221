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
	socket  interface{ Ended() bool }
}

// ConnContext is the ConnContext of an http.Server whose handler is a Gateway. With it, callers that read
// slowly are known by their earlier requests on the connection, and connections with a method Ended, which reports
// whether the caller has left, are asked before a request is sent: net/http looks for the end of a connection on a
// goroutine of its own, and may find it later than the request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	socket, _ := c.(interface{ Ended() bool })
	return context.WithValue(ctx, connectionKey{}, &connection{socket: socket})
}

// connectionOf returns the connection of a request, one without a past if the server has no ConnContext.
func connectionOf(ctx context.Context) *connection {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		return c
	}
	return new(connection)
}

// ended reports whether the caller has left.
func (c *connection) ended() bool { return c.socket != nil && c.socket.Ended() }

// readTime returns how long the caller may take to read an answer.
func (c *connection) readTime() time.Duration { return time.Duration(c.slowest.Load()) }

// record records how long the caller took to read an answer. A connection has one request at a time.
func (c *connection) record(took time.Duration) {
	c.slowest.Store(max(c.slowest.Load(), int64(took)))
}
