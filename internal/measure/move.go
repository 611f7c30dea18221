package measure

import "time"

func (p *placer) storeDown() bool {
	return p.sim.scene.StoreDown.contains(p.sim.now)
}

// load starts to load a copy. It returns false when memory or the limits of the
// weight store forbid it.
func (p *placer) load(e *engine, m int) bool {
	d := p.sim.deployment
	noMemory := e.usedBytes+modelBytes(m) > weightMemory
	if !e.alive || noMemory || e.copies[m] != copyAbsent || p.pendingLoads >= d.MaxConcurrentLoads || p.storeDown() {
		return false
	}
	p.moves++
	p.pendingLoads++
	e.usedBytes += modelBytes(m)
	e.copies[m] = copyLoading
	e.advance()
	e.pendingLoads++
	e.schedule()
	incarnation := e.incarnation
	p.nextLoadStart = max(p.nextLoadStart, p.sim.now) + time.Duration(float64(time.Second)/d.LoadRate)
	loadTime := time.Duration(modelBytes(m)/gib) * loadTimePerGiB
	p.sim.at(p.nextLoadStart+loadTime, func() { p.finishLoad(e, m, incarnation) })
	return true
}

func (p *placer) finishLoad(e *engine, m, incarnation int) {
	p.pendingLoads--
	if e.incarnation != incarnation {
		return
	}
	e.advance()
	e.pendingLoads--
	e.schedule()
	e.copies[m] = copyReady
}

// unload drains a copy, then frees its memory.
func (p *placer) unload(e *engine, m int) {
	if e.copies[m] != copyReady || p.storeDown() {
		return
	}
	p.moves++
	e.copies[m] = copyDraining
	p.sim.redirectQueued(e, m)
	p.finishUnload(e, m, e.incarnation)
}

// finishUnload frees the memory of a draining copy once no call runs on it.
func (p *placer) finishUnload(e *engine, m, incarnation int) {
	p.sim.after(unloadTime, func() {
		if e.incarnation != incarnation {
			return
		}
		if p.sim.hasRunning(e, m) {
			p.finishUnload(e, m, incarnation)
			return
		}
		e.copies[m] = copyAbsent
		e.usedBytes -= modelBytes(m)
	})
}

// redirectQueued sends the calls queued for a model at an endpoint to other endpoints.
func (s *simulation) redirectQueued(e *engine, m int) {
	for _, c := range s.calls {
		if c != nil && c.engine == e && c.req.model == m && c.state == callQueued {
			s.queues[e.index].Cancel(s.wallTime(), c.id)
			s.tryNextEndpoint(c, 0)
		}
	}
}

// hasRunning reports whether an endpoint is running calls for a model.
func (s *simulation) hasRunning(e *engine, m int) bool {
	for _, c := range s.byID {
		if c.engine == e && c.req.model == m && c.state == callRunning {
			return true
		}
	}
	return false
}
