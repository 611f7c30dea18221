package caller

import (
	"errors"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/arrival"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// slotCost has a body count that holds no memory: its request has a place.
const slotCost = 1

// streamedAfter is how much of the body of a request to a service is held if it has no idempotency key. What
// follows is streamed.
const streamedAfter = 64 << 10

var (
	// errBodiesEnded ends the reads of bodies that are still arriving as the instance shuts down.
	errBodiesEnded = errors.New("the instance shuts down before the body has arrived")
	// errBodyMemory ends the reads of bodies for which there is no memory.
	errBodyMemory = errors.New("the memory for bodies is used up")
	// errBodySlot ends the reads of a body whose request gives its place to another one.
	errBodySlot = errors.New("the instance is at its limit of requests in flight, and the body arrives slowly")
)

// bodies are the request bodies that callers send, and their memory. It is safe for concurrent use.
type bodies struct {
	limit int64 // in bytes, 0 for none

	mu       sync.Mutex
	ended    bool
	used     int64
	arriving map[*stallGuard]struct{}
}

// arrivingBody is the state of a body. It belongs to the bodies.
type arrivingBody struct {
	since          time.Time
	most           int64 // is held of it
	received, held int64
	complete       bool  // as much as is held of it has arrived: its request runs
	err            error // why its request is refused
}

// EndBodies fails the reads of the request bodies that are still arriving, and all later ones.
func (s *Server) EndBodies() {
	b := &s.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for g := range b.arriving {
		b.refuse(g, errBodiesEnded)
	}
}

// refuse ends the reads of a body and releases its memory. The bodies must be locked.
func (b *bodies) refuse(g *stallGuard, err error) {
	g.err = err
	g.expire()
	b.drop(g)
}

// drop releases the memory of a body. The bodies must be locked.
func (b *bodies) drop(g *stallGuard) {
	b.used -= g.held
	g.held = 0
	delete(b.arriving, g)
}

// release releases the memory of a body whose request has ended.
func (b *bodies) release(g *stallGuard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(g)
}

// beginRead returns an error if the body may not be read.
func (b *bodies) beginRead(g *stallGuard) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended && g.err == nil {
		b.refuse(g, errBodiesEnded)
	}
	if g.err != nil {
		return g.err
	}
	if b.arriving == nil {
		b.arriving = make(map[*stallGuard]struct{})
	}
	b.arriving[g] = struct{}{}
	g.await()
	return nil
}

// endRead takes the memory for what was read, and returns the error of the read.
func (b *bodies) endRead(g *stallGuard, n int, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.err != nil {
		return g.err
	}
	g.received += int64(n)
	if more := min(g.received, g.most) - g.held; !b.take(g, more) {
		b.refuse(g, errBodyMemory)
		return g.err
	}
	g.complete = g.received >= g.most
	if err != nil {
		delete(b.arriving, g)
	}
	g.succeed(err)
	return err
}

// take takes memory for a body, if need be from slower ones. The bodies must be locked.
func (b *bodies) take(g *stallGuard, more int64) bool {
	for b.limit > 0 && more > 0 && b.used+more > b.limit {
		slowest := b.slowest(g.arrival(time.Now()), 0)
		if slowest == nil {
			return false
		}
		b.refuse(slowest, errBodyMemory)
	}
	g.held += more
	b.used += more
	return true
}

// yieldSlot refuses the slowest request whose body is arriving, for a new one, and reports whether there was one.
func (b *bodies) yieldSlot() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slowest := b.slowest(arrival.Body{}, slotCost)
	if slowest == nil {
		return false
	}
	b.refuse(slowest, errBodySlot)
	return true
}

// slowest returns the body that gives way to another one, nil if none does. Each is taken to hold some more bytes
// than its memory. The bodies must be locked.
func (b *bodies) slowest(newcomer arrival.Body, more int64) *stallGuard {
	now := time.Now()
	var found *stallGuard
	var foundBody arrival.Body
	for g := range b.arriving {
		body := arrival.New(now.Sub(g.since), g.received, g.held+more)
		if !g.complete && body.YieldsTo(newcomer) && (found == nil || body.YieldsBefore(foundBody)) {
			found, foundBody = g, body
		}
	}
	return found
}

func (a *arrivingBody) arrival(now time.Time) arrival.Body {
	return arrival.New(now.Sub(a.since), a.received, a.held)
}

// refusal returns the end of a request whose body was refused, nil if it wasn't.
func (b *bodies) refusal(g *stallGuard) *peerpb.End {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(g.err, errBodiesEnded):
		return dispatch.RefuseForShutdown()
	case g.err != nil:
		return refuseBusy("read body", g.err.Error())
	default:
		return nil
	}
}
