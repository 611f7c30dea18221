// Package intake decides how many connections clients may have and how much memory these may hold, and which of
// them are closed when either is used up.
package intake

import (
	"errors"
	"time"
)

// Phase is what a connection does.
type Phase string

// The phases of a connection.
const (
	// PhaseIdle: no request runs, and nothing of the next one has been read.
	PhaseIdle Phase = "idle"
	// PhaseHead: a request's head is arriving.
	PhaseHead Phase = "head"
	// PhaseBody: a request runs while its body is arriving.
	PhaseBody Phase = "body"
	// PhaseRunning: a request runs that has been read whole. Such a connection is never closed.
	PhaseRunning Phase = "running"
	// PhaseStanding: the connection stands for many requests. It is closed for another one only.
	PhaseStanding Phase = "standing"
	// PhaseRefused: the connection is closed as soon as its client has read the refusal.
	PhaseRefused Phase = "refused"
)

const (
	// connectionCost is the memory in bytes of a connection without a request: its buffers and goroutine.
	connectionCost = 12 << 10
	// byteCost and lineCost are the memory in bytes of a request for each byte and each line of its head, with
	// the copies of its fields for an endpoint.
	byteCost, lineCost = 8, 320
	// ordinaryCost is what a connection may hold beyond connectionCost to use all of the memory. Those that
	// hold more leave a quarter of it to the others.
	ordinaryCost = 64 << 10
	// largeStay is how long a connection that isn't idle stays before it is closed for one that holds more than
	// ordinaryCost: as many that replace each other at once cost the memory of all until it is collected.
	largeStay = time.Second
)

// RequestCost returns the memory in bytes of a request from the size of its head and the number of its lines.
func RequestCost(size, lines int) int64 { return int64(size)*byteCost + int64(lines)*lineCost }

// TrailerCost returns the memory in bytes of the fields after a body.
func TrailerCost(s BodyScanner) int64 {
	if chunks, ok := s.(*ChunkScanner); ok {
		return int64(chunks.trailers) * lineCost
	}
	return 0
}

// Server is a server with a number of connections of its own.
type Server struct {
	// Reserve is the share of the memory that its connections leave to those of other servers.
	Reserve float64

	count int
}

// Connections is the number of its connections.
func (s *Server) Connections() int { return s.count }

// Conn is the account of a connection.
type Conn struct {
	server *Server
	phase  Phase
	since  time.Time // when the phase began
	held   int64     // memory in bytes beyond connectionCost
	served bool      // a request has ended
	index  int       // in the ledger, negative if it isn't there
}

// Phase returns what the connection does.
func (c *Conn) Phase() Phase { return c.phase }

func (c *Conn) cost() int64 { return connectionCost + c.held }

// Ledger keeps the accounts of all connections within a limit. It is not safe for concurrent use.
//
// Methods that take memory return the connections that must be closed for it; their accounts have ended.
type Ledger struct {
	limit, used int64
	conns       []*Conn
}

// NewLedger returns a ledger without connections, with a limit of memory in bytes.
func NewLedger(limit int64) *Ledger { return &Ledger{limit: limit} }

// Used returns the memory in bytes that all connections hold.
func (l *Ledger) Used() int64 { return l.used }

