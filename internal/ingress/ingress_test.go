package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/presence"
)

const testTimeout = 10 * time.Second

var testLimits = Limits{Memory: 64 << 20, Head: 64 << 10, HeadTime: testTimeout, WriteTime: testTimeout}

// serve starts a server, behind a gate if there is one, and returns its address.
func serve(tb testing.TB, g *Gate, handler http.HandlerFunc) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout, MaxHeaderBytes: 64 << 10}
	address := l.Addr().String()
	if g != nil {
		l = g.Guard(s, l, Side{Name: "test", Share: 0.5})
	}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(l) })
	tb.Cleanup(func() {
		_ = s.Close()
		_ = group.Wait()
	})
	return address
}

func dial(tb testing.TB, address string) net.Conn {
	tb.Helper()
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", address)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = conn.Close() })
	require.NoError(tb, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// exchange sends a text in parts, and returns all that comes back until the server closes.
func exchange(t *testing.T, address, text string, part int) string {
	t.Helper()
	conn := dial(t, address)
	for ; len(text) > part; text = text[part:] {
		_, _ = io.WriteString(conn, text[:part]) // the server may have closed
		time.Sleep(10 * time.Microsecond)
	}
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// echo answers with what it has got.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	body, err := io.ReadAll(r.Body)
	if r.URL.Path == "/slow" {
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, "%s %s %d %q %v trailer %q\n", r.Method, r.URL, len(r.Header), body, err, r.Trailer)
}

func TestRequestsAreReadAsWithoutAGate(t *testing.T) {
	const (
		get    = "GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n"
		end    = "GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
		chunks = "POST /chunks HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	long := strings.Repeat("b", 9000)
	tests := []struct{ name, text string }{
		{name: "one", text: end},
		{name: "pipelined without bodies", text: strings.Repeat(get, 5) + end},
		{name: "pipelined behind a slow one", text: "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n" + get + end},
		{name: "HEAD", text: "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + end},
		{name: "length", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345" + end},
		{name: "GET with a body", text: "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345" + end},
		{name: "long body", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + long + end},
		{name: "body that looks like a head", text: fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(get), get) + end},
		{name: "chunks", text: chunks + "5;x=\"y\"\r\n12345\r\n00a\r\n\r\n\r\n\r\n\r\n\r\n\r\n0\r\n\r\n" + end},
		{name: "long chunks", text: chunks + "2328\r\n" + long + "\r\n0\r\n\r\n" + end},
		{name: "trailer", text: strings.Replace(chunks, "\r\n\r\n", "\r\nTrailer: T\r\n\r\n", 1) + "1\r\nx\r\n0\r\nT: 1\r\n\r\n" + end},
		{name: "broken chunk", text: chunks + "zz\r\nx\r\n0\r\n\r\n" + end},
		{name: "100 Continue", text: "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n12345" + end},
		{name: "length in two lines", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 5\r\n\r\n12345" + end},
		{name: "length and chunks", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" + end},
		{name: "line feeds only", text: "GET / HTTP/1.1\nHost: h\n\n" + end},
		{name: "empty lines after a body", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\n" + end},
		{name: "version 1.0", text: "POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + end},
		{name: "long head", text: "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 3000) + "\r\n" + end},
		{name: "no request", text: "no request\r\n\r\n"},
		{name: "unknown coding", text: "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"},
	}
	plain, guarded := serve(t, nil, echo), serve(t, New(testLimits), echo)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, part := range []int{len(tt.text), len(tt.text)/3 + 1, len(tt.text)/200 + 1} {
				assert.Equal(t, exchange(t, plain, tt.text, len(tt.text)), exchange(t, guarded, tt.text, part), "in parts of %d", part)
			}
		})
	}
}

func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	started, left := make(chan struct{}), make(chan struct{})
	address := serve(t, New(testLimits), func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(left)
	})
	conn := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-started
	require.NoError(t, conn.Close())
	<-left
}

// A client that has sent its next request early has not left, though nothing more comes from it.
func TestEndedClients(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name, text string
		stays      bool
		want       bool
	}{
		{name: "stays", text: head, stays: true},
		{name: "left", text: head, want: true},
		{name: "left after a body", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", want: true},
		{name: "next request", text: head + head},
		{name: "next request after a body", text: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + head},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gone, ended := make(chan struct{}), make(chan bool, 2)
			address := serve(t, New(testLimits), func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-gone
				ended <- presence.Of(r.Context()).Left()
			})
			conn := dial(t, address)
			_, err := io.WriteString(conn, tt.text)
			require.NoError(t, err)
			if !tt.stays {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			time.Sleep(20 * time.Millisecond)
			close(gone)
			assert.Equal(t, tt.want, <-ended)
		})
	}
}

func TestHeadsThatAreTooLargeOrTooSlowAreNotPassedOn(t *testing.T) {
	limits := testLimits
	limits.HeadTime = 100 * time.Millisecond
	g := New(limits)
	address := serve(t, g, func(http.ResponseWriter, *http.Request) { t.Error("was passed on") })
	answer := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", limits.Head/6)+"\r\n", 4096)
	assert.True(t, strings.HasPrefix(answer, "HTTP/1.1 431 "), answer)
	conn := dial(t, address)
	var group errgroup.Group
	group.Go(func() error {
		for { // trickles until the server has closed
			if _, err := io.WriteString(conn, "a"); err != nil {
				return nil
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, group.Wait())
}

// The half heads of many are closed for one whole head.
func TestHalfHeadsAreClosedForOrdinaryRequests(t *testing.T) {
	limits := testLimits
	limits.Memory = 1 << 20
	g := New(limits)
	address := serve(t, g, echo)
	for range 100 {
		_, err := io.WriteString(dial(t, address), "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", 2500))
		require.NoError(t, err)
	}
	conn := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.LessOrEqual(t, g.used(), limits.Memory)
}

// A server that stops closes connections that it counts as idle, though it is about to read a request.
func TestConnectionWithAWholeHeadIsNotClosedAsIdle(t *testing.T) {
	g := New(testLimits)
	client, raw := net.Pipe()
	c := g.open(raw, &listener{side: Side{Share: 1}})
	c.observe(http.StateIdle)
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return err
	})
	_, err := c.Read(make([]byte, 4096))
	require.NoError(t, err)
	require.NoError(t, group.Wait())
	require.NoError(t, c.Close())
	assert.Positive(t, g.used(), "closed before the request has run")
	c.observe(http.StateActive)
	require.NoError(t, c.Close())
	assert.Zero(t, g.used())
}

// A client that sends requests and reads no answers loses its connection.
func TestUnreadAnswersEndTheirConnection(t *testing.T) {
	limits := testLimits
	limits.WriteTime = 100 * time.Millisecond
	g := New(limits)
	address := serve(t, g, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2000)) })
	conn := dial(t, address)
	for range 100 {
		if _, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000)); err != nil {
			break
		}
	}
	require.Eventually(t, func() bool { return g.used() == 0 }, testTimeout/2, 10*time.Millisecond)
}

