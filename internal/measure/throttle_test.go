package measure

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// throttledEndpoint simulates an endpoint with a token-bucket rate limit. Once the
// bucket is empty it refuses all requests for throttleWindow, and each request that
// arrives in that time restarts the window.
type throttledEndpoint struct {
	clock       *clock
	tokens      float64
	lastRefill  time.Duration
	refuseUntil time.Duration
	served      int
	refused     int
}

const (
	throttleBurst       = 200
	throttleRate        = 20 // requests per second
	throttleWindow      = 30 * time.Second
	throttleJobs        = 1300
	throttleServiceTime = 200 * time.Millisecond
)

// serve handles a request and reports whether it was served.
func (t *throttledEndpoint) serve() bool {
	now := t.clock.now
	t.tokens = min(t.tokens+throttleRate*(now-t.lastRefill).Seconds(), throttleBurst)
	t.lastRefill = now
	if now < t.refuseUntil || t.tokens < 1 {
		t.refuseUntil = now + throttleWindow
		t.refused++
		return false
	}
	t.tokens--
	t.served++
	return true
}

// independentRetries lets each job retry on its own, after the endpoint's refusal window
// plus jitter.
func independentRetries(c *clock, u *throttledEndpoint) {
	random := rand.New(rand.NewPCG(1, 2))
	var try func()
	try = func() {
		if !u.serve() {
			jitter := time.Duration(random.Float64() * float64(time.Second))
			c.after(throttleWindow+jitter, try)
		}
	}
	for i := range throttleJobs {
		c.at(time.Duration(i)*10*time.Millisecond, try)
	}
}

// sharedBreaker sends the same jobs through one queue with a shared circuit breaker.
func sharedBreaker(c *clock, u *throttledEndpoint) {
	q := admit.New(admit.Slots(8), admit.Depth(throttleJobs), admit.Floors(admit.Shares{}), admit.ProfileCap(1))
	var pump func()
	run := func(it admit.Item) {
		state := admit.EndComplete
		if !u.serve() {
			state = admit.EndThrottled
		}
		c.after(throttleServiceTime, func() {
			q.Done(c.wallTime(), it.ID, admit.End{State: state, RetryAfter: throttleWindow})
			if state == admit.EndThrottled {
				it.ID += "'"
				q.Offer(c.wallTime(), it)
			}
			pump()
		})
	}
	pump = func() {
		for it, ok := q.Next(c.wallTime()); ok; it, ok = q.Next(c.wallTime()) {
			run(it)
		}
	}
	for i := range throttleJobs {
		c.at(time.Duration(i)*10*time.Millisecond, func() {
			it := admit.Item{ID: strconv.Itoa(i), Rank: fleet.RankBulk, Profile: "night", Arrived: c.wallTime()}
			if q.Offer(c.wallTime(), it).State == admit.StateStart {
				run(it)
			}
		})
	}
	var tick func()
	tick = func() { pump(); c.after(time.Second, tick) }
	tick()
}

// Jobs that retry independently keep restarting the window of a throttled endpoint, so
// it goes on refusing them. A circuit breaker that all jobs share lets it serve every job.
func TestSharedBreakerStopsRetryStorm(t *testing.T) {
	tests := []struct {
		name     string
		start    func(*clock, *throttledEndpoint)
		complete bool
	}{
		{name: "shared circuit breaker", start: sharedBreaker, complete: true},
		{name: "independent retries", start: independentRetries, complete: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{}
			u := &throttledEndpoint{clock: c, tokens: throttleBurst}
			tt.start(c, u)
			c.runUntil(30 * time.Minute)
			t.Logf("after 30 minutes: %d of %d served, %d refused", u.served, throttleJobs, u.refused)
			require.Equal(t, tt.complete, u.served == throttleJobs)
		})
	}
}
