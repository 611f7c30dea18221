package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

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
