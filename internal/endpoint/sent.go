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
	if !c.beginWrite() {
		return 0, errSealed
	}
	count, err := c.Conn.Write(data)
	if count == 0 && err != nil {
		c.undoWrite()
	}
	return count, err
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *conn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten seals the connection if nothing was written since the count was base.
func (c *conn) sealIfUnwritten(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
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

// sendTracker follows one request through the connections that the transport
// tries. net/http repeats a request by itself on another connection when it
// looks idempotent, an Idempotency-Key header among the reasons; delivery
// allows that only while nothing was written.
type sendTracker struct {
	allowReplay bool

	mu           sync.Mutex
	conn         *conn
	writesBefore uint64
	sent         bool
}

func (d *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: d.gotConn})
}

func (d *sendTracker) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealOrMarkSent()
	if d.sent && !d.allowReplay {
		next.seal()
	}
	d.conn = next
	d.writesBefore = next.writeCount()
}

// sealOrMarkSent notes whether the last connection was written to, and closes it to
// further writes if not.
func (d *sendTracker) sealOrMarkSent() {
	if d.conn != nil && !d.conn.sealIfUnwritten(d.writesBefore) {
		d.sent = true
	}
}

// wasSent tells whether a byte may have been written. After a false answer none
// ever will be.
func (d *sendTracker) wasSent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealOrMarkSent()
	return d.sent
}

// classifyError sorts an error of the transport by what was written.
func (d *sendTracker) classifyError(err error) error {
	if d.wasSent() {
		return errors.Join(ErrInterrupted, err)
	}
	return errors.Join(ErrNotSent, err)
}

func newTransport(s settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		netConn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: netConn}, nil
	}
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     s.maxConnections,
		MaxIdleConnsPerHost: s.maxIdle,
		IdleConnTimeout:     s.idleTimeout,
		DisableCompression:  true,
	}
}
