package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	cancelledRequests = 1000
	cancelWorkers     = 8
	maxCancelDelay    = time.Millisecond
)

// largeBody takes several writes, so that some requests are cancelled between them.
var largeBody = fmt.Appendf(nil, `{"model":"m","pad":%q}`, strings.Repeat("x", 256<<10))

// arrivals records the attempts whose request headers reached the endpoint.
type arrivals struct {
	mu       sync.Mutex
	attempts map[string]bool
}

func (a *arrivals) add(attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts[attempt] = true
}

// cancelRequests sends requests and cancels each after a random short time. It returns
// how many were reported as not sent, and how many of those arrived all the same.
func cancelRequests(t *testing.T, send func(ctx context.Context, addr, attempt string) (notSent bool)) (reported, arrived int) {
	t.Helper()
	s := &arrivals{attempts: map[string]bool{}}
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		s.add(r.Header.Get(HeaderRequest))
		_, _ = io.Copy(io.Discard, r.Body)
		writeEventStream(w, "data: {}\n\ndata: [DONE]\n\n")
	})
	var next atomic.Int64
	var mu sync.Mutex
	var unsent []string
	var group errgroup.Group
	for seed := range uint64(cancelWorkers) {
		random := rand.New(rand.NewPCG(seed, 1))
		group.Go(func() error {
			for n := next.Add(1); n <= cancelledRequests; n = next.Add(1) {
				attempt := fmt.Sprint(n)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.Int64N(int64(maxCancelDelay))))
				if send(ctx, addr, attempt) {
					mu.Lock()
					unsent = append(unsent, attempt)
					mu.Unlock()
				}
				cancel()
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	time.Sleep(50 * time.Millisecond) // for requests still in transit
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, attempt := range unsent {
		if s.attempts[attempt] {
			arrived++
		}
	}
	return len(unsent), arrived
}

// A request that is cancelled while the transport writes it may still reach the endpoint.
// It must not be reported as not sent, or a retry would run it twice.
func TestCancelledRequestsReportedNotSentNeverArrive(t *testing.T) {
	client := New()
	defer client.Close()
	reported, arrived := cancelRequests(t, func(ctx context.Context, addr, attempt string) bool {
		s, err := client.Start(ctx, addr, Call{Attempt: attempt, Body: largeBody})
		if err == nil {
			for err == nil {
				_, err = s.Next()
			}
			_ = s.Close()
		}
		return errors.Is(err, ErrNotSent)
	})
	t.Logf("%d of %d reported as not sent", reported, cancelledRequests)
	assert.Positive(t, reported)
	assert.Zero(t, arrived)
}

// trackPipe returns a tracker whose request got one end of a pipe as its connection.
func trackPipe(t *testing.T) (*sendTracker, *conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	c := &conn{Conn: near}
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	return s, c, far
}

func TestWriteInProgressCountsAsSent(t *testing.T) {
	d, c, far := trackPipe(t)
	var group errgroup.Group
	group.Go(func() error { _, err := c.Write([]byte("x")); return err }) // blocks until the other end reads
	require.Eventually(t, func() bool { return c.writeCount() > 0 }, time.Second, time.Millisecond)
	assert.True(t, d.wasSent())
	_, err := far.Read(make([]byte, 1))
	require.NoError(t, err, "the byte arrived after wasSent was called")
	require.NoError(t, group.Wait())
}

func TestNoWriteAfterReportedNotSent(t *testing.T) {
	cases := []struct {
		name    string
		checked bool
		err     error
	}{
		{"asked", true, errSealed},
		{"not asked", false, nil}, // without the seal the late write succeeds
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d, c, far := trackPipe(t)
			if tc.checked {
				require.False(t, d.wasSent())
			}
			var group errgroup.Group
			group.Go(func() error { _, _ = far.Read(make([]byte, 1)); return nil })
			_, err := c.Write([]byte("x"))
			require.ErrorIs(t, err, tc.err)
			require.NoError(t, far.Close())
			require.NoError(t, group.Wait())
		})
	}
}

func TestWriteFailedAtFirstByteIsNotSent(t *testing.T) {
	d, c, far := trackPipe(t)
	require.NoError(t, far.Close())
	_, err := c.Write([]byte("x"))
	require.Error(t, err)
	assert.False(t, d.wasSent())
}
