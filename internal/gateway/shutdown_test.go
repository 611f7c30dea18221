package gateway_test

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// shutDownIn has the instance close its callers' connections after a time, and callers' addresses expire then.
func (f *fakeFleet) shutDownIn(d time.Duration) { f.shutDown(d, d) }

// shutDown has callers' addresses expire and the instance close its callers' connections after some time.
func (f *fakeFleet) shutDown(expired, closes time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shutdown = shutdown.Plan{Estimated: time.Now().Add(expired), Closes: time.Now().Add(closes)}
}

// An instance that is shutting down refuses a request that it would cut, before an endpoint gets it, and
// serves one that can end in the time left. How long it takes is known from those before it, else it
// may take as long as its caller waits.
func TestRequestThatWouldBeCutIsRefused(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		kind       catalog.Kind
		behaviour  standin.Behaviour
		served     int // requests before the signal
		closes     time.Duration
		wait       string // the caller's
		expired    bool   // callers' addresses have expired
		wantStatus int
	}{
		{name: "short, addresses have expired", kind: catalog.KindSafe, served: 2, closes: 1400 * ms, expired: true, wantStatus: http.StatusServiceUnavailable},
		{name: "short, its caller waits for less, addresses have expired", kind: catalog.KindSafe, closes: 1400 * ms, wait: "1000", expired: true, wantStatus: http.StatusOK},
		{name: "short, none before", kind: catalog.KindSafe, closes: 1400 * ms, wantStatus: http.StatusServiceUnavailable},
		{name: "short, its caller waits for less", kind: catalog.KindSafe, closes: 1400 * ms, wait: "1000", wantStatus: http.StatusOK},
		{name: "short, some before", kind: catalog.KindSafe, served: 2, closes: 500 * ms, wantStatus: http.StatusOK},
		{name: "long, some before", kind: catalog.KindUnsafe, behaviour: standin.BehaviourLate, served: 1, closes: 800 * ms, wantStatus: http.StatusServiceUnavailable},
		{name: "long, enough time", kind: catalog.KindUnsafe, behaviour: standin.BehaviourLate, served: 1, closes: 1400 * ms, wantStatus: http.StatusOK},
		{name: "long stream", kind: catalog.KindStream, behaviour: standin.BehaviourPause, served: 1, closes: 800 * ms, wantStatus: http.StatusServiceUnavailable},
		{name: "long stream, enough time", kind: catalog.KindStream, behaviour: standin.BehaviourPause, served: 1, closes: 1400 * ms, wantStatus: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.behaviour)
			url, header := serve(t, f), map[string]string{"Model": "m", standin.Tokens: "10,10"}
			for range tt.served {
				r, err := send(t, url, http.MethodPost, header, "")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, r.status)
			}
			expired := tt.closes
			if tt.expired {
				expired = 0
			}
			f.shutDown(expired, tt.closes)
			if tt.wait != "" {
				header[standin.Wait] = tt.wait
			}
			r, err := send(t, url, http.MethodPost, header, "")
			require.NoError(t, err)
			assert.Equal(t, tt.wantStatus, r.status)
			wantRuns := tt.served
			if tt.wantStatus == http.StatusOK {
				wantRuns++
			} else {
				assert.Equal(t, "0.050", r.header.Get("Retry-After"))
			}
			assert.Equal(t, wantRuns, f.runs())
		})
	}
}

// Slow requests of another route of the service, and small ones before, don't decide what a request may take.
func TestTimeOfOtherRequestsDoesNotDecide(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name         string
		before, then string // the stated tokens
		route        string // of those before
		behaviour    standin.Behaviour
		closes       time.Duration
		wantStatus   int
	}{
		{name: "slow ones of another route", before: "10,10", then: "10,10", route: "other", behaviour: standin.BehaviourPause, closes: 900 * ms, wantStatus: http.StatusOK},
		{name: "small prompts before a large one", before: "100,10", then: "39600,10", route: "r", closes: 700 * ms, wantStatus: http.StatusServiceUnavailable},
		{name: "large prompts", before: "39600,10", then: "39600,10", route: "r", closes: 700 * ms, wantStatus: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, tt.behaviour)
			url, header := serve(t, f), map[string]string{"Model": "m", standin.Tokens: tt.before}
			f.runners[0].SetEventInterval(10 * ms)
			f.route.Name = tt.route
			_, err := send(t, url, http.MethodPost, header, "")
			require.NoError(t, err)
			f.runners[0].SetBehaviour(standin.BehaviourNone)
			f.route.Name, header[standin.Tokens] = "r", tt.then
			if tt.route != "r" {
				_, err := send(t, url, http.MethodPost, header, "")
				require.NoError(t, err)
			}
			f.shutDownIn(tt.closes)
			r, err := send(t, url, http.MethodPost, header, "")
			require.NoError(t, err)
			assert.Equal(t, tt.wantStatus, r.status)
		})
	}
}

