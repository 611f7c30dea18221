// Package pace decides whether an endpoint admits a request in time, and spreads the prompts
// that are sent there, so that the streams which run there keep their pauses short.
//
// Admission answers floods on endpoints with few slots, sent by hundreds of instances that
// learn each other's loads late. Pacing answers bursts of prompts on an endpoint that generates many streams: an engine
// prefills prompts in pieces between the tokens of running requests, so each event of every
// stream waits for the pieces of all prompts that are queued. Prompts that wait for a few
// ten milliseconds before they are sent cost no stream its pause.
//
// The package has no clock and no goroutine: callers pass the time.
package pace

import "time"

// rankCount is the number of ranks with a queue of their own; less urgent ones count as the last.
const rankCount = 3

// eventDecodeTime is how long an engine takes to generate the tokens of one event if it
// prefills nothing meanwhile: up to nine steps of 5 to 7 ms.
const eventDecodeTime = 65 * time.Millisecond

// maxPacedGap is the longest pause between events that queued prompts can exceed: an event
// takes at most nine steps, and each can include a piece of a prompt that takes 27 ms.
const maxPacedGap = 250 * time.Millisecond

// maxAdmitted bounds the admissions that are remembered: more than an endpoint takes between
// two reports.
const maxAdmitted = 1024

// Applies reports whether prompts must be paced for streams whose events may be gap apart.
func Applies(gap time.Duration) bool { return gap > eventDecodeTime && gap <= maxPacedGap }

// Work returns the time that a prompt occupies in the schedule, if prefill may take only
// the part of each gap that the tokens of an event leave.
func Work(prefill, gap time.Duration) time.Duration {
	return time.Duration(float64(prefill) * float64(gap) / float64(gap-eventDecodeTime))
}

// laneCount is the number of lanes: each rank has one for the requests that can be in time, and
// behind it one for late ones.
const laneCount = 2 * rankCount

func rankOf(level int) int { return min(level, rankCount-1) }

func lateLane(level int) int { return 2*rankOf(level) + 1 }

// Schedule is the schedule of one endpoint's prompts. The zero value is an empty schedule.
// It is not safe for concurrent use.
type Schedule struct {
	// busyUntil is, for each lane, when the scheduled prompts end that are in it or ahead of it.
	busyUntil [laneCount]time.Time
	// admitted are the times at which prompts were scheduled lately, in order.
	admitted []time.Time
	// arrived is the work scheduled in each lane, in seconds, decayed exponentially up to decayedAt.
	arrived   [laneCount]float64
	decayedAt time.Time
	waiting   []*waiter
	// returns is when the last of the refused callers has room that may come back.
	returns time.Time
}

// reportLag is how old the state in an endpoint's report may be when the report is taken.
const reportLag = 200 * time.Millisecond

// unreportedTime is how long a request may be missing from the newest report: a few probes.
const unreportedTime = time.Second

// Occupancy is what an endpoint reported of its requests.
type Occupancy struct {
	Slots int
	// Requests counts the running and the queued ones, as of ReportedAt.
	Requests   int
	ReportedAt time.Time
}

// SlotWait returns how long a request waits until one of the endpoint's slots is free, if a
// request runs for the given time: those that were reported and those admitted since hold one.
func (s *Schedule) SlotWait(o Occupancy, run time.Duration) time.Duration {
	if o.Slots <= 0 {
		return 0
	}
	for len(s.admitted) > 0 && s.admitted[0].Before(o.ReportedAt.Add(-reportLag)) {
		s.admitted = s.admitted[1:]
	}
	ahead := o.Requests + len(s.admitted) - o.Slots
	if ahead < 0 {
		return 0
	}
	return time.Duration(ahead+1) * run / time.Duration(o.Slots)
}

// Reserve schedules a prompt of a rank, 0 being the most urgent, and returns how long to wait
// before it is sent. If that is longer than limit, the prompt is not scheduled and ok is false.
func (s *Schedule) Reserve(now time.Time, level int, work, limit time.Duration) (wait time.Duration, ok bool) {
	lane := 2 * rankOf(level)
	wait = s.Wait(now, level)
	if wait > limit {
		return wait, false
	}
	s.schedule(now, lane, work)
	return wait, true
}

// Wait returns how long a prompt of a rank would wait.
func (s *Schedule) Wait(now time.Time, level int) time.Duration {
	return max(0, s.busyUntil[2*rankOf(level)].Sub(now))
}

// schedule adds a prompt to a lane.
func (s *Schedule) schedule(now time.Time, lane int, work time.Duration) {
	for l := lane; l < laneCount; l++ {
		if s.busyUntil[l].Before(now) {
			s.busyUntil[l] = now
		}
		s.busyUntil[l] = s.busyUntil[l].Add(work)
	}
	s.decay(now)
	s.arrived[lane] += work.Seconds()
	if s.admitted = append(s.admitted, now); len(s.admitted) > maxAdmitted {
		s.admitted = s.admitted[1:]
	}
}

// Idle reports whether the schedule affects no request: no prompt is scheduled or waits, and the
// endpoint's reports show all that were.
func (s *Schedule) Idle(now time.Time) bool {
	if s.expire(now); len(s.waiting) > 0 {
		return false
	}
	if n := len(s.admitted); n > 0 && now.Sub(s.admitted[n-1]) < unreportedTime {
		return false
	}
	return !now.Before(s.busyUntil[laneCount-1])
}
