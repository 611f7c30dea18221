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

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// fakeFleet chooses the runners in their order, skipping those already tried.
type fakeFleet struct {
	fakeGuard
	runners     []*standin.Runner
	software    []fleet.Software // of the runners, none if nil
	route       *catalog.Route
	outdated    bool
	limited     bool // the endpoints have asked for a limit
	retryBudget int
	maxBody     int // of a request, in bytes, 1 KiB if it is less
	err         error
	wait        time.Duration

	mu                               sync.Mutex
	open, answered, failed, requests int
	interrupted                      []suspect.Identity
	completed                        []suspect.Identity
	admissionWait                    time.Duration
	admissionRefused                 bool
	admissions, admitFirst           int // requests for admission, and how many are granted despite admissionRefused
	random                           float64
	limits                           []recordedLimit
	gone                             []fleet.Endpoint
	spared                           []time.Duration
	streams                          []origin.Stream
	replies                          []gateway.Admission // to questions of a service that queues, the last one repeated
	questions                        []question
	withdrawn                        []fleet.Endpoint
	loadsAdapter, adapterStalls      bool
	prefill                          time.Duration          // of each prompt at an endpoint
	lostFrom                         map[fleet.Endpoint]int // the check from which on an endpoint can't take requests
	targetChecks                     map[fleet.Endpoint]int
	shutdown                         shutdown.Plan // empty if the instance isn't shutting down
}

type question struct {
	endpoint fleet.Endpoint
	gateway.Question
}

func (f *fakeFleet) Route(host, _ string) (*catalog.Route, int64, error) {
	if host != "board.example" {
		return nil, 3, gateway.ErrNoRoute
	}
	if f.outdated {
		return nil, 3, gateway.ErrOutdated
	}
	if f.route == nil {
		return nil, 0, gateway.ErrNoCatalog
	}
	return f.route, 3, nil
}

func (f *fakeFleet) Workspace(*catalog.Route, int64, credential.Digest) (*catalog.Workspace, time.Duration, error) {
	return nil, 0, nil
}

func (f *fakeFleet) Charge(context.Context, *catalog.Workspace, float64) (allotment.Receipt, time.Duration, error) {
	return allotment.Receipt{}, 0, nil
}

func (f *fakeFleet) FairLevel(level int) int { return level }

func (f *fakeFleet) RecordService(int, bool) {}

func (f *fakeFleet) Refund(allotment.Receipt) {}

func (f *fakeFleet) KeyValid(credential.Digest, string) error { return nil }

func (f *fakeFleet) Choose(a *balance.Request) (gateway.Target, error) {
	if f.err != nil {
		return gateway.Target{Wait: f.wait}, f.err
	}
	n, software := len(a.Exclude), fleet.Software("")
	for ; n < len(f.software) && a.Software != nil && f.software[n] != *a.Software; n++ {
		a.Exclude = append(a.Exclude, fleet.Endpoint(fmt.Sprintf("i-%d", n)))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for n < len(f.runners) && f.lost(fleet.Endpoint(fmt.Sprintf("i-%d", n))) {
		n++
	}
	if n >= len(f.runners) {
		return gateway.Target{}, gateway.ErrNoEndpoint
	}
	if f.software != nil {
		software = f.software[n]
	}
	f.open++
	return gateway.Target{Software: software, ID: fleet.Endpoint(fmt.Sprintf("i-%d", n)), Address: f.runners[n].Address(), Limited: f.limited, LoadAdapter: f.loadsAdapter, PendingPrefill: f.prefill}, nil
}

func (f *fakeFleet) CheckTarget(t gateway.Target, _ fleet.Model) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targetChecks == nil {
		f.targetChecks = make(map[fleet.Endpoint]int)
	}
	f.targetChecks[t.ID]++
	if f.lost(t.ID) {
		return gateway.ErrTargetLost
	}
	return nil
}

func (f *fakeFleet) lost(id fleet.Endpoint) bool {
	from := f.lostFrom[id]
	return from > 0 && f.targetChecks[id] >= from
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

func (f *fakeFleet) AnswerInterrupted(_ gateway.Target, p suspect.Identity, _ time.Time, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupted = append(f.interrupted, p)
}

func (f *fakeFleet) AnswerCompleted(p suspect.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed = append(f.completed, p)
}

func (f *fakeFleet) StreamBegan(_ context.Context, s origin.Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = append(f.streams, s)
}

func (f *fakeFleet) Origin(_ context.Context, _ catalog.Service, id string) (fleet.Software, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if s.ID == id {
			return s.Software, nil
		}
	}
	if len(f.software) > 0 {
		return "", gateway.ErrUnknownOrigin
	}
	return "", nil // all endpoints have the same version
}

