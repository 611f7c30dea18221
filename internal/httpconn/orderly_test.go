package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = accepted.Close()
	})
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return WithOrderlyEnd(conn), accepted.(*net.TCPConn)
}

func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
}

// A read must not end in order after a write has met the reset, and it must after one that was rejected
// only once the other side had closed in order.
func TestReadEndsAsTheOtherSideEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(*testing.T, *net.TCPConn)
		want error
	}{
		{name: "reset", end: reset, want: syscall.ECONNRESET},
		{name: "closed in order, then reset", end: func(t *testing.T, c *net.TCPConn) {
			t.Helper()
			require.NoError(t, c.CloseWrite())
			reset(t, c)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := connect(t)
			_, err := far.Write([]byte("part"))
			require.NoError(t, err)
			tt.end(t, far)
			for err == nil {
				_, err = near.Write(make([]byte, 1<<10))
			}
			text, err := io.ReadAll(near)
			assert.Equal(t, "part", string(text))
			require.ErrorIs(t, err, tt.want)
		})
	}
}

// The other side may close in order and read nothing more: the read must not wait for a write that can't end.
func TestReadDoesNotWaitForABlockedWrite(t *testing.T) {
	near, far := connect(t)
	var group errgroup.Group
	group.Go(func() error {
		for {
			if _, err := near.Write(make([]byte, 1<<20)); err != nil {
				return err
			}
		}
	})
	_, err := far.Write([]byte("whole"))
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	text, err := io.ReadAll(near)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(text))
	require.NoError(t, near.Close())
	require.Error(t, group.Wait())
}

// endedConn has ended for reads, while a write has not returned yet that ends with an error once its
// deadline is set.
type endedConn struct {
	net.Conn
	err      error
	deadline chan struct{}
	fixed    error // of SetWriteDeadline
}

func (e *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (e *endedConn) Write([]byte) (int, error) {
	<-e.deadline
	return 0, e.err
}

func (e *endedConn) SetWriteDeadline(time.Time) error {
	if e.fixed == nil {
		close(e.deadline)
	}
	return e.fixed
}

// A write that has the failure and has not returned must be waited for.
func TestReadAsksTheWriteInProgress(t *testing.T) {
	tests := []struct {
		name             string
		err, fixed, want error
	}{
		{name: "reset", err: os.NewSyscallError("write", syscall.ECONNRESET), want: syscall.ECONNRESET},
		{name: "no response", err: os.NewSyscallError("write", syscall.ETIMEDOUT), want: syscall.ETIMEDOUT},
		{name: "closed in order before", err: os.NewSyscallError("write", syscall.EPIPE), want: io.EOF},
		{name: "blocked", err: os.ErrDeadlineExceeded, want: io.EOF},
		{name: "closed here", err: net.ErrClosed, want: io.EOF},
		{name: "without deadlines", err: errors.New("ended"), fixed: os.ErrNoDeadline, want: io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &endedConn{err: tt.err, deadline: make(chan struct{}), fixed: tt.fixed}
				c := WithOrderlyEnd(e)
				var group errgroup.Group
				group.Go(func() error { _, err := c.Write([]byte("x")); return err })
				synctest.Wait()
				_, err := c.Read(make([]byte, 1))
				require.ErrorIs(t, err, tt.want)
				if tt.fixed != nil {
					close(e.deadline)
				}
				require.ErrorIs(t, group.Wait(), tt.err)
			})
		})
	}
}
