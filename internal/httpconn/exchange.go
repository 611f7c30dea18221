package httpconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Exchange is one request of an http.Transport whose connections are of type *Conn, and its answer.
// The transport must not be allowed to send the request twice.
type Exchange struct {
	wanted  func() bool
	mu      sync.Mutex
	conn    *Conn // the newest that the transport has chosen, nil before the first
	before  int   // requests that used it before
	sent    bool  // a byte of the request may have been written to another connection
	written bool  // the transport has written the whole request
}

// NewExchange returns an exchange. Immediately before the first byte of its request is written, wanted tells whether
// that is still to be done; nil if it always is.
func NewExchange(wanted func() bool) *Exchange { return &Exchange{wanted: wanted} }

// WithTrace returns a context for the request.
func (x *Exchange) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              x.gotConn,
		WroteRequest:         x.wroteRequest,
		GotFirstResponseByte: x.gotFirstResponseByte,
	})
}

func (x *Exchange) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*Conn); ok {
		x.Use(conn)
	}
}

// Use records that the transport has chosen a connection for the request. The trace calls it unless
// another type wraps the Conn.
func (x *Exchange) Use(conn *Conn) {
	before := conn.begin(x.wanted)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = x.sent || x.conn != nil && !x.conn.abandonUnwritten(x.before)
	x.conn, x.before = conn, before
}

func (x *Exchange) wroteRequest(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written = info.Err == nil
}

// gotFirstResponseByte retires a connection on which the answer came before the whole request was
// written. The transport calls it before it can give the connection to another request.
func (x *Exchange) gotFirstResponseByte() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.written && x.conn != nil {
		x.conn.retire()
	}
}

// Sent reports whether a byte of the request may have been written. Once it has returned false,
// none will be. It is called after the request has ended or its answer has begun.
func (x *Exchange) Sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent || x.conn != nil && !x.conn.abandonUnwritten(x.before)
}

// Reused reports whether the connection was used for requests before.
func (x *Exchange) Reused() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.conn != nil && x.before > 0
}

// Discard ends the connection, so that no further request uses it.
func (x *Exchange) Discard() {
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	if conn != nil {
		conn.retire()
		_ = conn.Close()
	}
}

// Retire has the connection closed with the answer's body.
func (x *Exchange) Retire(r *http.Response) {
	x.mu.Lock()
	conn := x.conn
	x.mu.Unlock()
	if conn != nil {
		conn.retire()
		r.Body = lastBody{r.Body, conn}
	}
}

// RetireIfEarly has the connection closed with the answer's body if the answer began before the whole request was written.
func (x *Exchange) RetireIfEarly(r *http.Response) {
	x.mu.Lock()
	early := x.conn != nil && x.conn.isRetired()
	x.mu.Unlock()
	if early {
		x.Retire(r)
	}
}

// lastBody is the body of the last answer on a connection.
type lastBody struct {
	io.ReadCloser
	conn *Conn
}

// Close closes the body and the connection.
func (b lastBody) Close() error {
	err := b.ReadCloser.Close()
	_ = b.conn.Close()
	return err
}
