package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// An answer that ends early, or not at all, must not look complete to the caller.
func TestAnswersWithoutLengthOrEnd(t *testing.T) {
	const (
		none, large, endless, endlessHead = standin.BehaviourNone, standin.BehaviourLarge, standin.BehaviourEndless, standin.BehaviourEndlessHead
		untilClose, cut, reset            = standin.BehaviourUntilClose, standin.BehaviourUntilCloseCut, standin.BehaviourUntilCloseReset
		safe, once, stream                = catalog.KindSafe, catalog.KindUnsafe, catalog.KindStream
	)
	tests := []struct {
		name         string
		kind         catalog.Kind
		runners      []standin.Behaviour
		notResumable bool // the stream can't be resumed
		status       int
		body         string
		size         int // of the body, where it isn't given
		runs         int
		broken       bool
	}{
		{name: "safe, some MB in chunks", kind: safe, runners: []standin.Behaviour{large}, status: 200, size: standin.LargeBytes, runs: 1},
		{name: "safe, ends with its connection", kind: safe, runners: []standin.Behaviour{untilClose, none}, status: 200, body: "done r1", runs: 1},
		{name: "safe, reset: retried elsewhere", kind: safe, runners: []standin.Behaviour{reset, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, reset twice", kind: safe, runners: []standin.Behaviour{reset, reset, none}, status: 502, runs: 2},
		{name: "safe, no end: retried elsewhere", kind: safe, runners: []standin.Behaviour{endless, none}, status: 200, body: "done r1", runs: 2},
		{name: "safe, no end twice", kind: safe, runners: []standin.Behaviour{endless, endless, none}, status: 502, runs: 2},
		{name: "safe, a head without end: retried elsewhere", kind: safe, runners: []standin.Behaviour{endlessHead, none}, status: 200, body: "done r1", runs: 2},
		{name: "once, ends with its connection", kind: once, runners: []standin.Behaviour{untilClose, none}, status: 200, body: "done r1", runs: 1},
		{name: "once, reset: not retried", kind: once, runners: []standin.Behaviour{reset, none}, status: 502, runs: 1},
		{name: "once, no end: not retried", kind: once, runners: []standin.Behaviour{endless, none}, status: 502, runs: 1},
		{name: "once, a head without end: not retried", kind: once, runners: []standin.Behaviour{endlessHead, none}, status: 502, runs: 1},
		{name: "stream, ends with its connection", kind: stream, runners: []standin.Behaviour{untilClose, none}, status: 200, body: completeStream, runs: 1},
		{name: "stream, ends with its connection, resumed", kind: stream, runners: []standin.Behaviour{cut, untilClose}, status: 200, body: completeStream, runs: 2},
		{name: "stream, ends inside an event", kind: stream, runners: []standin.Behaviour{cut, none}, status: 200, body: completeStream, runs: 2},
		{name: "stream, ends inside an event, not resumable", kind: stream, runners: []standin.Behaviour{cut, none}, notResumable: true, status: 200, runs: 1, broken: true},
		{name: "stream, reset at an event's end", kind: stream, runners: []standin.Behaviour{reset, none}, status: 200, body: completeStream, runs: 2},
		{name: "stream, reset at an event's end, not resumable", kind: stream, runners: []standin.Behaviour{reset, none}, notResumable: true, status: 200, runs: 1, broken: true},
		{name: "stream, an event without end: retried elsewhere", kind: stream, runners: []standin.Behaviour{endless, none}, status: 200, body: completeStream, runs: 2},
		{name: "stream, an event without end, not resumable", kind: stream, runners: []standin.Behaviour{endless, none}, notResumable: true, status: 502, runs: 1},
		{name: "stream, a head without end: retried elsewhere", kind: stream, runners: []standin.Behaviour{endlessHead, none}, status: 200, body: completeStream, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.runners...)
			f.route.Resumable = tt.kind == stream && !tt.notResumable
			f.route.Timeout = 4 * time.Second
			method, header := http.MethodPost, map[string]string{}
			if tt.kind == safe {
				method = http.MethodGet
			}
			if tt.kind == stream {
				header["Model"] = "m"
			}
			answer, err := send(t, serve(t, f), method, header, "")
			assert.Equal(t, tt.status, answer.status)
			assert.Equal(t, tt.broken, err != nil, "a truncated answer must not look complete")
			if tt.body != "" {
				assert.Equal(t, tt.body, answer.body[:min(len(answer.body), len(completeStream)+1)])
			}
			if tt.size > 0 {
				assert.Len(t, answer.body, tt.size)
			}
			assert.Equal(t, tt.runs, f.runs())
			assert.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.open == 0
			}, time.Second, time.Millisecond, "each slot is released")
		})
	}
}

