package direct

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/telemetry"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

const (
	knownKey   = "asnmgkcuyj8pjbvk9m68"
	otherKey   = "k7b2ex5wa5xwyhks8nbk"
	strangeKey = "zzz0unknownkey0zzz"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// keyedInstance is a gateway on the state of one instance, with one endpoint.
type keyedInstance struct {
	clock    *testClock
	state    *state
	runner   *standin.Runner
	url      string
	log      *lockedBuffer
	registry metrics.Registry
}

// stateFleet is a gatewayFleet without the tasks of a node.
type stateFleet struct{ gatewayFleet }

func (f stateFleet) PromptInterrupted(t gateway.Target, a *balance.Request, sentAt time.Time) {
	f.state.PromptInterrupted(t, a, sentAt)
}

func newKeyedInstance(t *testing.T, configuration []byte) *keyedInstance {
	t.Helper()
	k := &keyedInstance{clock: &testClock{}, runner: standin.NewRunner("p", "s", "a", 2), log: &lockedBuffer{}, registry: metrics.NewRegistry()}
	t.Cleanup(k.runner.Close)
	k.state = newTestState(k.clock)
	k.state.logger = log.NewLogfmtLogger(k.log)
	k.state.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 2, Entry: roster.Entry{ID: "p", Service: "s", Slots: 4, Revision: 2, Address: k.runner.Address()}}}, 2, true)
	if configuration != nil {
		k.apply(t, configuration)
	}
	g := gateway.New(k.state.place, platform.CallerCodec{}, platform.NewEndpointClient(), stateFleet{gatewayFleet{state: k.state}}, time.Now,
		gateway.WithLogger(k.state.logger), gateway.WithStats(newStats(k.registry)))
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	k.url = server.URL
	return k
}

func (k *keyedInstance) apply(t *testing.T, configuration []byte) {
	t.Helper()
	c, err := platform.DecodeCatalog(configuration)
	require.NoError(t, err)
	k.state.applyCatalog(c)
}

// send sends a request and returns the status of its answer and its Retry-After.
func (k *keyedInstance) send(t *testing.T, path string, header http.Header) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, k.url+path, http.NoBody)
	require.NoError(t, err)
	request.Host = "board.example"
	maps.Copy(request.Header, header)
	request.Header.Set("Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// A key that reached an endpoint, a log line, a span, a metric or a heartbeat would be known to
// others than its holder and the operators.
func TestKeyLeavesTheGatewayNowhere(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSpanProcessor(spans)))
	t.Cleanup(func() { otel.SetTracerProvider(previous) })
	k := newKeyedInstance(t, standin.KeyedConfiguration(3, knownKey, otherKey))
	for _, path := range []string{"/closed/x", "/open/x", "/none/x"} {
		for _, h := range []http.Header{
			{"Key": {knownKey}},
			{"Key": {knownKey}, "Tenant": {"another"}},
			{"Key": {knownKey}, "Connection": {"Key, Tenant"}},
			{"Key": {strangeKey}},
			{"Key": {knownKey, otherKey}},
			{"Key": {knownKey + " " + otherKey}},
			{"Key": {strings.Repeat(strangeKey, 100)}},
			{"Key": {knownKey}, "Last-Event-Id": {"1", "2"}},
		} {
			_, _ = k.send(t, path, h)
		}
	}
	k.runner.SetBehaviour(standin.BehaviourLost)
	_, _ = k.send(t, "/closed/x", http.Header{"Key": {knownKey}})
	_, heartbeat := k.state.heartbeat()
	packed, err := gossip.Pack(heartbeat)
	require.NoError(t, err)
	unpacked, err := packed.Unpack()
	require.NoError(t, err)
	metricsPage := httptest.NewRecorder()
	telemetry.MetricsHandler(k.registry).ServeHTTP(metricsPage, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	places := map[string]string{"log": k.log.String(), "heartbeat": fmt.Sprintf("%+v", unpacked), "metrics": metricsPage.Body.String()}
	for _, s := range spans.Ended() {
		places["spans"] += fmt.Sprintf("%s %+v %+v %+v\n", s.Name(), s.Attributes(), s.Events(), s.Status())
	}
	for _, r := range k.runner.Runs() {
		places["endpoint"] += fmt.Sprintf("%+v\n", r)
	}
	for place, text := range places {
		require.NotEmpty(t, text, place)
		for _, key := range []string{knownKey, otherKey, strangeKey} {
			assert.NotContains(t, text, key, place)
		}
	}
}

