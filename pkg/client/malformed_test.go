package client

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/httpconn/httpconntest"
)

// newRawSystem is a system of one instance that lists itself, and gives all other requests to a handler.
func newRawSystem(t *testing.T, handler http.HandlerFunc) *fakeSystem {
	t.Helper()
	s := newFakeSystem(t, 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			s.serveEntries(w)
			return
		}
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	s.addresses = []string{strings.TrimPrefix(server.URL, "http://")}
	return s
}

// assertCut checks that an answer of an instance is reported as a cut.
func assertCut(t *testing.T, head, event string, opts ...Option) {
	t.Helper()
	c := newRawSystem(t, httpconntest.Raw(head+"Chiveramp-Outcome: ran\r\n\r\n"+event)).client(opts...)
	response, err := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/services/orders/new"})
	if err == nil {
		_ = response.Body.Close()
	}
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, CodeCut, e.Code)
	assert.Equal(t, OutcomeUnknown, e.Outcome)
	stream, err := c.Stream(t.Context(), Request{Path: "/v1/chat/completions"})
	if err == nil {
		_ = stream.Close()
	}
	require.ErrorAs(t, err, &e)
	assert.Equal(t, CodeCut, e.Code)
}

// A response with the status of no answer must not reach the caller.
func TestStatusesOfNoAnswerAreCuts(t *testing.T) {
	for _, status := range []string{"000 Odd", "012 Odd", "101 Odd\r\nConnection: upgrade\r\nUpgrade: odd", "600 Odd"} {
		t.Run(status[:3], func(t *testing.T) {
			assertCut(t, "HTTP/1.1 "+status+"\r\n", "data: [DONE]\n\n")
			assertCut(t, "HTTP/1.1 "+status+"\r\n", "data: [DONE]\n\n", WithHTTPClient(&http.Client{}))
		})
	}
}

// A response with a field whose name isn't a token must not reach the caller.
func TestMalformedFieldNamesAreCuts(t *testing.T) {
	for _, line := range []string{"X-Note : 1", "X Note: 1", "X-First: 1\r\n X-Note: 1", "X-First: 1\r\n\nX-Note: 1", "X\x01Note: 1"} {
		t.Run(line, func(t *testing.T) {
			assertCut(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n", "data: [DONE]\n\n")
		})
	}
	assertCut(t, "HTTP/1.1 200 OK\r\nX-Note : 1\r\n", "data: [DONE]\n\n", WithHTTPClient(&http.Client{}))
}
