package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/presence"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// Phase is how far a request has got.
type Phase string

// The phases of a request, in their order.
const (
	PhaseReading   Phase = "reading"   // its body is arriving
	PhaseWaiting   Phase = "waiting"   // no endpoint has received it
	PhaseSent      Phase = "sent"      // an endpoint has received it, no part of an answer was passed on
	PhaseAnswering Phase = "answering" // a part of the answer was passed on
)

// Active is a request that has not ended.
type Active struct {
	ID, Route string
	Phase     Phase
	// Endpoint is the one chosen last, empty before the first choice.
	Endpoint fleet.Endpoint
	Age      time.Duration
}

// activeRequests are the requests that have not ended. They are safe for concurrent use.
type activeRequests struct {
	clock Clock
	mu    sync.Mutex
	all   map[*activeRequest]struct{}
	ended bool // no further request is taken
	// removed is how many requests have ended.
	removed int64
	// agesRecordedAt is when the ages of the requests that run were last recorded.
	agesRecordedAt time.Time
}

// activeRequest is one of them. Its fields belong to the set, except for its body.
type activeRequest struct {
	id       string
	set      *activeRequests
	arrived  time.Time
	body     arrivingBody
	end      func() // ends the request with a refusal, unless its answer has begun
	job      *job   // nil until the request was read and has a route
	endpoint fleet.Endpoint
	sentAt   time.Time // when it was first sent to an endpoint, 0 before
	leftAt   time.Time // when its caller was seen to have left, 0 before
}

// add adds a request whose body is arriving. end ends that.
func (s *activeRequests) add(arrived time.Time, end func()) *activeRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[*activeRequest]struct{})
	}
	r := &activeRequest{set: s, arrived: arrived, end: end}
	s.all[r] = struct{}{}
	return r
}

func (s *activeRequests) remove(r *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, r)
	s.removed++
	r.body.signalRelease()
}

// decoded records the id of a request once its head was read.
func (s *activeRequests) decoded(r *activeRequest, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.id = id
}

// watch records when the caller of a request leaves, and counts the phase in which it does, until the returned
// function is called.
func (g *Gateway) watch(ctx context.Context, r *activeRequest) (stop func() bool) {
	return context.AfterFunc(ctx, func() { g.left(r) })
}

// hasLeft reports whether a caller has left.
func (*Gateway) hasLeft(c presence.Caller) bool {
	return c.Left() && !switches.Off(switches.Departure)
}

// left records that the caller of a request has left.
func (g *Gateway) left(r *activeRequest) {
	now := g.clock()
	g.active.mu.Lock()
	known := !r.leftAt.IsZero()
	if !known {
		r.leftAt = now
	}
	phase := r.phase()
	g.active.mu.Unlock()
	if !known {
		g.stats.Abandoned(phase)
	}
}

// times returns how long after its arrival a request was first sent to an endpoint, and how long after it its
// caller was seen to have left, 0 if that hasn't happened.
func (s *activeRequests) times(r *activeRequest) (sent, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.sentAt.IsZero() {
		sent = r.sentAt.Sub(r.arrived)
	}
	if !r.leftAt.IsZero() {
		left = r.leftAt.Sub(r.arrived)
	}
	return sent, left
}

// begin records the job that serves a request, and what ends it.
func (s *activeRequests) begin(r *activeRequest, j *job, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.job, r.end = j, end
	if s.ended {
		end()
	}
}

// hasEnded reports whether no further request is taken.
func (s *activeRequests) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// refuseNew has no further request taken.
func (s *activeRequests) refuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// endUnanswered ends the requests whose answers have not begun, and all that come later.
func (s *activeRequests) endUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for r := range s.all {
		if r.phase() != PhaseAnswering {
			r.end()
		}
	}
}

// chosen records the endpoint chosen for a request.
func (s *activeRequests) chosen(r *activeRequest, id fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.endpoint = id
}

func (r *activeRequest) phase() Phase {
	switch {
	case r.job == nil:
		return PhaseReading
	case r.job.delivery.begun():
		return PhaseAnswering
	case r.job.sent.Load() > 0:
		return PhaseSent
	default:
		return PhaseWaiting
	}
}

// Ended returns how many requests have ended.
func (g *Gateway) Ended() int64 {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	return g.active.removed
}

// Active returns the requests that have not ended, the oldest first.
func (g *Gateway) Active() []Active {
	now := g.clock()
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	all := make([]Active, 0, len(g.active.all))
	for r := range g.active.all {
		a := Active{ID: r.id, Phase: r.phase(), Endpoint: r.endpoint, Age: now.Sub(r.arrived)}
		if r.job != nil {
			a.Route = r.job.route.Name
		}
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b Active) int { return int(b.Age - a.Age) })
	return all
}
