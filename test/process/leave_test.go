package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// noticeTimeout is the maximum time until all instances have taken in a changed state of an
// endpoint, such as leaving.
const noticeTimeout = 4 * time.Second

// Guards against new requests on an endpoint that only the platform's list marks as leaving.
// Its requests in flight must be answered completely.
func TestEndpointListedAsLeavingGetsNoNewRequests(t *testing.T) {
	for _, p := range withAndWithout(switches.Leaving) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled)
			e := b.engines[0]
			var group errgroup.Group
			var correct atomic.Int32
			for range 4 {
				group.Go(func() error { correct.Add(int32(b.streamLongAnswers(b.instances[0], 1, func() {}))); return nil })
			}
			time.Sleep(200 * time.Millisecond)
			b.setMember("matcher", "m1", e.Address(), "south", "south-1", platform.MemberLeaving)
			_ = group.Wait()
			require.EqualValues(t, 4, correct.Load())
			time.Sleep(noticeTimeout)
			before := len(e.Counts().Requests)
			for i := range 12 {
				b.requireChat(t, b.instances[i%3].caller, "chat", "matcher-a", fmt.Sprint("after ", i), true)
			}
			require.Equal(t, p.holds, len(e.Counts().Requests) == before)
		})
	}
}

// Guards against new requests on an endpoint that reports itself as leaving. A later state
// "live" in the platform's list must not bring it back.
func TestEndpointThatReportsLeavingGetsNoNewRequests(t *testing.T) {
	b := newSouthDeployment(t, "")
	e := b.engines[1]
	e.SetFaults(engine.Faults{Leaving: true})
	b.setMember("matcher", "m2", e.Address(), "south", "south-1", platform.MemberLive)
	before := len(e.Counts().Requests)
	for i := range 12 {
		b.requireChat(t, b.instances[i%3].caller, "chat", "matcher-a", fmt.Sprint("self ", i), true)
	}
	require.Len(t, e.Counts().Requests, before)
	e.SetFaults(engine.Faults{})
	time.Sleep(noticeTimeout)
	b.requireChat(t, b.instances[0].caller, "chat", "matcher-a", "still left", true)
	require.Len(t, e.Counts().Requests, before)
}

// generateLoad sends short streams from concurrent callers until the context ends. It counts
// the requests sent and those answered completely. Each caller looks up an entry instance
// before each request.
func (dp *deployment) generateLoad(ctx context.Context, callers int) (sent, complete *atomic.Int32, wait func()) {
	sent, complete = &atomic.Int32{}, &atomic.Int32{}
	var group errgroup.Group
	for c := range callers {
		group.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				dp.sendStream(fmt.Sprintf("caller %d, %d", c, i), dp.findEntry(), sent, complete)
			}
			return nil
		})
	}
	return sent, complete, func() { _ = group.Wait() }
}

func (dp *deployment) sendStream(prompt, address string, sent, complete *atomic.Int32) {
	sent.Add(1)
	answer, _, done, err := streamChat(context.Background(), address, chatBody("matcher-a", prompt, true, 12), nil, "Chiveramp-Profile", "chat")
	if done && err == nil && answer == engine.AnswerTo("matcher-a", prompt, 12) {
		complete.Add(1)
		return
	}
	if sent.Load()-complete.Load() < 5 {
		dp.t.Logf("%s at %s: complete %t: %v", prompt, address, done, err)
	}
	time.Sleep(20 * time.Millisecond)
}

// findEntry queries the instances in turn for the address of an entry until one replies.
func (dp *deployment) findEntry() string {
	for {
		for _, n := range dp.instances {
			if address := queryEntry(n); address != "" {
				return address
			}
		}
	}
}

func queryEntry(n *instance) string {
	response, err := http.Get("http://" + n.caller + "/v1/entries?profile=chat")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Entries []struct{ Address string }
	}
	if decodeJSON(response.Body, &answer) != nil || len(answer.Entries) == 0 {
		return ""
	}
	return answer.Entries[0].Address
}

