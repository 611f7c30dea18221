package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func writeEventStream(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, text)
}

func TestStartReadsEventsUpToEndMarker(t *testing.T) {
	var body, attempt string
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		body, attempt = string(data), r.Header.Get(HeaderRequest)
		writeEventStream(w, "id: 1\ndata: {\"a\":1}\n\n: note\n\nid: 2\r\ndata: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n")
	})
	client := New()
	defer client.Close()
	s, err := client.Start(t.Context(), addr, Call{Attempt: "r/1", Body: []byte(`{"model":"m"}`), Priority: 2})
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	first, err := s.Next()
	require.NoError(t, err)
	second, err := s.Next()
	require.NoError(t, err)
	_, err = s.Next()
	require.ErrorIs(t, err, io.EOF)
	assert.Equal(t, Event{Sequence: 1, Data: []byte(`{"a":1}`)}, first)
	assert.Equal(t, Event{Sequence: 2, Data: []byte("x\ny")}, second)
	assert.JSONEq(t, `{"model":"m","priority":2}`, body)
	assert.Equal(t, "r/1", attempt)
}

// A stream that breaks off at any byte before the end of its end marker must return
// ErrInterrupted, never io.EOF.
func TestTruncatedStreamIsNeverComplete(t *testing.T) {
	text := "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: {\"b\":2}\n\ndata: [DONE]\n\n"
	marker := strings.Index(text, "[DONE]") + len("[DONE]\n\n")
	for cut := range marker {
		addr := serve(t, func(w http.ResponseWriter, _ *http.Request) { writeEventStream(w, text[:cut]) })
		client := New()
		s, err := client.Start(t.Context(), addr, Call{Body: []byte(`{}`)})
		require.NoError(t, err)
		for err == nil {
			_, err = s.Next()
		}
		require.ErrorIs(t, err, ErrInterrupted, "cut at %d", cut)
		require.ErrorContains(t, err, "start "+addr)
		require.NoError(t, s.Close())
		client.Close()
	}
}

func TestErrorResponses(t *testing.T) {
	cases := []struct {
		status int
		code   string
		want   error
		notRun bool
	}{
		{http.StatusServiceUnavailable, CodeLeaving, ErrLeaving, true},
		{http.StatusNotFound, CodeNoModel, ErrNoModel, true},
		{http.StatusNotFound, CodeGone, ErrGone, false},
		{http.StatusConflict, CodeStale, ErrStaleFence, false},
		{http.StatusInsufficientStorage, CodeMemory, ErrNoMemory, false},
		{http.StatusServiceUnavailable, "busy", nil, false},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d %s", tc.status, tc.code), func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(tc.status)
				_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":"no"}}`, tc.code)
			})
			client := New()
			defer client.Close()
			_, err := client.Start(t.Context(), addr, Call{Body: []byte(`{}`)})
			var status *StatusError
			require.ErrorAs(t, err, &status)
			assert.Equal(t, 3*time.Second, status.RetryAfter)
			assert.Equal(t, tc.notRun, NotRun(err))
			if tc.want != nil {
				assert.ErrorIs(t, err, tc.want)
			}
		})
	}
}

func TestErrNotSentOnlyWhenNothingWasWritten(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := listener.Addr().String()
	require.NoError(t, listener.Close())
	closing := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	client := New()
	defer client.Close()

	_, err = client.Start(t.Context(), refused, Call{Body: []byte(`{}`)})
	require.ErrorIs(t, err, ErrNotSent)
	require.NotErrorIs(t, err, ErrInterrupted)

	_, err = client.Start(t.Context(), closing, Call{Body: []byte(`{}`)})
	require.ErrorIs(t, err, ErrInterrupted)
	require.NotErrorIs(t, err, ErrNotSent)

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Start(ended, closing, Call{Body: []byte(`{}`)})
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, context.Canceled)
}

