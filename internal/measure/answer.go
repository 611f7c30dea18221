package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// firstToken records that the engine emitted the first token of an answer. A
// poison request then crashes its engine.
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

// recordCacheEvent reports a cached prefix to the prefix index, which the
// entries share. Events are delayed, and some are lost.
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

// complete ends a call whose answer is complete.
func (r *simulation) complete(c *call) {
	e := c.engine
	r.queues[e.index].Done(r.wallTime(), c.id, admit.End{State: admit.EndComplete})
	r.link.countAnswer(r, c)
	r.finish(c, r.score.classify(c, r.now, r.responseDelay(c)))
	r.dispatchQueued(e)
}

// abandon handles a caller's timeout. A running call continues if its first token
// has been emitted or is not due yet.
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
