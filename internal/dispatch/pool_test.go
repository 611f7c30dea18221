package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/timer"
)

// fakeTimers is a virtual clock whose periodic callbacks tests can count and fire.
type fakeTimers struct {
	*timer.Virtual
	mu        sync.Mutex
	callbacks map[int]func(time.Time)
	lastID    int
}

func newFakeTimers() *fakeTimers {
	return &fakeTimers{Virtual: timer.NewVirtual(time.Unix(1_000_000, 0)), callbacks: make(map[int]func(time.Time))}
}

// Every implements Timers.
func (f *fakeTimers) Every(_, _ time.Duration, fn func(time.Time)) (cancel func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	id := f.lastID
	f.callbacks[id] = fn
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.callbacks, id)
	}
}

func (f *fakeTimers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.callbacks)
}

// fire advances the clock and runs every callback.
func (f *fakeTimers) fire(by time.Duration) {
	f.Advance(by)
	f.mu.Lock()
	var due []func(time.Time)
	for _, fn := range f.callbacks {
		due = append(due, fn)
	}
	f.mu.Unlock()
	for _, fn := range due {
		fn(f.Now())
	}
}

// oneEndpoint is a directory with one endpoint, of a service that isn't an inference engine.
type oneEndpoint struct{}

func (oneEndpoint) Get(id fleet.Endpoint) (directory.Entry, bool) {
	return directory.Entry{Registration: directory.Registration{Endpoint: id, Service: "handover"}}, id == "e-1"
}

func (oneEndpoint) MarkLeaving(fleet.Endpoint) {}

// echoEngine answers each forwarded request with the request's body.
type echoEngine struct{ Engine }

func (echoEngine) Forward(_ context.Context, _ string, call endpoint.ForwardCall) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(call.Body)}, nil
}

func serviceRequest(id, at string) peer.Request {
	return peer.Request{
		Submit: &peerpb.Submit{Request: "r-" + id, Attempt: id, Endpoint: at, Service: "handover"},
		Body:   strings.NewReader("hello"),
	}
}

func TestIdlePoolHasNoTimer(t *testing.T) {
	tests := []struct {
		name, endpoint, code string
		idleAfter            time.Duration
	}{
		{name: "refused", endpoint: "e-2", code: CodeUnreachable, idleAfter: sweepInterval},
		{name: "answered and retained", endpoint: "e-1", idleAfter: DefaultLimits().ResumeWindow + sweepInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newFakeTimers()
			var group errgroup.Group
			p := New("s-1", &group, k, echoEngine{}, oneEndpoint{})
			defer p.Close()
			for range 2 { // the second round starts from an idle pool
				require.Zero(t, k.count())
				end := p.Serve(t.Context(), serviceRequest("a-1", tt.endpoint), &recorder{})
				require.Equal(t, tt.code, end.Code)
				require.NoError(t, group.Wait())
				require.Equal(t, 1, k.count())
				k.fire(sweepInterval)
				k.fire(tt.idleAfter)
			}
			require.Zero(t, k.count(), "everything is evicted")
		})
	}
}

func TestClosedPoolHasNoTimer(t *testing.T) {
	k := newFakeTimers()
	var group errgroup.Group
	p := New("s-1", &group, k, echoEngine{}, oneEndpoint{})
	require.Empty(t, p.Serve(t.Context(), serviceRequest("a-1", "e-1"), &recorder{}).Code)
	require.NoError(t, group.Wait())
	p.Close()
	require.Zero(t, k.count())
}