// forwardOnReusedConnection sends a request with an idempotency key over a connection
// that was used before, which net/http may retry, and counts how often the endpoint
// runs it.
func forwardOnReusedConnection(t *testing.T, client *Client, method string) (int64, error) {
	t.Helper()
	var runs atomic.Int64
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		runs.Add(1)
		hijacker, ok := w.(http.Hijacker)
		if !ok {
			panic("no hijacker")
		}
		raw, _, _ := hijacker.Hijack()
		_ = raw.Close()
	})
	warm, err := client.Forward(t.Context(), addr, ForwardCall{Method: http.MethodGet, Path: "/warm"})
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, warm.Body)
	require.NoError(t, warm.Body.Close())
	header := http.Header{"Idempotency-Key": {"k"}}
	response, err := client.Forward(t.Context(), addr, ForwardCall{Method: method, Path: "/orders", Header: header})
	if err == nil {
		_ = response.Body.Close()
	}
	return runs.Load(), err
}

// Guards against net/http's own retries: it replays a request that has an idempotency key
// when a reused connection breaks, although the endpoint may have run it.
func TestForwardNeverReplaysWrittenRequest(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			client := New()
			defer client.Close()
			runs, err := forwardOnReusedConnection(t, client, method)
			require.ErrorIs(t, err, ErrInterrupted)
			assert.Equal(t, int64(1), runs)

			replaying := New(func(s *settings) { s.allowReplay = true })
			defer replaying.Close()
			runs, _ = forwardOnReusedConnection(t, replaying, method)
			assert.Greater(t, runs, int64(1), "without the seal the transport replays the request")
		})
	}
}

func TestForwardStreamsInBothDirections(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Connection", r.Header.Get("X-Hop"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.Copy(w, r.Body)
	})
	client := New()
	defer client.Close()
	call := ForwardCall{
		Method: http.MethodPut,
		Path:   "/echo?q=1",
		Header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body:   strings.NewReader("payload"),
		Length: -1,
	}
	response, err := client.Forward(t.Context(), addr, call)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "payload", string(data))
	assert.Equal(t, http.StatusAccepted, response.StatusCode)
	assert.Empty(t, response.Header.Get("X-Connection"))
}

func TestWithPriority(t *testing.T) {
	cases := []struct{ body, want string }{
		{`{}`, `{"priority":1}`},
		{` { } `, `{ "priority":1}`},
		{`{"a":1}`, `{"a":1,"priority":1}`},
		{`{"priority":-9,"a":1}`, `{"a":1,"priority":1}`},
	}
	for _, tc := range cases {
		got, err := withPriority([]byte(tc.body), 1)
		require.NoError(t, err)
		assert.Equal(t, tc.want, string(got))
	}
	for _, body := range []string{"", "[]", `"x"`, "}"} {
		_, err := withPriority([]byte(body), 1)
		require.Error(t, err)
	}
}

// A head without end must not fill the memory, nor many heads of small fields, which need many times
// their length.
func TestLargeHeadsAreErrors(t *testing.T) {
	var fields strings.Builder
	for n := 0; fields.Len() < 60<<10; n++ {
		fmt.Fprintf(&fields, "%x:\r\n", n)
	}
	tests := []struct {
		name, head string
		repeat     string // written after the head until the connection closes
	}{
		{name: "without end", head: "HTTP/1.1 200 OK\r\n", repeat: strings.Repeat("x-endless: line\r\n", 1<<10)},
		{name: "many fields", head: "HTTP/1.1 200 OK\r\n" + fields.String() + "Content-Length: 2\r\n\r\n{}"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				connection, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = connection.Close() }()
				_, err = io.WriteString(connection, tt.head)
				for tt.repeat != "" && err == nil {
					_, err = io.WriteString(connection, tt.repeat)
				}
			})
			client := New()
			defer client.Close()
			_, err := client.State(t.Context(), addr)
			require.ErrorContains(t, err, addr)
			require.ErrorContains(t, err, "headers exceeded 16384 bytes")
		})
	}
}

// A head whose status no answer may have is a cut: what follows it is no answer either.
func TestStatusesOfNoAnswerAreInterruptions(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 012 odd\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 switch\r\nConnection: upgrade\r\nUpgrade: odd\r\n\r\n",
		"HTTP/1.1 600 odd\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(strings.Fields(head)[1], func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				connection, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(connection, head)
				_ = connection.Close()
			})
			client := New()
			defer client.Close()
			response, err := client.Forward(t.Context(), addr, ForwardCall{Method: http.MethodPost, Path: "/x"})
			if err == nil {
				_ = response.Body.Close()
			}
			require.ErrorIs(t, err, ErrInterrupted)
			require.ErrorContains(t, err, addr)
		})
	}
}
