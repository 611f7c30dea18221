package measure

import (
	"math"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// PreemptMode says what becomes of a bulk stream when an urgent request finds no slot.
type PreemptMode string

// The ways to treat running bulk streams.
const (
	PreemptNever PreemptMode = ""
	// PreemptResume stops the stream; it goes on later from what it has given.
	PreemptResume PreemptMode = "resume"
	// PreemptCancel stops the stream; it begins again later.
	PreemptCancel PreemptMode = "cancel"
)

// offer hands a call to the queue of its endpoint. An urgent one that can't
// start takes the place of a bulk stream, if the policy says so.
func (r *run) offer(c *call) admit.Decision {
	q := r.queues[c.engine.index]
	v := q.Offer(r.time(), r.item(c))
	if v.State == admit.StateStart || c.req.class.Rank != fleet.RankUrgent || r.policy.Preempt == PreemptNever {
		return v
	}
	victim := r.victim(c.engine)
	if victim == nil {
		return v
	}
	q.Cancel(r.time(), c.id)
	r.preempt(victim)
	v = q.Offer(r.time(), r.item(c))
	r.after(0, func() { r.resume(victim) })
	return v
}

// victim returns the bulk stream that has given least, nil while the rank is within its floor.
func (r *run) victim(e *engine) *call {
	var found *call
	count := 0
	for _, j := range e.running {
		if j.call.req.class.Rank != fleet.RankBulk {
			continue
		}
		count++
		if found == nil || e.given(j) < e.given(found.job) {
			found = j.call
		}
	}
	if count <= int(math.Ceil(admit.DefaultFloors().Bulk*engineSlots)) {
		return nil
	}
	return found
}

// given returns how many tokens of an answer have left the engine.
func (e *engine) given(j *job) int {
	return j.call.req.tokens - int(math.Ceil(j.end-e.steps))
}

func (r *run) preempt(c *call) {
	c.engine.advance()
	if r.policy.Preempt == PreemptResume {
		c.given = max(c.engine.given(c.job), 1)
	}
	c.engine.cancel(c)
	r.queues[c.engine.index].Cancel(r.time(), c.id)
	c.state = callAway
	r.score.preempted++
}

func (r *run) resume(c *call) {
	if c.state == callAway {
		c.hops, c.exclude = 0, nil
		r.forward(c)
	}
}
