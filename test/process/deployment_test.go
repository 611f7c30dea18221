// Package process tests guarantees of the system with real processes: chiverampd on
// loopback, with stand-ins for the platform, the engines and the services.
package process

import (
	"bytes"
	"cmp"
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
	operatorToken = "process-test-token"
	waitTimeout   = 20 * time.Second
)

// daemonPath is the path of the chiverampd binary under test.
var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chiveramp")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "chiverampd")
	build := exec.Command("go", "build", "-race", "-tags", "proofs", "-o", daemonPath, "github.com/chiveramp/chiveramp/cmd/chiverampd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// deployment is a small set of instances, engines and services with a stand-in platform.
type deployment struct {
	t             *testing.T
	platform      *standin.Server
	address       string
	services      []string
	instances     []*instance
	engines       []*engine.Server
	slots         int                // requests in flight at one endpoint; zero means the default
	daemon        string             // path of the daemon's binary; empty means daemonPath
	traceEndpoint string             // OTLP endpoint for spans; empty turns tracing off
	drain         string             // limit on the shutdown of instances; empty means the default
	keep          string             // how long callers may keep addresses; empty means 1s
	disabled      switches.Mechanism // mechanism turned off in instances that are started later
	orders        *service.Server
	operatorTLS   config.TLS // client certificate of operators; empty means no TLS
}

// memberRow is a row of the platform's member list.
type memberRow = standin.Member

// instance is one chiverampd process.
type instance struct {
	name, dataCentre, region        string
	caller, peer, operator, metrics string // listen addresses
	advertise                       string // peer address given to other instances
	platform                        string // URL of the platform
	peerTLS, operatorTLS            config.TLS
	client                          *operator.Client
	process                         *exec.Cmd
	log                             *logBuffer
	exited                          chan struct{}
}

// logBuffer collects the log of a process and can be read while the process writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newDeployment(t *testing.T, services ...string) *deployment {
	t.Helper()
	t.Parallel()
	return newSerialDeployment(t, services...)
}

// newSerialDeployment returns a deployment for a test that runs beside no other one.
func newSerialDeployment(t *testing.T, services ...string) *deployment {
	t.Helper()
	server := standin.NewServer()
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return &deployment{t: t, platform: server, address: web.URL, services: services}
}

// addEngine starts a model engine and adds it to the platform's list.
func (dp *deployment) addEngine(name, service, region, dc string, opts ...engine.Option) *engine.Server {
	dp.t.Helper()
	e := engine.New(append([]engine.Option{engine.WithName(name)}, opts...)...)
	require.NoError(dp.t, e.Start(dp.t.Context(), "127.0.0.1:0"))
	dp.t.Cleanup(func() { _ = e.Close() })
	dp.engines = append(dp.engines, e)
	dp.setMember(service, name, e.Address(), region, dc, platform.MemberLive)
	return e
}

// addService starts a plain service and adds it to the platform's list.
func (dp *deployment) addService(name, region, dc string) *service.Server {
	dp.t.Helper()
	s := service.New(name)
	require.NoError(dp.t, s.Start(dp.t.Context(), "127.0.0.1:0"))
	dp.t.Cleanup(func() { _ = s.Close() })
	dp.setMember(name, name+"-"+dc, s.Address(), region, dc, platform.MemberLive)
	return s
}

func (dp *deployment) setMember(service, name, address, region, dc string, state platform.MemberState) {
	dp.platform.SetMember(standin.Member{
		Service: service, Name: name, Address: address, Region: region, DataCentre: dc,
		Incarnation: "1", State: string(state),
	})
}

// addInstance creates, lists and starts one instance.
func (dp *deployment) addInstance(name, region, dc string) *instance {
	dp.t.Helper()
	n := dp.newInstance(name, region, dc)
	dp.join(n)
	return n
}

// newInstance returns an instance with free listen addresses that is not started yet.
func (dp *deployment) newInstance(name, region, dc string) *instance {
	dp.t.Helper()
	n := &instance{
		name: name, region: region, dataCentre: dc, platform: dp.address,
		caller: freeAddress(dp.t), peer: freeAddress(dp.t), operator: freeAddress(dp.t), metrics: freeAddress(dp.t),
	}
	n.advertise = n.peer
	return n
}

// join adds an instance to the platform's list and starts it.
func (dp *deployment) join(n *instance) {
	dp.t.Helper()
	dp.setMember("chiveramp", n.name, n.advertise, n.region, n.dataCentre, platform.MemberLive)
	dp.start(n)
	dp.instances = append(dp.instances, n)
}