// Whole heads beyond the memory are refused, ordinary ones still get in, and requests that run are left alone.
func TestWholeHeadsBeyondTheMemoryAreRefused(t *testing.T) {
	large := "GET /large HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n" + strings.Repeat("a:\r\n", 3500) + "\r\n"
	limits := testLimits
	limits.Memory = 4 << 20
	g := New(limits, WithEcho("Request-Id"))
	entered, end := make(chan struct{}, 10), make(chan struct{})
	address := serve(t, g, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			entered <- struct{}{}
			<-end
		}
	})
	send := func(conn net.Conn, text string) (int, http.Header) {
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode, response.Header
	}
	var group errgroup.Group
	for i := range 2 {
		conn := dial(t, address)
		group.Go(func() error {
			status, _ := send(conn, fmt.Sprintf(large, i))
			assert.Equal(t, http.StatusOK, status)
			return nil
		})
		<-entered
	}
	status, header := send(dial(t, address), fmt.Sprintf(large, 2))
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, "2", header.Get("Request-Id"))
	assert.NotEmpty(t, header.Get("Retry-After"))
	status, _ = send(dial(t, address), "GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, http.StatusOK, status)
	close(end)
	require.NoError(t, group.Wait())
	status, _ = send(dial(t, address), fmt.Sprintf(large, 3))
	assert.Equal(t, http.StatusOK, status)
}

func BenchmarkRequest(b *testing.B) {
	text := "POST /hand/1 HTTP/1.1\r\nHost: board.example\r\n" + strings.Repeat("Name-Of-A-Header: and some value of it\r\n", 18) + "Content-Length: 100\r\n\r\n" + strings.Repeat("b", 100)
	for _, bb := range []struct {
		name string
		gate *Gate
	}{{"plain", nil}, {"gate", New(testLimits)}} {
		b.Run(bb.name, func(b *testing.B) {
			conn := dial(b, serve(b, bb.gate, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
			require.NoError(b, conn.SetDeadline(time.Time{}))
			reader := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(conn, text)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				_ = response.Body.Close()
			}
		})
	}
}

// The end of an answer is lost because its client has sent the next request before it has read the answer, and
// the connection is closed after it.
func TestAnswerIsWholeBesideANextRequest(t *testing.T) {
	const size = 5 << 20
	address := serve(t, New(testLimits), func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // until the server has noticed the next request
		w.Header().Set("Connection", "close")
		_, _ = io.Copy(w, io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size))
	})
	conn := dial(t, address)
	request := "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n"
	for range 2 {
		_, err := io.WriteString(conn, request)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	assert.EqualValues(t, size, n)
	_ = response.Body.Close()
}