// A request must run under its key's workspace, whatever its caller says, and be refused for good
// only if no configuration in force can allow it.
func TestKeysAreChecked(t *testing.T) {
	const newer = 4 // a version that a peer announces
	tests := []struct {
		name          string
		configuration []byte
		announced     int64
		unconfirmed   bool
		path          string
		header        http.Header
		status        int
		tenant        []string
		priority      string
	}{
		{name: "known", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {knownKey}}, status: 200, tenant: []string{"hule930"}, priority: "3"},
		{name: "forged workspace", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {knownKey}, "Tenant": {"a", "b"}}, status: 200, tenant: []string{"hule930"}, priority: "3"},
		{name: "unknown", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {strangeKey}}, status: 401},
		{name: "prefix", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {knownKey[:19]}}, status: 401},
		{name: "missing", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", status: 401},
		{name: "doubled", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {knownKey, knownKey}}, status: 400},
		{name: "oversized", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {strings.Repeat(knownKey, 20)}}, status: 400},
		{name: "with a scheme", configuration: standin.KeyedConfiguration(3, knownKey), path: "/closed/x", header: http.Header{"Key": {"Bearer " + knownKey}}, status: 400},
		{name: "open route, no key", configuration: standin.KeyedConfiguration(3, knownKey), path: "/open/x", status: 200, priority: "6"},
		{name: "open route, unknown key", configuration: standin.KeyedConfiguration(3, knownKey), path: "/open/x", header: http.Header{"Key": {strangeKey}, "Tenant": {"hule930"}}, status: 200, priority: "6"},
		{name: "no workspaces", configuration: bytes.ReplaceAll(standin.KeyedConfiguration(3), []byte(`"tenants"`), []byte(`"none"`)), path: "/closed/x", header: http.Header{"Key": {knownKey}, "Tenant": {"hule930"}}, status: 200, priority: "6"},
		{name: "no configuration", path: "/closed/x", header: http.Header{"Key": {knownKey}}, status: 503},
		{name: "unknown, newer configuration announced", configuration: standin.KeyedConfiguration(3, knownKey), announced: newer, path: "/closed/x", header: http.Header{"Key": {otherKey}}, status: 503},
		{name: "missing, newer configuration announced", configuration: standin.KeyedConfiguration(3, knownKey), announced: newer, path: "/closed/x", status: 503},
		{name: "known, newer configuration announced", configuration: standin.KeyedConfiguration(3, knownKey), announced: newer, path: "/closed/x", header: http.Header{"Key": {knownKey}}, status: 200, tenant: []string{"hule930"}, priority: "3"},
		{name: "unknown, configuration unconfirmed", configuration: standin.KeyedConfiguration(3, knownKey), unconfirmed: true, path: "/closed/x", header: http.Header{"Key": {otherKey}}, status: 503},
		{name: "known, configuration unconfirmed, revocation not strict", configuration: standin.KeyedConfiguration(3, knownKey), unconfirmed: true, path: "/closed/x", header: http.Header{"Key": {knownKey}}, status: 200, tenant: []string{"hule930"}, priority: "3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newKeyedInstance(t, tt.configuration)
			if !tt.unconfirmed {
				k.state.confirmCatalog(3, k.clock.uptime())
			}
			k.state.observeCatalogVersion(k.clock.now(), tt.announced)
			status, retryAfter := k.send(t, tt.path, tt.header)
			assert.Equal(t, tt.status, status)
			assert.Equal(t, status == 503, retryAfter != "", "Retry-After")
			runs := k.runner.Runs()
			if tt.status != 200 {
				assert.Empty(t, runs)
				return
			}
			require.Len(t, runs, 1)
			assert.Equal(t, tt.tenant, runs[0].Header["Tenant"])
			assert.Equal(t, tt.priority, runs[0].Priority())
			assert.Empty(t, runs[0].Header["Key"])
		})
	}
}

// An instance that can't tell whether a key was revoked must not serve it: it may have been cut
// off, or frozen while the key was revoked.
func TestUnconfirmedInstanceRefusesKeys(t *testing.T) {
	k := newKeyedInstance(t, standin.KeyedConfiguration(3, knownKey))
	k.state.setRevocation(true, 5*time.Second)
	send := func() int {
		status, _ := k.send(t, "/closed/x", http.Header{"Key": {knownKey}})
		return status
	}
	assert.Equal(t, 503, send(), "nothing has confirmed the configuration yet")
	k.state.confirmCatalog(3, k.clock.uptime())
	assert.Equal(t, 200, send())
	k.clock.elapsed += 2100 * time.Millisecond
	status, _ := k.send(t, "/closed/x", http.Header{"Key": {strangeKey}})
	assert.Equal(t, 503, status, "the key may have been added meanwhile")
	k.clock.elapsed += 2700 * time.Millisecond
	assert.Equal(t, 200, send(), "cut off for less")
	k.clock.elapsed += 200 * time.Millisecond
	assert.Equal(t, 503, send(), "cut off, or frozen meanwhile")
	assert.Contains(t, k.log.String(), `step="refuse key" id=r1 status=503 route=closed version=3 workspace=hule930 confirmed=5s given=true`)
	k.state.confirmCatalog(4, k.clock.uptime())
	assert.Equal(t, 503, send(), "the store has a newer configuration")
	status, _ = k.send(t, "/open/x", nil)
	assert.Equal(t, 200, status, "an open route")
	k.apply(t, standin.KeyedConfiguration(4, otherKey))
	assert.Equal(t, 401, send(), "the key is gone for certain")
}

