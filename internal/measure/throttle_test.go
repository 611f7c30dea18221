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

// throttler is an endpoint that allows a burst and a rate. Once that is used
// up it refuses for a while, and each request that comes meanwhile extends the refusal.
type throttler struct {
	clock   *clock
	left    float64
	last    time.Duration
	until   time.Duration
	served  int
	refused int
}

const (
	throttleBurst  = 200
	throttleRate   = 20 // requests a second
	throttleWindow = 30 * time.Second
	throttleJobs   = 1300
	throttleTake   = 200 * time.Millisecond
)

// ask returns whether a request is served.
func (u *throttler) ask() bool {
	now := u.clock.now
	u.left = min(u.left+throttleRate*(now-u.last).Seconds(), throttleBurst)
	u.last = now
	if now < u.until || u.left < 1 {
		u.until = now + throttleWindow
		u.refused++
		return false
	}
	u.left--
	u.served++
	return true
}

// eachForItself lets every job retry on its own after the wait that the endpoint names.
func eachForItself(c *clock, u *throttler) {
	random := rand.New(rand.NewPCG(1, 2))
	var try func()
	try = func() {
		if !u.ask() {
			jitter := time.Duration(random.Float64() * float64(time.Second))
			c.after(throttleWindow+jitter, try)
		}
	}
	for i := range throttleJobs {
		c.at(time.Duration(i)*10*time.Millisecond, try)
	}
}

// sharedBreaker sends the same jobs through one queue with its breaker.
func sharedBreaker(c *clock, u *throttler) {
	q := admit.New(admit.Slots(8), admit.Depth(throttleJobs), admit.Floors(admit.Shares{}), admit.ProfileCap(1))
	var pump func()
	run := func(it admit.Item) {
		state := admit.EndComplete
		if !u.ask() {
			state = admit.EndThrottled
		}
		c.after(throttleTake, func() {
			q.Done(c.time(), it.ID, admit.End{State: state, RetryAfter: throttleWindow})
			if state == admit.EndThrottled {
				it.ID += "'"
				q.Offer(c.time(), it)
			}
			pump()
		})
	}
	pump = func() {
		for it, ok := q.Next(c.time()); ok; it, ok = q.Next(c.time()) {
			run(it)
		}
	}
	for i := range throttleJobs {
		c.at(time.Duration(i)*10*time.Millisecond, func() {
			it := admit.Item{ID: strconv.Itoa(i), Rank: fleet.RankBulk, Profile: "night", Arrived: c.time()}
			if q.Offer(c.time(), it).State == admit.StateStart {
				run(it)
			}
		})
	}
	var tick func()
	tick = func() { pump(); c.after(time.Second, tick) }
	tick()
}

func TestSharedBreakerEndsTheSpiral(t *testing.T) {
	tests := []struct {
		name  string
		start func(*clock, *throttler)
		whole bool
	}{
		{name: "one breaker for all", start: sharedBreaker, whole: true},
		{name: "each job for itself", start: eachForItself, whole: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{}
			u := &throttler{clock: c, left: throttleBurst}
			tt.start(c, u)
			c.runUntil(30 * time.Minute)
			t.Logf("after 30 minutes: %d of %d served, %d refused", u.served, throttleJobs, u.refused)
			require.Equal(t, tt.whole, u.served == throttleJobs)
		})
	}
}
