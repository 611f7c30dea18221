package measure

import "time"

// maxEndpointsTried is the number of endpoints that one submission of a request is offered to.
const maxEndpointsTried = 3

// tryNextEndpoint forwards a call to another endpoint, or refuses it when the
// limit is reached or no endpoint is left.
func (s *simulation) tryNextEndpoint(c *call, wait time.Duration) {
	c.exclude = append(c.exclude, c.engine.name)
	c.endpointsTried++
	if wait > 0 && (c.minRetryAfter == 0 || wait < c.minRetryAfter) {
		c.minRetryAfter = wait
	}
	if c.endpointsTried < maxEndpointsTried && !s.policy.Disabled.Hops && s.hasUntriedEndpoint(c) {
		s.forward(c)
		return
	}
	s.refuse(c, max(c.minRetryAfter, minRetryDelay))
}

// minRetryDelay is the minimum delay after which a refused caller retries.
const minRetryDelay = 100 * time.Millisecond

// maxSubmissions is the maximum number of times a caller sends a request.
const maxSubmissions = 6

// refuse returns a call to its caller, which submits it again after the wait, up
// to maxSubmissions and within its timeout.
func (s *simulation) refuse(c *call, wait time.Duration) {
	c.state = callIdle
	s.score.countRefusal(c.req, s.hasIdleEndpoint(c))
	if c.submissions >= maxSubmissions || s.now+wait > c.req.arrived+c.req.class.CallerTimeout {
		s.finish(c, outcomeRefused)
		return
	}
	s.after(wait, func() { s.submit(c) })
}

// hasIdleEndpoint reports whether an endpoint could have started the call without a
// wait and in time. A refusal is wrong in that case.
func (s *simulation) hasIdleEndpoint(c *call) bool {
	if s.now > c.req.firstTokenDeadline() {
		return false
	}
	for _, e := range s.engines {
		if e.alive && e.copies[c.req.model] == copyReady {
			q := s.queues[e.index]
			if q.Running() < engineSlots && q.Wait(s.wallTime(), c.req.class.Rank) == 0 {
				return true
			}
		}
	}
	return false
}
