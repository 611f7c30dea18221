// Package httpconn observes the connections of an http.Transport: whether a request was written to
// one, and whether bytes arrived on it that can't be the answer to that request.
package httpconn

import (
	"errors"
	"net"
	"sync"

	"github.com/chiveramp/chiveramp/internal/tcp"
)

// ErrUnsolicited is the error of a request whose connection had a response before the request was sent.
var ErrUnsolicited = errors.New("a response came before the request")

var (
	errUnusable  = errors.New("connection is not used for this request")
	errWithdrawn = errors.New("the request is withdrawn")
)

// Conn is a connection of an http.Transport.
type Conn struct {
	net.Conn
	socket tcp.Lingerer // nil if it can't be reset

	mu          sync.Mutex
	changed     *sync.Cond
	requests    int  // requests for which the connection was chosen
	reading     bool // a read waits for bytes, all received before were consumed
	written     bool // a byte of the newest request may have been written
	answered    bool // a byte of its answer was received
	unsolicited bool // bytes arrived after the newest request had chosen the connection and before it was written
	retired     bool // no further request may use it
	closed      bool
	head        headScanner // of the answers to the newest request
	wanted      func() bool // whether the newest request is still to be written, nil if it is
}

// New wraps a connection that no request has used.
func New(c net.Conn) *Conn {
	wrapped := &Conn{Conn: WithOrderlyEnd(c), head: headScanner{part: partBody}}
	wrapped.socket, _ = c.(tcp.Lingerer)
	wrapped.changed = sync.NewCond(&wrapped.mu)
	return wrapped
}

// begin makes the connection ready for a request and returns the number of requests before it.
// Once it has returned, no byte received before is left: the transport closes an idle connection
// with bytes in its buffer, but not if a request chooses it before the transport has looked.
func (c *Conn) begin(wanted func() bool) (before int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.requests
	c.requests++
	for !c.reading && !c.closed && !c.retired {
		c.changed.Wait()
	}
	c.written, c.answered, c.unsolicited, c.head, c.wanted = false, false, false, newHeadScanner(), wanted
	return before
}

// Read implements net.Conn. It withholds the end of a malformed head, so that the transport can't take it for
// an answer.
func (c *Conn) Read(b []byte) (int, error) {
	c.setReading()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if !c.written {
		c.unsolicited = c.unsolicited || n > 0
		return n, err
	}
	c.answered = c.answered || n > 0
	if malformed := c.head.scan(b[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

func (c *Conn) setReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.changed.Broadcast()
}

// Write implements net.Conn. It writes nothing of a request whose answer could not be told apart
// from bytes received before, or which is no longer wanted.
func (c *Conn) Write(b []byte) (int, error) {
	if wanted := c.question(); wanted != nil && !wanted() {
		return 0, errWithdrawn
	}
	if !c.mayWrite() {
		return 0, errUnusable
	}
	return c.Conn.Write(b)
}

// question returns the function to call before the first byte of the newest request is written, nil for nothing.
func (c *Conn) question() func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written || c.closed {
		return nil
	}
	return c.wanted
}

func (c *Conn) mayWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.written && (c.unsolicited || c.retired) {
		return false
	}
	c.written, c.wanted = true, nil
	return true
}

// Close implements net.Conn. While a request has no part of an answer, it resets the connection: closed in order,
// it would still send what it holds of a request that nobody waits for.
func (c *Conn) Close() error {
	c.mu.Lock()
	abandoned := c.written && !c.answered && !c.closed
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if abandoned && c.socket != nil {
		_ = c.socket.SetLinger(0) // fails if the connection has failed
	}
	return c.Conn.Close()
}

// retire keeps further requests off the connection. The newest one may still be written, and answered.
func (c *Conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.changed.Broadcast()
}

func (c *Conn) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// abandonUnwritten closes the connection if no byte of a request was written, so that none will be. It
// reports whether it did. The request is known by how many were before it: once a later one has chosen the
// connection, it was written, and answered.
func (c *Conn) abandonUnwritten(before int) bool {
	c.mu.Lock()
	written := c.written || c.requests > before+1
	c.closed = c.closed || !written
	c.mu.Unlock()
	if !written {
		_ = c.Close()
	}
	return !written
}
