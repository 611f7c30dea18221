package placer

import (
	"math/rand/v2"
	"time"
)

// pace decides when the store may be called again. After failures the pause
// doubles and a random part of it is taken, so that those who failed together
// don't come back together.
type pace struct {
	random  *rand.Rand
	first   time.Duration
	longest time.Duration
	even    bool // takes the whole pause or interval; only for proofs

	pause time.Duration
	next  time.Time
}

// ready reports whether a call may be made.
func (p *pace) ready(now time.Time) bool {
	return !now.Before(p.next)
}

// after sets the next call after a success: the interval, less up to a fifth of it.
func (p *pace) after(now time.Time, interval time.Duration) {
	p.pause = 0
	if !p.even {
		interval -= time.Duration(p.random.Int64N(int64(interval)/5 + 1))
	}
	p.next = now.Add(interval)
}

// failed sets the next call after a failure, at most limit later.
func (p *pace) failed(now time.Time, limit time.Duration) {
	p.pause = min(max(2*p.pause, p.first), p.longest)
	pause := min(p.pause, limit)
	if !p.even {
		pause = time.Duration(p.random.Int64N(int64(pause))) + time.Millisecond
	}
	p.next = now.Add(pause)
}

// within sets the next call to a random time within a duration.
func (p *pace) within(now time.Time, d time.Duration) {
	if !p.even && d > 0 {
		p.next = now.Add(time.Duration(p.random.Int64N(int64(d))))
	}
}

// soon allows a call at once.
func (p *pace) soon(now time.Time) {
	p.next = now
}