// Guards against requests lost on connections that callers keep open: an instance that leaves must not
// close them before callers have had the time to look up another entry, since a request may already
// be on its way.
func TestRequestOnIdleConnectionOfLeavingInstance(t *testing.T) {
	b := newSouthDeployment(t, "")
	n := b.instances[0]
	connection, err := net.Dial("tcp", n.caller)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	answers := bufio.NewReader(connection)
	exchange := func(request string) (status int, last bool) {
		_, err := io.WriteString(connection, request)
		require.NoError(t, err)
		response, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode, response.Close
	}
	_, last := exchange("GET /v1/entries?profile=chat HTTP/1.1\r\nHost: a\r\n\r\n")
	require.False(t, last)
	n.signal(t, syscall.SIGTERM)
	b.eventually("it leaves", func() bool { return strings.Contains(n.log.String(), "step=drain") })
	body := chatBody("matcher-a", "on an idle connection", false, 4)
	status, last := exchange(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nChiveramp-Profile: chat\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	require.Equal(t, http.StatusOK, status)
	require.True(t, last, "the caller is told not to use the connection again")
	<-n.exited
}

// Guards against requests that a stopping instance takes though it can't end them: callers go on to use the
// connections that they keep until the process is gone. A request that reaches an engine is answered whole,
// the others are refused, also if the engines become slower than they were.
func TestRequestsLateInAStopAreNotCut(t *testing.T) {
	const (
		drain, keep, interval = 4 * time.Second, 1600 * time.Millisecond, 100 * time.Millisecond
		connections, warm     = 60, 6
	)
	tests := []struct {
		name        string
		takes       time.Duration // at most
		slowerAfter time.Duration // the signal, 0 for never
		slower      time.Duration // for each token
	}{
		{name: "steady", takes: time.Second},
		{name: "engines become slower", takes: 400 * time.Millisecond, slowerAfter: 2 * time.Second, slower: 75 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newSouthDeployment(t, "")
			n := b.instances[0]
			n.signal(t, syscall.SIGTERM)
			<-n.exited
			b.drain, b.keep = drain.String(), keep.String()
			b.start(n)
			b.waitReady()
			var whole, cut, refused, unread atomic.Int32
			var early atomic.Int32 // refused though callers may still have the address
			send := func(c net.Conn, id int, signalled time.Time) {
				sent := time.Now()
				response, err := sendInChunks(c, chatBody("matcher-a", fmt.Sprint("kept ", id), true, int(tt.takes/longStep)))
				if err != nil {
					unread.Add(1)
					return
				}
				defer func() { _ = response.Body.Close() }()
				text, err := io.ReadAll(response.Body)
				switch {
				case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
					refused.Add(1)
					if !signalled.IsZero() && sent.Sub(signalled) < keep-2*chunkPause {
						early.Add(1)
					}
				case response.StatusCode == http.StatusOK && err == nil && strings.Contains(string(text), "[DONE]"):
					whole.Add(1)
				default:
					t.Logf("cut: sent %s after the signal", sent.Sub(signalled))
					cut.Add(1)
				}
			}
			open := make([]net.Conn, connections)
			var callers errgroup.Group
			for i := range open {
				c, err := net.Dial("tcp", n.caller)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				open[i] = c
				require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
				if i < warm {
					callers.Go(func() error { send(c, i, time.Time{}); return nil })
				}
			}
			_ = callers.Wait()
			require.EqualValues(t, warm, whole.Load())
			n.signal(t, syscall.SIGTERM)
			signalled := time.Now()
			if tt.slowerAfter > 0 {
				for _, e := range b.engines {
					time.AfterFunc(tt.slowerAfter, func() { e.SetFaults(engine.Faults{SlowMillis: int(tt.slower.Milliseconds())}) })
				}
			}
			for i := warm; i < connections; i++ {
				callers.Go(func() error { send(open[i], i, signalled); return nil })
				time.Sleep(interval)
			}
			_ = callers.Wait()
			<-n.exited
			runs := 0
			for _, e := range b.engines {
				runs += len(e.Counts().Requests)
			}
			t.Logf("%d whole, %d cut, %d refused, %d unread; %d runs", whole.Load(), cut.Load(), refused.Load(), unread.Load(), runs)
			require.Zero(t, cut.Load())
			require.Zero(t, early.Load())
			require.EqualValues(t, whole.Load(), runs, "what has run is answered whole")
		})
	}
}

