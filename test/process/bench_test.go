// Package process proves promises with real processes: chiverampd on loopback,
// stand-ins in place of the platform, engines and services.
package process

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/certs"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
	"github.com/chiveramp/chiveramp/internal/standin/service"
	"github.com/chiveramp/chiveramp/internal/switches"
	"github.com/chiveramp/chiveramp/pkg/config"
)

const (
	token   = "process-test-token"
	patient = 20 * time.Second
)

// daemon is the path of the binary under test.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chiveramp")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "chiverampd")
	build := exec.Command("go", "build", "-race", "-tags", "proofs", "-o", daemon, "github.com/chiveramp/chiveramp/cmd/chiverampd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// bench is a small deployment.
type bench struct {
	t        *testing.T
	platform *standin.Server
	address  string
	services []string
	nodes    []*instance
	engines  []*engine.Server
	slots    int                // requests in flight at one endpoint, the default when zero
	trace    string             // where spans go, nowhere when empty
	off      switches.Mechanism // turned off in instances started from now on
	orders   *service.Server
	operator config.TLS // what operators show, no TLS when empty
}

// memberRow is a row of the platform's list.
type memberRow = standin.Member

// instance is one chiverampd process.
type instance struct {
	name, dc, region                string
	caller, peer, operator, metrics string
	advertise                       string // where others reach it
	platform                        string // where it reaches the platform
	peerTLS, operatorTLS            config.TLS
	client                          *operator.Client
	process                         *exec.Cmd
	log                             *lines
	ended                           chan struct{}
}

// lines is a log that can be read while it is written.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newBench(t *testing.T, services ...string) *bench {
	t.Helper()
	server := standin.NewServer()
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	t.Parallel()
	return &bench{t: t, platform: server, address: web.URL, services: services}
}

// engine starts a model engine and lists it.
func (b *bench) engine(name, service, region, dc string, opts ...engine.Option) *engine.Server {
	b.t.Helper()
	e := engine.New(append([]engine.Option{engine.WithName(name)}, opts...)...)
	require.NoError(b.t, e.Start(b.t.Context(), "127.0.0.1:0"))
	b.t.Cleanup(func() { _ = e.Close() })
	b.engines = append(b.engines, e)
	b.list(service, name, e.Address(), region, dc, platform.MemberLive)
	return e
}

// service starts a plain service and lists it.
func (b *bench) service(name, region, dc string) *service.Server {
	b.t.Helper()
	s := service.New(name)
	require.NoError(b.t, s.Start(b.t.Context(), "127.0.0.1:0"))
	b.t.Cleanup(func() { _ = s.Close() })
	b.list(name, name+"-"+dc, s.Address(), region, dc, platform.MemberLive)
	return s
}

func (b *bench) list(service, name, address, region, dc string, state platform.MemberState) {
	b.platform.SetMember(standin.Member{
		Service: service, Name: name, Address: address, Region: region, DataCentre: dc,
		Incarnation: "1", State: string(state),
	})
}

// add starts one instance.
func (b *bench) add(name, region, dc string) *instance {
	b.t.Helper()
	n := b.plan(name, region, dc)
	b.enter(n)
	return n
}

// plan returns an instance that is not started yet.
func (b *bench) plan(name, region, dc string) *instance {
	b.t.Helper()
	n := &instance{
		name: name, region: region, dc: dc, platform: b.address,
		caller: free(b.t), peer: free(b.t), operator: free(b.t), metrics: free(b.t),
	}
	n.advertise = n.peer
	return n
}

// enter lists and starts a planned instance.
func (b *bench) enter(n *instance) {
	b.t.Helper()
	b.list("chiveramp", n.name, n.advertise, n.region, n.dc, platform.MemberLive)
	b.start(n)
	b.nodes = append(b.nodes, n)
}

func (b *bench) start(n *instance) {
	b.t.Helper()
	file := filepath.Join(b.t.TempDir(), n.name+".ini")
	require.NoError(b.t, os.WriteFile(file, []byte(b.settings(n)), 0o600))
	n.log, n.ended = &lines{}, make(chan struct{})
	n.process = exec.Command(daemon, "--config", file)
	n.process.Stderr = n.log
	n.process.Env = append(os.Environ(), "CHIVERAMP_OFF="+string(b.off))
	require.NoError(b.t, n.process.Start())
	process, ended := n.process, n.ended
	go func() { _ = process.Wait(); close(ended) }()
	b.t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
		if b.t.Failed() {
			b.t.Logf("log of %s:\n%s", n.name, n.log)
		}
		require.NotContains(b.t, n.log.String(), "DATA RACE")
	})
}

