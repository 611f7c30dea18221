package client

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeSystem is a set of fake instances. Each request is served by the next handler of
// the script, whichever instance receives it; the last handler serves all further ones.
type fakeSystem struct {
	t         *testing.T
	addresses []string
	keep      string

	mu              sync.Mutex
	entriesRequests int
	script          []http.HandlerFunc
	requests        []*http.Request
	hosts           []string
	waits           []time.Duration
	clock           time.Time
}

func newFakeSystem(t *testing.T, instances int, script ...http.HandlerFunc) *fakeSystem {
	t.Helper()
	s := &fakeSystem{t: t, keep: "30s", script: script, clock: time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)}
	for range instances {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		s.addresses = append(s.addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return s
}

func (s *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		s.serveEntries(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.requests = append(s.requests, r.Clone(r.Context()))
	s.hosts = append(s.hosts, r.Host)
	next := s.script[0]
	if len(s.script) > 1 {
		s.script = s.script[1:]
	}
	s.mu.Unlock()
	next(w, r)
}

func (s *fakeSystem) serveEntries(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesRequests++
	var entries []string
	for _, address := range s.addresses {
		entries = append(entries, fmt.Sprintf(`{"address":%q,"region":"r","datacentre":"d"}`, address))
	}
	_, _ = fmt.Fprintf(w, `{"entries":[%s],"keep":%q}`, strings.Join(entries, ","), s.keep)
}

// sent returns the requests received so far.
func (s *fakeSystem) sent() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *fakeSystem) client(opts ...Option) *Client {
	c := New(s.addresses, append([]Option{WithProfile("desk")}, opts...)...)
	c.now = func() time.Time { return s.clock }
	c.jitter = func() float64 { return 0 }
	c.sleep = func(ctx context.Context, wait time.Duration) error {
		s.waits = append(s.waits, wait)
		s.clock = s.clock.Add(wait)
		return ctx.Err()
	}
	s.t.Cleanup(c.Close)
	return c
}

func respondError(status int, outcome Outcome, code string, retry int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(outcome))
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"step":"admit","message":"no","retry_ms":%d}}`, code, retry)
	}
}

func respond(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(OutcomeRan))
		w.Header().Set(HeaderInstance, "i1")
		_, _ = io.WriteString(w, text)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// streamEvents sends the events of an attempt from one number to another, followed by
// the given end. If the end is empty, it aborts the connection.
func streamEvents(attempt string, from, to int, end string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: m1/%s/%d\ndata: %d\n\n", attempt, i, i)
		}
		_, _ = io.WriteString(w, end)
		_ = http.NewResponseController(w).Flush()
		if end == "" {
			panic(http.ErrAbortHandler)
		}
	}
}

const doneEvent = "data: [DONE]\n\n"
