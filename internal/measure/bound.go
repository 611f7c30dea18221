package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// boundInterval is the granularity of the bound: urgent and standard work has
// to run in the interval in which it arrives.
const boundInterval = 10 * time.Second

// worthBound returns the worth that the fleet could attain with perfect
// knowledge: full batches, every prefix cached, every model loaded on every
// endpoint, and requests chosen by worth per accelerator time. Bulk requests use
// the capacity that the other ranks leave, at any time of the scene.
func (s *score) worthBound() float64 {
	count := int(s.scene.Length/boundInterval) + 1
	interactive := make([][]*request, count)
	var bulk []*request
	for _, r := range s.requests {
		if !s.isScored(r) {
			continue
		}
		if r.class.Rank == fleet.RankBulk {
			bulk = append(bulk, r)
		} else {
			i := int(r.arrived / boundInterval)
			interactive[i] = append(interactive[i], r)
		}
	}
	worth, spare := 0.0, 0.0
	for i := range interactive {
		w, unused := pack(interactive[i], s.intervalCapacity(time.Duration(i)*boundInterval))
		worth += w
		spare += unused
	}
	w, _ := pack(bulk, spare)
	return worth + w
}

// intervalCapacity returns the accelerator seconds of the interval that begins
// at the given time, without crashed engines.
func (s *score) intervalCapacity(from time.Duration) float64 {
	alive := s.deployment.Accelerators()
	for _, d := range s.scene.Crashes {
		if from >= d.At && from < d.At+restartTime {
			alive--
		}
	}
	return float64(alive) * boundInterval.Seconds()
}

// pack selects requests greedily by worth per work until the capacity is used,
// and returns their worth and the capacity left.
func pack(all []*request, capacity float64) (worth, spare float64) {
	density := func(r *request) float64 { return Worth(r.class.Rank) / r.work() }
	slices.SortFunc(all, func(a, b *request) int {
		switch x, y := density(a), density(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return a.id - b.id
		}
	})
	for _, r := range all {
		if work := r.work(); work <= capacity {
			capacity -= work
			worth += Worth(r.class.Rank)
		}
	}
	return worth, capacity
}

// storeBound returns the worth that the limits of the weight store allow on a
// cold start: nothing else is limited, the demand is known, and the first copies
// are loaded in order of their share of the work per byte.
func (s *score) storeBound() float64 {
	ready := s.deployment.firstCopyTimes()
	worth := 0.0
	for _, r := range s.requests {
		if s.isScored(r) && (!s.scene.Cold || ready[r.model] <= r.firstTokenDeadline()) {
			worth += Worth(r.class.Rank)
		}
	}
	return worth
}

// firstCopyTimes returns, for each model, when its first copy could be loaded on a cold start.
func (d *Deployment) firstCopyTimes() []time.Duration {
	order := make([]int, d.Models)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(d.popularity(b)/float64(modelBytes(b)), d.popularity(a)/float64(modelBytes(a)))
	})
	ready := make([]time.Duration, d.Models)
	loaderFreeAt := make([]time.Duration, d.MaxConcurrentLoads)
	nextStart := time.Duration(0)
	for _, m := range order {
		slices.Sort(loaderFreeAt)
		nextStart = max(nextStart, loaderFreeAt[0]) + time.Duration(float64(time.Second)/d.LoadRate)
		loaderFreeAt[0] = nextStart + time.Duration(modelBytes(m)/gib)*loadTimePerGiB
		ready[m] = loaderFreeAt[0]
	}
	return ready
}