// endlessTimeout is the time in which an attempt at an endpoint must end that sends bytes without end.
const endlessTimeout = 3 * time.Second

// Bytes that make no answer must end the attempt, and the caller gets the answer of the next endpoint.
func TestBytesThatAreNoAnswerEndTheAttempt(t *testing.T) {
	const chunks, comment = "Transfer-Encoding: chunked\r\n\r\n", ": still here\n\n"
	refusal := strings.Replace(errorHead, "500 Internal Server Error", "503 Full\r\nNot-Run: 1", 1)
	tests := []struct {
		name string
		kind catalog.Kind
		raw  standin.RawAnswer
	}{
		{name: "trailers", kind: catalog.KindSafe, raw: standin.RawAnswer{Text: jsonHead + chunks + "2\r\n{}\r\n0\r\n", Repeat: "X-More: more\r\n"}},
		{name: "chunks with extensions", kind: catalog.KindSafe, raw: standin.RawAnswer{Text: jsonHead + chunks, Repeat: "1;extension=of-one-byte\r\n \r\n"}},
		{name: "body of an error", kind: catalog.KindSafe, raw: standin.RawAnswer{Text: errorHead + "\r\n", Repeat: "more"}},
		{name: "body of a refusal", kind: catalog.KindUnsafe, raw: standin.RawAnswer{Text: refusal + "\r\n", Repeat: "more"}},
		{name: "event", kind: catalog.KindStream, raw: standin.RawAnswer{Text: streamHead + "\r\nid: 1\ndata: ", Repeat: "more"}},
		{name: "id of an event", kind: catalog.KindStream, raw: standin.RawAnswer{Text: streamHead + "\r\nid: " + strings.Repeat("1", 200<<10) + "\ndata: piece 1\n\n"}},
		{name: "comments", kind: catalog.KindStream, raw: standin.RawAnswer{Text: streamHead + "\r\n", Repeat: comment}},
		{name: "comments after an event", kind: catalog.KindStream, raw: standin.RawAnswer{Text: streamHead + "\r\nid: 1\ndata: piece 1\n\n", Repeat: comment}},
		{name: "empty lines", kind: catalog.KindStream, raw: standin.RawAnswer{Text: streamHead + "\r\n", Repeat: "\n"}},
		{name: "retry fields", kind: catalog.KindStream, raw: standin.RawAnswer{Text: streamHead + "\r\n", Repeat: "retry: 1\n\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, standin.BehaviourNone, standin.BehaviourNone)
			f.route.Timeout = 2 * endlessTimeout
			f.route.Resumable = tt.kind == catalog.KindStream
			f.runners[0].SetRaw(tt.raw)
			method, header, want := http.MethodGet, map[string]string{}, "done r1"
			if tt.kind != catalog.KindSafe {
				method = http.MethodPost
			}
			if tt.kind == catalog.KindStream {
				header["Model"], want = "m", completeStream
			}
			began := time.Now()
			answer, err := send(t, serve(t, f), method, header, "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, answer.status)
			assert.Equal(t, want, strings.ReplaceAll(answer.body, comment, ""))
			assert.Less(t, time.Since(began), endlessTimeout)
			assert.Equal(t, 2, f.runs())
		})
	}
}

// serveWithLimits serves a fleet without stall timeouts.
func serveWithLimits(t *testing.T, f *fakeFleet, answer, held int64) string {
	t.Helper()
	f.route.Timeout = 4 * time.Second
	server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now,
		gateway.WithAnswerLimits(answer, held)))
	t.Cleanup(server.Close)
	return server.URL
}