// chunkPause is the time between the two chunks of sendInChunks.
const chunkPause = 50 * time.Millisecond

// sendInChunks sends a chat request whose body comes in two chunks, and reads the head of its answer.
func sendInChunks(c net.Conn, body string) (*http.Response, error) {
	half := len(body) / 2
	_, _ = fmt.Fprintf(c, "%s%s\r\n%x\r\n%s\r\n", chatHead, chunksHead, half, body[:half])
	time.Sleep(chunkPause)
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(body)-half, body[half:])
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// Guards against requests lost in a rolling restart: instances are stopped with SIGTERM and
// restarted one after the other under load. Draining must let every request complete.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	for _, p := range withAndWithout(switches.Drain) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled)
			ctx, stop := context.WithCancel(t.Context())
			sent, complete, wait := b.generateLoad(ctx, 6)
			for _, n := range b.instances {
				time.Sleep(300 * time.Millisecond)
				n.signal(t, syscall.SIGTERM)
				<-n.exited
				b.start(n)
				b.waitReady()
			}
			stop()
			wait()
			t.Logf("complete %d of %d", complete.Load(), sent.Load())
			require.Greater(t, sent.Load(), int32(30))
			require.Equal(t, p.holds, sent.Load() == complete.Load())
		})
	}
}

// Guards against requests that wait as an instance stops and end without an answer, at its own entry and at
// those of others: they come back as not run in time, or run at another dispatcher.
func TestRequestsThatWaitInAStopAreAnswered(t *testing.T) {
	const drain, takes, callers = 3 * time.Second, 500 * time.Millisecond, 24
	b := newDeployment(t, "matcher")
	b.slots, b.drain = 2, drain.String()
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.applyDocument(b.instances[0], 0, oneModelDocument)
	b.waitReady()
	stopped, other := b.dispatcherOf("m1")
	var mu sync.Mutex
	seen := make(map[string]int)
	var refused []string // their keys
	var group errgroup.Group
	for i := range callers {
		n, at := stopped, "stopped"
		if i%2 == 1 {
			n, at = other, "other"
		}
		group.Go(func() error {
			r, err := sendRequest(t.Context(), n.caller, "/v1/chat/completions",
				chatBody("matcher-a", fmt.Sprint("wait ", i), i%4 < 2, int(takes/longStep)), "Chiveramp-Profile", "chat", "Idempotency-Key", fmt.Sprint("k", i))
			mu.Lock()
			defer mu.Unlock()
			seen[fmt.Sprint(at, " ", r.outcome, " ", r.errorCode(), " ", err != nil)]++
			if r.outcome == string(fleet.OutcomeNotRun) {
				refused = append(refused, fmt.Sprint("k", i))
			}
			return err
		})
	}
	time.Sleep(takes / 2)
	stopped.signal(t, syscall.SIGTERM)
	time.Sleep(drain + 200*time.Millisecond)
	ended := strings.Contains(stopped.log.String(), "step=stop")
	_ = stopped.process.Process.Kill() // as a supervisor does
	<-stopped.exited
	err := group.Wait()
	t.Logf("ended: %t; %v", ended, seen)
	require.NoError(t, err)
	require.True(t, ended)
	for _, key := range refused {
		require.Zero(t, b.engines[0].Counts().Keys[key], "what is refused has not run")
	}
	require.GreaterOrEqual(t, seen["other ran  false"], callers/2-b.slots, "the requests of other entries run elsewhere")
	require.Zero(t, seen["other not-run leaving false"])
	require.Positive(t, seen["stopped not-run leaving false"])
}

