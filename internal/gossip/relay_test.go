package gossip_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// relaySite is a peer that relays connections to a server, which handles each with serve.
// If stalls are given, the peer reads nothing while they are locked.
func relaySite(t *testing.T, serve func(net.Conn), stalls ...sync.Locker) (dial func(ctx context.Context, endpoint fleet.Endpoint) (net.Conn, error), server fleet.Endpoint, stopPeer func()) {
	t.Helper()
	var lc net.ListenConfig
	endpoint, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := endpoint.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { serve(conn); return nil })
		}
	})
	s := gossip.NewServer(handler{})
	group.Go(func() error { return s.Serve(stallingListener{peer, stalls}) })
	client := gossip.NewClient()
	t.Cleanup(func() {
		client.Close()
		s.Stop()
		_ = endpoint.Close()
		_ = group.Wait()
	})
	return func(ctx context.Context, e fleet.Endpoint) (net.Conn, error) {
		return client.Relay(ctx, peer.Addr().String(), &gossip.Relay{Endpoint: e, Born: 1})
	}, fleet.Endpoint(endpoint.Addr().String()), s.Stop
}

// stallingListener is the listener of an instance that stands still at times.
type stallingListener struct {
	net.Listener
	stalls []sync.Locker
}

func (l stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return stallingConn{conn, l.stalls}, err
}

type stallingConn struct {
	net.Conn
	stalls []sync.Locker
}

// Read reads and waits then, so that what has come is found with what comes meanwhile.
func (c stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, stall := range c.stalls {
		stall.Lock()
		if err == nil && n < len(p) && c.SetReadDeadline(time.Now().Add(time.Millisecond)) == nil {
			more, _ := c.Conn.Read(p[n:])
			n += more
			err = c.SetReadDeadline(time.Time{})
		}
		stall.Unlock()
	}
	return n, err
}

// A peer that stands still finds a request together with the word that its caller has left.
func TestRelayedRequestOfACallerThatLeftReachesNoEndpoint(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		var stall sync.Mutex
		received := make(chan int64, 1)
		dial, server, _ := relaySite(t, func(c net.Conn) {
			n, _ := io.Copy(io.Discard, c)
			received <- n
			_ = c.Close()
		}, &stall)
		conn, err := dial(t.Context(), server)
		require.NoError(t, err)
		stall.Lock()
		_, err = conn.Write(make([]byte, 1<<10))
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond) // until it is written
		require.NoError(t, conn.Close())
		time.Sleep(5 * time.Millisecond)
		stall.Unlock()
		require.Zero(t, <-received, "bytes that reached the endpoint")
	}
}

// What a peer has yet to send to an endpoint that reads late must not follow once the caller has left.
func TestRestOfAnAbandonedRelayIsDropped(t *testing.T) {
	const size = 256 << 10
	left, received, ended := make(chan struct{}), make(chan int64, 1), make(chan error, 1)
	dial, server, _ := relaySite(t, func(c net.Conn) {
		<-left
		n, err := io.Copy(io.Discard, c)
		received <- n
		ended <- err
		_ = c.Close()
	})
	conn, err := dial(t.Context(), server)
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { _, err := conn.Write(make([]byte, size)); return err })
	time.Sleep(100 * time.Millisecond) // until the buffers are full
	require.NoError(t, conn.Close())
	_ = group.Wait() // the write may have ended before
	time.Sleep(50 * time.Millisecond)
	close(left)
	assert.Less(t, <-received, int64(size))
	require.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

func TestRelayedConnectionCarriesBothWays(t *testing.T) {
	dial, server, _ := relaySite(t, func(c net.Conn) {
		_, _ = io.Copy(c, io.LimitReader(c, 1<<20))
		_ = c.Close()
	})
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := dial(ctx, server)
	require.NoError(t, err)
	cancel() // limits connecting only
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	var group errgroup.Group
	group.Go(func() error { _, err := conn.Write(sent); return err })
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.NoError(t, group.Wait())
	assert.True(t, bytes.Equal(sent, got), "%d of %d bytes", len(got), len(sent))
}

func TestRelayTellsWhyItFails(t *testing.T) {
	dial, _, _ := relaySite(t, func(net.Conn) {})
	for _, c := range []struct {
		endpoint fleet.Endpoint
		want     error
	}{
		{"refused", gossip.ErrRelayRefused}, {"unknown", gossip.ErrRelayUnreachable}, {"busy", gossip.ErrRelayBusy}, {"no address", gossip.ErrRelayUnreachable},
	} {
		_, err := dial(t.Context(), c.endpoint)
		require.ErrorIs(t, err, c.want)
	}
}

// A connection that breaks on the way must not look as if the endpoint had closed it.
func TestBrokenRelayIsNoEnd(t *testing.T) {
	for _, how := range []string{"reset by the endpoint", "the peer stops"} {
		t.Run(how, func(t *testing.T) {
			resetNow := make(chan struct{})
			dial, server, stopPeer := relaySite(t, func(c net.Conn) {
				_, _ = c.Write([]byte("begun"))
				<-resetNow
				if tcp, ok := c.(*net.TCPConn); ok && how == "reset by the endpoint" {
					_ = tcp.SetLinger(0)
				}
				_ = c.Close()
			})
			conn, err := dial(t.Context(), server)
			require.NoError(t, err)
			begun := make([]byte, 5)
			_, err = io.ReadFull(conn, begun)
			require.NoError(t, err)
			if how == "the peer stops" {
				stopPeer()
				defer close(resetNow)
			} else {
				close(resetNow)
			}
			_, err = conn.Read(begun)
			require.Error(t, err)
			assert.NotErrorIs(t, err, io.EOF)
		})
	}
}

// The connection to the endpoint is closed once the caller of the peer closes or gives up connecting.
func TestClosedRelayClosesItsConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	dial, server, _ := relaySite(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		closed <- time.Now()
		_ = c.Close()
	})
	conn, err := dial(t.Context(), server)
	require.NoError(t, err)
	closing := time.Now()
	require.NoError(t, conn.Close())
	select {
	case at := <-closed:
		assert.Less(t, at.Sub(closing), 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the connection stays open")
	}
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
}

// An endpoint that resets its connection while the peer still writes to it must not look as if it had closed
// it in order.
func TestEndpointResetDuringAWriteIsNoEnd(t *testing.T) {
	const uploads = 4 // as the peer's write doesn't always meet the reset before its read does
	dial, server, _ := relaySite(t, func(c net.Conn) {
		_, _ = c.Write([]byte("part"))
		time.Sleep(20 * time.Millisecond) // until the peer's write is blocked
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	})
	for range uploads {
		conn, err := dial(t.Context(), server)
		require.NoError(t, err)
		var group errgroup.Group
		group.Go(func() error {
			for {
				if _, err := conn.Write(make([]byte, 1<<20)); err != nil {
					return nil
				}
			}
		})
		text, err := io.ReadAll(conn)
		assert.Equal(t, "part", string(text))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.NoError(t, conn.Close())
		require.NoError(t, group.Wait())
	}
}
