package gateway

import (
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

const (
	// minSilence is the shortest time without a first byte after which an endpoint counts as
	// silent, longer than a few network round trips.
	minSilence = 400 * time.Millisecond
	// maxSilence is the longest one: callers abandon streams after two seconds or more
	// without an event.
	maxSilence = 1800 * time.Millisecond
	// minInsistWait is the shortest further silence after which a second endpoint that refused the
	// request gets it all the same: sound endpoints pause for about a second.
	minInsistWait = 600 * time.Millisecond
	// predictedFactor is how many times the predicted wait a first byte may take, since
	// predictions can be too short.
	predictedFactor = 3
	// targetFactor is how many times the route's latency target an answer other than a
	// stream may take.
	targetFactor = 2
	// eventGapFactor is how many times the route's MaxEventGap a stream may pause. Callers
	// abandon it after eight times that gap.
	eventGapFactor = 4
)

// errNoLongerSilent is returned if an endpoint went on before the request was sent to another.
var errNoLongerSilent = errors.New("the endpoint is no longer silent")

// silence is an attempt whose endpoint has sent nothing for too long.
type silence struct {
	attempt  *attempt
	progress int // of the attempt, when its endpoint fell silent
	// insistent is set if it has lasted since a second endpoint refused the request.
	insistent bool
}

// over reports whether the attempt has passed on something since, or is doing so, which takes long if the
// caller reads slowly. The delivery must be locked.
func (s *silence) over() bool { return s.attempt.passing || s.attempt.progress != s.progress }

// silenceTimer tells its job of an attempt whose endpoint sends nothing for too long.
type silenceTimer struct {
	attempt *attempt
	timers  Timers // nil if the request may not be sent to two endpoints
	stop    func()
}

// newSilenceTimer returns the timer of an attempt.
func (j *job) newSilenceTimer(a *attempt) *silenceTimer {
	s := &silenceTimer{attempt: a, stop: func() {}}
	if j.route.Repeatable() {
		s.timers = j.gateway.timers
	}
	return s
}

// firstByteTimeout returns after what time without a first byte the endpoint counts as silent.
func (j *job) firstByteTimeout(t Target) time.Duration {
	timeout := targetFactor * j.route.Target
	if j.route.Kind == catalog.KindStream {
		timeout = max(j.route.Target, predictedFactor*t.Wait+minSilence)
	}
	return min(max(timeout, minSilence), maxSilence)
}

// insistLater has a second endpoint asked again if the first stays silent for as long again. The
// request is late by then, so the next one is not refused for that.
func (j *job) insistLater(first *attempt) {
	quiet := silence{attempt: first, progress: j.delivery.progressOf(first), insistent: true}
	wait := j.firstByteTimeout(first.target)
	if quiet.progress > 0 {
		wait = eventGapFactor * j.route.MaxEventGap
	}
	first.quiet = nil
	j.stopInsisting = j.gateway.timers.After(max(wait, minInsistWait), func(time.Time) { j.reportSilence(quiet) })
}

func (j *job) reportSilence(s silence) {
	select {
	case j.silent <- s:
	default: // the job is ending
	}
}

// start restarts the timeout for the next byte. A timeout of 0 means no limit.
func (s *silenceTimer) start(timeout time.Duration) {
	s.close()
	if s.timers == nil || timeout <= 0 {
		return
	}
	j := s.attempt.job
	quiet := silence{attempt: s.attempt, progress: j.delivery.progressOf(s.attempt)}
	s.stop = s.timers.After(timeout, func(time.Time) { j.reportSilence(quiet) })
}

func (s *silenceTimer) close() {
	s.stop()
	s.stop = func() {}
}