// Guards against requests that wait at the dispatcher of another instance as their own entry leaves, and end
// with an unknown outcome though they have not run.
func TestRequestsThatWaitElsewhereInAStopAreTakenBack(t *testing.T) {
	const takes, callers = time.Second, 24
	b := newDeployment(t, "matcher")
	b.slots, b.drain = 2, "4s"
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.applyDocument(b.instances[0], 0, oneModelDocument)
	b.waitReady()
	dispatcher, stopped := b.dispatcherOf("m1")
	var mu sync.Mutex
	seen := make(map[string]int)
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			key := fmt.Sprint("k", i)
			r, err := sendRequest(t.Context(), stopped.caller, "/v1/chat/completions",
				chatBody("matcher-a", fmt.Sprint("wait ", i), i%4 < 2, int(takes/longStep)), "Chiveramp-Profile", "chat", "Idempotency-Key", key)
			mu.Lock()
			defer mu.Unlock()
			seen[r.outcome+" "+r.errorCode()]++
			if r.outcome == string(fleet.OutcomeNotRun) && b.engines[0].Counts().Keys[key] > 0 {
				seen["run though refused"]++
			}
			return err
		})
	}
	time.Sleep(takes / 2)
	stopped.signal(t, syscall.SIGTERM)
	err := group.Wait()
	<-stopped.exited
	t.Log(seen)
	require.NoError(t, err)
	require.Equal(t, callers, seen["ran "]+seen["not-run leaving"])
	require.Zero(t, seen["run though refused"])
	b.eventually("what was taken back doesn't wait at the dispatcher", func() bool {
		status, err := b.operatorClient(dispatcher).Status(t.Context())
		return err == nil && len(status.Dispatchers) == 1 && status.Dispatchers[0].Running+status.Dispatchers[0].Queued == 0
	})
	require.Len(t, b.engines[0].Counts().Keys, seen["ran "])
}

// Guards against a stop that waits for a peer's stream without end: the stream goes on through another
// dispatcher.
func TestStreamOfAPeerOutlastsAStop(t *testing.T) {
	const drain, tokens = time.Second, 400
	b := newDeployment(t, "matcher")
	b.drain = drain.String()
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithStepTime(longStep))
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.applyDocument(b.instances[0], 0, oneModelDocument)
	b.waitReady()
	stopped, other := b.dispatcherOf("m1")
	ended := make(chan bool, 1)
	answer, _, done, err := streamChat(t.Context(), other.caller, chatBody("matcher-a", "outlasts", true, tokens), func(events int) bool {
		if events == 20 {
			stopped.signal(t, syscall.SIGTERM)
			time.AfterFunc(drain+500*time.Millisecond, func() { ended <- strings.Contains(stopped.log.String(), "step=stop") })
		}
		return false
	}, "Chiveramp-Profile", "chat")
	require.NoError(t, err)
	require.True(t, done)
	require.Equal(t, engine.AnswerTo("matcher-a", "outlasts", tokens), answer)
	require.True(t, <-ended)
	require.Len(t, b.engines[0].Counts().Requests, 1)
	require.Contains(t, stopped.log.String(), "step=cut")
}

// Guards against requests that end without an answer since their bodies are still arriving as the instance
// stops: they have not run.
func TestBodiesThatArriveInAStopAreAnswered(t *testing.T) {
	tests := []struct{ name, head string }{
		{"chat", chatHead},
		{"service", "POST /services/order/kits HTTP/1.1\r\nHost: a\r\nChiveramp-Profile: orders\r\n"},
		{"service, with a key", "POST /services/order/kits HTTP/1.1\r\nHost: a\r\nChiveramp-Profile: orders\r\nIdempotency-Key: k\r\n"},
	}
	b := newDeployment(t, "matcher", "order")
	b.drain = "3s"
	b.startSouth()
	n := b.instances[0]
	open := make([]net.Conn, len(tests))
	for i, tt := range tests {
		c, err := net.Dial("tcp", n.caller)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		open[i] = c
		require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
		_, err = io.WriteString(c, tt.head+chunksHead+"\r\n1\r\n{")
		require.NoError(t, err)
	}
	time.Sleep(200 * time.Millisecond)
	n.signal(t, syscall.SIGTERM)
	for i, tt := range tests {
		response, err := http.ReadResponse(bufio.NewReader(open[i]), nil)
		require.NoError(t, err, tt.name)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err, tt.name)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, tt.name)
		require.Equal(t, string(fleet.OutcomeNotRun), response.Header.Get("Chiveramp-Outcome"), tt.name)
		require.Equal(t, "leaving", reply{body: text}.errorCode(), tt.name)
	}
	<-n.exited
	require.Empty(t, b.orders.Counts().Keys)
}
