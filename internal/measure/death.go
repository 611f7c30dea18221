package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
)

// die ends an engine: what it ran is repeated within the retry budget, what waited goes elsewhere.
func (r *run) die(e *engine) {
	if !e.alive {
		return
	}
	r.score.deaths++
	e.die()
	r.queues[e.index] = r.newQueue(uint64(e.index) + uint64(r.score.deaths))
	for _, c := range r.calls {
		if c != nil && c.engine == e && (c.state == callRunning || c.state == callQueued) {
			r.survive(c)
		}
	}
	r.after(restartTime, func() { e.alive = true })
}

// survive sends a call on whose endpoint died.
func (r *run) survive(c *call) {
	if c.state == callQueued {
		r.elsewhere(c, 0)
		return
	}
	if r.policy.Queue == QueueCore && !r.policy.Without.Suspects && r.convict(c) {
		return
	}
	d := r.retries.Failed(r.time(), retry.Attempt{
		Profile: c.req.class.Profile, Spent: c.spent, Outcome: fleet.OutcomeUnknown, Idempotent: true,
	})
	c.first, c.state = 0, callAway
	if !d.Retry {
		r.finish(c, outcomeFailed)
		return
	}
	c.spent = d.Spent
	c.exclude = append(c.exclude, c.engine.name)
	r.after(d.Wait, func() {
		if c.state == callAway {
			r.forward(c)
		}
	})
}

// convict marks what ran on a dead endpoint as suspect, and ends what was the only suspect there.
func (r *run) convict(c *call) bool {
	if !r.suspects[c.fingerprint()] {
		r.suspects[c.fingerprint()] = true
		return false
	}
	r.convicts[c.fingerprint()] = true
	r.finish(c, outcomeConvicted)
	return true
}
