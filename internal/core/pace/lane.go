package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the requests that wait for room at one endpoint.
	maxWaiting = 256
	// lateLead is how long before its turn a late request is sent, so that the endpoint has it when
	// it has room: the way there, and what a report of its load lags behind.
	lateLead = 250 * time.Millisecond
	// minAskAgain and maxAskAgain bound the time after which a waiting request asks again: turns
	// move less in a shorter time, and in a longer one another endpoint may have got room.
	minAskAgain, maxAskAgain = 100 * time.Millisecond, time.Second
	// askGrace is how long after that time the request is kept: the way of its question.
	askGrace = 150 * time.Millisecond
	// maxReturn limits the Retry-After of refused callers: few wait longer.
	maxReturn = 3 * time.Second
	// spareTurn is how many times as late as predicted the turn of a request may come that begins to
	// wait: one that is refused after a wait has waited in vain.
	spareTurn = 2
	// inflowHalfLife is the half-life of the work that arrives ahead of late requests.
	inflowHalfLife = time.Second
	// maxInflow leaves a part of the endpoint to late requests in their predicted turns.
	maxInflow = 0.8
)

// Late is a request that can't be answered within its target any more, but still in time for its
// caller.
type Late struct {
	// ID distinguishes it from others, in all of its questions.
	ID    uint64
	Level int
	Work  time.Duration
	// Waited is how long ago it arrived, Patience how long it can still wait before it is sent.
	Waited, Patience time.Duration
	// Asked is set if it has waited since an earlier question, Last if it doesn't ask again.
	Asked, Last bool
	// Yields is set if it gives way to all ranks.
	Yields bool
}

// Place is the answer to a late request.
type Place struct {
	// Turn is when the request is predicted to find room.
	Turn time.Duration
	// Admitted is set if it was scheduled and is to be sent now.
	Admitted bool
	// AskAgain is when it is to ask again, 0 if its turn comes too late for its caller.
	AskAgain time.Duration
	// Ahead counts the late requests before it.
	Ahead int
	// Return is when the caller of a request that is refused may come back.
	Return time.Duration
}

// waiter is a late request that is to ask again.
type waiter struct {
	Late
	arrived, expires time.Time
}

// before reports whether a waiter has its turn before one that asks later.
func (w *waiter) before(other *waiter) bool {
	if a, b := rankOf(w.Level), rankOf(other.Level); a != b {
		return a < b
	}
	return !other.arrived.Before(w.arrived)
}

// Queue decides on a late request: it is sent when the work ahead of it is done, kept waiting
// while its caller has the time, and refused otherwise. Slot is how long all slots stay taken.
//
// It answers bursts of a few seconds at endpoints that have room again soon afterwards. A late
// request takes its turn after all of its rank that can be in time, also those that arrive later:
// their inflow is counted in its turn. In a lasting overload that fills the endpoint with requests
// in time, late ones are refused at once.
func (s *Schedule) Queue(now time.Time, late Late, slot time.Duration) Place {
	s.expire(now)
	s.Withdraw(late.ID)
	w := &waiter{Late: late, arrived: now.Add(-late.Waited)}
	if late.Yields {
		w.Level = rankCount - 1
	}
	lane, place := lateLane(w.Level), Place{}
	work := max(0, s.busyUntil[lane].Sub(now))
	for _, other := range s.waiting {
		if other.before(w) {
			work += other.Work
			place.Ahead++
		}
	}
	place.Turn = max(slot, time.Duration(float64(work)/(1-s.inflow(now, lane))))
	worst := place.Turn
	if !late.Asked && place.Turn > lateLead {
		worst *= spareTurn
	}
	switch {
	case worst > late.Patience:
		place.Return = s.nextReturn(now, lane, late.Work, place.Turn)
		return place
	case place.Turn <= lateLead || late.Last:
		s.schedule(now, lane, late.Work)
		place.Admitted = true
	case len(s.waiting) < maxWaiting:
		place.AskAgain = min(max(place.Turn-lateLead, minAskAgain), maxAskAgain)
		w.expires = now.Add(place.AskAgain + askGrace)
		s.waiting = append(s.waiting, w)
	default:
		place.Return = s.nextReturn(now, lane, late.Work, place.Turn)
	}
	return place
}

// nextReturn returns when the caller of a refused request may come back: after its turn, and after the
// callers refused before it by as much time as the endpoint needs for their work.
//
// It answers callers that were refused together and would come back together, and those who repeat
// at once several times: each repetition gets a later time.
func (s *Schedule) nextReturn(now time.Time, lane int, work, turn time.Duration) time.Duration {
	if earliest := now.Add(min(turn, maxReturn)); s.returns.Before(earliest) || s.returns.Sub(now) > maxReturn {
		s.returns = earliest
	}
	at := s.returns.Sub(now)
	s.returns = s.returns.Add(time.Duration(float64(work) / (1 - s.inflow(now, lane))))
	return at
}

// Displaced returns how long a prompt of a rank would wait behind the more urgent ones that are
// scheduled and those that will come meanwhile.
//
// It answers bursts of urgent requests, which keep less urgent ones with a long target waiting at an
// endpoint that they were sent to.
func (s *Schedule) Displaced(now time.Time, level int) time.Duration {
	lane := 2 * rankOf(level)
	return time.Duration(float64(s.Wait(now, level)) / (1 - s.inflow(now, lane)))
}

// Withdraw removes a late request that no longer waits.
func (s *Schedule) Withdraw(id uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.ID == id })
}

// expire removes the late requests that have not asked again.
func (s *Schedule) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w.expires.Before(now) })
}

// inflow returns the part of the endpoint's time that is taken by work ahead of a lane.
func (s *Schedule) inflow(now time.Time, lane int) float64 {
	s.decay(now)
	total := 0.0
	for _, work := range s.arrived[:lane] {
		total += work
	}
	return min(total*math.Ln2/inflowHalfLife.Seconds(), maxInflow)
}

// decay ages the work that has arrived, in seconds by lane.
func (s *Schedule) decay(now time.Time) {
	if elapsed := now.Sub(s.decayedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(inflowHalfLife))
		for i := range s.arrived {
			s.arrived[i] *= factor
		}
		s.decayedAt = now
	}
}
