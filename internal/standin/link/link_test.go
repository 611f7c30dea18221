package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/link"
)

// startEchoServer starts a TCP server that sends back what it receives.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				_, _ = io.Copy(c, c)
				return c.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func dialThroughLink(t *testing.T, settings link.Settings) (*link.Server, net.Conn) {
	t.Helper()
	server := link.New(startEchoServer(t), settings)
	require.NoError(t, server.Start(t.Context(), "127.0.0.1:0", ""))
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return server, c
}

func roundTrip(t *testing.T, c net.Conn, size int) time.Duration {
	t.Helper()
	start := time.Now()
	var group errgroup.Group
	group.Go(func() error { _, err := c.Write(make([]byte, size)); return err })
	_, err := io.ReadFull(c, make([]byte, size))
	require.NoError(t, err)
	require.NoError(t, group.Wait())
	return time.Since(start)
}

func TestLatencyAndRate(t *testing.T) {
	server, c := dialThroughLink(t, link.Settings{Latency: 20})
	assert.GreaterOrEqual(t, roundTrip(t, c, 10), 40*time.Millisecond)
	server.Set(link.Settings{Rate: 8e6})
	size := 200 << 10
	assert.GreaterOrEqual(t, roundTrip(t, c, size), 150*time.Millisecond)
	assert.Equal(t, link.Traffic{Sent: int64(10 + size), Received: int64(10 + size)}, server.Traffic())
}

func TestCutStallsUntilLinkIsRestored(t *testing.T) {
	server, c := dialThroughLink(t, link.Settings{})
	roundTrip(t, c, 10)
	server.Set(link.Settings{Cut: true})
	_, err := c.Write([]byte("late"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(make([]byte, 4))
	require.Error(t, err)
	server.Set(link.Settings{})
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	data := make([]byte, 4)
	_, err = io.ReadFull(c, data)
	require.NoError(t, err)
	assert.Equal(t, "late", string(data))

	server.Set(link.Settings{Cut: true, Reset: true})
	_, err = c.Read(data)
	require.Error(t, err)
}
