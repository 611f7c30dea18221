package measure

import "time"

// maxEndpointsAsked is how many endpoints are asked for one try.
const maxEndpointsAsked = 3

// tryNextEndpoint tries another endpoint, or refuses the call when all were asked.
func (r *simulation) tryNextEndpoint(c *call, wait time.Duration) {
	c.exclude = append(c.exclude, c.engine.name)
	c.endpointsAsked++
	if wait > 0 && (c.minRetryAfter == 0 || wait < c.minRetryAfter) {
		c.minRetryAfter = wait
	}
	if c.endpointsAsked < maxEndpointsAsked && !r.policy.Disabled.Hops && r.hasUntriedEndpoint(c) {
		r.forward(c)
		return
	}
	r.refuse(c, max(c.minRetryAfter, minRetryDelay))
}

// minRetryDelay is the least time after which a refused caller comes back.
const minRetryDelay = 100 * time.Millisecond

// maxSubmissions is how often a caller sends a request.
const maxSubmissions = 6

// refuse tells the caller that the request was not run, and when to come back.
func (r *simulation) refuse(c *call, wait time.Duration) {
	c.state = callIdle
	r.score.countRefusal(c.req, r.hasIdleEndpoint(c))
	if c.submissions >= maxSubmissions || r.now+wait > c.req.arrived+c.req.class.CallerTimeout {
		r.finish(c, outcomeRefused)
		return
	}
	r.after(wait, func() { r.submit(c) })
}

// hasIdleEndpoint reports whether some endpoint could have started the call at once.
func (r *simulation) hasIdleEndpoint(c *call) bool {
	if r.now > c.req.firstTokenDeadline() {
		return false
	}
	for _, e := range r.engines {
		if e.alive && e.copies[c.req.model] == copyReady {
			q := r.queues[e.index]
			if q.Running() < engineSlots && q.Wait(r.wallTime(), c.req.class.Rank) == 0 {
				return true
			}
		}
	}
	return false
}
