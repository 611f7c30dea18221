package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection sealed: its request was given up or already sent")

// conn counts the writes that may have reached the network, and can be sealed
// against any later write.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts before it writes, so that a count read at any moment never
// misses a write that is on its way.
func (c *conn) Write(data []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	count, err := c.Conn.Write(data)
	if count == 0 && err != nil {
		c.undo()
	}
	return count, err
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *conn) undo() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIf seals the connection if nothing was written since the count was base.
func (c *conn) sealIf(base uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != base {
		return false
	}
	c.sealed = true
	return true
}

func (c *conn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}

// delivery follows one request through the connections that the transport
// tries. net/http repeats a request by itself on another connection when it
// looks idempotent, an Idempotency-Key header among the reasons; delivery
// allows that only while nothing was written.
type delivery struct {
	replay bool

	mu   sync.Mutex
	conn *conn
	base uint64
	sent bool
}

func (d *delivery) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: d.gotConn})
}

func (d *delivery) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle()
	if d.sent && !d.replay {
		next.seal()
	}
	d.conn = next
	d.base = next.count()
}

// settle notes whether the last connection was written to, and closes it to
// further writes if not.
func (d *delivery) settle() {
	if d.conn != nil && !d.conn.sealIf(d.base) {
		d.sent = true
	}
}

// wasSent tells whether a byte may have been written. After a false answer none
// ever will be.
func (d *delivery) wasSent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle()
	return d.sent
}

// failure sorts an error of the transport by what was written.
func (d *delivery) failure(err error) error {
	if d.wasSent() {
		return errors.Join(ErrCut, err)
	}
	return errors.Join(ErrNotSent, err)
}

func newTransport(s settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     s.connections,
		MaxIdleConnsPerHost: s.idle,
		IdleConnTimeout:     s.idleTimeout,
		DisableCompression:  true,
	}
}
