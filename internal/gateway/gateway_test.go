package gateway_test

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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// fakeFleet offers runners in order, those not tried yet.
type fakeFleet struct {
	runners []*standin.Runner
	route   *catalog.Route
	budget  int
	err     error
	wait    time.Duration

	mu                            sync.Mutex
	open, answered, failed, asked int
	broke                         []suspect.Fingerprint
	proved                        []suspect.Fingerprint
	lethal                        bool
}

func (f *fakeFleet) Route(host, _ string) (*catalog.Route, int64, error) {
	if host != "board.example" {
		return nil, 3, gateway.ErrNoRoute
	}
	if f.route == nil {
		return nil, 0, gateway.ErrNoCatalog
	}
	return f.route, 3, nil
}

func (f *fakeFleet) Choose(a *balance.Request) (gateway.Target, error) {
	if f.err != nil {
		return gateway.Target{Wait: f.wait}, f.err
	}
	if len(a.Exclude) >= len(f.runners) {
		return gateway.Target{}, gateway.ErrNoEndpoint
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open++
	n := len(a.Exclude)
	return gateway.Target{ID: fleet.Endpoint(fmt.Sprintf("i-%d", n)), Address: f.runners[n].Address()}, nil
}

func (f *fakeFleet) Answered(gateway.Target, *balance.Request, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered++
}

func (f *fakeFleet) Ended(gateway.Target, *balance.Request, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
}

func (f *fakeFleet) Failed(gateway.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed++
}

func (f *fakeFleet) Broke(_ gateway.Target, p suspect.Fingerprint, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broke = append(f.broke, p)
}

func (f *fakeFleet) Proved(p suspect.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proved = append(f.proved, p)
}

func (f *fakeFleet) Lethal(suspect.Fingerprint) bool { return f.lethal }

func (f *fakeFleet) Elsewhere(a *balance.Request) bool { return len(a.Exclude) < len(f.runners) }

func (f *fakeFleet) Gone(gateway.Target) {}

func (f *fakeFleet) Asked(*balance.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
}

func (f *fakeFleet) Again(catalog.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget--
	return f.budget >= 0
}

func (f *fakeFleet) Ensure(context.Context, gateway.Target, fleet.Model, fleet.Adapter) error {
	return nil
}
func (f *fakeFleet) Missing(gateway.Target, fleet.Model, fleet.Adapter) {}
func (f *fakeFleet) Leaving() bool                                      { return false }
func (f *fakeFleet) Limits() catalog.Limits                             { return catalog.Limits{MaxBodyBytes: 1 << 10} }

func newFleet(t *testing.T, kind catalog.Kind, behaviours ...standin.Behaviour) *fakeFleet {
	t.Helper()
	f := &fakeFleet{budget: 9, route: &catalog.Route{
		Name: "r", Kind: kind, Timeout: 1500 * time.Millisecond, Target: 200 * time.Millisecond, Attempts: 2,
		Splits: []catalog.Split{{Service: "s", Weight: 1}}, Resumable: kind == catalog.KindStream,
	}}
	for i, b := range behaviours {
		r := standin.NewRunner(fmt.Sprintf("i-%d", i), "s", "z", 2, "m")
		r.SetBehaviour(b)
		t.Cleanup(r.Close)
		f.runners = append(f.runners, r)
	}
	return f
}

func (f *fakeFleet) runs() int {
	n := 0
	for _, r := range f.runners {
		n += len(r.Runs())
	}
	return n
}

func serve(t *testing.T, f *fakeFleet) string {
	t.Helper()
	timers := timer.New(timer.System{})
	var group errgroup.Group
	timers.Start(t.Context(), &group)
	g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now, gateway.WithTimers(timers))
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return server.URL
}

// reply is an answer as a caller got it.
type reply struct {
	status int
	header http.Header
	body   string
}

func send(t *testing.T, url, method string, header map[string]string, body string) (reply, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url+"/x", strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "board.example"
	request.Header.Set("Request-Id", "r1")
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text)}, err
}

const whole = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

