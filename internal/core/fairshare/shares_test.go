package fairshare_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/pace"
)

// site is a number of instances that each take requests of all workspaces and admit those to some
// endpoints.
type site struct {
	instances, endpoints int
	// load is the usual work of all for an endpoint, times how many times its usual the first
	// workspace sends in the middle of the replay, everyone whether the others do too.
	load, times float64
	// work is how long an endpoint is busy with a request, limit the longest wait.
	work, limit time.Duration
	everyone    bool
	fair        bool
}

const (
	workspaces       = 16
	replayTime       = 30 * time.Second
	surgeAt, surgeTo = 16 * time.Second, 26 * time.Second
)

// replay returns the part of the requests of the first workspace, and of all others, that found room
// in the surge after its first two seconds, and the worst of the others.
func (s site) replay(seed uint64) (first, others, worst float64) {
	random := rand.New(rand.NewPCG(seed, 3))
	meters, shares, schedules := make([]fairshare.Meters, s.instances), make([]fairshare.Shares, s.endpoints), make([]pace.Schedule, s.endpoints)
	start := time.Unix(1_000_000, 0)
	var asked, found [workspaces]float64
	weights := 0.0
	for w := range workspaces {
		weights += 1 / float64(w+1)
	}
	type arrival struct {
		at        time.Duration
		workspace int
	}
	var arrivals []arrival
	for w := range workspaces {
		usual := s.load * float64(s.endpoints) / s.work.Seconds() / weights / float64(w+1)
		for at := time.Duration(0); at < replayTime; {
			perSecond := usual
			if at > surgeAt && at < surgeTo && (w == 0 || s.everyone) {
				perSecond *= s.times
			}
			at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
			arrivals = append(arrivals, arrival{at, w})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for _, a := range arrivals {
		usage := meters[random.IntN(s.instances)].Count(a.at, uint64(a.workspace))
		e := random.IntN(s.endpoints)
		now := start.Add(a.at)
		allowed := s.limit
		if shares[e].Surges(a.at, usage) && s.fair {
			allowed /= 4
		}
		_, ok := schedules[e].Reserve(now, 0, s.work, allowed)
		if a.at > surgeAt+2*time.Second && a.at < surgeTo {
			asked[a.workspace]++
			if ok {
				found[a.workspace]++
			}
		}
	}
	allAsked, allFound := 0.0, 0.0
	worst = 1
	for w := 1; w < workspaces; w++ {
		allAsked, allFound = allAsked+asked[w], allFound+found[w]
		worst = min(worst, found[w]/asked[w])
	}
	return found[0] / asked[0], allFound / allAsked, worst
}

// The load of a workspace that sends six times its usual through all instances: it is refused first,
// and the others see no difference of more than 5 in 100.
func TestOneWorkspaceSurges(t *testing.T) {
	tests := []struct {
		instances   int
		work, limit time.Duration
	}{
		{9, 50 * time.Millisecond, 500 * time.Millisecond},
		{79, 50 * time.Millisecond, 500 * time.Millisecond},
		{79, 200 * time.Millisecond, time.Second}, // few requests an endpoint
		{142, 50 * time.Millisecond, 500 * time.Millisecond},
		{295, 50 * time.Millisecond, 500 * time.Millisecond},
		{295, 200 * time.Millisecond, time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %v", tt.instances, tt.work), func(t *testing.T) {
			endpoints := max(3, tt.instances*9/10)
			usual := site{instances: tt.instances, endpoints: endpoints, load: 0.6, times: 1, work: tt.work, limit: tt.limit, fair: true}
			surge, unfair := usual, usual
			surge.times, unfair.times, unfair.fair = 6, 6, false
			_, before, worstBefore := usual.replay(1)
			first, others, worst := surge.replay(1)
			_, without, _ := unfair.replay(1)
			t.Logf("others %.3f (worst %.3f) usually, %.3f (%.3f) in the surge, %.3f without shares; the first %.3f", before, worstBefore, others, worst, without, first)
			assert.GreaterOrEqual(t, others, before-0.05)
			assert.Less(t, without, before-0.1, "without shares the surge reaches them")
			assert.Less(t, first, others)
			assert.Greater(t, first, 0.25, "what the others leave is its")
		})
	}
}

// The load of a burst of all workspaces: none is refused more than the others.
func TestAllWorkspacesSurge(t *testing.T) {
	surge := site{instances: 79, endpoints: 70, load: 0.6, times: 3, work: 50 * time.Millisecond, limit: 500 * time.Millisecond, everyone: true, fair: true}
	plain := surge
	plain.fair = false
	first, others, worst := surge.replay(1)
	plainFirst, plainOthers, plainWorst := plain.replay(1)
	t.Logf("first %.3f, others %.3f (worst %.3f); without shares %.3f, %.3f (%.3f)", first, others, worst, plainFirst, plainOthers, plainWorst)
	assert.InDelta(t, others, first, 0.05)
	assert.GreaterOrEqual(t, others, plainOthers-0.05)
	assert.GreaterOrEqual(t, worst, plainWorst-0.05)
}

// A thousand workspaces take bounded memory, and those that send most are still measured.
func TestManyWorkspaces(t *testing.T) {
	var m fairshare.Meters
	var s fairshare.Shares
	for i := range 20_000 {
		now := time.Duration(i) * time.Millisecond
		u := m.Count(now, 1)
		s.Surges(now, u)
		s.Surges(now, m.Count(now, uint64(2+i%1000)))
	}
	assert.Positive(t, m.Count(21*time.Second, 1).Usual)
}
