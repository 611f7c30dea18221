package allotment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
)

// Callers that come back when they were told find room, and aren't kept away for much longer than
// the allotment needs.
func TestRefusedCallersFindRoomWhenTheyReturn(t *testing.T) {
	const (
		rate, excess = 1000.0, 3000.0 // what is asked beyond the allotment takes 3 s
		burstFrom    = 6 * time.Second
		burstTime    = 500 * ms
	)
	for _, way := range []string{wayOne, wayAll} {
		t.Run(way, func(t *testing.T) {
			s := newSim(4, 24, parts, map[string]allotment.Limit{"w": {Rate: rate, Burst: rate}})
			refusals, returned, latest := 0, 0, time.Duration(0)
			s.refused = func(n *node, cost float64, wait time.Duration) {
				refusals++
				if s.now > burstFrom+burstTime+100*ms {
					return
				}
				returned++
				latest = max(latest, s.now+wait)
				s.at(s.now+max(50*ms, wait), func() { s.request(n, "w", cost, 0) })
			}
			s.at(burstFrom, func() {
				load(s, way, "w", 10, (rate*burstTime.Seconds()+rate+excess)/burstTime.Seconds(), burstFrom+burstTime)
			})
			s.run(20 * time.Second)
			again := refusals - returned
			t.Logf("%d refused, %d of them again, the last was to come back after %s", returned, again, latest-burstFrom)
			assert.Greater(t, returned, 100)
			assert.Less(t, float64(again), 0.25*float64(returned))
			assert.Less(t, latest, burstFrom+burstTime+time.Duration(1.5*excess/rate*float64(time.Second)))
		})
	}
}