// A large answer arrives however little memory there is, and looks complete only if it is. With
// memory for it, one that breaks off is asked for again elsewhere.
func TestAnswersLargerThanTheMemory(t *testing.T) {
	const (
		none, large, largeCut = standin.BehaviourNone, standin.BehaviourLarge, standin.BehaviourLargeCut
		endless, fail         = standin.BehaviourEndless, standin.BehaviourFail
		little, enough        = 1 << 20, 16 << 20
	)
	tests := []struct {
		name    string
		runners []standin.Behaviour
		held    int64
		size    int
		runs    int
		broken  bool
	}{
		{name: "short", runners: []standin.Behaviour{none}, held: little, size: len("done r1"), runs: 1},
		{name: "large, held", runners: []standin.Behaviour{large}, held: enough, size: standin.LargeBytes, runs: 1},
		{name: "large, as it comes", runners: []standin.Behaviour{large}, held: little, size: standin.LargeBytes, runs: 1},
		{name: "large and cut, held: retried elsewhere", runners: []standin.Behaviour{largeCut, none}, held: enough, size: len("done r1"), runs: 2},
		{name: "large and cut, as it comes", runners: []standin.Behaviour{largeCut, none}, held: little, runs: 1, broken: true},
		{name: "no end, held: retried elsewhere", runners: []standin.Behaviour{endless, large}, held: enough, size: standin.LargeBytes, runs: 2},
		{name: "no end, as it comes", runners: []standin.Behaviour{endless, none}, held: little, runs: 1, broken: true},
		{name: "failed, then large", runners: []standin.Behaviour{fail, large}, held: little, size: standin.LargeBytes, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindSafe, tt.runners...)
			answer, err := send(t, serveWithLimits(t, f, 8<<20, tt.held), http.MethodGet, nil, "")
			assert.Equal(t, tt.broken, err != nil, "a truncated answer must not look complete")
			assert.Equal(t, http.StatusOK, answer.status)
			if !tt.broken {
				assert.Len(t, answer.body, tt.size)
			}
			assert.Equal(t, tt.runs, f.runs())
		})
	}
}

// Answers that are too large for the memory together all arrive.
func TestLargeAnswersAtOnceArrive(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourLarge)
	url := serveWithLimits(t, f, 8<<20, 6<<20)
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			answer, err := send(t, url, http.MethodGet, nil, "")
			if err == nil && len(answer.body) != standin.LargeBytes {
				err = errors.New("truncated")
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
}

// An endpoint whose answer has no end is avoided like one that failed, but the request isn't
// suspected of having crashed it.
func TestAnswersWithoutEndAreNoCrash(t *testing.T) {
	tests := []struct {
		name            string
		kind            catalog.Kind
		behaviour       standin.Behaviour
		held            int64
		wantInterrupted int
	}{
		{name: "answer", kind: catalog.KindSafe, behaviour: standin.BehaviourEndless, held: 16 << 20},
		{name: "answer, as it comes", kind: catalog.KindSafe, behaviour: standin.BehaviourEndless, held: 1 << 20},
		{name: "event", kind: catalog.KindStream, behaviour: standin.BehaviourEndless, held: 16 << 20},
		{name: "reset", kind: catalog.KindSafe, behaviour: standin.BehaviourUntilCloseReset, held: 16 << 20, wantInterrupted: 1},
		{name: "cut, as it comes", kind: catalog.KindSafe, behaviour: standin.BehaviourLargeCut, held: 1 << 20, wantInterrupted: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.behaviour)
			header := map[string]string{}
			if tt.kind == catalog.KindStream {
				header["Model"] = "m"
			}
			_, _ = send(t, serveWithLimits(t, f, 8<<20, tt.held), http.MethodGet, header, "")
			assert.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.open == 0
			}, time.Second, time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Equal(t, 1, f.failed)
			assert.Len(t, f.interrupted, tt.wantInterrupted)
		})
	}
}

