package fairshare_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/pace"
)

const (
	floodWorkspaces = 16
	floodEndpoints  = 20
	floodInstances  = 48
	floodSkew       = 1.2
	allotmentFactor = 1.8 // the allotment of a workspace beside its usual demand
	floodTime       = 60 * time.Second
)

// kinds of requests with their part of all requests, their rank, prefill and the limit on their wait.
var floodKinds = []struct {
	part        float64
	level       int
	work, limit time.Duration
}{
	{0.46, 0, 75 * time.Millisecond, 600 * time.Millisecond},
	{0.43, 1, 16 * time.Millisecond, 1400 * time.Millisecond},
	{0.11, 2, 75 * time.Millisecond, 3800 * time.Millisecond},
}

// servedShares replays a flood of one workspace at its full allotment, with a usual load as a part
// of what the endpoints can do. It returns the part of the requests of each workspace and of
// all that are admitted.
func servedShares(seed uint64, usualLoad float64, raised bool, level func(workspace, level int) int) (each [floodWorkspaces]float64, all float64) {
	random := rand.New(rand.NewPCG(seed, 3))
	weights, sum := [floodWorkspaces]float64{}, 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -floodSkew)
		sum += weights[i]
	}
	meanWork := 0.0
	for _, k := range floodKinds {
		meanWork += k.part * k.work.Seconds()
	}
	perSecond := usualLoad * floodEndpoints / meanWork
	weights[0] *= allotmentFactor
	total := 0.0
	for _, w := range weights {
		total += w
	}
	perSecond *= total / sum
	var schedules [floodEndpoints]pace.Schedule
	var trackers [floodInstances]fairshare.Tracker
	start := time.Unix(1_000_000, 0)
	var asked, served [floodWorkspaces]float64
	for now := start; now.Before(start.Add(floodTime)); now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		w := draw(random, weights[:], total)
		k := floodKinds[draw(random, []float64{floodKinds[0].part, floodKinds[1].part, floodKinds[2].part}, 1)]
		asked[w]++
		tracker, own, admitted := &trackers[random.IntN(floodInstances)], level(w, k.level), false
		used := own
		if raised {
			used = tracker.Level(now.Sub(start), own)
		}
		for range 2 { // endpoints that are tried
			if _, admitted = schedules[random.IntN(floodEndpoints)].Reserve(now, used, k.work, k.limit); admitted {
				served[w]++
				break
			}
		}
		tracker.Record(now.Sub(start), own, admitted)
	}
	askedAll, servedAll := 0.0, 0.0
	for i := range asked {
		askedAll, servedAll = askedAll+asked[i], servedAll+served[i]
		each[i] = served[i] / max(1, asked[i])
	}
	return each, servedAll / askedAll
}

func draw(random *rand.Rand, weights []float64, total float64) int {
	x := random.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// minServedShare is the least part of the service of all that every workspace must get.
const minServedShare = 0.25

// A workspace that floods the endpoints with its full allotment starves no other one: whether the
// routes rank the requests, or the flooding workspace ranks before the others.
func TestFloodOfOneWorkspaceStarvesNoOther(t *testing.T) {
	tests := []struct {
		name   string
		raised bool // only ranks of workspaces are raised
		level  func(workspace, level int) int
	}{
		{"by routes", false, func(_, level int) int { return level }},
		{"flooding one first", true, func(w, level int) int {
			if w == 0 {
				return 0
			}
			return level
		}},
		{"flooding one first, others last", true, func(w, _ int) int { return min(w, 2) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, load := range []float64{0.85, 1.15, 1.3} { // as if a quarter and a third of the endpoints were lost
				for seed := range uint64(3) {
					each, all := servedShares(seed, load, tt.raised, tt.level)
					t.Logf("load %.2f: all %.2f, each %.2f", load, all, each)
					for w, share := range each {
						if share < minServedShare*all {
							t.Errorf("load %.2f: workspace %d is served %.2f, all %.2f", load, w, share, all)
						}
					}
				}
			}
		})
	}
}

// Without the package such a flood starves the workspaces of the last rank, so that the test above
// replays a load that needs it.
func TestFloodStarvesWithoutRaising(t *testing.T) {
	starved := 0
	for _, load := range []float64{1.15, 1.3} {
		for seed := range uint64(3) {
			each, all := servedShares(seed, load, false, func(w, _ int) int { return min(w, 2) })
			t.Logf("load %.2f: all %.2f, least %.2f", load, all, slices.Min(each[:]))
			for _, share := range each {
				if share < minServedShare*all {
					starved++
				}
			}
		}
	}
	if starved < floodWorkspaces {
		t.Errorf("only %d of %d are starved", starved, 6*floodWorkspaces)
	}
}