func (f *fakeFleet) HasAlternative(a *balance.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := len(a.Exclude); n < len(f.runners); n++ {
		if f.lost(fleet.Endpoint(fmt.Sprintf("i-%d", n))) {
			continue
		}
		if f.software == nil || a.Software == nil || f.software[n] == *a.Software {
			return true
		}
	}
	return false
}

func (f *fakeFleet) Gone(t gateway.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = append(f.gone, t.ID)
}

func (f *fakeFleet) Spare(_ gateway.Target, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spared = append(f.spared, wait)
}

func (f *fakeFleet) CountRequest(*balance.Request, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
}

func (f *fakeFleet) TakeRetry(catalog.Service) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget--
	return f.retryBudget >= 0
}

func (f *fakeFleet) Ensure(ctx context.Context, _ gateway.Target, _ fleet.Model, _ fleet.Adapter) error {
	if f.adapterStalls {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (f *fakeFleet) Queues(catalog.Service) bool { return f.replies != nil }

func (f *fakeFleet) Withdraw(_ context.Context, t gateway.Target, _ uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = append(f.withdrawn, t.ID)
}

func (f *fakeFleet) Admit(_ context.Context, t gateway.Target, _ *balance.Request, q gateway.Question) gateway.Admission {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admissions++
	if f.replies != nil {
		f.questions = append(f.questions, question{t.ID, q})
		reply := f.replies[min(f.admissions, len(f.replies))-1]
		return reply
	}
	return gateway.Admission{Wait: f.admissionWait, Refused: f.admissionRefused && f.admissions > f.admitFirst}
}

func (f *fakeFleet) RecordLimit(t gateway.Target, limited bool, perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits = append(f.limits, recordedLimit{t.ID, limited, perSecond})
}

type recordedLimit struct {
	endpoint  fleet.Endpoint
	limited   bool
	perSecond float64
}

func (f *fakeFleet) Missing(gateway.Target, fleet.Model, fleet.Adapter) {}

func (f *fakeFleet) Leaving() (shutdown.Plan, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shutdown, !f.shutdown.Closes.IsZero()
}

func (f *fakeFleet) Limits() catalog.Limits {
	return catalog.Limits{MaxBodyBytes: max(f.maxBody, 1<<10)}
}

func newFleet(t *testing.T, kind catalog.Kind, behaviours ...standin.Behaviour) *fakeFleet {
	t.Helper()
	f := &fakeFleet{retryBudget: 9, route: &catalog.Route{
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
	g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now, gateway.WithTimers(timers),
		gateway.WithRandom(func() float64 { return f.random }))
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return server.URL
}

// reply is an answer as the caller receives it.
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

const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

func TestAnswers(t *testing.T) {
	const (
		none, refuse, cut                = standin.BehaviourNone, standin.BehaviourFull, standin.BehaviourCut
		drop, otherRequest               = standin.BehaviourLost, standin.BehaviourForeign
		fail, stalled                    = standin.BehaviourFail, standin.BehaviourMute
		kindSafe, kindUnsafe, kindStream = catalog.KindSafe, catalog.KindUnsafe, catalog.KindStream
	)
	tests := []struct {
		name         string
		kind         catalog.Kind
		runners      []standin.Behaviour
		budgetChange int
		notResumable bool // the stream can't be resumed
		status       int
		body         string
		runs         int
		broken       bool
	}{
		{name: "safe", kind: kindSafe, runners: []standin.Behaviour{none}, status: 200, body: "done r1", runs: 1},
		{name: "safe, refused by a full endpoint, then answered", kind: kindSafe, runners: []standin.Behaviour{refuse, none}, status: 200, body: "done r1", runs: 1},
		{name: "safe, failed, then answered", kind: kindSafe, runners: []standin.Behaviour{fail, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, failed twice", kind: kindSafe, runners: []standin.Behaviour{fail, fail, none}, status: 500, runs: 2},
		{name: "safe, answer lost, then answered", kind: kindSafe, runners: []standin.Behaviour{drop, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, answer to another request, then answered", kind: kindSafe, runners: []standin.Behaviour{otherRequest, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, no retry budget left", kind: kindSafe, runners: []standin.Behaviour{drop, none}, budgetChange: -9, status: 502, runs: 1},
		{name: "safe, all endpoints full", kind: kindSafe, runners: []standin.Behaviour{refuse, refuse}, status: 503},
		{name: "once", kind: kindUnsafe, runners: []standin.Behaviour{none}, status: 200, body: "done r1", runs: 1},
		{name: "once, refused: retried elsewhere", kind: kindUnsafe, runners: []standin.Behaviour{refuse, none}, status: 200, body: "done r1", runs: 1},
		{name: "once, answer lost: not retried", kind: kindUnsafe, runners: []standin.Behaviour{drop, none}, status: 502, runs: 1},
		{name: "once, answer to another request: not retried", kind: kindUnsafe, runners: []standin.Behaviour{otherRequest, none}, status: 502, runs: 1},
		{name: "once, failed: passed on", kind: kindUnsafe, runners: []standin.Behaviour{fail, none}, status: 500, runs: 1},
		{name: "once, stalled until the deadline", kind: kindUnsafe, runners: []standin.Behaviour{stalled, none}, status: 504, runs: 1},
		{name: "stream", kind: kindStream, runners: []standin.Behaviour{none}, status: 200, body: completeStream, runs: 1},
		{name: "stream, cut and resumed", kind: kindStream, runners: []standin.Behaviour{cut, none}, status: 200, body: completeStream, runs: 2},
		{name: "stream, cut twice", kind: kindStream, runners: []standin.Behaviour{cut, cut, none}, status: 200, runs: 2, broken: true},
		{name: "stream, cut and not resumable", kind: kindStream, runners: []standin.Behaviour{cut, none}, notResumable: true, status: 200, runs: 1, broken: true},
		{name: "stream, lost before its first event", kind: kindStream, runners: []standin.Behaviour{drop, none}, status: 200, body: completeStream, runs: 2},
		{name: "safe, stalled: retried elsewhere", kind: kindSafe, runners: []standin.Behaviour{stalled, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, stalled twice", kind: kindSafe, runners: []standin.Behaviour{stalled, stalled, none}, status: 504, runs: 2},
		{name: "stream, slow and no other endpoint: waits", kind: kindStream, runners: []standin.Behaviour{standin.BehaviourLate}, status: 200, body: completeStream, runs: 1},
		{name: "stream, slow and no retry budget: waits", kind: kindStream, runners: []standin.Behaviour{standin.BehaviourLate, none}, budgetChange: -9, status: 200, body: completeStream, runs: 1},
		{name: "stream, stalled: retried elsewhere", kind: kindStream, runners: []standin.Behaviour{stalled, none}, status: 200, body: completeStream, runs: 2},
		{name: "stream, lost and not resumable", kind: kindStream, runners: []standin.Behaviour{drop, none}, notResumable: true, status: 502, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.runners...)
			f.retryBudget += tt.budgetChange
			f.route.Resumable = tt.kind == kindStream && !tt.notResumable
			method, header := http.MethodPost, map[string]string{}
			if tt.kind == kindSafe {
				method = http.MethodGet
			}
			if tt.kind == kindStream {
				header["Model"] = "m"
			}
			answer, err := send(t, serve(t, f), method, header, "")
			assert.Equal(t, tt.status, answer.status)
			assert.Equal(t, tt.broken, err != nil, "a truncated answer must not look complete")
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
			}, time.Second, time.Millisecond, "each slot is released")
			assert.Equal(t, 1, f.requests)
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
	assert.Equal(t, "1.900", answer.header.Get("Retry-After"), "when the queued work should be done")
	f.route = nil
	answer, err = send(t, url, http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.status, "a missing configuration must not give 404")
	f.outdated = true
	answer, err = send(t, url, http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.NotEmpty(t, answer.header.Get("Retry-After"))
	assert.Equal(t, http.StatusServiceUnavailable, answer.status, "a route of a newer configuration must not give 404")
	assert.Zero(t, f.runs())
}

// Guards against poison requests that crash one endpoint after another: interrupted answers
// are recorded by the request's fingerprint, whatever the id of the caller's attempt, and a
// request that has crashed endpoints is refused.
func TestRequestsThatCrashEndpoints(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourLost, standin.BehaviourNone)
	url := serve(t, f)
	for _, id := range []string{"r1", "r2"} {
		_, err := send(t, url, http.MethodPost, map[string]string{"Request-Id": id}, "body")
		require.NoError(t, err)
	}
	_, err := send(t, url, http.MethodPost, nil, "another body")
	require.NoError(t, err)
	require.Len(t, f.interrupted, 3)
	assert.Equal(t, f.interrupted[0], f.interrupted[1])
	assert.NotEqual(t, f.interrupted[0], f.interrupted[2])
	assert.Equal(t, f.interrupted, f.completed, "each was answered by the second endpoint")
	runs := f.runs()
	f.refuseChecks, f.refusal = 1, gateway.ErrPoison
	answer, err := send(t, url, http.MethodPost, nil, "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, answer.status)
	assert.Equal(t, runs, f.runs())
	assert.Empty(t, answer.header.Get("Retry-After"))
}

// An answer with a failure may come before the run, so it doesn't clear a request that has crashed
// endpoints.
func TestFailuresDoNotClearCrashingRequests(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.KindSafe, catalog.KindUnsafe} {
		t.Run(string(kind), func(t *testing.T) {
			f := newFleet(t, kind, standin.BehaviourFail, standin.BehaviourFail)
			answer, err := send(t, serve(t, f), http.MethodPost, nil, "body")
			require.NoError(t, err)
			assert.Equal(t, http.StatusInternalServerError, answer.status)
			assert.Empty(t, f.completed)
		})
	}
}

// A request is the same when it comes again; one of another caller or with another query asks for
// the same resource.
func TestIdentitiesDistinguishRequests(t *testing.T) {
	base := gateway.Request{ID: "1", Caller: "192.0.2.1", Method: "GET", Host: "board.example", Target: "/look/1?a=b", Path: "/look/1"}
	tests := []struct {
		name              string
		change            func(r *gateway.Request)
		request, resource bool // whether they are the same
	}{
		{name: "another attempt", change: func(r *gateway.Request) { r.ID = "2" }, request: true, resource: true},
		{name: "another caller", change: func(r *gateway.Request) { r.Caller = "192.0.2.2" }, resource: true},
		{name: "another query", change: func(r *gateway.Request) { r.Target = "/look/1?a=c" }, resource: true},
		{name: "another path", change: func(r *gateway.Request) { r.Target, r.Path = "/look/2?a=b", "/look/2" }},
		{name: "another host", change: func(r *gateway.Request) { r.Host = "desk.example" }},
		{name: "another method", change: func(r *gateway.Request) { r.Method = "POST" }},
		{name: "another body", change: func(r *gateway.Request) { r.Body = []byte("body") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := base
			tt.change(&other)
			assert.Equal(t, tt.request, base.Identity().Request == other.Identity().Request)
			assert.Equal(t, tt.resource, base.Identity().Resource == other.Identity().Resource)
		})
	}
}

func TestCallerDisconnectEndsAttempt(t *testing.T) {
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

// Prompts wait for their place in the endpoint's schedule. One that would miss its target
// is refused with the time at which to come back, and has not run.
func TestPromptsWaitForAdmission(t *testing.T) {
	tests := []struct {
		name           string
		gap            time.Duration
		wait           time.Duration
		refused        bool
		leaveAfter     time.Duration
		wantStatus     int
		wantRuns       int
		wantRetryAfter bool
	}{
		{name: "at once", gap: 150 * time.Millisecond, wantStatus: http.StatusOK, wantRuns: 1},
		{name: "after a wait", gap: 150 * time.Millisecond, wait: 60 * time.Millisecond, wantStatus: http.StatusOK, wantRuns: 1},
		{name: "too late everywhere", gap: 150 * time.Millisecond, wait: time.Second, refused: true, wantStatus: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "too late everywhere, long pauses", gap: time.Second, wait: time.Second, refused: true, wantStatus: http.StatusServiceUnavailable, wantRetryAfter: true},
		{name: "pauses may be long", gap: time.Second, wait: time.Hour, wantStatus: http.StatusOK, wantRuns: 1},
		{name: "the caller leaves meanwhile", gap: 150 * time.Millisecond, wait: 300 * time.Millisecond, leaveAfter: 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
			f.route.MaxEventGap, f.admissionWait, f.admissionRefused = tt.gap, tt.wait, tt.refused
			ctx := t.Context()
			if tt.leaveAfter > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, tt.leaveAfter)
				defer cancel()
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, serve(t, f)+"/x", strings.NewReader("prompt"))
			require.NoError(t, err)
			request.Host = "board.example"
			for name, value := range map[string]string{"Request-Id": "r1", "Model": "m"} {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			if tt.leaveAfter > 0 {
				require.Error(t, err)
				assert.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.open == 0 }, time.Second, 10*time.Millisecond)
				assert.Zero(t, f.runs(), "nothing is sent for a caller that is gone")
				return
			}
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, tt.wantStatus, response.StatusCode)
			assert.Equal(t, tt.wantRuns, f.runs())
			assert.Equal(t, tt.wantRetryAfter, response.Header.Get("Retry-After") != "")
		})
	}
}

// Callers that are refused together in a flood are told to come back at different times, not
// before the queued work should be done and not later than the longest delay.
func TestRefusedCallersReturnSpreadOut(t *testing.T) {
	tests := []struct {
		name   string
		random float64
		wait   time.Duration
		want   string
	}{
		{name: "first", wait: time.Second, want: "0.900"},
		{name: "in the middle", random: 0.5, wait: time.Second, want: "1.575"},
		{name: "last", random: 0.999, wait: time.Second, want: "2.249"},
		{name: "a short wait", random: 0.5, wait: 10 * time.Millisecond, want: "0.875"},
		{name: "a long wait", random: 0.5, wait: time.Minute, want: "3.000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
			f.err, f.wait, f.random = gateway.ErrOverloaded, tt.wait, tt.random
			r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, r.status)
			assert.Equal(t, tt.want, r.header.Get("Retry-After"))
		})
	}
}

// A stream that broke off goes on at another endpoint, however long the wait there: its target
// has passed, and it can't be told to come back.
func TestInterruptedStreamNeedsNoAdmission(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourCut, standin.BehaviourNone)
	f.admissionRefused, f.admitFirst, f.admissionWait = true, 1, time.Hour
	r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, r.status)
	assert.Equal(t, 2, f.runs())
	assert.Equal(t, 2, f.admissions)
}

