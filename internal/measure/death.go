package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
)

// crashEngine crashes an engine, which restarts after restartTime. Running calls are
// retried within the retry budget, queued ones are sent to other endpoints.
func (s *simulation) crashEngine(e *engine) {
	if !e.alive {
		return
	}
	s.score.crashes++
	e.crash()
	s.queues[e.index] = s.newQueue(uint64(e.index) + uint64(s.score.crashes))
	for _, c := range s.calls {
		if c != nil && c.engine == e && (c.state == callRunning || c.state == callQueued) {
			s.handleCrash(c)
		}
	}
	s.after(restartTime, func() { e.alive = true })
}

// handleCrash retries a call whose endpoint crashed.
func (s *simulation) handleCrash(c *call) {
	if c.state == callQueued {
		s.tryNextEndpoint(c, 0)
		return
	}
	if s.policy.Queue == QueueCore && !s.policy.Disabled.Suspects && s.failIfPoison(c) {
		return
	}
	d := s.retries.Failed(s.wallTime(), retry.Attempt{
		Profile: c.req.class.Profile, Spent: c.retriesSpent, Outcome: fleet.OutcomeUnknown, Idempotent: true,
	})
	c.firstTokenAt, c.state = 0, callIdle
	if !d.Retry {
		s.finish(c, outcomeFailed)
		return
	}
	c.retriesSpent = d.Spent
	c.exclude = append(c.exclude, c.engine.name)
	s.after(d.Wait, func() {
		if c.state == callIdle {
			s.forward(c)
		}
	})
}

// failIfPoison marks a call that ran on a crashed endpoint as suspect. A call
// that was suspect already fails as a poison request, and the result is true.
func (s *simulation) failIfPoison(c *call) bool {
	if !s.suspects[c.fingerprint()] {
		s.suspects[c.fingerprint()] = true
		return false
	}
	s.poison[c.fingerprint()] = true
	s.finish(c, outcomePoison)
	return true
}
