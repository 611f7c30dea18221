package gateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

// errSilent ends an attempt at an endpoint that says nothing.
var errSilent = errors.New("endpoint is silent")

const (
	// leastSilence is the shortest wait for a first byte, over some round trips.
	leastSilence = 400 * time.Millisecond
	// mostSilence bounds it: callers leave streams after two seconds and more.
	mostSilence = 1800 * time.Millisecond
	// predictedFactor allows for predictions that are short of what is seen.
	predictedFactor = 3
	// targetFactor is how many targets a plain answer may take.
	targetFactor = 2
	// gapFactor is how many times the longest pause in time a stream may pause.
	// Callers leave after eight of them.
	gapFactor = 4
)

// silence ends an attempt when its endpoint says nothing for too long, and another
// endpoint is there to take the request.
type silence struct {
	timers Timers
	// other takes the right to go on elsewhere, if there is one.
	other func() bool
	// taken is set once it was taken.
	taken atomic.Bool
	end   context.CancelCauseFunc
	stop  func()
}

// watch returns the watch over an attempt. It does nothing where the request can't
// be sent to another endpoint.
func (j *job) watch(end context.CancelCauseFunc) *silence {
	ask := j.ask
	ask.Exclude = append(slices.Clone(ask.Exclude), j.target.ID)
	s := &silence{timers: j.gateway.timers, end: end, stop: func() {}}
	s.other = func() bool { return j.gateway.fleet.Elsewhere(&ask) && j.gateway.fleet.Again(j.service) }
	if j.gateway.timers == nil || !j.route.Repeatable() || j.sent+1 >= j.route.Attempts {
		s.timers = nil
		return s
	}
	wait := targetFactor * j.route.Target
	if j.route.Kind == catalog.KindStream {
		wait = max(j.route.Target, predictedFactor*j.target.Wait+leastSilence)
	}
	s.expect(min(max(wait, leastSilence), mostSilence))
	return s
}

// expect waits anew for the next byte, without end if the wait isn't set.
func (s *silence) expect(wait time.Duration) {
	if s.timers == nil {
		return
	}
	s.stop()
	if s.stop = func() {}; wait <= 0 {
		return
	}
	s.stop = s.timers.After(wait, func(time.Time) {
		if s.other() {
			s.taken.Store(true)
			s.end(errSilent)
		}
	})
}

func (s *silence) close() { s.stop() }
