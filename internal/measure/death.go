package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
)

// crashEngine crashes an engine, which restarts after restartTime. Running calls are
// retried within the retry budget, queued ones are sent to other endpoints.
func (r *simulation) crashEngine(e *engine) {
	if !e.alive {
		return
	}
	r.score.crashes++
	e.crash()
	r.queues[e.index] = r.newQueue(uint64(e.index) + uint64(r.score.crashes))
	for _, c := range r.calls {
		if c != nil && c.engine == e && (c.state == callRunning || c.state == callQueued) {
			r.handleCrash(c)
		}
	}
	r.after(restartTime, func() { e.alive = true })
}

// handleCrash retries a call whose endpoint crashed.
func (r *simulation) handleCrash(c *call) {
	if c.state == callQueued {
		r.tryNextEndpoint(c, 0)
		return
	}
	if r.policy.Queue == QueueCore && !r.policy.Disabled.Suspects && r.failIfPoison(c) {
		return
	}
	d := r.retries.Failed(r.wallTime(), retry.Attempt{
		Profile: c.req.class.Profile, Spent: c.retriesSpent, Outcome: fleet.OutcomeUnknown, Idempotent: true,
	})
	c.firstTokenAt, c.state = 0, callIdle
	if !d.Retry {
		r.finish(c, outcomeFailed)
		return
	}
	c.retriesSpent = d.Spent
	c.exclude = append(c.exclude, c.engine.name)
	r.after(d.Wait, func() {
		if c.state == callIdle {
			r.forward(c)
		}
	})
}

// failIfPoison marks a call that ran on a crashed endpoint as suspect. A call
// that was suspect already fails as a poison request, and the result is true.
func (r *simulation) failIfPoison(c *call) bool {
	if !r.suspects[c.fingerprint()] {
		r.suspects[c.fingerprint()] = true
		return false
	}
	r.poison[c.fingerprint()] = true
	r.finish(c, outcomePoison)
	return true
}
