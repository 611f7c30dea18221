package admit

import "time"

// Defaults of the breaker.
const (
	DefaultFailures = 5
	DefaultRest     = 2 * time.Second
	restGrowth      = 2
	restLimit       = time.Minute
)

// breaker rests an endpoint that fails or throttles. All callers share it, so
// that their retries become one wait. After the rest one request is let through.
type breaker struct {
	limit    int
	rest     time.Duration
	next     time.Duration
	failures int
	until    time.Time
	probing  bool
	open     bool
}

func newBreaker(failures int, rest time.Duration) breaker {
	return breaker{limit: max(failures, 1), rest: rest, next: rest}
}

// wait returns how long nothing may start.
func (b *breaker) wait(now time.Time) time.Duration {
	if !b.open {
		return 0
	}
	return max(b.until.Sub(now), 0)
}

// allow reports whether a request may start now.
func (b *breaker) allow(now time.Time) bool {
	if !b.open {
		return true
	}
	return !now.Before(b.until) && !b.probing
}

// start notes that a request was let through.
func (b *breaker) start() {
	b.probing = b.open
}

// end notes how a run ended.
func (b *breaker) end(now time.Time, e End) {
	switch e.State {
	case EndWhole:
		b.close()
	case EndCancelled:
		b.probing = false
	case EndFailed:
		b.fail(now, 0)
	case EndThrottled:
		b.failures = b.limit
		b.fail(now, e.RetryAfter)
	}
}

func (b *breaker) close() {
	b.open = false
	b.probing = false
	b.failures = 0
	b.next = b.rest
}

func (b *breaker) fail(now time.Time, asked time.Duration) {
	b.failures++
	if b.failures < b.limit {
		return
	}
	if b.open && !b.probing {
		b.extend(now.Add(asked))
		return
	}
	b.open = true
	b.probing = false
	b.extend(now.Add(max(b.next, asked)))
	b.next = min(b.next*restGrowth, restLimit)
}

func (b *breaker) extend(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
}
