package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRetriesOnlyWhenOutcomeAllows(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		script  []http.HandlerFunc
		sent    int
		outcome Outcome // of the error, empty if there is none
		waits   []time.Duration
	}{
		{"not run", Request{Method: "POST"}, []http.HandlerFunc{respondError(503, OutcomeNotRun, "overload", 700), respond("x")}, 2, "", []time.Duration{700 * time.Millisecond}},
		{"not run, permanent", Request{Method: "POST"}, []http.HandlerFunc{respondError(404, OutcomeNotRun, "no-model", 0)}, 1, OutcomeNotRun, nil},
		{"unknown", Request{Method: "POST"}, []http.HandlerFunc{respondError(502, OutcomeUnknown, "lost", 0)}, 1, OutcomeUnknown, nil},
		{"unknown with a key", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{respondError(502, OutcomeUnknown, "lost", 0), respond("x")}, 2, "", []time.Duration{0}},
		{"unknown, may repeat", Request{Method: "POST", Repeat: true}, []http.HandlerFunc{respondError(502, OutcomeUnknown, "lost", 0), respond("x")}, 2, "", []time.Duration{0}},
		{"unknown, safe method", Request{Method: "GET"}, []http.HandlerFunc{respondError(502, OutcomeUnknown, "lost", 0), respond("x")}, 2, "", []time.Duration{0}},
		{"unknown, permanent", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{respondError(409, OutcomeUnknown, codeOutcomeUnknown, 0)}, 1, OutcomeUnknown, nil},
		{"running, with a key", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{respondError(409, OutcomeUnknown, "already-running", 20), respond("x")}, 2, "", []time.Duration{2e7}},
		{"cut", Request{Method: "POST"}, []http.HandlerFunc{abortConnection}, 1, OutcomeUnknown, nil},
		{"cut with a key", Request{Method: "POST", Key: "k"}, []http.HandlerFunc{abortConnection, respond("x")}, 2, "", []time.Duration{0}},
		{"outcome missing", Request{Method: "POST"}, []http.HandlerFunc{respondError(503, "", "busy", 0)}, 1, OutcomeUnknown, nil},
		{"wait too long", Request{Method: "POST"}, []http.HandlerFunc{respondError(429, OutcomeNotRun, "overload", 60_000)}, 1, OutcomeNotRun, nil},
		{"gives up", Request{Method: "POST"}, []http.HandlerFunc{respondError(503, OutcomeNotRun, "overload", 10)}, 5, OutcomeNotRun, []time.Duration{1e7, 1e7, 1e7, 1e7}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeSystem(t, 2, tc.script...)
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
				assert.NotEqual(t, s.hosts[0], s.hosts[1], "the retry goes to another instance")
			}
		})
	}
}

func TestOutcomeFromTrailer(t *testing.T) {
	s := newFakeSystem(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", HeaderOutcome)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "the service's own error")
		w.Header().Set(HeaderOutcome, string(OutcomeRan))
	})
	response, err := s.client().Do(t.Context(), Request{Method: "POST", Path: "/services/orders/new", Key: "k"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, OutcomeUnknown, response.FinalOutcome())
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "the service's own error", string(data))
	assert.Equal(t, OutcomeRan, response.FinalOutcome())
	assert.Equal(t, http.StatusInternalServerError, response.Status)
	assert.Len(t, s.sent(), 1)
}

func TestEntriesAreCached(t *testing.T) {
	s := newFakeSystem(t, 1, respond("x"))
	c := s.client()
	for range 3 {
		response, err := c.Do(t.Context(), Request{Method: "GET", Path: "/v1/models"})
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, "i1", response.Instance)
	}
	assert.Equal(t, 1, s.entriesRequests)
	s.clock = s.clock.Add(31 * time.Second)
	_, err := c.Entries(t.Context(), "desk")
	require.NoError(t, err)
	assert.Equal(t, 2, s.entriesRequests)
}

func TestUnreachableInstanceIsSkipped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := listener.Addr().String()
	require.NoError(t, listener.Close())
	s := newFakeSystem(t, 1, respond("x"))
	s.addresses = append([]string{unreachable}, s.addresses...)
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
	assert.Equal(t, 21, tries, "only the first request tries the unreachable instance")

	_, err = New([]string{unreachable}).Do(t.Context(), Request{Method: "POST", Path: "/x"})
	require.ErrorIs(t, err, ErrNoEntry)
}

func TestDeadlineIsSentAndObserved(t *testing.T) {
	s := newFakeSystem(t, 1, respondError(503, OutcomeNotRun, "overload", 5000))
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
		name    string
		opts    []Option
		maxSent int
	}{
		{"with", []Option{WithRetryBudget(0.1, 10)}, 121},
		{"without", []Option{WithRetryBudget(1e9, 1e9)}, 500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeSystem(t, 1, respondError(503, OutcomeNotRun, "overload", 1))
			c := s.client(tc.opts...)
			for range 100 {
				_, err := c.Do(t.Context(), Request{Method: "POST", Path: "/x"})
				require.Error(t, err)
			}
			assert.LessOrEqual(t, len(s.sent()), tc.maxSent)
			assert.Greater(t, len(s.sent()), tc.maxSent-12)
		})
	}
}

func TestUnreachableAddressIsTriedLast(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := listener.Addr().String()
	require.NoError(t, listener.Close())
	cases := []struct {
		name   string
		pause  time.Duration // between two requests
		failed bool
	}{
		{"avoided", 0, false},
		{"avoidance expired each time", avoidDuration, true}, // equivalent to no avoidance
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newFakeSystem(t, 1, respond("x"))
			s.addresses = append([]string{unreachable}, s.addresses...)
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
			assert.Equal(t, tc.failed, failed, "whether the retry budget ran out")
		})
	}
}

// An answer that goes on after a list of instances must not be taken for that list.
func TestEntriesWithoutEndAreAnError(t *testing.T) {
	tests := []struct {
		name, header string
		want         string
	}{
		{name: "body", want: "message too large"},
		{name: "head", header: strings.Repeat("x", 2<<20), want: "headers exceeded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.header != "" {
					w.Header().Set("X-Long", tt.header)
				}
				_, err := io.WriteString(w, `{"entries":[{"address":"127.0.0.1:1"}],"keep":"30s"}`)
				for piece := strings.Repeat(" ", 64<<10); err == nil; {
					_, err = io.WriteString(w, piece)
				}
			}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			c := New([]string{address})
			defer c.Close()
			_, err := c.Entries(t.Context(), "desk")
			require.ErrorContains(t, err, "entries "+address)
			require.ErrorContains(t, err, tt.want)
		})
	}
}
