package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/arrival"
)

// arrivingBody is the body of a request that is being read. It counts what has arrived.
type arrivingBody struct {
	source         io.Reader
	received, held atomic.Int64  // bytes
	settled        atomic.Bool   // it was read, or it gives way
	released       chan struct{} // closed once the memory of a body that gave way is free, else nil; guarded by the set's lock
}

func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.received.Add(int64(n))
	return n, err
}

// settle records that the body was read, or gives way, and reports whether neither was recorded before: a
// body that was read doesn't give way, and a request that gives way isn't served.
func (b *arrivingBody) settle() bool { return b.settled.CompareAndSwap(false, true) }

// arrival returns the state of a request's body.
func (r *activeRequest) arrival(now time.Time) arrival.Body {
	return arrival.New(now.Sub(r.arrived), r.body.received.Load(), r.body.held.Load())
}

// yielding calls a function for the requests that would give way to another one. The requests must be locked.
func (s *activeRequests) yielding(to *activeRequest, fn func(r *activeRequest, body arrival.Body)) {
	now := s.clock()
	newcomer := to.arrival(now)
	for r := range s.all {
		if r == to || r.body.held.Load() == 0 || r.body.settled.Load() {
			continue
		}
		if b := r.arrival(now); b.YieldsTo(newcomer) {
			fn(r, b)
		}
	}
}

// yieldingBytes returns the memory for bodies that a request could get from others.
func (s *activeRequests) yieldingBytes(to *activeRequest) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	s.yielding(to, func(_ *activeRequest, body arrival.Body) { total += body.Held() })
	return total
}

// makeRoom has other requests give way to one until it has taken the memory that it lacks, and reports
// whether it has.
func (s *activeRequests) makeRoom(to *activeRequest, take func() bool) bool {
	for {
		released := s.endSlowest(to)
		if released == nil {
			return take()
		}
		<-released // doesn't deadlock: a request that gives way ends no other one
		if take() {
			return true
		}
	}
}

// endSlowest ends the body that gives way first, and returns a channel that is closed once its memory is
// free. It returns nil if none gives way.
func (s *activeRequests) endSlowest(to *activeRequest) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !to.body.settled.Load() {
		var slowest *activeRequest
		var slowestBody arrival.Body
		s.yielding(to, func(r *activeRequest, body arrival.Body) {
			if slowest == nil || body.YieldsBefore(slowestBody) {
				slowest, slowestBody = r, body
			}
		})
		if slowest == nil {
			break
		}
		if slowest.body.settle() {
			slowest.body.released = make(chan struct{})
			slowest.end()
			return slowest.body.released
		}
	}
	return nil
}

// releaseBody records that the memory of a request whose body was not read is free.
func (s *activeRequests) releaseBody(r *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.body.signalRelease()
}

func (b *arrivingBody) signalRelease() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}
