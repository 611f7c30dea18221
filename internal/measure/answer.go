package measure

import (
	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// firstToken records that the engine emitted the first token of an answer. A
// poison request then crashes its engine.
func (s *simulation) firstToken(c *call) {
	if c.emittedTokens == 0 {
		c.firstTokenAt = s.now
	}
	s.recordCacheEvent(c)
	if c.req.poison {
		e := c.engine
		s.after(0, func() { s.crashEngine(e) })
	}
}

// recordCacheEvent reports a cached prefix to the prefix index, which the
// entries share. Events are delayed, and some are lost.
func (s *simulation) recordCacheEvent(c *call) {
	e := c.engine.name
	s.cacheEvents++
	sequence := s.cacheEvents
	if s.random.Float64() < cacheEventLoss {
		return
	}
	block := []route.Block{route.Block(c.req.prefixGroup)}
	s.after(cacheEventLag, func() { s.prefixes.RecordEvent(s.wallTime(), e, sequence, block, nil) })
}

// complete ends a call whose answer is complete.
func (s *simulation) complete(c *call) {
	e := c.engine
	s.queues[e.index].Done(s.wallTime(), c.id, admit.End{State: admit.EndComplete})
	s.link.countAnswer(s, c)
	s.finish(c, s.score.classify(c, s.now, s.responseDelay(c)))
	s.dispatchQueued(e)
}

// abandon handles a caller's timeout. A running call continues if its first token
// has been emitted or is not due yet.
func (s *simulation) abandon(c *call) {
	switch c.state {
	case callFinished:
		return
	case callRunning:
		if s.now < c.req.firstTokenDeadline() || c.firstTokenAt > 0 {
			return
		}
		c.engine.cancel(c)
		s.queues[c.engine.index].Cancel(s.wallTime(), c.id)
		s.finish(c, outcomeAbandoned)
		s.dispatchQueued(c.engine)
	case callQueued:
		s.queues[c.engine.index].Cancel(s.wallTime(), c.id)
		s.finish(c, outcomeAbandoned)
	default:
		s.finish(c, outcomeAbandoned)
	}
}

func (s *simulation) finish(c *call, o outcome) {
	c.state = callFinished
	delete(s.byID, c.id)
	s.score.record(c, o)
}
