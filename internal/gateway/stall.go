package gateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

// errStalled cancels an attempt whose endpoint sends nothing.
var errStalled = errors.New("endpoint stalled")

const (
	// minStallTimeout is the shortest timeout for the first byte, longer than a few network
	// round trips.
	minStallTimeout = 400 * time.Millisecond
	// maxStallTimeout is the longest one: callers abandon streams after two seconds or more
	// without an event.
	maxStallTimeout = 1800 * time.Millisecond
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

// stallTimer cancels an attempt when its endpoint sends nothing for too long and another
// endpoint can take the request.
type stallTimer struct {
	timers Timers
	// takeRetry takes a retry from the budget if another endpoint can take the request, and
	// reports whether it did.
	takeRetry func() bool
	// retryTaken is set once takeRetry has returned true.
	retryTaken atomic.Bool
	cancel     context.CancelCauseFunc
	stop       func()
}

// newStallTimer starts the timer of an attempt. The timer does nothing if the request may
// not be sent to another endpoint.
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

// reset restarts the timeout for the next byte. A timeout of 0 means no limit.
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