// What an endpoint says of its limit is recorded, also that it no longer names one; requests to a
// plain service that has named one are admitted before they are sent.
func TestNamedLimits(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourNone)
	url := serve(t, f)
	get := func() int {
		answer, err := send(t, url, http.MethodGet, nil, "")
		require.NoError(t, err)
		return answer.status
	}
	assert.Equal(t, http.StatusOK, get())
	assert.Empty(t, f.limits)
	f.runners[0].SetLimit("2.5")
	get()
	require.Len(t, f.limits, 1)
	assert.True(t, f.limits[0].limited)
	assert.InDelta(t, 2.5, f.limits[0].perSecond, 0)
	assert.Zero(t, f.admissions)
	f.limited = true
	f.runners[0].SetLimit("")
	f.runners[0].SetBehaviour(standin.BehaviourFail)
	get()
	assert.Len(t, f.limits, 1, "a failure says nothing of it")
	f.runners[0].SetBehaviour(standin.BehaviourNone)
	get()
	assert.Equal(t, 2, f.admissions)
	assert.False(t, f.limits[1].limited)
	f.admissionRefused, f.admissionWait = true, time.Second
	runs := f.runs()
	assert.Equal(t, http.StatusServiceUnavailable, get())
	assert.Equal(t, runs, f.runs(), "not run")
}

// An answer that says that its endpoint leaves is passed on, and the endpoint is recorded as leaving.
func TestAnswerOfALeavingEndpoint(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourNone)
	url := serve(t, f)
	for _, leaving := range []bool{false, true} {
		if leaving {
			f.runners[0].Leave()
		}
		answer, err := send(t, url, http.MethodGet, nil, "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.status)
		assert.Equal(t, leaving, len(f.gone) == 1)
	}
}

// An endpoint that refuses a request and asks to be spared is, and the request goes to another.
func TestRefusalThatAsksToBeSpared(t *testing.T) {
	f := newFleet(t, catalog.KindUnsafe, standin.BehaviourFull, standin.BehaviourNone)
	f.route.Attempts = 2
	f.runners[0].SetRetryAfter("1.5")
	answer, err := send(t, serve(t, f), http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status)
	assert.Equal(t, []time.Duration{1500 * time.Millisecond}, f.spared)
}
