package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func connect(tb testing.TB) (near, far *net.TCPConn) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(tb, err)
	accepted, err := l.Accept()
	require.NoError(tb, err)
	tb.Cleanup(func() {
		_ = conn.Close()
		_ = accepted.Close()
	})
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// The answer must not depend on a read beside it, which may be late.
func TestEnded(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, near, far *net.TCPConn)
		want bool
	}{
		{name: "open", do: func(*testing.T, *net.TCPConn, *net.TCPConn) {}},
		{name: "closed", do: func(t *testing.T, _, far *net.TCPConn) { t.Helper(); require.NoError(t, far.Close()) }, want: true},
		{name: "closed for sending", do: func(t *testing.T, _, far *net.TCPConn) { t.Helper(); require.NoError(t, far.CloseWrite()) }, want: true},
		{name: "reset", do: func(t *testing.T, _, far *net.TCPConn) {
			t.Helper()
			require.NoError(t, far.SetLinger(0))
			require.NoError(t, far.Close())
		}, want: true},
		{name: "closed here", do: func(t *testing.T, near, _ *net.TCPConn) { t.Helper(); require.NoError(t, near.Close()) }, want: true},
		{name: "unread bytes", do: func(t *testing.T, _, far *net.TCPConn) { t.Helper(); write(t, far) }},
		{name: "unread bytes, then closed", do: func(t *testing.T, _, far *net.TCPConn) { t.Helper(); write(t, far); require.NoError(t, far.Close()) }},
		{name: "closed, all bytes read", do: func(t *testing.T, near, far *net.TCPConn) {
			t.Helper()
			write(t, far)
			require.NoError(t, far.Close())
			_, err := io.ReadFull(near, make([]byte, 3))
			require.NoError(t, err)
		}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := connect(t)
			tt.do(t, near, far)
			if !tt.want {
				time.Sleep(20 * time.Millisecond)
				assert.False(t, Ended(near))
				return
			}
			assert.Eventually(t, func() bool { return Ended(near) }, time.Second, time.Millisecond)
		})
	}
}

func write(t *testing.T, c *net.TCPConn) {
	t.Helper()
	_, err := c.Write([]byte("abc"))
	require.NoError(t, err)
}

// A read that waits must neither hold up the question nor lose what comes.
func TestEndedBesideARead(t *testing.T) {
	near, far := connect(t)
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.ReadFull(near, make([]byte, 3))
		return err
	})
	for range 100 {
		assert.False(t, Ended(near))
	}
	write(t, far)
	require.NoError(t, group.Wait())
}

func BenchmarkEnded(b *testing.B) {
	near, _ := connect(b)
	for b.Loop() {
		if Ended(near) {
			b.Fatal("ended")
		}
	}
}
