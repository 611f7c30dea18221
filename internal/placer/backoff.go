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
func (b *backoff) ready(now time.Time) bool {
	return !now.Before(b.nextCallAt)
}

// scheduleAfter schedules the next call after a success: after the interval, less a
// random part of up to a fifth of it.
func (b *backoff) scheduleAfter(now time.Time, interval time.Duration) {
	b.delay = 0
	if !b.noJitter {
		interval -= time.Duration(b.random.Int64N(int64(interval)/5 + 1))
	}
	b.nextCallAt = now.Add(interval)
}

// recordFailure schedules the next call after a failure, at most limit later.
func (b *backoff) recordFailure(now time.Time, limit time.Duration) {
	b.delay = min(max(2*b.delay, b.initialDelay), b.maxDelay)
	delay := min(b.delay, limit)
	if !b.noJitter {
		delay = time.Duration(b.random.Int64N(int64(delay))) + time.Millisecond
	}
	b.nextCallAt = now.Add(delay)
}

// scheduleWithin schedules the next call at a random time within the duration.
func (b *backoff) scheduleWithin(now time.Time, d time.Duration) {
	if !b.noJitter && d > 0 {
		b.nextCallAt = now.Add(time.Duration(b.random.Int64N(int64(d))))
	}
}

// allowNow makes the next call due immediately.
func (b *backoff) allowNow(now time.Time) {
	b.nextCallAt = now
}
