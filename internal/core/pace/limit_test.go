package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

// Whatever arrives, an endpoint gets no more in four seconds than half as much again as its
// limit allows, and five requests. While enough arrives, it gets most of its limit.
func TestLimiterKeepsToTheNamedRate(t *testing.T) {
	const window = 4 * time.Second
	for _, rate := range []float64{0, 0.3, 1, 1.3, 8, 40, 300} {
		for _, arrivals := range []float64{0.5, 20, 1000} { // a second
			random := rand.New(rand.NewPCG(uint64(rate*10), uint64(arrivals)))
			var limiter pace.Limiter
			var sent []time.Time
			now := start
			for now.Before(start.Add(30 * time.Second)) {
				now = now.Add(time.Duration(random.ExpFloat64() / arrivals * float64(time.Second)))
				if wait := limiter.Wait(now); wait < 300*time.Millisecond {
					limiter.Take(now, pace.Limit{PerSecond: rate, Named: true}, 1)
					sent = append(sent, now.Add(wait))
				}
			}
			most := 0
			for i := range sent {
				n := 0
				for _, s := range sent[i:] {
					if s.Sub(sent[i]) < window {
						n++
					}
				}
				most = max(most, n)
			}
			assert.LessOrEqual(t, float64(most), 1.5*rate*window.Seconds()+5, "%v of %v a second", rate, arrivals)
			if arrivals > 10*rate && rate > 0 {
				assert.GreaterOrEqual(t, float64(len(sent)), 0.9*rate*30-1, "%v of %v a second", rate, arrivals)
			}
			assert.NotEmpty(t, sent, "an endpoint that takes nothing is still tried")
		}
	}
}