// The signal comes while a request waits: it is refused as soon as it could no longer end in the time left.
func TestRequestThatWaitsThroughTheSignalIsRefused(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		replies []gateway.Admission
	}{
		{name: "for its place in the schedule", replies: []gateway.Admission{{}, {Wait: 1200 * ms, Hold: 1200 * ms}}},
		{name: "for room", replies: []gateway.Admission{{}, {Refused: true, Wait: 1200 * ms, AskAgain: 1200 * ms}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourPause)
			f.route.Timeout, f.replies = 5*time.Second, tt.replies
			url, header := serve(t, f), map[string]string{"Model": "m", standin.Tokens: "10,10"}
			r, err := send(t, url, http.MethodPost, header, "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status)
			time.AfterFunc(100*ms, func() { f.shutDownIn(1300 * ms) })
			started := time.Now()
			r, err = send(t, url, http.MethodPost, header, "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, r.status)
			assert.Less(t, time.Since(started), time.Second)
			assert.Equal(t, 1, f.runs())
			assert.Zero(t, f.open)
		})
	}
}

// A request that waits for longer than the instance is there isn't given a place.
func TestPatienceEndsWithTheInstance(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
	f.replies = []gateway.Admission{{}}
	f.route.Timeout, f.route.Target = 5*time.Second, 2*time.Second
	url, header := serve(t, f), map[string]string{"Model": "m"}
	_, err := send(t, url, http.MethodPost, header, "")
	require.NoError(t, err)
	f.shutDownIn(time.Second)
	r, err := send(t, url, http.MethodPost, header, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, r.status)
	require.Len(t, f.questions, 2)
	assert.Greater(t, f.questions[0].Late.Patience, 3*time.Second)
	assert.Less(t, f.questions[1].Late.Patience, time.Second)
	assert.Equal(t, []fleet.Endpoint{"i-0", "i-0"}, []fleet.Endpoint{f.questions[0].endpoint, f.questions[1].endpoint})
}

// Requests that have no part of an answer when their connections are about to be closed are answered: with
// a promise that they have not run if that is known.
func TestRequestEndsWithAnAnswerBeforeItsConnectionIsClosed(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name       string
		kind       catalog.Kind
		behaviour  standin.Behaviour
		replies    []gateway.Admission
		adapter    bool
		open       bool // the body has no end
		late       bool // it arrives afterwards
		wantStatus int
		wantRuns   int
	}{
		{name: "its body is arriving", kind: catalog.KindUnsafe, open: true, wantStatus: http.StatusServiceUnavailable},
		{name: "it waits for its place in the schedule", kind: catalog.KindStream, replies: []gateway.Admission{{Wait: s, Hold: s}}, wantStatus: http.StatusServiceUnavailable},
		{name: "it waits for room", kind: catalog.KindStream, replies: []gateway.Admission{{Refused: true, Wait: s, AskAgain: s}}, wantStatus: http.StatusServiceUnavailable},
		{name: "it waits for an adapter", kind: catalog.KindStream, adapter: true, wantStatus: http.StatusServiceUnavailable},
		{name: "an endpoint doesn't answer", kind: catalog.KindUnsafe, behaviour: standin.BehaviourMute, wantStatus: http.StatusBadGateway, wantRuns: 1},
		{name: "an endpoint doesn't begin a stream", kind: catalog.KindStream, behaviour: standin.BehaviourMute, wantStatus: http.StatusBadGateway, wantRuns: 1},
		{name: "it arrives afterwards", kind: catalog.KindUnsafe, late: true, wantStatus: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.behaviour)
			f.replies, f.loadsAdapter, f.adapterStalls, f.route.Timeout = tt.replies, tt.adapter, tt.adapter, 9*s
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now)
			server := httptest.NewServer(g)
			t.Cleanup(server.Close)
			body, end := io.Pipe()
			if !tt.open {
				_ = end.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*s)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/x", body)
			require.NoError(t, err)
			request.Host = "board.example"
			request.Header.Set("Request-Id", "r1")
			request.Header.Set("Model", "m")
			if tt.late {
				g.EndUnanswered()
			}
			time.AfterFunc(100*time.Millisecond, g.EndUnanswered)
			started := time.Now()
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _, _ = end.Close(), response.Body.Close() }()
			assert.Less(t, time.Since(started), 700*time.Millisecond)
			assert.Equal(t, tt.wantStatus, response.StatusCode)
			assert.Equal(t, tt.wantStatus == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
			assert.Equal(t, tt.wantRuns, f.runs())
			assert.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.open == 0 }, s, time.Millisecond)
		})
	}
}

// An answer that begins after the signal to a request from before has its caller's connection closed.
func TestAnswerAfterTheSignalClosesItsConnection(t *testing.T) {
	tests := []struct {
		name      string
		kind      catalog.Kind
		behaviour standin.Behaviour
		host      string
		slow      bool // its body has ended only after the signal
	}{
		{name: "answer", kind: catalog.KindSafe, behaviour: standin.BehaviourLate},
		{name: "stream", kind: catalog.KindStream, behaviour: standin.BehaviourLate},
		{name: "refusal", kind: catalog.KindUnsafe, behaviour: standin.BehaviourMute},
		{name: "refusal without a route", kind: catalog.KindUnsafe, host: "other.example", slow: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.behaviour)
			time.AfterFunc(100*time.Millisecond, func() { f.shutDownIn(time.Minute) })
			body := io.Reader(http.NoBody)
			if tt.slow {
				r, w := io.Pipe()
				time.AfterFunc(200*time.Millisecond, func() { _ = w.Close() })
				body = r
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, serve(t, f)+"/x", body)
			require.NoError(t, err)
			request.Host = cmp.Or(tt.host, "board.example")
			request.Header.Set("Request-Id", "r1")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			assert.True(t, response.Close)
			require.NoError(t, response.Body.Close())
		})
	}
}
