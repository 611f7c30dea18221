// Package platformtest provides an in-memory platform.Store for tests: the real HTTP client
// calls the handler of the simulated platform (package standin) directly, without a socket.
package platformtest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

var _ platform.Store = (*Fake)(nil)

// Fake is a Store in which tests can inject the simulated platform's faults. Several clients
// of one platform are made with Client.
type Fake struct {
	*platform.HTTP
	server *standin.Server

	mu            sync.Mutex
	unreachable   bool
	beforeRequest func(path string)
	afterRequest  func(path string)
}

// New returns a store without faults.
func New(opts ...standin.Option) *Fake {
	return newFake(standin.NewServer(opts...))
}

// NewWithClock returns a store whose leases expire by clock and whose slow calls don't sleep.
func NewWithClock(clock func() time.Time, opts ...standin.Option) *Fake {
	base := []standin.Option{standin.WithClock(clock), standin.WithSleep(func(time.Duration) {})}
	return New(append(base, opts...)...)
}

// Client returns another client of the same simulated platform, with its own call counts and
// reachability.
func (f *Fake) Client() *Fake {
	return newFake(f.server)
}

func newFake(server *standin.Server) *Fake {
	f := &Fake{server: server}
	f.HTTP = platform.NewHTTP("fake", platform.WithClient(&http.Client{Transport: f}))
	return f
}

// Server returns the simulated platform, to set its faults and members and read its counts.
func (f *Fake) Server() *standin.Server {
	return f.server
}

// SetUnreachable makes every call of this client fail before it is sent.
func (f *Fake) SetUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// SetBeforeRequest sets a function that runs before each request of this client.
func (f *Fake) SetBeforeRequest(before func(path string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeRequest = before
}

// SetAfterRequest sets a function that runs after each request of this client took effect and
// before its response is returned, for instance to pause the client in between.
func (f *Fake) SetAfterRequest(after func(path string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.afterRequest = after
}

// RoundTrip implements http.RoundTripper.
func (f *Fake) RoundTrip(req *http.Request) (res *http.Response, err error) {
	f.mu.Lock()
	unreachable, before, after := f.unreachable, f.beforeRequest, f.afterRequest
	f.mu.Unlock()
	if before != nil {
		before(req.URL.Path)
	}
	if unreachable {
		return nil, io.ErrClosedPipe
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	defer func() {
		if r := recover(); r != nil {
			if r != http.ErrAbortHandler { //nolint:errorlint // the value that net/http panics with
				panic(r)
			}
			res, err = nil, io.ErrUnexpectedEOF
		}
	}()
	if req.Body == nil {
		req.Body = http.NoBody
	}
	recorder := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(recorder, req)
	if after != nil {
		after(req.URL.Path)
	}
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
