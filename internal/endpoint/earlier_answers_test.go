package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

const answeredText = `{"choices":[]}`

// serveAgain answers a request with a refusal, and others with an answer. Before the answer to a
// request on a kept connection it writes the refusal again, and with it if behind is set.
func serveAgain(t *testing.T, refusal string, behind bool) (addr string, requests *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	requests = new(atomic.Int32)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answeredText), answeredText)
	respond := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(conn)
		for before := ""; ; before = refusal {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text := before + answer
			switch {
			case behind:
				text = answer + refusal
				requests.Add(1)
			case requests.Add(1) == 1:
				text = refusal
			}
			_, _ = io.WriteString(conn, text)
		}
	}
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { respond(conn); return nil })
		}
	})
	return listener.Addr().String(), requests
}

func startOnce(t *testing.T, client *Client, addr, attempt string) error {
	t.Helper()
	s, err := client.Start(t.Context(), addr, Call{Attempt: attempt, Body: []byte(`{"model":"m"}`)})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	event, err := s.Next()
	if err != nil {
		return err
	}
	assert.JSONEq(t, answeredText, string(event.Data))
	return nil
}

// An engine writes an earlier refusal once more while it runs the next request on the connection.
// That request must not be reported as not run, or a retry would run it twice.
func TestRefusalWrittenAgainIsNoProof(t *testing.T) {
	tests := []struct {
		name, code string
		status     int
		want       error
	}{
		{name: "leaving", code: CodeLeaving, status: http.StatusServiceUnavailable, want: ErrLeaving},
		{name: "no model", code: CodeNoModel, status: http.StatusNotFound, want: ErrNoModel},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := fmt.Sprintf(`{"error":{"code":%q}}`, tt.code)
			addr, requests := serveAgain(t, fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: %d\r\n\r\n%s", tt.status, len(body), body), false)
			client := New()
			defer client.Close()
			require.ErrorIs(t, startOnce(t, client, addr, "r1"), tt.want)
			require.NoError(t, startOnce(t, client, addr, "r2"))
			assert.EqualValues(t, 2, requests.Load())
		})
	}
}

// The bytes behind an answer wait when the next request chooses the connection. That request is sent on
// another one.
func TestBytesBehindAnAnswerAreNoAnswerToTheNextRequest(t *testing.T) {
	const starts = 300
	body := fmt.Sprintf(`{"error":{"code":%q}}`, CodeLeaving)
	addr, requests := serveAgain(t, fmt.Sprintf("HTTP/1.1 503 Refused\r\nContent-Length: %d\r\n\r\n%s", len(body), body), true)
	client := New()
	defer client.Close()
	for n := range starts {
		require.NoError(t, startOnce(t, client, addr, fmt.Sprint(n)), "request %d", n)
	}
	assert.EqualValues(t, starts, requests.Load(), "each is sent once")
}
