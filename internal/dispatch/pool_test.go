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

// ticks is a clock whose subscriptions tests count and fire.
type ticks struct {
	*timer.Virtual
	mu  sync.Mutex
	all map[int]func(time.Time)
	ids int
}

func newTicks() *ticks {
	return &ticks{Virtual: timer.NewVirtual(time.Unix(1_000_000, 0)), all: make(map[int]func(time.Time))}
}

// Every implements Timers.
func (k *ticks) Every(_, _ time.Duration, fn func(time.Time)) (cancel func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ids++
	id := k.ids
	k.all[id] = fn
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.all, id)
	}
}

func (k *ticks) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.all)
}

// fire moves the clock and calls every subscriber.
func (k *ticks) fire(by time.Duration) {
	k.Advance(by)
	k.mu.Lock()
	var due []func(time.Time)
	for _, fn := range k.all {
		due = append(due, fn)
	}
	k.mu.Unlock()
	for _, fn := range due {
		fn(k.Now())
	}
}

// listed is one endpoint of a plain service.
type listed struct{}

func (listed) Get(id fleet.Endpoint) (directory.Entry, bool) {
	return directory.Entry{Registration: directory.Registration{Endpoint: id, Service: "handover"}}, id == "e-1"
}

func (listed) MarkLeaving(fleet.Endpoint) {}

// echo answers each forwarded request with its own body.
type echo struct{ Engine }

func (echo) Forward(_ context.Context, _ string, call endpoint.ForwardCall) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(call.Body)}, nil
}

func forwarded(id, at string) peer.Request {
	return peer.Request{
		Submit: &peerpb.Submit{Request: "r-" + id, Attempt: id, Endpoint: at, Service: "handover"},
		Body:   strings.NewReader("hello"),
	}
}

func TestIdlePoolHasNoTicks(t *testing.T) {
	tests := []struct {
		name, endpoint, code string
		rest                 time.Duration
	}{
		{name: "refused", endpoint: "e-2", code: CodeUnsent, rest: sweep},
		{name: "answered and kept", endpoint: "e-1", rest: DefaultLimits().Resume + sweep},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newTicks()
			var group errgroup.Group
			p := New("s-1", &group, k, echo{}, listed{})
			defer p.Close()
			for range 2 { // idle and at work again
				require.Zero(t, k.count())
				end := p.Serve(t.Context(), forwarded("a-1", tt.endpoint), &recorder{})
				require.Equal(t, tt.code, end.Code)
				require.NoError(t, group.Wait())
				require.Equal(t, 1, k.count())
				k.fire(sweep)
				k.fire(tt.rest)
			}
			require.Zero(t, k.count(), "all is forgotten")
		})
	}
}

func TestClosedPoolHasNoTicks(t *testing.T) {
	k := newTicks()
	var group errgroup.Group
	p := New("s-1", &group, k, echo{}, listed{})
	require.Empty(t, p.Serve(t.Context(), forwarded("a-1", "e-1"), &recorder{}).Code)
	require.NoError(t, group.Wait())
	p.Close()
	require.Zero(t, k.count())
}
