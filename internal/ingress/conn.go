package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/intake"
	"github.com/chiveramp/chiveramp/internal/tcp"
)

const (
	// refusalTime is how long a client may take to read a refusal before its connection is closed.
	refusalTime = 500 * time.Millisecond
	// maxRead bounds what is read at once, and so what is kept of bytes that belong to the next request.
	maxRead = 32 << 10
	// maxLingerBytes bounds what is read of a connection that lingers.
	maxLingerBytes = 256 << 10
	// retryAfter is when a refused client should try again, in seconds.
	retryAfter = "1"
	// maxEchoed bounds the value of a field that refusals repeat.
	maxEchoed = 256
)

// conn is a connection that passes on the head of a request once it is whole. Its server reads on one
// goroutine at a time.
type conn struct {
	net.Conn
	gate    *Gate
	name    string // of the server
	account *intake.Conn

	// The rest is used by the server's goroutine for the connection, and by its reads.

	head    []byte // what has arrived of a head, or what of a whole one the server has yet to read
	rest    []byte // bytes that were read and come after what was passed on
	scanner intake.HeadScanner
	timed   bool               // the head's deadline is set
	running bool               // a request's head was passed on, and the request has not ended
	cost    int64              // memory in bytes that is held for the request
	body    intake.BodyScanner // nil outside a body
	early   bool               // a byte of the request was read before the one before it had ended
	waited  time.Duration      // for how long the request lay on this machine unread

	// whole is set from a whole head until its request ends, active once the server counts the connection as
	// busy, ahead once a byte after a request was read that has not ended.
	whole, active, ahead atomic.Bool
	// buffered is set while bytes were read that were not passed on.
	buffered atomic.Bool
	// lingering is set once the connection is closed except for what its client still sends.
	lingering atomic.Bool
	// writeTimed is set while the server has set a deadline for writes.
	writeTimed atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.running && len(c.head) > 0:
		return c.passHead(p), nil
	case c.running && c.body != nil:
		return c.readBody(p)
	case c.running:
		return c.readByte(p)
	default:
		return c.readHead(p)
	}
}

// read returns bytes that were read before, or else reads some.
func (c *conn) read(p []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		if c.rest = c.rest[n:]; len(c.rest) == 0 {
			c.rest = nil
			c.buffered.Store(false)
		}
		return n, nil
	}
	return c.Conn.Read(p[:min(len(p), maxRead)])
}

// unread keeps bytes that were read too far.
func (c *conn) unread(text []byte) {
	if len(text) > 0 {
		c.rest = slices.Concat(text, c.rest)
		c.buffered.Store(true)
	}
}

// readHead reads a head up to its end, and passes on as much of it as there is room for.
func (c *conn) readHead(p []byte) (int, error) {
	for {
		n, err := c.read(p)
		used, whole := c.scanner.Scan(p[:n])
		switch {
		case c.scanner.Size() > c.gate.limits.Head:
			return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, CauseHeadSize)
		case whole:
			c.unread(p[used:n])
			return c.takeHead(p, used)
		case n > 0:
			if err := c.keepHead(p[:n]); err != nil {
				return 0, err
			}
		}
		if err != nil {
			if c.timed && errors.Is(err, os.ErrDeadlineExceeded) {
				c.gate.report(c.name, CauseHeadTime)
			}
			return 0, err
		}
	}
}

// keepHead keeps a part of a head.
func (c *conn) keepHead(part []byte) error {
	if c.account.Phase() != intake.PhaseHead {
		c.gate.enter(c, intake.PhaseHead)
	}
	c.head = append(c.head, part...)
	if err := c.gate.hold(c, c.held()); err != nil {
		return c.refuseFor(err)
	}
	if c.timed {
		return nil
	}
	c.timed = true
	return c.SetReadDeadline(c.gate.clock().Add(c.gate.limits.HeadTime))
}

// held is the memory in bytes of what was read and not passed on.
func (c *conn) held() int64 { return int64(cap(c.head) + cap(c.rest)) }

// takeHead begins a request whose head ends with the first bytes of p, and passes on as much of it as p holds.
// What the server will need for the request is taken before it reads any of it.
func (c *conn) takeHead(p []byte, used int) (int, error) {
	c.cost = intake.RequestCost(c.scanner.Size(), c.scanner.Lines()) + int64(cap(c.rest))
	if err := c.gate.run(c, c.cost); err != nil {
		c.head = append(c.head, p[:used]...)
		return 0, c.refuseFor(err)
	}
	c.whole.Store(true)
	c.running, c.timed, c.scanner = true, false, intake.HeadScanner{}
	if len(c.head) == 0 {
		return used, nil
	}
	c.head = append(c.head, p[:used]...)
	return c.passHead(p), nil
}

func (c *conn) passHead(p []byte) int {
	n := copy(p, c.head)
	if c.head = c.head[n:]; len(c.head) == 0 {
		c.head = nil
	}
	return n
}