func (dp *deployment) start(n *instance) {
	dp.t.Helper()
	file := filepath.Join(dp.t.TempDir(), n.name+".ini")
	require.NoError(dp.t, os.WriteFile(file, []byte(dp.settings(n)), 0o600))
	n.log, n.exited = &logBuffer{}, make(chan struct{})
	n.process = exec.Command(cmp.Or(dp.daemon, daemonPath), "--config", file)
	n.process.Stderr = n.log
	n.process.Env = append(os.Environ(), "CHIVERAMP_OFF="+string(dp.disabled))
	require.NoError(dp.t, n.process.Start())
	process, exited := n.process, n.exited
	go func() { _ = process.Wait(); close(exited) }()
	dp.t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-exited
		if dp.t.Failed() {
			dp.t.Logf("log of %s:\n%s", n.name, n.log)
		}
		require.NotContains(dp.t, n.log.String(), "DATA RACE")
	})
}

func (dp *deployment) traceSettings() string {
	if dp.traceEndpoint == "" {
		return ""
	}
	return "[trace]\nendpoint = " + dp.traceEndpoint + "\n"
}

func (dp *deployment) endpointSettings() string {
	if dp.slots == 0 {
		return ""
	}
	return fmt.Sprintf("[endpoint]\nslots = %d\n", dp.slots)
}

func (dp *deployment) settings(n *instance) string {
	var peers []string
	for _, p := range dp.instances {
		peers = append(peers, p.advertise)
	}
	return fmt.Sprintf(`[instance]
name = %s
region = %s
datacentre = %s
[caller]
listen = %s
keep = %s
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
drain = %s
[log]
level = debug
%s`, n.name, n.region, n.dataCentre, n.caller, cmp.Or(dp.keep, "1s"), n.peer, n.advertise, strings.Join(peers, ","), tlsSettings(n.peerTLS), n.operator, operatorToken, tlsSettings(n.operatorTLS),
		n.platform, strings.Join(dp.services, ","), n.metrics, cmp.Or(dp.drain, "10s"), dp.traceSettings()+dp.endpointSettings())
}

// tlsSettings returns the settings of a section that turn TLS on.
func tlsSettings(t config.TLS) string {
	if !t.Enabled() {
		return ""
	}
	return fmt.Sprintf("cert = %s\nkey = %s\nca = %s\n", t.Cert, t.Key, t.CA)
}

// lastPort counts the listen ports that were tried, from firstPort up. All are below the
// ephemeral range, so that no outgoing connection takes one before its process listens.
var lastPort atomic.Int32

const firstPort = 12000

func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1))
		l, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, l.Close())
			return address
		}
	}
}

// waitReady waits until all instances are ready, see each other as ready and report every
// endpoint as ready.
func (dp *deployment) waitReady() {
	dp.t.Helper()
	for _, n := range dp.instances {
		until := time.Now().Add(waitTimeout)
		for !dp.isReady(n, len(dp.instances)) {
			if time.Now().After(until) {
				status, err := dp.operatorClient(n).Status(dp.t.Context())
				require.Fail(dp.t, "not ready: "+n.name, "%+v %v", status, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (dp *deployment) isReady(n *instance, peers int) bool {
	response, err := http.Get("http://" + n.metrics + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	status, err := dp.operatorClient(n).Status(dp.t.Context())
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

func (dp *deployment) operatorClient(n *instance) *operator.Client {
	if n.client == nil {
		options := []operator.ClientOption{operator.WithBearerToken(operatorToken)}
		if settings, err := certs.Client(dp.operatorTLS); err == nil && settings != nil {
			options = append(options, operator.WithTLS(settings))
		}
		n.client = operator.NewClient([]string{n.operator}, options...)
		dp.t.Cleanup(n.client.Close)
	}
	return n.client
}

// applyDocument waits for the operator API of an instance and applies a document through it.
func (dp *deployment) applyDocument(n *instance, expect uint64, text string) operator.ApplyResult {
	dp.t.Helper()
	dp.eventually("operator API of "+n.name, func() bool {
		_, err := dp.operatorClient(n).Status(dp.t.Context())
		return err == nil
	})
	result, err := dp.operatorClient(n).Apply(dp.t.Context(), operator.Edit{Expect: expect, Author: "test", Text: text})
	require.NoError(dp.t, err)
	return result
}

func (dp *deployment) eventually(what string, done func() bool) {
	dp.t.Helper()
	until := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(until) {
			require.Fail(dp.t, "timed out waiting for: "+what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is an HTTP response as a caller sees it.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	outcome string
}

func (r reply) errorCode() string {
	var problem struct {
		Error struct{ Code string }
	}
	_ = json.Unmarshal(r.body, &problem)
	return problem.Error.Code
}

func decodeJSON(r io.Reader, to any) error { return json.NewDecoder(r).Decode(to) }

// sendRequest posts one request to an instance and reads the complete response.
func sendRequest(ctx context.Context, address, path, body string, headers ...string) (reply, error) {
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