// Open opens the account of a new connection to a server, which may have a number of them. Without room for
// it, it returns nil.
func (l *Ledger) Open(s *Server, limit int, now time.Time) (*Conn, []*Conn) {
	var closed []*Conn
	for s.count >= limit {
		victim := l.Yield(s)
		if victim == nil {
			return nil, closed
		}
		closed = append(closed, victim)
	}
	c := &Conn{server: s, phase: PhaseIdle, since: now}
	closedForMemory, ok := l.makeRoom(c, connectionCost, now)
	closed = append(closed, closedForMemory...)
	if !ok {
		return nil, closed
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	l.used += c.cost()
	s.count++
	return c, closed
}

// Yield ends the account of the connection to a server, or to any if it is nil, that has been unused for
// longest, and returns it. It returns nil if requests run on all of them.
func (l *Ledger) Yield(s *Server) *Conn {
	var found *Conn
	for _, c := range l.conns {
		if s != nil && c.server != s || c.phase == PhaseRunning || s == nil && c.phase == PhaseStanding {
			continue
		}
		if found == nil || c.unusedRank() < found.unusedRank() || c.unusedRank() == found.unusedRank() && c.since.Before(found.since) {
			found = c
		}
	}
	if found != nil {
		l.Close(found)
	}
	return found
}

// Close ends an account. It may have ended before.
func (l *Ledger) Close(c *Conn) {
	if c.index < 0 {
		return
	}
	last := len(l.conns) - 1
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
	l.used -= c.cost()
	c.server.count--
	c.index = -1
}

// Enter begins a phase. What the connection holds stays.
func (l *Ledger) Enter(c *Conn, p Phase, now time.Time) {
	c.phase, c.since = p, now
}

// End ends a request: the connection holds nothing more.
func (l *Ledger) End(c *Conn, p Phase, now time.Time) {
	l.set(c, 0)
	c.served = true
	l.Enter(c, p, now)
}

// Errors of accounts that can't hold more.
var (
	// ErrEnded: the account has ended, as its connection was closed for another one.
	ErrEnded = errors.New("the connection was closed for another one")
	// ErrNoMemory: there is no room.
	ErrNoMemory = errors.New("no memory left for the connection")
)

// Hold sets the memory in bytes that a connection holds. With an error, it holds as much as before.
func (l *Ledger) Hold(c *Conn, bytes int64, now time.Time) ([]*Conn, error) {
	if c.index < 0 {
		return nil, ErrEnded
	}
	closed, ok := l.makeRoom(c, bytes-c.held, now)
	if !ok {
		return closed, ErrNoMemory
	}
	l.set(c, bytes)
	return closed, nil
}

// Run does as Hold does, and without an error begins PhaseRunning, from when on the connection isn't closed.
func (l *Ledger) Run(c *Conn, bytes int64, now time.Time) ([]*Conn, error) {
	closed, err := l.Hold(c, bytes, now)
	if err == nil {
		l.Enter(c, PhaseRunning, now)
	}
	return closed, err
}

func (l *Ledger) set(c *Conn, bytes int64) {
	if c.index >= 0 {
		l.used += bytes - c.held
	}
	c.held = bytes
}

// makeRoom ends accounts until there is room for a number of bytes.
func (l *Ledger) makeRoom(c *Conn, bytes int64, now time.Time) ([]*Conn, bool) {
	var closed []*Conn
	limit := l.limit - int64(c.server.Reserve*float64(l.limit))
	if c.held+bytes > ordinaryCost {
		limit -= limit / 4
	}
	for bytes > 0 && l.used+bytes > limit {
		victim := l.leastUseful(c, c.held+bytes, now)
		if victim == nil {
			return closed, false
		}
		l.Close(victim)
		closed = append(closed, victim)
	}
	return closed, true
}

// leastUseful returns the connection other than c that is closed first for a number of bytes, nil if none may be.
func (l *Ledger) leastUseful(c *Conn, bytes int64, now time.Time) *Conn {
	var found *Conn
	var foundRank int
	var foundWaste float64
	for _, candidate := range l.conns {
		rank := candidate.memoryRank()
		if rank == rankKept || candidate == c || rank != rankRefused && !candidate.givesWay(bytes, now) {
			continue
		}
		waste := float64(candidate.cost()) * (now.Sub(candidate.since) + time.Millisecond).Seconds()
		if found == nil || rank < foundRank || rank == foundRank && waste > foundWaste {
			found, foundRank, foundWaste = candidate, rank, waste
		}
	}
	return found
}

// givesWay reports whether a connection may be closed for one that needs a number of bytes: many with little
// memory aren't closed for one that needs much.
func (c *Conn) givesWay(bytes int64, now time.Time) bool {
	return 2*c.cost() >= bytes && (bytes <= ordinaryCost || now.Sub(c.since) >= largeStay)
}

// The ranks of connections in the order in which they are closed.
const (
	rankRefused = iota
	rankArriving
	rankNew // idle since they were opened
	rankIdle
	rankIncomplete
	rankKept
)

// memoryRank is the rank of a connection among those that are closed for memory: idle ones hold little, and
// their clients may send at any time.
func (c *Conn) memoryRank() int {
	switch {
	case c.phase == PhaseRefused:
		return rankRefused
	case c.phase == PhaseHead || c.phase == PhaseBody:
		return rankArriving
	case c.phase == PhaseIdle && !c.served:
		return rankNew
	case c.phase == PhaseIdle:
		return rankIdle
	default:
		return rankKept
	}
}

// unusedRank is the rank of a connection among those that are closed for another one.
func (c *Conn) unusedRank() int {
	switch {
	case c.phase == PhaseStanding:
		return rankIdle
	case c.memoryRank() == rankArriving:
		return rankIncomplete
	default:
		return c.memoryRank()
	}
}
