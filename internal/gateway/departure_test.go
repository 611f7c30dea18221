package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/ingress"
	"github.com/chiveramp/chiveramp/internal/tcp"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

const leavingCallers = 40

// site is a gateway behind real sockets, as an instance has it.
type site struct {
	t        *testing.T
	gateway  *gateway.Gateway
	listener net.Listener
	server   *http.Server
	closed   atomic.Int32 // connections
	requests int          // that were answered
	stall    sync.Mutex   // while it is locked, the gateway gets nothing of what it reads
	accepted sync.Map     // connections by the address of their callers
}

// listen returns a gateway that accepts no connection yet.
func listen(t *testing.T, f gateway.Fleet, endpoints *platform.EndpointClient) *site {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &site{t: t, gateway: gateway.New(fleet.Place{}, platform.CallerCodec{}, endpoints, f, time.Now)}
	s.server = &http.Server{Handler: s.gateway, ReadHeaderTimeout: time.Minute, ConnContext: gateway.ConnContext, ConnState: func(_ net.Conn, to http.ConnState) {
		if to == http.StateClosed {
			s.closed.Add(1)
		}
	}}
	gate := ingress.New(ingress.Limits{Memory: 64 << 20, Head: 64 << 10, HeadTime: time.Minute, WriteTime: time.Minute})
	s.listener = gate.Guard(s.server, stallingListener{l, s}, ingress.Side{Name: "callers", Share: 0.5})
	return s
}

// awaitEnd waits until the kernel has the end of a connection that its caller has closed, and lets nothing else run.
func (s *site) awaitEnd(caller *net.TCPConn) {
	accepted, _ := s.accepted.Load(caller.LocalAddr().String())
	for socket, ok := accepted.(*net.TCPConn); ok && !tcp.Ended(socket); {
	}
}

type stallingListener struct {
	net.Listener
	site *site
}

func (l stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.site.accepted.Store(conn.RemoteAddr().String(), conn)
	return stallingConn{conn.(*net.TCPConn), &l.site.stall}, nil
}

type stallingConn struct {
	*net.TCPConn
	stall sync.Locker
}

func (c stallingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.stall.Lock()
	defer c.stall.Unlock()
	return n, err
}

// accept serves the connections that wait, and those that come.
func (s *site) accept() {
	var group errgroup.Group
	group.Go(func() error { return s.server.Serve(s.listener) })
	s.t.Cleanup(func() {
		_ = s.server.Close()
		_ = group.Wait()
	})
}

func (s *site) dial() *net.TCPConn {
	s.t.Helper()
	conn, err := new(net.Dialer).DialContext(s.t.Context(), "tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn.(*net.TCPConn)
}

// call sends a whole request on a new connection, and doesn't wait for its answer.
func (s *site) call(request string) *net.TCPConn {
	s.t.Helper()
	conn := s.dial()
	require.NoError(s.t, conn.SetWriteBuffer(1<<20))
	_, err := io.WriteString(conn, request)
	require.NoError(s.t, err)
	return conn
}

// exchange sends a request and reads its answer.
func (s *site) exchange(conn *net.TCPConn, request string) {
	s.t.Helper()
	_, err := io.WriteString(conn, request)
	require.NoError(s.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(s.t, http.StatusOK, response.StatusCode)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(s.t, err)
	s.requests++
}

// text returns a request with a body of a size.
func text(kind catalog.Kind, id, size int) string { return textWithin(time.Second, kind, id, size) }

// textWithin returns a request with a time limit.
func textWithin(limit time.Duration, kind catalog.Kind, id, size int) string {
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r%d\r\n%s: %d\r\n", id, standin.Wait, limit.Milliseconds())
	if kind == catalog.KindStream {
		head += "Model: m\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("b", size)
}

// arrivals returns how many requests have reached endpoints.
func (f *fakeFleet) arrivals() int {
	n := 0
	for _, r := range f.runners {
		n += len(r.Arrivals())
	}
	return n
}

func newLargeFleet(t *testing.T, kind catalog.Kind, size int) *fakeFleet {
	t.Helper()
	f := newFleet(t, kind, standin.BehaviourNone)
	f.maxBody = max(size, 1<<10)
	return f
}

// An instance that stood still finds requests together with the ends of their connections.
func TestCallersThatLeftBeforeTheirRequestWasReadReachNoEndpoint(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.KindSafe, catalog.KindStream, catalog.KindUnsafe} {
		for _, size := range []int{0, 9 << 10, 300 << 10} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, reset %v", kind, size, reset), func(t *testing.T) {
					t.Parallel()
					f := newLargeFleet(t, kind, size)
					s := listen(t, f, platform.NewEndpointClient())
					for i := range leavingCallers {
						conn := s.call(text(kind, i, size))
						if reset {
							require.NoError(t, conn.SetLinger(0))
						}
						require.NoError(t, conn.Close())
					}
					time.Sleep(100 * time.Millisecond) // until the last of it is there
					s.accept()
					require.Eventually(t, func() bool { return s.closed.Load() == leavingCallers }, 10*time.Second, time.Millisecond)
					assert.Zero(t, f.arrivals(), "requests that reached an endpoint")
				})
			}
		}
	}
}

