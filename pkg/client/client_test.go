package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// system is a fake of some instances: each request is answered by the next
// handler of the script, wherever it arrives.
type system struct {
	t         *testing.T
	addresses []string
	keep      string

	mu       sync.Mutex
	asked    int
	script   []http.HandlerFunc
	requests []*http.Request
	hosts    []string
	waits    []time.Duration
	clock    time.Time
}

func newSystem(t *testing.T, instances int, script ...http.HandlerFunc) *system {
	t.Helper()
	s := &system{t: t, keep: "30s", script: script, clock: time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)}
	for range instances {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		s.addresses = append(s.addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return s
}

func (s *system) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func (s *system) serveEntries(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	var entries []string
	for _, address := range s.addresses {
		entries = append(entries, fmt.Sprintf(`{"address":%q,"region":"r","datacentre":"d"}`, address))
	}
	_, _ = fmt.Fprintf(w, `{"entries":[%s],"keep":%q}`, strings.Join(entries, ","), s.keep)
}

// sent returns the requests that arrived.
func (s *system) sent() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *system) client(opts ...Option) *Client {
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

func refuse(status int, outcome Outcome, code string, retry int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(outcome))
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"step":"admit","message":"no","retry_ms":%d}}`, code, retry)
	}
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(OutcomeRan))
		w.Header().Set(HeaderInstance, "i1")
		_, _ = io.WriteString(w, text)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// events sends events of an attempt up to one, and the end marker if whole.
func events(attempt string, from, to int, last string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(w, "id: m1/%s/%d\ndata: %d\n\n", attempt, i, i)
		}
		_, _ = io.WriteString(w, last)
		_ = http.NewResponseController(w).Flush()
		if last == "" {
			panic(http.ErrAbortHandler)
		}
	}
}

const marker = "data: [DONE]\n\n"

func TestRequestsAreSentAgainOnlyWhereTheOutcomeAllows(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		script  []http.HandlerFunc
		sent    int
		outcome Outcome // of the error, empty when answered
		waits   []time.Duration
	}{
		{"not run", Request{Method: "POST"}, []http.HandlerFunc{refuse(503, OutcomeNotRun, "overload", 700), answer("x")}, 2, "", []time.Duration{700 * time.Millisecond}},
		{"not run, for good", Request{Method: "POST"}, []http.HandlerFunc{refuse(404, OutcomeNotRun, "no-model", 0)}, 1, OutcomeNotRun, nil},
		{"unknown", Request{Method: "POST"}, []http.HandlerFunc{refuse(502, OutcomeUnknown, "lost", 0)}, 1, OutcomeUnknown, nil},
		{"unknown with a key", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{refuse(502, OutcomeUnknown, "lost", 0), answer("x")}, 2, "", []time.Duration{0}},
		{"unknown, may repeat", Request{Method: "POST", Repeat: true}, []http.HandlerFunc{refuse(502, OutcomeUnknown, "lost", 0), answer("x")}, 2, "", []time.Duration{0}},
		{"unknown, safe method", Request{Method: "GET"}, []http.HandlerFunc{refuse(502, OutcomeUnknown, "lost", 0), answer("x")}, 2, "", []time.Duration{0}},
		{"unknown for good", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{refuse(409, OutcomeUnknown, codeUnknown, 0)}, 1, OutcomeUnknown, nil},
		{"running, with a key", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{refuse(409, OutcomeUnknown, "already-running", 20), answer("x")}, 2, "", []time.Duration{2e7}},
		{"cut", Request{Method: "POST"}, []http.HandlerFunc{abort}, 1, OutcomeUnknown, nil},
		{"cut with a key", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{abort, answer("x")}, 2, "", []time.Duration{0}},
		{"no outcome said", Request{Method: "POST"}, []http.HandlerFunc{refuse(503, "", "busy", 0)}, 1, OutcomeUnknown, nil},
		{"waits too long", Request{Method: "POST"}, []http.HandlerFunc{refuse(429, OutcomeNotRun, "overload", 60_000)}, 1, OutcomeNotRun, nil},
		{"gives up", Request{Method: "POST"}, []http.HandlerFunc{refuse(503, OutcomeNotRun, "overload", 10)}, 5, OutcomeNotRun, []time.Duration{1e7, 1e7, 1e7, 1e7}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, 2, tc.script...)
			tc.request.Path = "/services/orders/new"
			response, err := s.client().Do(t.Context(), tc.request)
			if err == nil {
				defer func() { _ = response.Body.Close() }()
			}
			var e *Error
			if tc.outcome != "" {
				require.ErrorAs(t, err, &e)
				assert.Equal(t, tc.outcome, e.Outcome)
			} else {
				require.NoError(t, err)
			}
			assert.Len(t, s.sent(), tc.sent)
			assert.Equal(t, tc.waits, s.waits)
			for _, r := range s.sent() {
				assert.Equal(t, s.sent()[0].Header.Get(HeaderRequest), r.Header.Get(HeaderRequest))
				assert.Equal(t, tc.request.Key, r.Header.Get(HeaderKey))
				assert.Equal(t, "desk", r.Header.Get(HeaderProfile))
			}
			if tc.sent == 2 {
				assert.NotEqual(t, s.hosts[0], s.hosts[1], "another instance")
			}
		})
	}
}

func TestOutcomeComesWithTheTrailer(t *testing.T) {
	s := newSystem(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", HeaderOutcome)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "the service's own error")
		w.Header().Set(HeaderOutcome, string(OutcomeRan))
	})
	response, err := s.client().Do(t.Context(), Request{Method: "POST", Path: "/services/orders/new", Key: "k"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, OutcomeUnknown, response.Ended())
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "the service's own error", string(data))
	assert.Equal(t, OutcomeRan, response.Ended())
	assert.Equal(t, http.StatusInternalServerError, response.Status)
	assert.Len(t, s.sent(), 1)
}

func TestEntriesAreAskedOnceAndKept(t *testing.T) {
	s := newSystem(t, 1, answer("x"))
	c := s.client()
	for range 3 {
		response, err := c.Do(t.Context(), Request{Method: "GET", Path: "/v1/models"})
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, "i1", response.Instance)
	}
	assert.Equal(t, 1, s.asked)
	s.clock = s.clock.Add(31 * time.Second)
	_, err := c.Entries(t.Context(), "desk")
	require.NoError(t, err)
	assert.Equal(t, 2, s.asked)
}

func TestDeadInstanceIsPassedOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := listener.Addr().String()
	require.NoError(t, listener.Close())
	s := newSystem(t, 1, answer("x"))
	s.addresses = append([]string{dead}, s.addresses...)
	response, err := s.client().Do(t.Context(), Request{Method: "POST", Path: "/x"})
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, 2, response.Tries)

	c := s.client(WithRetryBudget(0, 1))
	tries := 0
	for range 20 {
		response, err = c.Do(t.Context(), Request{Method: "POST", Path: "/x"})
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		tries += response.Tries
	}
	assert.Equal(t, 21, tries, "only the first request meets the dead instance")

	_, err = New([]string{dead}).Do(t.Context(), Request{Method: "POST", Path: "/x"})
	require.ErrorIs(t, err, ErrNoEntry)
}

func TestDeadlineIsToldAndKept(t *testing.T) {
	s := newSystem(t, 1, refuse(503, OutcomeNotRun, "overload", 5000))
	c := s.client()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(time.Minute))
	defer cancel()
	deadline, _ := ctx.Deadline()
	s.clock = deadline.Add(-2 * time.Second)
	_, err := c.Do(ctx, Request{Method: "POST", Path: "/x"})
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, 5*time.Second, e.Retry)
	assert.Equal(t, "2000", s.sent()[0].Header.Get(HeaderDeadline))
	assert.Empty(t, s.waits)
}

func TestRetryBudgetBoundsTheLoad(t *testing.T) {
	cases := []struct {
		name string
		opts []Option
		most int
	}{
		{"with", []Option{WithRetryBudget(0.1, 10)}, 121},
		{"without", []Option{WithRetryBudget(1e9, 1e9)}, 500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, 1, refuse(503, OutcomeNotRun, "overload", 1))
			c := s.client(tc.opts...)
			for range 100 {
				_, err := c.Do(t.Context(), Request{Method: "POST", Path: "/x"})
				require.Error(t, err)
			}
			assert.LessOrEqual(t, len(s.sent()), tc.most)
			assert.Greater(t, len(s.sent()), tc.most-12)
		})
	}
}

// read reads a streamed answer to its end.
func read(s *Stream) (text string, err error) {
	for {
		event, err := s.Next()
		if err != nil {
			return text, errors.Join(err, s.Close())
		}
		text += string(event.Data)
	}
}

func TestStreamsEndWholeOrInAnExplicitError(t *testing.T) {
	failure := "event: error\ndata: {\"error\":{\"code\":\"lost\",\"step\":\"answer\",\"message\":\"no\",\"outcome\":\"ran\"}}\n\n"
	cases := []struct {
		name   string
		key    string
		script []http.HandlerFunc
		want   string
		last   []string // Last-Event-ID of each request
		code   string   // of the error, empty when whole
	}{
		{"whole", "", []http.HandlerFunc{events("a", 1, 3, marker)}, "123", []string{""}, ""},
		{"cut and resumed", "", []http.HandlerFunc{events("a", 1, 2, ""), events("a", 3, 4, marker)}, "1234", []string{"", "m1/a/2"}, ""},
		{"cut twice", "", []http.HandlerFunc{events("a", 1, 2, ""), events("a", 3, 3, ""), events("a", 4, 4, marker)}, "1234", []string{"", "m1/a/2", "m1/a/3"}, ""},
		{"pieces twice", "", []http.HandlerFunc{events("a", 1, 2, ""), events("a", 1, 3, marker)}, "123", []string{"", "m1/a/2"}, ""},
		{"goes on as another attempt", "", []http.HandlerFunc{events("a", 1, 2, ""), events("b", 1, 1, marker)}, "121", []string{"", "m1/a/2"}, ""},
		{"resume refused for now", "", []http.HandlerFunc{events("a", 1, 2, ""), refuse(503, OutcomeNotRun, "moving", 5), events("a", 3, 3, marker)}, "123", []string{"", "m1/a/2", "m1/a/2"}, ""},
		{"closed without the marker", "", []http.HandlerFunc{events("a", 1, 2, ": bye\n\n"), events("a", 3, 3, marker)}, "123", []string{"", "m1/a/2"}, ""},
		{"explicit error", "", []http.HandlerFunc{events("a", 1, 2, failure)}, "12", []string{""}, "lost"},
		{"cut before any event", "", []http.HandlerFunc{events("a", 1, 0, "")}, "", []string{""}, CodeCut},
		{"cut before any event, with a key", "k", []http.HandlerFunc{events("a", 1, 0, ""), events("a", 1, 1, marker)}, "1", []string{"", ""}, ""},
		{"no longer kept", "", []http.HandlerFunc{events("a", 1, 2, ""), refuse(502, OutcomeUnknown, codeGone, 0)}, "12", []string{"", "m1/a/2"}, codeGone},
		{"gone", "", []http.HandlerFunc{events("a", 1, 2, ""), refuse(502, OutcomeRan, "gone", 0)}, "12", []string{"", "m1/a/2"}, "gone"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, 2, tc.script...)
			stream, err := s.client().Stream(t.Context(), Request{Path: "/v1/chat/completions", Key: tc.key})
			require.NoError(t, err)
			text, err := read(stream)
			if tc.code == "" {
				require.ErrorIs(t, err, io.EOF)
			} else {
				var e *Error
				require.ErrorAs(t, err, &e)
				assert.Equal(t, tc.code, e.Code)
			}
			assert.Equal(t, tc.want, text)
			var last []string
			for _, r := range s.sent() {
				last = append(last, r.Header.Get(HeaderLastEvent))
			}
			assert.Equal(t, tc.last, last)
		})
	}
}

func TestResumesWithoutProgressAreBounded(t *testing.T) {
	s := newSystem(t, 2, events("a", 1, 2, ""), events("a", 3, 2, ""))
	stream, err := s.client(WithResumes(3)).Stream(t.Context(), Request{Path: "/v1/chat/completions"})
	require.NoError(t, err)
	_, err = read(stream)
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Equal(t, CodeCut, e.Code)
	assert.Len(t, s.sent(), 4)
}

func TestDeadAddressIsNotTriedFirstAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dead := listener.Addr().String()
	require.NoError(t, listener.Close())
	cases := []struct {
		name   string
		pause  time.Duration // between two requests
		failed bool
	}{
		{"avoided", 0, false},
		{"forgotten each time", avoidTime, true}, // as if the mechanism were off
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t, 1, answer("x"))
			s.addresses = append([]string{dead}, s.addresses...)
			c := s.client()
			failed := false
			for range 30 {
				response, err := c.Do(t.Context(), Request{Method: "POST", Path: "/x"})
				failed = failed || err != nil
				if err == nil {
					require.NoError(t, response.Body.Close())
				}
				s.clock = s.clock.Add(tc.pause)
			}
			assert.Equal(t, tc.failed, failed, "the retry budget ran out")
		})
	}
}

func TestOutcomeComesWithTheEndOfTheAnswer(t *testing.T) {
	cases := []struct {
		said, want Outcome
	}{
		{OutcomeRan, OutcomeRan},
		{"", OutcomeUnknown},
	}
	for _, tc := range cases {
		t.Run(string(tc.want), func(t *testing.T) {
			s := newSystem(t, 1, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Trailer", HeaderOutcome)
				events("a", 1, 2, marker)(w, r)
				if tc.said != "" {
					w.Header().Set(HeaderOutcome, string(tc.said))
				}
			})
			stream, err := s.client().Stream(t.Context(), Request{Path: "/v1/chat/completions"})
			require.NoError(t, err)
			assert.Equal(t, OutcomeUnknown, stream.Outcome())
			_, err = read(stream)
			require.ErrorIs(t, err, io.EOF)
			assert.Equal(t, tc.want, stream.Outcome())
		})
	}
}