// A peer's word must not look younger than it is, however long the heartbeat or its answer was
// on the way: first heartbeats and those of a stalled connection have nothing to compare with.
func TestDelayedAnswersOfPeersDontConfirm(t *testing.T) {
	w, p := &testClock{}, &testClock{elapsed: 50 * time.Minute} // clocks of two machines
	one, two := newTestState(w), newTestState(p)
	c, err := platform.DecodeCatalog(standin.KeyedConfiguration(3, knownKey))
	require.NoError(t, err)
	one.applyCatalog(c)
	two.applyCatalog(c)
	advance := func(d time.Duration) { w.elapsed += d; p.elapsed += d }
	one.receiveAck(w.uptime(), two.ack(1))
	_, ok := one.confirmedAge()
	assert.False(t, ok, "the peer has no evidence either")
	two.confirmCatalog(3, p.uptime()-time.Second)
	sent := w.uptime()
	advance(time.Second) // on the way there
	answer := two.ack(1)
	advance(2 * time.Second) // on the way back
	one.receiveAck(sent, answer)
	age, ok := one.confirmedAge()
	require.True(t, ok)
	assert.InDelta(t, 5*time.Second, age, float64(2*time.Millisecond), "1 s at the peer, 1 s there and 2 s back, and the way there once more")
	one.receiveAck(w.uptime(), &gossip.Ack{Catalog: 4, ConfirmedMs: 1})
	after, _ := one.confirmedAge()
	assert.Equal(t, age, after, "the peer has another configuration")
	_, _, err = one.Workspace(&c.Routes[0], 3, credential.DigestOf(strangeKey))
	require.Error(t, err)
	require.NotErrorIs(t, err, gateway.ErrUnknownKey, "a newer configuration is known")
}

// A watch proves less than its answer's arrival suggests.
func TestWatchesConfirmTheMomentOfTheirWait(t *testing.T) {
	const sent, wait = time.Minute, time.Second
	assert.Equal(t, sent+wait, watchedUntil(sent, wait, sent+1004*time.Millisecond, 0))
	assert.Equal(t, sent+wait, watchedUntil(sent, wait, sent+time.Minute, 0), "frozen, or on the way for long")
	assert.Equal(t, sent, watchedUntil(sent, wait, sent+999*time.Millisecond, 0), "answered early")
	assert.Equal(t, sent, watchedUntil(sent, wait, sent+1500*time.Millisecond, 1), "a change")
}

// Workspaces come and go over months; metrics must not grow with each.
func TestMetricsOfWorkspacesAreBounded(t *testing.T) {
	s := newStats(metrics.NewRegistry())
	for i := range 3 * maxCountedWorkspaces {
		s.Workspace(fmt.Sprint("w", i), 200)
		s.Workspace("w0", 503)
	}
	names := 0
	s.registry.Each(func(string, any) { names++ })
	assert.Equal(t, maxCountedWorkspaces+2, names)
}

// When the first configuration with workspaces comes, peers' word of it needs a moment; all
// instances of a fleet would ask the store meanwhile.
func TestFirstWorkspacesLeavePeersTimeToConfirm(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	assert.False(t, s.confirmationIsOld(), "no configuration")
	apply := func(text []byte) {
		c, err := platform.DecodeCatalog(text)
		require.NoError(t, err)
		s.applyCatalog(c)
	}
	apply([]byte(`{"version":1}`))
	s.confirmCatalog(1, w.uptime())
	w.elapsed += time.Minute
	assert.False(t, s.confirmationIsOld(), "no workspaces")
	apply(standin.KeyedConfiguration(2, knownKey))
	assert.False(t, s.confirmationIsOld(), "just now")
	w.elapsed += 2900 * time.Millisecond
	apply(standin.KeyedConfiguration(3, knownKey))
	assert.False(t, s.confirmationIsOld(), "soon after")
	w.elapsed += 200 * time.Millisecond
	assert.True(t, s.confirmationIsOld(), "peers have said nothing for long")
	s.confirmCatalog(3, w.uptime())
	assert.False(t, s.confirmationIsOld())
	w.elapsed += 3100 * time.Millisecond
	assert.True(t, s.confirmationIsOld())
}
