// Package ingress bounds what the clients of HTTP servers may hold: it reads the head of each request up to
// its end before net/http parses it, and keeps the connections of all servers of an instance within one
// budget of memory, and those of each server within its share of the descriptors.
//
//	gate := ingress.New(ingress.Limits{...})
//	server := &http.Server{...}
//	server.Serve(gate.Guard(server, listener, ingress.Side{Name: "callers", Share: 0.5}))
//
// Requests that run are never closed: of the others, those go first that hold most for longest.
package ingress

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/chiveramp/chiveramp/internal/core/intake"
	"github.com/chiveramp/chiveramp/internal/presence"
)

// reportInterval is the shortest time between two log lines with the same cause.
const reportInterval = time.Second

// Cause is why a connection is closed.
type Cause string

// The causes for which connections are closed.
const (
	// CauseMemory: the memory for connections is used up.
	CauseMemory Cause = "memory"
	// CauseDescriptors: the server has as many connections as it may.
	CauseDescriptors Cause = "descriptors"
	// CauseHeadSize: a head is larger than allowed.
	CauseHeadSize Cause = "head size"
	// CauseHeadTime: a head has taken too long to arrive.
	CauseHeadTime Cause = "head time"
)

// Limits limits the connections of a Gate.
type Limits struct {
	// Memory is the memory in bytes of the heads, requests and connections of all servers.
	Memory int64
	// Head is the largest size of a head in bytes, HeadTime how long it may take from its first to its last byte.
	Head     int
	HeadTime time.Duration
	// WriteTime is how long a write may take for which the server has set no deadline.
	WriteTime time.Duration
	// Descriptors is how many descriptors the process may open, unless the system's limit is lower. At 0 only
	// that one counts.
	Descriptors int
}

// Side is one of the servers behind a gate.
type Side struct {
	// Name is its name in logs and metrics.
	Name string
	// Share is the share of the process's descriptors that its connections may take.
	Share float64
	// Connections is how many connections it may have, 0 for as many as its share allows.
	Connections int
	// Reserve is the share of the memory that its connections leave to those of other sides.
	Reserve float64
}

// Clock returns the current time.
type Clock func() time.Time

// Gate limits the connections of HTTP servers. It is safe for concurrent use.
type Gate struct {
	limits   Limits
	clock    Clock
	logger   log.Logger
	registry metrics.Registry
	echoed   string // the field that refusals repeat, empty for none

	lingering errgroup.Group // of closed connections

	mu      sync.Mutex
	ledger  *intake.Ledger
	conns   map[*intake.Conn]*conn
	reports map[Cause]report
}

// report is the state of the log lines of a cause.
type report struct {
	at     time.Time // of the last line
	unsaid int       // connections closed since
}

// Option configures a Gate.
type Option func(*Gate)

// WithLogger sets the logger for closed connections.
func WithLogger(l log.Logger) Option { return func(g *Gate) { g.logger = l } }

// WithRegistry sets the registry of the counter closed_connections and the gauge connection_memory.
func WithRegistry(r metrics.Registry) Option { return func(g *Gate) { g.registry = r } }

// WithClock sets the clock.
func WithClock(c Clock) Option { return func(g *Gate) { g.clock = c } }

// WithEcho sets the header field of a request that refusals repeat.
func WithEcho(field string) Option { return func(g *Gate) { g.echoed = field } }

// New returns a gate without connections.
func New(l Limits, options ...Option) *Gate {
	g := &Gate{
		limits: l, clock: time.Now, logger: log.NewNopLogger(), registry: metrics.NewRegistry(),
		ledger: intake.NewLedger(l.Memory), conns: make(map[*intake.Conn]*conn), reports: make(map[Cause]report),
	}
	for _, o := range options {
		o(g)
	}
	_ = g.registry.Register("connection_memory", metrics.NewFunctionalGauge(g.used)) // fails if it is there already
	return g
}

func (g *Gate) used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Used()
}

