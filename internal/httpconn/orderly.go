package httpconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// orderlyConn is a connection whose reads end with io.EOF only if the other side has closed it in order. The
// kernel reports a failure of a connection, such as a reset, once. If a write gets it, the next read of a
// net.TCPConn ends with io.EOF.
type orderlyConn struct {
	net.Conn

	mu      sync.Mutex
	written *sync.Cond // a write has ended
	writes  int        // in progress
	failure error      // of the connection, reported to a write
}

// WithOrderlyEnd wraps a connection so that a stream without a length can be read from it: its reads end with
// io.EOF only if the other side has closed it in order, also while it is written to.
func WithOrderlyEnd(c net.Conn) net.Conn {
	o := &orderlyConn{Conn: c}
	o.written = sync.NewCond(&o.mu)
	return o
}

// Read implements net.Conn.
func (o *orderlyConn) Read(b []byte) (int, error) {
	n, err := o.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := o.failureOfWrites(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// Write implements net.Conn.
func (o *orderlyConn) Write(b []byte) (int, error) {
	o.mu.Lock()
	o.writes++
	o.mu.Unlock()
	n, err := o.Conn.Write(b)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes--
	if o.failure == nil && isFailure(err) {
		o.failure = err
	}
	o.written.Broadcast()
	return n, err
}

// isFailure reports whether an error of a write is a failure of the connection that a read doesn't get. With
// EPIPE, the other side had closed the connection in order before it rejected what was written.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !errors.Is(errno, syscall.EPIPE)
}

// failureOfWrites returns the failure that a write has met. It ends those in progress, one of which may have
// the failure: after the end of what is read, the connection is of no more use.
func (o *orderlyConn) failureOfWrites() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writes > 0 && o.SetWriteDeadline(time.Unix(1, 0)) == nil {
		for o.writes > 0 {
			o.written.Wait()
		}
	}
	return o.failure
}
