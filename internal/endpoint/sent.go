package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/chiveramp/chiveramp/internal/httpconn"
)

// maxHeadBytes bounds the status line and header of a response.
const maxHeadBytes = 16 << 10

var errSealed = errors.New("connection closed to writes: its request was abandoned or already sent")

// conn is a connection that counts the writes which may have reached the network. Once
// sealed, it refuses further writes.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts before it writes, so that the count always includes a write in progress.
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

// sealIfUnwritten seals the connection if its write count is still before, and reports
// whether it did.
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

// sendTracker records whether a request was written to any of the connections that the
// transport tries. net/http retries a request on another connection by itself when it
// takes it for idempotent, for instance because of an Idempotency-Key header. sendTracker
// permits that only while nothing was written, unless allowReplay is set.
type sendTracker struct {
	allowReplay bool
	exchange    httpconn.Exchange

	mu           sync.Mutex
	conn         *conn  // current connection, nil before the first
	writesBefore uint64 // write count of conn when the request got it
	sent         bool   // a byte may have been written to some connection
}

func (s *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(s.exchange.WithTrace(ctx), &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	next, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if wrapped, ok := next.Conn.(*httpconn.Conn); ok {
		s.exchange.Use(wrapped)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealOrMarkSent()
	if s.sent && !s.allowReplay {
		next.seal()
	}
	s.conn = next
	s.writesBefore = next.writeCount()
}

// sealOrMarkSent seals the current connection if the request was not written to it, and
// marks the request as sent otherwise. The caller holds mu.
func (s *sendTracker) sealOrMarkSent() {
	if s.conn != nil && !s.conn.sealIfUnwritten(s.writesBefore) {
		s.sent = true
	}
}

// wasSent reports whether a byte of the request may have been written. Once it has
// returned false, no byte will be, because the connection is sealed.
func (s *sendTracker) wasSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealOrMarkSent()
	return s.sent
}

// classifyError wraps a transport error in ErrInterrupted or ErrNotSent.
func (s *sendTracker) classifyError(err error) error {
	if s.wasSent() {
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
		return &conn{Conn: httpconn.New(netConn)}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        s.maxConnections,
		MaxIdleConnsPerHost:    s.maxIdle,
		IdleConnTimeout:        s.idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