func (b *bench) tracing() string {
	if b.trace == "" {
		return ""
	}
	return "[trace]\nendpoint = " + b.trace + "\n"
}

func (b *bench) endpoint() string {
	if b.slots == 0 {
		return ""
	}
	return fmt.Sprintf("[endpoint]\nslots = %d\n", b.slots)
}

func (b *bench) settings(n *instance) string {
	var peers []string
	for _, p := range b.nodes {
		peers = append(peers, p.advertise)
	}
	return fmt.Sprintf(`[instance]
name = %s
region = %s
datacentre = %s
[caller]
listen = %s
keep = 1s
[peer]
listen = %s
advertise = %s
beat = 200ms
seeds = %s
%s[operator]
listen = %s
token = %s
%s[platform]
address = %s
endpoints = %s
timeout = 1s
lease = 2s
[metrics]
listen = %s
[limits]
drain = 10s
[log]
level = debug
%s`, n.name, n.region, n.dc, n.caller, n.peer, n.advertise, strings.Join(peers, ","), secured(n.peerTLS), n.operator, token, secured(n.operatorTLS),
		n.platform, strings.Join(b.services, ","), n.metrics, b.tracing()+b.endpoint())
}

// secured returns the lines of a section that turn TLS on.
func secured(t config.TLS) string {
	if !t.Enabled() {
		return ""
	}
	return fmt.Sprintf("cert = %s\nkey = %s\nca = %s\n", t.Cert, t.Key, t.CA)
}

// port is the last port given out. All stand below the range from which the
// system takes ports for outgoing connections.
var port atomic.Int32

const firstPort = 12000

func free(t *testing.T) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+port.Add(1))
		l, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, l.Close())
			return address
		}
	}
}

// ready waits until all instances are ready and see each other and the endpoints.
func (b *bench) ready() {
	b.t.Helper()
	for _, n := range b.nodes {
		until := time.Now().Add(patient)
		for !b.status(n, len(b.nodes)) {
			if time.Now().After(until) {
				status, err := b.operators(n).Status(b.t.Context())
				require.Fail(b.t, "not ready: "+n.name, "%+v %v", status, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (b *bench) status(n *instance, peers int) bool {
	response, err := http.Get("http://" + n.metrics + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	status, err := b.operators(n).Status(b.t.Context())
	if err != nil {
		return false
	}
	live := 0
	for _, i := range status.Instances {
		if i.State == operator.StateReady {
			live++
		}
	}
	for _, e := range status.Endpoints {
		if e.State != operator.StateReady {
			return false
		}
	}
	return live >= peers && len(status.Degraded) == 0
}

func (b *bench) operators(n *instance) *operator.Client {
	if n.client == nil {
		options := []operator.ClientOption{operator.WithBearerToken(token)}
		if settings, err := certs.Client(b.operator); err == nil && settings != nil {
			options = append(options, operator.WithTLS(settings))
		}
		n.client = operator.NewClient([]string{n.operator}, options...)
		b.t.Cleanup(n.client.Close)
	}
	return n.client
}

// apply puts a document in force everywhere.
func (b *bench) apply(n *instance, expect uint64, text string) operator.ApplyResult {
	b.t.Helper()
	b.eventually("operators' side of "+n.name, func() bool {
		_, err := b.operators(n).Status(b.t.Context())
		return err == nil
	})
	result, err := b.operators(n).Apply(b.t.Context(), operator.Edit{Expect: expect, Author: "test", Text: text})
	require.NoError(b.t, err)
	return result
}

func (b *bench) eventually(what string, done func() bool) {
	b.t.Helper()
	until := time.Now().Add(patient)
	for !done() {
		if time.Now().After(until) {
			require.Fail(b.t, "not in time: "+what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	outcome string
}

func (r reply) code() string {
	var problem struct {
		Error struct{ Code string }
	}
	_ = json.Unmarshal(r.body, &problem)
	return problem.Error.Code
}

func decode(r io.Reader, to any) error { return json.NewDecoder(r).Decode(to) }

// send posts one request to an instance and reads the answer to its end.
func send(ctx context.Context, address, path, body string, headers ...string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	r := reply{status: response.StatusCode, header: response.Header, body: text.Bytes(), outcome: response.Header.Get("Chiveramp-Outcome")}
	if r.outcome == "" {
		r.outcome = response.Trailer.Get("Chiveramp-Outcome")
	}
	return r, err
}

func chatBody(model, prompt string, stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, prompt)
}
