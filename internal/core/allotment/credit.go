package allotment

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the measured demand.
	demandTime = time.Second
	// planAhead is the demand that portions should cover: until the reply to the next call, and
	// to the one after it if that is lost.
	planAhead = 2 * AskInterval
	// returnMargin is how long before its end a portion is given back.
	returnMargin = AskInterval + 40*time.Millisecond
	// dryTime is how long nothing is asked for after a want was refused.
	dryTime = 300 * time.Millisecond
	// keepTime is how long after a request credit is held for the next, aheadRequests for how many.
	keepTime      = 3 * time.Second
	aheadRequests = 2.5
	// sizeSmoothing is the weight of one request in the mean cost.
	sizeSmoothing = 0.05
)

// portion is credit that this instance may spend.
type portion struct {
	origin
	amount float64
}

// origin says which owner granted a portion, and until when it may be spent.
type origin struct {
	part  int
	owner string
	id    uint64
	until time.Duration
}

// Receipt is what a request took from a credit.
type Receipt struct {
	workspace string
	taken     []portion
}

// IsZero reports whether nothing was taken.
func (r Receipt) IsZero() bool { return len(r.taken) == 0 }

// Workspace returns the workspace whose credit was taken.
func (r Receipt) Workspace() string { return r.workspace }

// Credit is the credit of one workspace at one instance. It is not safe for concurrent use.
type Credit struct {
	workspace string
	portions  []portion // in the order of their ends
	demand    float64   // per second
	updated   time.Duration
	size      float64 // mean cost of a request
	countedAt time.Duration
	refused   []float64
	dryUntil  []time.Duration
	// freeAt is when a request that is refused now has room again in each part, askers the number
	// of instances that compete for it.
	freeAt []time.Duration
	askers int
}

// NewCredit returns an empty credit for an allotment that is kept in a number of parts.
func NewCredit(workspace string, parts int) *Credit {
	return &Credit{workspace: workspace, refused: make([]float64, parts), dryUntil: make([]time.Duration, parts), freeAt: make([]time.Duration, parts)}
}

// Count records the demand of a request.
func (w *Credit) Count(now time.Duration, cost float64) {
	w.decay(now)
	w.countedAt = now
	w.demand += cost / demandTime.Seconds()
	if w.size == 0 {
		w.size = cost
	}
	w.size += (cost - w.size) * sizeSmoothing
}

func (w *Credit) decay(now time.Duration) {
	if now > w.updated {
		w.demand *= math.Exp(-(now - w.updated).Seconds() / demandTime.Seconds())
		w.updated = now
	}
}

// Charge takes the cost of a request from the portions. It takes nothing if they don't suffice.
func (w *Credit) Charge(now time.Duration, cost float64) (Receipt, bool) {
	w.removeEnded(now)
	if w.held() < cost {
		return Receipt{}, false
	}
	r := Receipt{workspace: w.workspace}
	for cost > 0 && len(w.portions) > 0 {
		first := &w.portions[0]
		taken := min(first.amount, cost)
		r.taken = append(r.taken, portion{first.origin, taken})
		first.amount -= taken
		cost -= taken
		if first.amount <= 0 {
			w.portions = w.portions[1:]
		}
	}
	return r, true
}

// Refund gives back what a request took that has not run, as far as the portions have not ended.
func (w *Credit) Refund(now time.Duration, r Receipt) {
	for _, p := range r.taken {
		w.add(now, p)
	}
}

// Missing returns how much more credit a request needs than there is.
func (w *Credit) Missing(now time.Duration, cost float64) float64 {
	w.removeEnded(now)
	return max(0, cost-w.held())
}

// Refuse records that a request was refused and returns how long the caller should stay away.
// Those refused after one another are to come back after one another, in turn with those of the
// other instances.
func (w *Credit) Refuse(now time.Duration, cost, rate float64) time.Duration {
	longest := time.Duration(0)
	for i := range w.refused {
		wait := max(0, w.freeAt[i]-now)
		longest = max(longest, wait)
		if rate > 0 && wait < maxWait {
			w.freeAt[i] = now + wait + time.Duration(float64(max(1, w.askers))*cost/rate*float64(time.Second))
		}
		w.refused[i] += cost / float64(len(w.refused))
	}
	return min(longest, maxWait)
}

// MayAsk reports whether a request that lacks credit may ask the owner of a part for it now.
func (w *Credit) MayAsk(now time.Duration, part int) bool { return now >= w.dryUntil[part] }

// Urgent returns the want of a request that waits for it, as long as so many parts can be asked
// besides.
func (w *Credit) Urgent(part int, missing float64, others int) Want {
	return Want{
		Workspace: w.workspace, Amount: missing, Min: missing / float64(1+others), Urgent: true, Refused: w.takeRefused(part),
	}
}

func (w *Credit) takeRefused(part int) float64 {
	n := w.refused[part]
	w.refused[part] = 0
	return n
}

// Plan returns what to ask the owner of a part for, and takes the portions that are given back
// out of the credit. ok is false if there is nothing to ask for or to give back.
func (w *Credit) Plan(now time.Duration, part int, owner string) (want Want, ok bool) {
	w.removeEnded(now)
	w.decay(now)
	want = Want{Workspace: w.workspace, Refused: w.takeRefused(part)}
	w.portions = slices.DeleteFunc(w.portions, func(p portion) bool {
		old := p.part == part && p.owner == owner && p.until < now+returnMargin
		if old {
			want.Returns = append(want.Returns, Return{p.id, p.amount})
		}
		return old
	})
	held, all := 0.0, 0.0
	for _, p := range w.portions {
		all += p.amount
		if p.part == part {
			held += p.amount
		}
	}
	if w.size > 0 && now-w.countedAt < keepTime {
		target := max(w.demand*planAhead.Seconds(), aheadRequests*w.size)
		want.Amount = max(0, target/float64(len(w.refused))-held)
		want.Min = min(want.Amount, max(0, w.size-all))
	}
	return want, want.Amount > 0 || len(want.Returns) > 0 || want.Refused > 0
}

// Receive adds the grant for a want that was asked at askedAt.
func (w *Credit) Receive(now, askedAt time.Duration, part int, owner string, want Want, g Grant) {
	if want.Urgent && g.Amount <= 0 {
		w.dryUntil[part] = now + min(dryTime, g.Wait)
		w.freeAt[part] = now + g.Wait
		w.askers = g.Askers
	}
	w.add(now, portion{origin{part, owner, g.ID, askedAt + PortionTime}, g.Amount})
}

// add inserts credit by its end. Credit of a portion that has ended is lost.
func (w *Credit) add(now time.Duration, p portion) {
	if p.until <= now || p.amount <= 0 {
		return
	}
	i := 0
	for i < len(w.portions) && w.portions[i].until < p.until {
		i++
	}
	if i < len(w.portions) && w.portions[i].origin == p.origin {
		w.portions[i].amount += p.amount
		return
	}
	w.portions = slices.Insert(w.portions, i, p)
}

func (w *Credit) removeEnded(now time.Duration) {
	w.portions = slices.DeleteFunc(w.portions, func(p portion) bool { return p.until <= now })
}

// Credit returns the credit that this instance may spend.
func (w *Credit) Credit(now time.Duration) float64 {
	w.removeEnded(now)
	return w.held()
}

func (w *Credit) held() float64 {
	total := 0.0
	for _, p := range w.portions {
		total += p.amount
	}
	return total
}

// Idle reports whether the credit holds nothing that matters.
func (w *Credit) Idle(now time.Duration) bool {
	w.removeEnded(now)
	return len(w.portions) == 0 && now-w.countedAt > keepTime
}
