package placer

import (
	"math/rand/v2"
	"time"
)

// backoff schedules store calls. After each failure the delay doubles, and a random
// part of it is waited (full jitter), so that instances that failed at the same time
// don't retry at the same time.
type backoff struct {
	random       *rand.Rand
	initialDelay time.Duration
	maxDelay     time.Duration
	noJitter     bool // waits the full delay or interval; only set in tests

	delay      time.Duration
	nextCallAt time.Time
}

// ready reports whether the next call is due.
func (p *backoff) ready(now time.Time) bool {
	return !now.Before(p.nextCallAt)
}

// scheduleAfter schedules the next call after a success: after the interval, less a
// random part of up to a fifth of it.
func (p *backoff) scheduleAfter(now time.Time, interval time.Duration) {
	p.delay = 0
	if !p.noJitter {
		interval -= time.Duration(p.random.Int64N(int64(interval)/5 + 1))
	}
	p.nextCallAt = now.Add(interval)
}

// recordFailure schedules the next call after a failure, at most limit later.
func (p *backoff) recordFailure(now time.Time, limit time.Duration) {
	p.delay = min(max(2*p.delay, p.initialDelay), p.maxDelay)
	delay := min(p.delay, limit)
	if !p.noJitter {
		delay = time.Duration(p.random.Int64N(int64(delay))) + time.Millisecond
	}
	p.nextCallAt = now.Add(delay)
}

// scheduleWithin schedules the next call at a random time within the duration.
func (p *backoff) scheduleWithin(now time.Time, d time.Duration) {
	if !p.noJitter && d > 0 {
		p.nextCallAt = now.Add(time.Duration(p.random.Int64N(int64(d))))
	}
}

// allowNow makes the next call due immediately.
func (p *backoff) allowNow(now time.Time) {
	p.nextCallAt = now
}