// readByte reads one byte after a request that still runs, by which the server notices that the client has
// left. The head that begins with it is read when the request has ended.
func (c *conn) readByte(p []byte) (int, error) {
	n, err := c.read(p[:1])
	if n > 0 {
		c.ahead.Store(true)
	}
	_, _ = c.scanner.Scan(p[:n])
	return n, err
}

// readBody reads up to the end of a body.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.read(p)
	used, whole := c.body.Scan(p[:n])
	c.unread(p[used:n])
	if !whole {
		return used, err
	}
	if full := c.gate.run(c, c.cost+intake.TrailerCost(c.body)+int64(cap(c.rest))); full != nil {
		_ = c.shut()
		return 0, full // before the handler has the whole body: the request doesn't run
	}
	c.body = nil
	return used, err
}

// begin is called as the handler gets a request: from the server's own parser it is known where the body ends.
func (c *conn) begin(r *http.Request) {
	c.waited = 0
	if socket, ok := c.Conn.(syscall.Conn); ok && !c.early {
		c.waited = tcp.SinceReceived(socket)
	}
	switch length := intake.LengthScanner(r.ContentLength); {
	case length > 0:
		c.body = &length
	case length < 0:
		c.body = intake.NewChunkScanner()
	default:
		return
	}
	c.gate.enter(c, intake.PhaseBody)
}

// Unread implements presence.Caller. It is called by the handler.
func (c *conn) Unread() time.Duration { return c.waited }

// Left implements presence.Caller. A client that has closed its side for sending counts as one that has left, as for
// net/http, unless it has sent another request.
func (c *conn) Left() bool {
	socket, ok := c.Conn.(syscall.Conn)
	return ok && !c.ahead.Load() && !c.buffered.Load() && tcp.Ended(socket)
}

// observe is called as the server's state of the connection changes.
func (c *conn) observe(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.active.Store(true)
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed:
		if !c.lingering.Load() {
			_ = c.shut()
		}
	default:
	}
}

// endRequest ends the request that runs. The next one may have begun to arrive.
func (c *conn) endRequest() {
	c.running, c.body = false, nil
	c.whole.Store(false)
	c.active.Store(false)
	c.ahead.Store(false)
	phase := intake.PhaseIdle
	if c.early = c.scanner.Size() > 0 || len(c.rest) > 0; c.early {
		phase = intake.PhaseHead
	}
	c.gate.end(c, phase)
}

// Write implements net.Conn. A client that reads nothing blocks it until the deadline.
func (c *conn) Write(p []byte) (int, error) {
	if !c.writeTimed.Load() {
		if err := c.Conn.SetWriteDeadline(c.gate.clock().Add(c.gate.limits.WriteTime)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeTimed.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.writeTimed.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn. While its server stops, it closes connections that it counts as idle, though
// the head of a request may have been read: such a connection is closed after that request.
func (c *conn) Close() error {
	switch {
	case c.whole.Load() && !c.active.Load(), c.lingering.Load():
		return nil
	case c.whole.Load() && c.ahead.Load():
		return c.linger()
	default:
		return c.shut()
	}
}

// linger closes a connection whose client has sent more than the request that was answered. Closing it with
// unread bytes would reset it, and drop what the client has yet to read of the answer.
func (c *conn) linger() error {
	c.lingering.Store(true)
	c.gate.end(c, intake.PhaseRefused)
	_ = c.SetReadDeadline(c.gate.clock().Add(refusalTime))
	if err := c.CloseWrite(); err != nil {
		return c.shut()
	}
	c.gate.lingering.Go(func() error {
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // the client has its answer
		return c.shut()
	})
	return nil
}

func (c *conn) shut() error {
	c.gate.forget(c)
	return c.Conn.Close()
}

// CloseWrite ends the answers on the connection, so that its client can read the last one.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// refuseFor ends a connection that can't hold more.
func (c *conn) refuseFor(err error) error {
	if errors.Is(err, intake.ErrEnded) {
		return net.ErrClosed
	}
	return c.refuse(http.StatusServiceUnavailable, CauseMemory)
}

// refuse answers a request that isn't passed on. Its error ends the connection.
func (c *conn) refuse(status int, cause Cause) error {
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		answer += "Retry-After: " + retryAfter + "\r\n"
	}
	if value := fieldValue(c.head, c.gate.echoed); value != "" {
		answer += c.gate.echoed + ": " + value + "\r\n"
	}
	c.head, c.rest = nil, nil
	c.gate.end(c, intake.PhaseRefused)
	c.gate.report(c.name, cause)
	_ = c.SetDeadline(c.gate.clock().Add(refusalTime))
	if _, err := io.WriteString(c.Conn, answer+"\r\n"); err != nil {
		return err
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c.Conn) // closing with unread bytes would reset the connection and drop the answer
	return io.EOF
}

// fieldValue returns the value of a field in a head, empty if there is none that is short and plain.
func fieldValue(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		field, value, _ := bytes.Cut(line, []byte(":"))
		if name == "" || !strings.EqualFold(string(field), name) {
			continue
		}
		value = bytes.TrimSpace(value)
		if len(value) > maxEchoed || bytes.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return ""
		}
		return string(value)
	}
	return ""
}