// Guard prepares a server of HTTP/1 without TLS, whose handler and hooks are set, and returns the listener that it
// must serve.
func (g *Gate) Guard(s *http.Server, l net.Listener, side Side) net.Listener {
	handler, state, contextOf := s.Handler, s.ConnState, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin(r)
		}
		handler.ServeHTTP(w, r)
	})
	s.DisableGeneralOptionsHandler = true // it would read bodies past this handler
	s.ConnState = func(nc net.Conn, to http.ConnState) {
		if c, ok := nc.(*conn); ok {
			c.observe(to)
		}
		if state != nil {
			state(nc, to)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if contextOf != nil {
			ctx = contextOf(ctx, nc)
		}
		if c, ok := nc.(*conn); ok {
			ctx = presence.With(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	return newListener(g, l, side)
}

// Limit returns a listener for a server of another protocol, which keeps its connections within their share: for
// a new one, the one that has sent nothing for longest is closed.
func (g *Gate) Limit(l net.Listener, side Side) net.Listener {
	limited := newListener(g, l, side)
	limited.standing = true
	return limited
}

// connKey is the key of a request's connection.
type connKey struct{}

// listener passes on connections that are within the limits.
type listener struct {
	net.Listener
	gate    *Gate
	side    Side
	account intake.Server
	// standing is set if its connections are not those of an HTTP/1 server.
	standing bool
}

func newListener(g *Gate, l net.Listener, side Side) *listener {
	return &listener{Listener: l, gate: g, side: side, account: intake.Server{Reserve: side.Reserve}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, unix.EMFILE) && l.gate.yield() {
			continue
		}
		if err != nil {
			return nil, err
		}
		c := l.gate.open(raw, l)
		switch {
		case c != nil && l.standing:
			return newStandingConn(c), nil
		case c != nil:
			return c, nil
		}
		_ = raw.Close()
	}
}

// open opens the account of a connection. Without room for it, it returns nil.
func (g *Gate) open(raw net.Conn, l *listener) *conn {
	limit := int(l.side.Share * float64(g.descriptors()))
	if l.side.Connections > 0 {
		limit = min(limit, l.side.Connections)
	}
	g.mu.Lock()
	cause := CauseMemory
	if l.account.Connections() >= limit {
		cause = CauseDescriptors
	}
	account, closed := g.ledger.Open(&l.account, limit, g.clock())
	victims := g.remove(closed)
	var c *conn
	if account != nil {
		c = &conn{Conn: raw, gate: g, name: l.side.Name, account: account}
		g.conns[account] = c
	}
	g.mu.Unlock()
	g.closeAll(victims, cause)
	if c == nil {
		g.report(l.side.Name, cause)
	}
	return c
}

// descriptors returns how many descriptors the process may open. The system's limit may change while it runs.
func (g *Gate) descriptors() int {
	var limit unix.Rlimit
	most := g.limits.Descriptors
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && (most <= 0 || limit.Cur < uint64(most)) {
		most = int(min(limit.Cur, math.MaxInt32))
	}
	return most
}

// yield closes a connection for another part of the process, and reports whether there was one.
func (g *Gate) yield() bool {
	g.mu.Lock()
	var victims []*conn
	if c := g.ledger.Yield(nil); c != nil {
		victims = g.remove([]*intake.Conn{c})
	}
	g.mu.Unlock()
	g.closeAll(victims, CauseDescriptors)
	return len(victims) > 0
}

// hold sets what a connection holds.
func (g *Gate) hold(c *conn, bytes int64) error { return g.take(g.ledger.Hold, c, bytes) }

// run sets what a connection holds, from now on for a request that was read whole.
func (g *Gate) run(c *conn, bytes int64) error { return g.take(g.ledger.Run, c, bytes) }

func (g *Gate) take(hold func(*intake.Conn, int64, time.Time) ([]*intake.Conn, error), c *conn, bytes int64) error {
	g.mu.Lock()
	closed, err := hold(c.account, bytes, g.clock())
	victims := g.remove(closed)
	g.mu.Unlock()
	g.closeAll(victims, CauseMemory)
	return err
}

// enter begins a phase of a connection.
func (g *Gate) enter(c *conn, p intake.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Enter(c.account, p, g.clock())
}

// end ends a connection's request.
func (g *Gate) end(c *conn, p intake.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.End(c.account, p, g.clock())
}

// forget ends the account of a connection that is closed.
func (g *Gate) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(c.account)
	delete(g.conns, c.account)
}

// remove returns the connections of ended accounts. The caller holds the lock.
func (g *Gate) remove(accounts []*intake.Conn) []*conn {
	var conns []*conn
	for _, a := range accounts {
		conns = append(conns, g.conns[a])
		delete(g.conns, a)
	}
	return conns
}

func (g *Gate) closeAll(conns []*conn, cause Cause) {
	for _, c := range conns {
		_ = c.Conn.Close() // its server notices by the error of its read
		g.report(c.name, cause)
	}
}

// report counts closed connections, and logs some of them.
func (g *Gate) report(name string, cause Cause) {
	metrics.GetOrRegisterCounter("closed_connections;server="+name+";cause="+string(cause), g.registry).Inc(1)
	g.mu.Lock()
	now, r := g.clock(), g.reports[cause]
	r.unsaid++
	due := now.Sub(r.at) >= reportInterval
	line := r.unsaid
	if due {
		r = report{at: now}
	}
	g.reports[cause] = r
	used := g.ledger.Used()
	g.mu.Unlock()
	if due {
		_ = level.Warn(g.logger).Log("step", "close connections", "server", name, "cause", string(cause), "count", line, "memory", used)
	}
}
