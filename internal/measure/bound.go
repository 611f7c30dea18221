package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// boundSlice is the time within which urgent and standard work cannot be put off.
const boundSlice = 10 * time.Second

// bound returns the worth that the fleet could attain with perfect knowledge:
// full batches, each prefix cached, each model everywhere, work chosen by
// worth for its accelerator time. Bulk fills what the other work leaves.
func (s *score) bound() float64 {
	count := int(s.scene.Length/boundSlice) + 1
	prompt := make([][]*request, count)
	var bulk []*request
	for _, r := range s.requests {
		if !s.counts(r) {
			continue
		}
		if r.class.Rank == fleet.RankBulk {
			bulk = append(bulk, r)
		} else {
			i := int(r.arrived / boundSlice)
			prompt[i] = append(prompt[i], r)
		}
	}
	worth, left := 0.0, 0.0
	for i := range prompt {
		w, rest := pack(prompt[i], s.capacity(time.Duration(i)*boundSlice))
		worth += w
		left += rest
	}
	w, _ := pack(bulk, left)
	return worth + w
}

// capacity returns the accelerator seconds of one slice.
func (s *score) capacity(from time.Duration) float64 {
	alive := s.deployment.Accelerators()
	for _, d := range s.scene.Deaths {
		if from >= d.At && from < d.At+restartTime {
			alive--
		}
	}
	return float64(alive) * boundSlice.Seconds()
}

// pack takes the requests with most worth for their work until the capacity is used.
func pack(all []*request, capacity float64) (worth, left float64) {
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

// storeBound returns the worth that the weight store's limits leave from cold:
// all else without limits, the demand known, the first copies loaded in the
// order of their share of the work for each byte.
func (s *score) storeBound() float64 {
	ready := s.deployment.firstCopies()
	worth := 0.0
	for _, r := range s.requests {
		if s.counts(r) && (!s.scene.Cold || ready[r.model] <= r.due()) {
			worth += Worth(r.class.Rank)
		}
	}
	return worth
}

// firstCopies returns when each model could have its first copy from cold.
func (d *Deployment) firstCopies() []time.Duration {
	order := make([]int, d.Models)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(d.popularity(b)/float64(bytesOf(b)), d.popularity(a)/float64(bytesOf(a)))
	})
	ready := make([]time.Duration, d.Models)
	lanes := make([]time.Duration, d.LoadsAtOnce)
	permit := time.Duration(0)
	for _, m := range order {
		slices.Sort(lanes)
		permit = max(permit, lanes[0]) + time.Duration(float64(time.Second)/d.LoadRate)
		lanes[0] = permit + time.Duration(bytesOf(m)/gib)*loadTimePerGiB
		ready[m] = lanes[0]
	}
	return ready
}