// Callers that wait must lose nothing by the checks for those that don't.
func TestCallersThatWaitForALateInstanceAreServed(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.KindSafe, catalog.KindStream, catalog.KindUnsafe} {
		for _, size := range []int{0, 9 << 10, 300 << 10} {
			t.Run(fmt.Sprintf("%s, %d bytes", kind, size), func(t *testing.T) {
				t.Parallel()
				f := newLargeFleet(t, kind, size)
				s := listen(t, f, platform.NewEndpointClient())
				var conns []*net.TCPConn
				for i := range leavingCallers {
					conns = append(conns, s.call(text(kind, i, size)))
				}
				time.Sleep(100 * time.Millisecond)
				s.accept()
				for _, conn := range conns {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					require.NoError(t, err)
					assert.Equal(t, http.StatusOK, response.StatusCode)
					_, err = io.Copy(io.Discard, response.Body)
					require.NoError(t, err)
					require.NoError(t, response.Body.Close())
				}
				assert.Equal(t, leavingCallers, f.arrivals())
			})
		}
	}
}

// A caller that has closed its side for sending only can't be told from one that has left. It learns that its
// request has not run.
func TestCallersThatCloseTheirSideForSendingAreRefused(t *testing.T) {
	f := newLargeFleet(t, catalog.KindUnsafe, 0)
	s := listen(t, f, platform.NewEndpointClient())
	var conns []*net.TCPConn
	for i := range leavingCallers {
		conn := s.call(text(catalog.KindUnsafe, i, 0))
		require.NoError(t, conn.CloseWrite())
		conns = append(conns, conn)
	}
	time.Sleep(100 * time.Millisecond)
	s.accept()
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		require.NoError(t, response.Body.Close())
	}
	assert.Zero(t, f.arrivals())
}

// hold is where a request is held.
type hold string

const (
	holdCharge  hold = "charge"
	holdOrigin  hold = "origin"
	holdAdapter hold = "adapter"
	holdAdmit   hold = "admission"
	holdConnect hold = "connect"
	holdRefused hold = "refusal of another endpoint"
)

// departingFleet has the caller leave while its request is held somewhere.
type departingFleet struct {
	*fakeFleet
	hold    hold
	leave   func()
	refunds atomic.Int32
}

func (f *departingFleet) leaveAt(h hold) {
	if h == f.hold {
		f.leave()
	}
}

func (f *departingFleet) Workspace(*catalog.Route, int64, credential.Digest) (*catalog.Workspace, time.Duration, error) {
	return &catalog.Workspace{Name: "w", Rate: 1000}, 0, nil
}

func (f *departingFleet) Charge(context.Context, *catalog.Workspace, float64) (allotment.Receipt, time.Duration, error) {
	f.leaveAt(holdCharge)
	return allotment.Receipt{}, 0, nil
}

func (f *departingFleet) Refund(allotment.Receipt) { f.refunds.Add(1) }

func (f *departingFleet) Origin(ctx context.Context, s catalog.Service, id string) (fleet.Software, error) {
	f.leaveAt(holdOrigin)
	return f.fakeFleet.Origin(ctx, s, id)
}

func (f *departingFleet) Ensure(context.Context, gateway.Target, fleet.Model, fleet.Adapter) error {
	f.leaveAt(holdAdapter)
	return nil
}

func (f *departingFleet) Admit(ctx context.Context, t gateway.Target, r *balance.Request, q gateway.Question) gateway.Admission {
	f.leaveAt(holdAdmit)
	return f.fakeFleet.Admit(ctx, t, r, q)
}

func (f *departingFleet) dial(ctx context.Context, id fleet.Endpoint, born int64, address string) (net.Conn, error) {
	conn, err := platform.DialEndpoint(ctx, id, born, address)
	f.leaveAt(holdConnect)
	return conn, err
}

func (f *departingFleet) Missing(gateway.Target, fleet.Model, fleet.Adapter) { f.leaveAt(holdRefused) }

