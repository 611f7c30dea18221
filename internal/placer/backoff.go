package placer

import (
	"math/rand/v2"
	"time"
)

// backoff decides when the store may be called again. After failures the pause
// doubles and a random part of it is taken, so that those who failed together
// don't come back together.
type backoff struct {
	random       *rand.Rand
	initialDelay time.Duration
	maxDelay     time.Duration
	noJitter     bool // takes the whole pause or interval; only for proofs

	delay      time.Duration
	nextCallAt time.Time
}

// ready reports whether a call may be made.
func (p *backoff) ready(now time.Time) bool {
	return !now.Before(p.nextCallAt)
}

// scheduleAfter sets the next call after a success: the interval, less up to a fifth of it.
func (p *backoff) scheduleAfter(now time.Time, interval time.Duration) {
	p.delay = 0
	if !p.noJitter {
		interval -= time.Duration(p.random.Int64N(int64(interval)/5 + 1))
	}
	p.nextCallAt = now.Add(interval)
}

// recordFailure sets the next call after a failure, at most limit later.
func (p *backoff) recordFailure(now time.Time, limit time.Duration) {
	p.delay = min(max(2*p.delay, p.initialDelay), p.maxDelay)
	delay := min(p.delay, limit)
	if !p.noJitter {
		delay = time.Duration(p.random.Int64N(int64(delay))) + time.Millisecond
	}
	p.nextCallAt = now.Add(delay)
}

// scheduleWithin sets the next call to a random time within a duration.
func (p *backoff) scheduleWithin(now time.Time, d time.Duration) {
	if !p.noJitter && d > 0 {
		p.nextCallAt = now.Add(time.Duration(p.random.Int64N(int64(d))))
	}
}

// allowNow allows a call at once.
func (p *backoff) allowNow(now time.Time) {
	p.nextCallAt = now
}
