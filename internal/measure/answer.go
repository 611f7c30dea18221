package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// first notes that the first token has left the engine.
func (r *run) first(c *call) {
	if c.given == 0 {
		c.first = r.now
	}
	r.cacheEvent(c)
	if c.req.killer {
		e := c.engine
		r.after(0, func() { r.die(e) })
	}
}

// cacheEvent tells the entries late, or never, that a prefix was cached.
func (r *run) cacheEvent(c *call) {
	e := c.engine.name
	r.events++
	sequence := r.events
	if r.random.Float64() < cacheEventLoss {
		return
	}
	block := []route.Block{route.Block(c.req.group)}
	r.after(cacheEventLag, func() { r.prefixes.RecordEvent(r.time(), e, sequence, block, nil) })
}

// done notes that the answer is whole.
func (r *run) done(c *call) {
	e := c.engine
	r.queues[e.index].Done(r.time(), c.id, admit.End{State: admit.EndComplete})
	r.link.answer(r, c)
	r.finish(c, r.score.judge(c, r.now, r.back(c)))
	r.pump(e)
}

// giveUp is the caller going away.
func (r *run) giveUp(c *call) {
	switch c.state {
	case callFinished:
		return
	case callRunning:
		if r.now < c.req.due() || c.first > 0 {
			return
		}
		c.engine.cancel(c)
		r.queues[c.engine.index].Cancel(r.time(), c.id)
		r.finish(c, outcomeAbandoned)
		r.pump(c.engine)
	case callQueued:
		r.queues[c.engine.index].Cancel(r.time(), c.id)
		r.finish(c, outcomeAbandoned)
	default:
		r.finish(c, outcomeAbandoned)
	}
}

func (r *run) finish(c *call, o outcome) {
	c.state = callFinished
	delete(r.byID, c.id)
	r.score.end(c, o)
}
