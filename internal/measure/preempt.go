package measure

import (
	"math"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// PreemptMode says what happens to a bulk stream when an urgent request finds no slot.
type PreemptMode string

// Preemption modes.
const (
	PreemptNever PreemptMode = ""
	// PreemptResume stops the stream and later resumes it after the tokens already emitted.
	PreemptResume PreemptMode = "resume"
	// PreemptCancel stops the stream and later restarts it from scratch.
	PreemptCancel PreemptMode = "cancel"
)

// offer submits a call to the queue of its endpoint. If the policy allows it, an
// urgent call that can't start preempts a bulk stream.
func (s *simulation) offer(c *call) admit.Decision {
	q := s.queues[c.engine.index]
	decision := q.Offer(s.wallTime(), s.item(c))
	if decision.State == admit.StateStart || c.req.class.Rank != fleet.RankUrgent || s.policy.Preempt == PreemptNever {
		return decision
	}
	victim := s.preemptionVictim(c.engine)
	if victim == nil {
		return decision
	}
	q.Cancel(s.wallTime(), c.id)
	s.preempt(victim)
	decision = q.Offer(s.wallTime(), s.item(c))
	s.after(0, func() { s.resumePreempted(victim) })
	return decision
}

// preemptionVictim returns the bulk stream with the fewest emitted tokens, nil
// while the bulk rank is within its floor.
func (s *simulation) preemptionVictim(e *engine) *call {
	var victim *call
	bulkStreams := 0
	for _, j := range e.decoding {
		if j.call.req.class.Rank != fleet.RankBulk {
			continue
		}
		bulkStreams++
		if victim == nil || e.emittedTokens(j) < e.emittedTokens(victim.job) {
			victim = j.call
		}
	}
	if bulkStreams <= int(math.Ceil(admit.DefaultFloors().Bulk*engineSlots)) {
		return nil
	}
	return victim
}

// emittedTokens returns the number of answer tokens that the engine has emitted.
func (e *engine) emittedTokens(j *job) int {
	return j.call.req.answerTokens - int(math.Ceil(j.endStep-e.steps))
}

func (s *simulation) preempt(c *call) {
	c.engine.advance()
	if s.policy.Preempt == PreemptResume {
		c.emittedTokens = max(c.engine.emittedTokens(c.job), 1)
	}
	c.engine.cancel(c)
	s.queues[c.engine.index].Cancel(s.wallTime(), c.id)
	c.state = callIdle
	s.score.preempted++
}

func (s *simulation) resumePreempted(c *call) {
	if c.state == callIdle {
		c.endpointsTried, c.exclude = 0, nil
		s.forward(c)
	}
}