// Answers without end must not fill the memory of an instance together.
func TestAnswersWithoutEndStayWithinTheMemory(t *testing.T) {
	const (
		requests = 24
		maxHeap  = 64 << 20 // with garbage, and with what callers and endpoints hold here
	)
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	f := newFleet(t, catalog.KindSafe, standin.BehaviourEndless)
	url := serveWithLimits(t, f, 16<<20, 8<<20)
	var group errgroup.Group
	for range requests {
		group.Go(func() error { return discard(t, url) })
	}
	done := make(chan error, 1)
	var waiting errgroup.Group
	waiting.Go(func() error { done <- group.Wait(); return nil })
	var peak uint64
	var err error
	for running := true; running; {
		select {
		case err = <-done:
			running = false
		case <-time.After(time.Millisecond):
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	}
	t.Logf("peak of the heap: %d bytes", peak)
	assert.Less(t, peak, uint64(maxHeap))
	require.NoError(t, err)
}

// discard reads an answer and keeps nothing of it. One that looks complete is an error.
func discard(t *testing.T, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/x", http.NoBody)
	if err != nil {
		return err
	}
	request.Host = "board.example"
	request.Header.Set("Request-Id", "r1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err == nil && response.StatusCode/100 == 2 {
		return errors.New("a truncated answer looks complete")
	}
	return nil
}

// pausedSender answers with the beginning of an event, and nothing after it.
type pausedSender struct {
	size   int
	paused chan struct{} // receives a value for each answer whose beginning was read
}

func (s pausedSender) Send(ctx context.Context, _ *gateway.Attempt) (*gateway.Answer, error) {
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", s.size)), pause{ctx, s.paused})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, nil
}

type pause struct {
	ctx    context.Context
	paused chan struct{}
}

func (p pause) Read([]byte) (int, error) {
	p.paused <- struct{}{}
	<-p.ctx.Done()
	return 0, p.ctx.Err()
}

// Events that are not complete yet must not fill the memory together: where it is used up, a
// stream breaks off, and its endpoint isn't blamed.
func TestIncompleteEventsShareTheMemory(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
	f.route.Resumable, f.route.Timeout = false, time.Second
	sender := pausedSender{size: 700 << 10, paused: make(chan struct{}, 2)}
	server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, sender, f, time.Now, gateway.WithAnswerLimits(8<<20, 2<<20)))
	t.Cleanup(server.Close)
	var group errgroup.Group
	first := make(chan int, 1)
	group.Go(func() error {
		answer, err := send(t, server.URL, http.MethodPost, nil, "")
		first <- answer.status
		return err
	})
	<-sender.paused
	answer, err := send(t, server.URL, http.MethodPost, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, answer.status)
	require.NoError(t, group.Wait())
	assert.Equal(t, http.StatusGatewayTimeout, <-first)
	assert.Zero(t, f.failed)
}

// Guards against a refusal that is written once more while the next request on its connection runs:
// that request is neither refused as not run nor run at a second endpoint.
func TestRefusalWrittenAgainIsNoProof(t *testing.T) {
	tests := []struct {
		name   string
		kind   catalog.Kind
		first  standin.Behaviour
		full   bool // no other endpoint takes requests
		status int  // of the second request
		runs   int  // of the second request
	}{
		{name: "once, without id", kind: catalog.KindUnsafe, first: standin.BehaviourRefuseAgainWithoutID, status: 502, runs: 1},
		{name: "once, without id, others full", kind: catalog.KindUnsafe, first: standin.BehaviourRefuseAgainWithoutID, full: true, status: 502, runs: 1},
		{name: "once, with id", kind: catalog.KindUnsafe, first: standin.BehaviourRefuseAgain, status: 502, runs: 1},
		{name: "safe, without id", kind: catalog.KindSafe, first: standin.BehaviourRefuseAgainWithoutID, status: 200, runs: 2},
		{name: "safe, with id", kind: catalog.KindSafe, first: standin.BehaviourRefuseAgain, status: 200, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.first, standin.BehaviourNone)
			if tt.full {
				f.runners[1].SetBehaviour(standin.BehaviourFull)
			}
			url := serve(t, f)
			_, err := send(t, url, http.MethodPost, nil, "")
			require.NoError(t, err)
			answer, err := send(t, url, http.MethodPost, map[string]string{"Request-Id": "r2"}, "")
			require.NoError(t, err)
			assert.Equal(t, tt.status, answer.status)
			runs := 0
			for _, r := range f.runners {
				for _, run := range r.Runs() {
					if run.ID == "r2" {
						runs++
					}
				}
			}
			assert.Equal(t, tt.runs, runs)
		})
	}
}
