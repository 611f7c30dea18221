package pace

import "time"

const (
	// limitBurst is how long an endpoint's unused rate is kept, so that requests which arrive
	// together needn't all wait.
	limitBurst = 500 * time.Millisecond
	// minRate is the rate at which an endpoint that takes nothing is still tried, since only its
	// answers show that it takes requests again.
	minRate = 0.1
)

// Limit is the rate of requests that an endpoint has asked for, as of its answer at SeenAt.
type Limit struct {
	// PerSecond is the rate over all instances. It holds if Named is set; else the endpoint
	// had asked for one before.
	PerSecond float64
	Named     bool
	SeenAt    time.Time
}

// Limiter spreads the requests to an endpoint over time. Limiting answers bursts of requests, from
// instances that each see an endpoint with little load, at one that has asked to be relieved.
// The zero value has admitted nothing. It is not safe for concurrent use.
type Limiter struct{ nextAt time.Time }

// Wait returns how long the next request must wait.
func (l *Limiter) Wait(now time.Time) time.Duration { return max(0, l.nextAt.Sub(now)) }

// Take admits a request, which must be sent after Wait. The limit is shared by a number of
// limiters that don't know of each other's requests.
func (l *Limiter) Take(now time.Time, limit Limit, shares int) {
	if earliest := now.Add(-limitBurst); l.nextAt.Before(earliest) {
		l.nextAt = earliest
	}
	l.nextAt = l.nextAt.Add(limit.interval(shares))
}

// Stagger makes a limiter that has admitted nothing begin at a point of its interval, in [0, 1), so
// that the limiters which share a limit don't begin together.
func (l *Limiter) Stagger(now time.Time, limit Limit, shares int, point float64) {
	if l.nextAt.IsZero() {
		l.nextAt = now.Add(time.Duration(point * float64(limit.interval(shares))))
	}
}

func (l Limit) interval(shares int) time.Duration {
	return time.Duration(float64(max(1, shares)) * float64(time.Second) / max(l.PerSecond, minRate))
}
