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
	const work, limit = 50 * time.Millisecond, 500 * time.Millisecond
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
		usual := s.load * float64(s.endpoints) / work.Seconds() / weights / float64(w+1)
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
		ok := !s.fair || shares[e].Within(a.at, usage, schedules[e].Room(now))
		if ok {
			_, ok = schedules[e].Reserve(now, 0, work, limit)
		} else {
			ok = schedules[e].Queue(now, pace.Late{ID: random.Uint64(), Work: work, Patience: limit, Yields: true}, 0).Admitted
		}
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
	for _, instances := range []int{9, 79, 142, 295} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			endpoints := max(3, instances*9/10)
			usual := site{instances: instances, endpoints: endpoints, load: 0.6, times: 1, fair: true}
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
	surge := site{instances: 79, endpoints: 70, load: 0.6, times: 3, everyone: true, fair: true}
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
		s.Within(now, u, 0.5)
		s.Within(now, m.Count(now, uint64(2+i%1000)), 0.5)
	}
	assert.Positive(t, m.Count(21*time.Second, 1).Usual)
}
