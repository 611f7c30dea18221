package measure

import "time"

// maxHops is how many endpoints are asked for one try.
const maxHops = 3

// elsewhere tries another endpoint, or refuses the call when all were asked.
func (r *run) elsewhere(c *call, wait time.Duration) {
	c.exclude = append(c.exclude, c.engine.name)
	c.hops++
	if wait > 0 && (c.shortest == 0 || wait < c.shortest) {
		c.shortest = wait
	}
	if c.hops < maxHops && !r.policy.Without.Hops && r.hasChoice(c) {
		r.forward(c)
		return
	}
	r.refuse(c, max(c.shortest, minReturn))
}

// minReturn is the least time after which a refused caller comes back.
const minReturn = 100 * time.Millisecond

// maxTries is how often a caller sends a request.
const maxTries = 6

// refuse tells the caller that the request was not run, and when to come back.
func (r *run) refuse(c *call, wait time.Duration) {
	c.state = callAway
	r.score.refusal(c.req, r.couldServe(c))
	if c.tries >= maxTries || r.now+wait > c.req.arrived+c.req.class.Patience {
		r.finish(c, outcomeRefused)
		return
	}
	r.after(wait, func() { r.submit(c) })
}

// couldServe reports whether some endpoint could have started the call at once.
func (r *run) couldServe(c *call) bool {
	if r.now > c.req.due() {
		return false
	}
	for _, e := range r.engines {
		if e.alive && e.copies[c.req.model] == copyReady {
			q := r.queues[e.index]
			if q.Running() < engineSlots && q.Wait(r.time(), c.req.class.Rank) == 0 {
				return true
			}
		}
	}
	return false
}
