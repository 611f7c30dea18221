package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// A stop that begins as the last bytes of a body arrive answers the request, or serves it.
func TestStopAtTheEndOfABody(t *testing.T) {
	tests := []struct {
		name, text string
	}{
		{name: "before the last byte", text: "Content-Length: 2\r\n\r\na"},
		{name: "before the last chunk", text: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"},
		{name: "within the size of a chunk", text: "Transfer-Encoding: chunked\r\n\r\n1"},
		{name: "within a chunk", text: "Transfer-Encoding: chunked\r\n\r\n2\r\na"},
		{name: "before the end of a chunk", text: "Transfer-Encoding: chunked\r\n\r\n1\r\na"},
		{name: "before the end of the trailer", text: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"},
		{name: "within the end of the trailer", text: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r"},
		{name: "within the trailer", text: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now)
			conn := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r1\r\n"+tt.text)
			require.Eventually(t, func() bool { return len(g.Active()) == 1 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond) // until its body is being read
			g.EndUnanswered()
			got := readAnswer(t, conn)
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			assert.Zero(t, f.runs())
		})
	}
}

// stoppingFleet ends unanswered requests between the end of their bodies and their beginning.
type stoppingFleet struct {
	*fakeFleet
	end func()
}

func (f *stoppingFleet) Route(host, path string) (*catalog.Route, int64, error) {
	f.end()
	time.Sleep(20 * time.Millisecond)
	return f.fakeFleet.Route(host, path)
}

// A stop that begins just after the last byte of a body was read answers the request, too.
func TestStopAfterTheEndOfABody(t *testing.T) {
	for _, text := range []string{"Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"} {
		f := &stoppingFleet{fakeFleet: newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)}
		g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now)
		f.end = g.EndUnanswered
		conn := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r1\r\n"+text)
		assert.Equal(t, http.StatusServiceUnavailable, readAnswer(t, conn).status)
		assert.Zero(t, f.runs())
	}
}

// A caller that ends its side of the connection within a body gets no success.
func TestBrokenOffBodyIsNoSuccess(t *testing.T) {
	for _, text := range []string{"Content-Length: 2\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"} {
		f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
		g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now)
		conn := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r1\r\n"+text)
		require.NoError(t, conn.CloseWrite())
		answer, err := io.ReadAll(conn)
		require.NoError(t, err)
		assert.Empty(t, string(answer))
	}
}

// open sends a text to a gateway on a new connection.
func open(t *testing.T, g *gateway.Gateway, text string) *net.TCPConn {
	t.Helper()
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn.(*net.TCPConn)
}

// answerHead is the head of an answer. closes is set if its connection takes no further request.
type answerHead struct {
	status int
	header http.Header
	closes bool
}

// readAnswer reads an answer whose body doesn't matter.
func readAnswer(t *testing.T, conn net.Conn) answerHead {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return answerHead{response.StatusCode, response.Header, response.Close}
}