func TestAnswers(t *testing.T) {
	const (
		none, full, cut   = standin.BehaviourNone, standin.BehaviourFull, standin.BehaviourCut
		lost, foreign     = standin.BehaviourLost, standin.BehaviourForeign
		fail, mute        = standin.BehaviourFail, standin.BehaviourMute
		safe, once, event = catalog.KindSafe, catalog.KindUnsafe, catalog.KindStream
	)
	tests := []struct {
		name    string
		kind    catalog.Kind
		runners []standin.Behaviour
		budget  int
		single  bool // the stream can't be resumed
		status  int
		body    string
		runs    int
		broken  bool
	}{
		{name: "safe", kind: safe, runners: []standin.Behaviour{none}, status: 200, body: "done r1", runs: 1},
		{name: "safe, full then free", kind: safe, runners: []standin.Behaviour{full, none}, status: 200, body: "done r1", runs: 1},
		{name: "safe, failed then well", kind: safe, runners: []standin.Behaviour{fail, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, failed twice", kind: safe, runners: []standin.Behaviour{fail, fail, none}, status: 500, runs: 2},
		{name: "safe, answer lost", kind: safe, runners: []standin.Behaviour{lost, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, crossed answer", kind: safe, runners: []standin.Behaviour{foreign, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, no budget left", kind: safe, runners: []standin.Behaviour{lost, none}, budget: -9, status: 502, runs: 1},
		{name: "safe, all full", kind: safe, runners: []standin.Behaviour{full, full}, status: 503},
		{name: "once", kind: once, runners: []standin.Behaviour{none}, status: 200, body: "done r1", runs: 1},
		{name: "once, refused: it may go elsewhere", kind: once, runners: []standin.Behaviour{full, none}, status: 200, body: "done r1", runs: 1},
		{name: "once, answer lost: never again", kind: once, runners: []standin.Behaviour{lost, none}, status: 502, runs: 1},
		{name: "once, crossed answer: never again", kind: once, runners: []standin.Behaviour{foreign, none}, status: 502, runs: 1},
		{name: "once, failed: as it is", kind: once, runners: []standin.Behaviour{fail, none}, status: 500, runs: 1},
		{name: "once, silent till the end", kind: once, runners: []standin.Behaviour{mute, none}, status: 504, runs: 1},
		{name: "stream", kind: event, runners: []standin.Behaviour{none}, status: 200, body: whole, runs: 1},
		{name: "stream, cut and resumed", kind: event, runners: []standin.Behaviour{cut, none}, status: 200, body: whole, runs: 2},
		{name: "stream, cut twice", kind: event, runners: []standin.Behaviour{cut, cut, none}, status: 200, runs: 2, broken: true},
		{name: "stream, cut and not resumable", kind: event, runners: []standin.Behaviour{cut, none}, single: true, status: 200, runs: 1, broken: true},
		{name: "stream, lost before its first event", kind: event, runners: []standin.Behaviour{lost, none}, status: 200, body: whole, runs: 2},
		{name: "safe, silent: elsewhere", kind: safe, runners: []standin.Behaviour{mute, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, silent twice", kind: safe, runners: []standin.Behaviour{mute, mute, none}, status: 504, runs: 2},
		{name: "stream, silent and no other endpoint: it waits", kind: event, runners: []standin.Behaviour{standin.BehaviourLate}, status: 200, body: whole, runs: 1},
		{name: "stream, silent and no budget: it waits", kind: event, runners: []standin.Behaviour{standin.BehaviourLate, none}, budget: -9, status: 200, body: whole, runs: 1},
		{name: "stream, silent: elsewhere", kind: event, runners: []standin.Behaviour{mute, none}, status: 200, body: whole, runs: 2},
		{name: "stream, lost and not resumable", kind: event, runners: []standin.Behaviour{lost, none}, single: true, status: 502, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.runners...)
			f.budget += tt.budget
			f.route.Resumable = tt.kind == event && !tt.single
			method, header := http.MethodPost, map[string]string{}
			if tt.kind == safe {
				method = http.MethodGet
			}
			if tt.kind == event {
				header["Model"] = "m"
			}
			answer, err := send(t, serve(t, f), method, header, "")
			assert.Equal(t, tt.status, answer.status)
			assert.Equal(t, tt.broken, err != nil, "an answer that broke off must not look whole")
			if tt.body != "" {
				assert.Equal(t, tt.body, answer.body)
			}
			if tt.status == http.StatusServiceUnavailable {
				assert.NotEmpty(t, answer.header.Get("Retry-After"))
			}
			assert.Equal(t, tt.runs, f.runs())
			assert.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.open == 0
			}, time.Second, time.Millisecond, "each place is given back")
			assert.Equal(t, 1, f.asked)
		})
	}
}

func TestRefusals(t *testing.T) {
	f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
	url := serve(t, f)
	answer, err := send(t, url, http.MethodPost, nil, strings.Repeat("x", 2<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, answer.status)
	answer, err = send(t, url, http.MethodPost, map[string]string{"Request-Id": ""}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, answer.status)
	f.err, f.wait = gateway.ErrOverloaded, 2*time.Second
	answer, err = send(t, url, http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.status)
	assert.Equal(t, "1.900", answer.header.Get("Retry-After"), "once the work that waits is done")
	f.route = nil
	answer, err = send(t, url, http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.status, "no configuration is no reason for 404")
	assert.Zero(t, f.runs())
}

// What breaks off is noted by what was asked, not by the caller's attempt, and a request
// with which endpoints died reaches no other.
func TestRequestsThatCrashEndpoints(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourLost, standin.BehaviourNone)
	url := serve(t, f)
	for _, id := range []string{"r1", "r2"} {
		_, err := send(t, url, http.MethodPost, map[string]string{"Request-Id": id}, "body")
		require.NoError(t, err)
	}
	_, err := send(t, url, http.MethodPost, nil, "another body")
	require.NoError(t, err)
	require.Len(t, f.broke, 3)
	assert.Equal(t, f.broke[0], f.broke[1])
	assert.NotEqual(t, f.broke[0], f.broke[2])
	assert.Equal(t, f.broke, f.proved, "each was answered by the second endpoint")
	runs := f.runs()
	f.lethal = true
	answer, err := send(t, url, http.MethodPost, nil, "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, answer.status)
	assert.Equal(t, runs, f.runs())
	assert.Empty(t, answer.header.Get("Retry-After"))
}

func TestFingerprintsTellRequestsApart(t *testing.T) {
	base := gateway.Request{ID: "1", Caller: "192.0.2.1", Method: "GET", Host: "board.example", Target: "/look/1?a=b"}
	again, other := base, base
	again.ID = "2"
	assert.Equal(t, base.Fingerprint(), again.Fingerprint(), "another attempt")
	other.Caller = "192.0.2.2"
	assert.NotEqual(t, base.Fingerprint(), other.Fingerprint(), "another caller")
	other = base
	other.Target = "/look/2?a=b"
	assert.NotEqual(t, base.Fingerprint(), other.Fingerprint())
	other = base
	other.Body = []byte("body")
	assert.NotEqual(t, base.Fingerprint(), other.Fingerprint())
}

func TestACallerThatLeavesEndsItsRun(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourMute)
	url := serve(t, f)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Host = "board.example"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Model", "m")
	time.AfterFunc(50*time.Millisecond, cancel)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	assert.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.open == 0
	}, 400*time.Millisecond, time.Millisecond)
	assert.Equal(t, 1, f.runs())
}
