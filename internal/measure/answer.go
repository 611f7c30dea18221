package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// firstToken notes that the first token has left the engine.
func (r *simulation) firstToken(c *call) {
	if c.emittedTokens == 0 {
		c.firstTokenAt = r.now
	}
	r.recordCacheEvent(c)
	if c.req.poison {
		e := c.engine
		r.after(0, func() { r.crashEngine(e) })
	}
}

// recordCacheEvent tells the entries late, or never, that a prefix was cached.
func (r *simulation) recordCacheEvent(c *call) {
	e := c.engine.name
	r.cacheEvents++
	sequence := r.cacheEvents
	if r.random.Float64() < cacheEventLoss {
		return
	}
	block := []route.Block{route.Block(c.req.prefixGroup)}
	r.after(cacheEventLag, func() { r.prefixes.RecordEvent(r.wallTime(), e, sequence, block, nil) })
}

// complete notes that the answer is whole.
func (r *simulation) complete(c *call) {
	e := c.engine
	r.queues[e.index].Done(r.wallTime(), c.id, admit.End{State: admit.EndComplete})
	r.link.countAnswer(r, c)
	r.finish(c, r.score.classify(c, r.now, r.responseDelay(c)))
	r.dispatchQueued(e)
}

// abandon is the caller going away.
func (r *simulation) abandon(c *call) {
	switch c.state {
	case callFinished:
		return
	case callRunning:
		if r.now < c.req.firstTokenDeadline() || c.firstTokenAt > 0 {
			return
		}
		c.engine.cancel(c)
		r.queues[c.engine.index].Cancel(r.wallTime(), c.id)
		r.finish(c, outcomeAbandoned)
		r.dispatchQueued(c.engine)
	case callQueued:
		r.queues[c.engine.index].Cancel(r.wallTime(), c.id)
		r.finish(c, outcomeAbandoned)
	default:
		r.finish(c, outcomeAbandoned)
	}
}

func (r *simulation) finish(c *call, o outcome) {
	c.state = callFinished
	delete(r.byID, c.id)
	r.score.record(c, o)
}
