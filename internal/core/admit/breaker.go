package admit

import "time"

// Defaults of the circuit breaker.
const (
	DefaultFailureThreshold = 5
	DefaultCooldown         = 2 * time.Second
	cooldownGrowth          = 2
	maxCooldown             = time.Minute
)

// breaker is the circuit breaker of one endpoint: it opens when the endpoint fails or
// throttles. All callers share it, so that they back off together instead of each retrying
// the endpoint in turn. After the cooldown it lets a single probe request through.
type breaker struct {
	threshold    int
	cooldown     time.Duration
	nextCooldown time.Duration
	failures     int
	openUntil    time.Time
	probing      bool
	open         bool
}

func newBreaker(failures int, cooldown time.Duration) breaker {
	return breaker{threshold: max(failures, 1), cooldown: cooldown, nextCooldown: cooldown}
}

// remaining returns the time until the breaker lets a request through, zero when closed.
func (b *breaker) remaining(now time.Time) time.Duration {
	if !b.open {
		return 0
	}
	return max(b.openUntil.Sub(now), 0)
}

// allow reports whether a request may start now.
func (b *breaker) allow(now time.Time) bool {
	if !b.open {
		return true
	}
	return !now.Before(b.openUntil) && !b.probing
}

// start records that a request was sent to the endpoint.
func (b *breaker) start() {
	b.probing = b.open
}

// finish updates the breaker with the outcome of a run.
func (b *breaker) finish(now time.Time, e End) {
	switch e.State {
	case EndComplete:
		b.close()
	case EndCancelled:
		b.probing = false
	case EndFailed:
		b.fail(now, 0)
	case EndThrottled:
		b.failures = b.threshold
		b.fail(now, e.RetryAfter)
	}
}

func (b *breaker) close() {
	b.open = false
	b.probing = false
	b.failures = 0
	b.nextCooldown = b.cooldown
}

func (b *breaker) fail(now time.Time, retryAfter time.Duration) {
	b.failures++
	if b.failures < b.threshold {
		return
	}
	if b.open && !b.probing {
		b.extend(now.Add(retryAfter))
		return
	}
	b.open = true
	b.probing = false
	b.extend(now.Add(max(b.nextCooldown, retryAfter)))
	b.nextCooldown = min(b.nextCooldown*cooldownGrowth, maxCooldown)
}

func (b *breaker) extend(until time.Time) {
	if until.After(b.openUntil) {
		b.openUntil = until
	}
}