// Where a request is held, the news that its caller has left may come together with the end of the wait.
func TestCallersThatLeaveWhileTheirRequestIsHeldReachNoEndpoint(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the end of a connection is looked for once nothing else runs
	tests := []struct {
		hold     hold
		kind     catalog.Kind
		resumes  bool
		arrivals int // at endpoints, of each request
	}{
		{hold: holdCharge, kind: catalog.KindUnsafe},
		{hold: holdOrigin, kind: catalog.KindStream, resumes: true},
		{hold: holdAdapter, kind: catalog.KindStream},
		{hold: holdAdmit, kind: catalog.KindStream},
		{hold: holdConnect, kind: catalog.KindSafe},
		{hold: holdConnect, kind: catalog.KindStream},
		{hold: holdConnect, kind: catalog.KindUnsafe},
		{hold: holdRefused, kind: catalog.KindStream, arrivals: 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.hold)+", "+string(tt.kind), func(t *testing.T) {
			callers := make(chan *net.TCPConn, 1)
			f := &departingFleet{hold: tt.hold, fakeFleet: newLargeFleet(t, tt.kind, 0)}
			var s *site
			f.leave = func() {
				select {
				case conn := <-callers:
					_ = conn.Close()
					s.awaitEnd(conn)
				default: // the caller stays
				}
			}
			f.loadsAdapter, f.retryBudget = true, leavingCallers*leavingCallers
			if tt.hold == holdRefused {
				without := standin.NewRunner("i-0", "s", "z", 2)
				t.Cleanup(without.Close)
				f.runners = []*standin.Runner{without, standin.NewRunner("i-1", "s", "z", 2, "m")}
				t.Cleanup(f.runners[1].Close)
			}
			endpoints := platform.NewEndpointClient(platform.WithEndpointDialer(f.dial))
			s = listen(t, f, endpoints)
			s.accept()
			for i := range leavingCallers {
				if tt.hold == holdConnect {
					endpoints.CloseAllIdle()
				} else {
					s.exchange(s.dial(), text(tt.kind, leavingCallers+i, 0)) // opens connections to the endpoints
				}
				served, refunds := f.arrivals(), f.refunds.Load()
				conn := s.dial()
				request := text(tt.kind, i, 0)
				if tt.resumes {
					request = strings.Replace(request, "Model:", "Last-Event-Id: 1\r\nResumes: r\r\nModel:", 1)
				}
				callers <- conn
				_, err := io.WriteString(conn, request)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return int(s.gateway.Ended()) == s.requests+i+1 }, 10*time.Second, time.Millisecond)
				require.Equal(t, served+tt.arrivals, f.arrivals(), "requests that reached an endpoint")
				require.Equal(t, refunds+1, f.refunds.Load())
			}
			assert.Zero(t, f.failed, "endpoints that are blamed")
		})
	}
}

// The second request on a kept connection is found together with its end.
func TestCallersThatLeaveAfterAnAnswerReachNoEndpoint(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the end of a connection is looked for once nothing else runs
	f := newLargeFleet(t, catalog.KindSafe, 0)
	s := listen(t, f, platform.NewEndpointClient())
	s.accept()
	for i := range leavingCallers {
		conn := s.dial()
		s.exchange(conn, text(catalog.KindSafe, i, 0))
		s.stall.Lock()
		_, err := io.WriteString(conn, text(catalog.KindSafe, leavingCallers+i, 0))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		time.Sleep(2 * time.Millisecond)
		s.stall.Unlock()
	}
	require.Eventually(t, func() bool { return s.closed.Load() == leavingCallers }, 10*time.Second, time.Millisecond)
	assert.Equal(t, leavingCallers, f.arrivals())
}

// Of a request that an endpoint hasn't read yet, what is still to be sent must not follow once its caller has left:
// the endpoint would run it.
func TestRestOfAnAbandonedRequestIsDropped(t *testing.T) {
	const size = 300 << 10
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	f := newLargeFleet(t, catalog.KindUnsafe, size)
	s := listen(t, f, platform.NewEndpointClient(platform.WithEndpointDialer(func(ctx context.Context, id fleet.Endpoint, born int64, _ string) (net.Conn, error) {
		conn, err := platform.DialEndpoint(ctx, id, born, endpoint.Addr().String())
		if err == nil {
			err = conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
		}
		return conn, err
	})))
	s.accept()
	caller := s.call(text(catalog.KindUnsafe, 1, size))
	conn, err := endpoint.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	time.Sleep(50 * time.Millisecond) // until the buffers are full
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return s.gateway.Ended() == 1 }, 10*time.Second, time.Millisecond)
	n, err := io.Copy(io.Discard, conn)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Less(t, n, int64(size))
}

// The time limit of a request that lay unread counts from its arrival, not from when the instance got to read it.
func TestTimeLimitsCountFromTheArrivalOfARequest(t *testing.T) {
	const unread = 700 * time.Millisecond
	tests := []struct {
		name   string
		limit  time.Duration
		status int
	}{
		{name: "over by then", limit: unread - 100*time.Millisecond, status: http.StatusServiceUnavailable},
		{name: "not over", limit: 1400 * time.Millisecond, status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newLargeFleet(t, catalog.KindSafe, 0)
			s := listen(t, f, platform.NewEndpointClient())
			conn := s.call(textWithin(tt.limit, catalog.KindSafe, 1, 0))
			time.Sleep(unread)
			s.accept()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.status, response.StatusCode)
			if tt.status != http.StatusOK {
				require.Zero(t, f.arrivals())
				return
			}
			left, err := strconv.Atoi(f.runners[0].Runs()[0].Header.Get(standin.Wait))
			require.NoError(t, err)
			assert.LessOrEqual(t, left, int((tt.limit-unread)/time.Millisecond)+50)
		})
	}
}
