package drain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// lateListener returns a last connection once it has been closed: it was accepted just before, by a
// process that got no processor time in between.
type lateListener struct {
	conn              net.Conn
	accepting, closed chan struct{}
	late              time.Duration
	given             bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	if l.given {
		return nil, net.ErrClosed
	}
	l.given = true
	close(l.accepting)
	<-l.closed
	time.Sleep(l.late)
	return l.conn, nil
}

func (l *lateListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// A planned stop: a request on a connection that was accepted as the listener was closed gets its
// complete answer before the server is closed.
func TestStopServesConnectionsJustAccepted(t *testing.T) {
	caller, accepted := net.Pipe()
	require.NoError(t, caller.SetDeadline(time.Now().Add(5*time.Second)))
	listener := &lateListener{conn: accepted, accepting: make(chan struct{}), closed: make(chan struct{}), late: 20 * time.Millisecond}
	var connections Connections
	server := &http.Server{ConnState: connections.Observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		return err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	<-listener.accepting
	group.Go(func() error {
		err := Stop(ctx, ctx, listener, server, &connections, func() {}, func() {})
		return errors.Join(err, server.Close())
	})
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(body))
	_ = response.Body.Close()
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
}

// A caller that has connected and sends nothing doesn't hold a stop up.
func TestConnectionsWithoutRequestAreNotBusy(t *testing.T) {
	one, other := net.Pipe()
	defer func() { _, _ = one.Close(), other.Close() }()
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name  string
		state http.ConnState
		after time.Duration
		busy  bool
	}{
		{name: "new", state: http.StateNew, busy: true},
		{name: "silent", state: http.StateNew, after: newConnectionTime},
		{name: "serving", state: http.StateActive, after: time.Hour, busy: true},
		{name: "idle", state: http.StateIdle},
		{name: "closed", state: http.StateClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Connections
			c.record(now, one, tt.state)
			assert.Equal(t, tt.busy, c.busy(now.Add(tt.after)))
		})
	}
}

// A request that would run beyond the end of a stop is answered before its connection is closed.
func TestStopHasTheLastAnswersWritten(t *testing.T) {
	var connections Connections
	ending := make(chan struct{})
	server := &http.Server{ConnState: connections.Observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-ending
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	require.NoError(t, caller.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	closing, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	serving, end := context.WithTimeout(closing, 300*time.Millisecond)
	defer end()
	group.Go(func() error {
		err := Stop(serving, closing, listener, server, &connections, func() {}, func() { close(ending) })
		return errors.Join(err, server.Close())
	})
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	_ = response.Body.Close()
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
}

// Once nothing more is served, an idle connection isn't kept open for as long as the last answers take: its
// caller would send a request that waits for nothing.
func TestIdleConnectionsAreClosedBeforeTheLastAnswersEnd(t *testing.T) {
	var connections Connections
	server := &http.Server{ConnState: connections.Observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-r.Context().Done()
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	send := func(path string) (net.Conn, *bufio.Reader) {
		caller, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
		require.NoError(t, caller.SetDeadline(time.Now().Add(2*time.Second)))
		_, err = io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		return caller, bufio.NewReader(caller)
	}
	_, idle := send("/short")
	response, err := http.ReadResponse(idle, nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	send("/long")
	closing, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	serving, end := context.WithTimeout(closing, 300*time.Millisecond)
	defer end()
	group.Go(func() error {
		err := Stop(serving, closing, listener, server, &connections, func() {}, func() {})
		return errors.Join(err, server.Close())
	})
	_, err = idle.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	cancel()
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
}

// A request that begins as the last one has ended is cut off by the last answers, though there is time for it.
func TestRequestThatBeginsAsTheLastOneEndsIsServed(t *testing.T) {
	var connections Connections
	begun, last := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: connections.Observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		select {
		case <-last:
			w.WriteHeader(http.StatusBadGateway)
		case <-time.After(100 * time.Millisecond):
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	group.Go(func() error {
		refuseNew := func() {
			_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			<-begun
		}
		err := Stop(ctx, ctx, listener, server, &connections, refuseNew, func() { close(last) })
		return errors.Join(err, server.Close())
	})
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
}
