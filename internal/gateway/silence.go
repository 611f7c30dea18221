package gateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

// errStalled ends an attempt at an endpoint that says nothing.
var errStalled = errors.New("endpoint is silent")

const (
	// minStallTimeout is the shortest wait for a first byte, over some round trips.
	minStallTimeout = 400 * time.Millisecond
	// maxStallTimeout bounds it: callers leave streams after two seconds and more.
	maxStallTimeout = 1800 * time.Millisecond
	// predictedFactor allows for predictions that are short of what is seen.
	predictedFactor = 3
	// targetFactor is how many targets a plain answer may take.
	targetFactor = 2
	// eventGapFactor is how many times the longest pause in time a stream may pause.
	// Callers leave after eight of them.
	eventGapFactor = 4
)

// stallTimer ends an attempt when its endpoint says nothing for too long, and another
// endpoint is there to take the request.
type stallTimer struct {
	timers Timers
	// takeRetry takes the right to go on elsewhere, if there is one.
	takeRetry func() bool
	// retryTaken is set once it was taken.
	retryTaken atomic.Bool
	cancel     context.CancelCauseFunc
	stop       func()
}

// newStallTimer returns the watch over an attempt. It does nothing where the request can't
// be sent to another endpoint.
func (j *job) newStallTimer(cancel context.CancelCauseFunc) *stallTimer {
	query := j.query
	query.Exclude = append(slices.Clone(query.Exclude), j.target.ID)
	s := &stallTimer{timers: j.gateway.timers, cancel: cancel, stop: func() {}}
	s.takeRetry = func() bool { return j.gateway.fleet.HasAlternative(&query) && j.gateway.fleet.TakeRetry(j.service) }
	if j.gateway.timers == nil || !j.route.Repeatable() || j.sent+1 >= j.route.Attempts {
		s.timers = nil
		return s
	}
	timeout := targetFactor * j.route.Target
	if j.route.Kind == catalog.KindStream {
		timeout = max(j.route.Target, predictedFactor*j.target.Wait+minStallTimeout)
	}
	s.reset(min(max(timeout, minStallTimeout), maxStallTimeout))
	return s
}

// reset waits anew for the next byte, without end if the wait isn't set.
func (s *stallTimer) reset(timeout time.Duration) {
	if s.timers == nil {
		return
	}
	s.stop()
	if s.stop = func() {}; timeout <= 0 {
		return
	}
	s.stop = s.timers.After(timeout, func(time.Time) {
		if s.takeRetry() {
			s.retryTaken.Store(true)
			s.cancel(errStalled)
		}
	})
}

func (s *stallTimer) close() { s.stop() }
