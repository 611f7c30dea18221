package process

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/pkg/config"
)

const (
	// instanceMemory is the memory of the machine of an instance.
	instanceMemory = 284 << 20
	// crowdTimeout is how long a connection of a crowd may take to send its text, ordinaryTimeout how long the
	// ordinary request beside the crowd may take.
	crowdTimeout, ordinaryTimeout = 5 * time.Second, 10 * time.Second
	chatHead                      = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nChiveramp-Profile: chat\r\n"
	chunksHead                    = "Transfer-Encoding: chunked\r\n"
)

// crowd is a number of connections that send the same text and stay open.
type crowd struct {
	size    int
	text    string
	answers bool // an answer to the text is read before the connection is left idle
	conns   []net.Conn
}

// open connects to an address. The instance may close any of the connections.
func (c *crowd) open(t *testing.T, address string) {
	t.Helper()
	c.conns = make([]net.Conn, c.size)
	var group sync.WaitGroup
	slots := make(chan struct{}, 200)
	for i := range c.conns {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			conn, err := net.DialTimeout("tcp", address, crowdTimeout)
			if err != nil {
				return
			}
			c.conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			if _, err = io.WriteString(conn, c.text); err != nil || !c.answers {
				return
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
	group.Wait()
	t.Cleanup(func() {
		for _, conn := range c.conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
}

// manyFields returns lines of different header fields with a total length.
func manyFields(length int) string {
	var text strings.Builder
	for n := 0; text.Len() < length; n++ {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	return text.String()
}

// peakMemory returns the largest resident memory of an instance, 0 if its process has ended.
func (n *instance) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	require.NoError(t, err)
	for line := range bytes.Lines(status) {
		if text, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	return 0
}

// settledPeak returns the peak memory once it has stopped growing.
func (n *instance) settledPeak(t *testing.T) int64 {
	t.Helper()
	const growth = 1 << 20 // of an instance without work
	for last := -int64(growth); ; time.Sleep(time.Second) {
		peak := n.peakMemory(t)
		if peak < last+growth {
			return peak
		}
		last = peak
	}
}

// listener is a listener of an instance with an ordinary request to it.
type listener struct {
	address func(n *instance) string
	send    func(ctx context.Context, dp *deployment, n *instance) (status int, err error)
}

var (
	callers = listener{
		address: func(n *instance) string { return n.caller },
		send: func(ctx context.Context, _ *deployment, n *instance) (int, error) {
			r, err := sendRequest(ctx, n.caller, "/v1/chat/completions", chatBody("matcher-a", "ordinary", false, 4), "Chiveramp-Profile", "chat")
			return r.status, err
		},
	}
	metricsReaders = listener{
		address: func(n *instance) string { return n.metrics },
		send: func(ctx context.Context, _ *deployment, n *instance) (int, error) {
			return getStatus(ctx, "http://"+n.metrics+"/metrics")
		},
	}
	operators = listener{
		address: func(n *instance) string { return n.operator },
		send: func(ctx context.Context, dp *deployment, n *instance) (int, error) {
			if _, err := dp.operatorClient(n).Status(ctx); err != nil {
				return 0, err
			}
			return http.StatusOK, nil
		},
	}
)

func getStatus(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// requireCrowdBorne opens a crowd at a listener of an instance, which must live on, stay within its memory and
// answer an ordinary request beside the crowd.
func requireCrowdBorne(t *testing.T, l listener, c crowd) {
	t.Helper()
	b := newSerialDeployment(t, "matcher")
	b.daemon = buildWithoutRaceDetector(t)
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	n := b.addInstance("s1a", "south", "south-1")
	b.applyDocument(n, 0, oneModelDocument)
	b.waitReady()
	http.DefaultClient.CloseIdleConnections()
	n.client.Close() // the ordinary request is sent on a new connection
	c.open(t, l.address(n))
	before := n.settledPeak(t)
	ctx, cancel := context.WithTimeout(t.Context(), ordinaryTimeout)
	defer cancel()
	status, err := l.send(ctx, b, n)
	peak := n.settledPeak(t)
	t.Logf("peak memory %d MB, %d MB after an ordinary request", before>>20, peak>>20)
	assert.NotZero(t, peak, "the instance has ended")
	assert.Less(t, peak, int64(instanceMemory), "resident memory")
	require.NoError(t, err, "ordinary request")
	require.Equal(t, http.StatusOK, status, "ordinary request")
}

// buildWithoutRaceDetector builds the daemon. The race detector multiplies the memory of a process.
func buildWithoutRaceDetector(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chiverampd")
	out, err := exec.Command("go", "build", "-o", path, "github.com/chiveramp/chiveramp/cmd/chiverampd").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// The crowds below stand for callers that are faulty or mean harm. They run one at a time: each needs the
// memory of a machine.

func TestCrowdWithLargeHeads(t *testing.T) {
	requireCrowdBorne(t, callers, crowd{size: 1000, text: chatHead + chunksHead + manyFields(15500) + "\r\n1\r\n{"})
}

func TestCrowdWithHalfHeads(t *testing.T) {
	requireCrowdBorne(t, callers, crowd{size: 3000, text: chatHead + manyFields(15500)})
}

func TestCrowdWithLargeChunks(t *testing.T) {
	const length = 256 << 10
	chunk := fmt.Sprintf("%x\r\n", length) + strings.Repeat(" ", length)
	requireCrowdBorne(t, callers, crowd{size: 1000, text: chatHead + chunksHead + "\r\n" + chunk})
}

// More requests than [limits] streams whose bodies don't arrive.
func TestCrowdWithOpenBodies(t *testing.T) {
	requireCrowdBorne(t, callers, crowd{size: 3000, text: chatHead + chunksHead + "\r\n"})
}

func TestCrowdOfIdleCallers(t *testing.T) {
	size := config.Default().Caller.Connections + 100
	requireCrowdBorne(t, callers, crowd{size: size, answers: true, text: "GET /v1/entries?profile=chat HTTP/1.1\r\nHost: a\r\n\r\n"})
}

func TestCrowdWithHalfHeadsAtMetrics(t *testing.T) {
	requireCrowdBorne(t, metricsReaders, crowd{size: 1000, text: "GET /metrics HTTP/1.1\r\nHost: a\r\n" + manyFields(15500)})
}

func TestCrowdOfIdleOperators(t *testing.T) {
	requireCrowdBorne(t, operators, crowd{size: 100, answers: true, text: "GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n"})
}

func TestCrowdWithHalfHeadsAtOperators(t *testing.T) {
	requireCrowdBorne(t, operators, crowd{size: 1000, text: "GET /v1/status HTTP/1.1\r\nHost: a\r\n" + manyFields(15500)})
}

// frame returns an HTTP/2 frame of a type without flags.
func frame(kind, stream byte, payload string) string {
	length := len(payload)
	return string([]byte{byte(length >> 16), byte(length >> 8), byte(length), kind, 0, 0, 0, 0, stream}) + payload
}

// Peers speak HTTP/2: their half heads are frames of short fields.
func TestCrowdWithHalfHeadsAtPeers(t *testing.T) {
	const headers, settings, continuation, frames = 1, 4, 9, 32
	fields := strings.Repeat("\x00\x01a\x01b", 16<<10/5)
	text := "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settings, 0, "") + frame(headers, 1, fields) +
		strings.Repeat(frame(continuation, 1, fields), frames-1)
	peers := listener{address: func(n *instance) string { return n.peer }, send: callers.send}
	requireCrowdBorne(t, peers, crowd{size: 100, text: text})
}
