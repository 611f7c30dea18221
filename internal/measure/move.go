package measure

import "time"

func (p *placer) storeDown() bool {
	return p.sim.scene.StoreDown.contains(p.sim.now)
}

// load orders a load; false when memory or the store's limits forbid it.
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

// unload drains a copy and then frees its memory.
func (p *placer) unload(e *engine, m int) {
	if e.copies[m] != copyReady || p.storeDown() {
		return
	}
	p.moves++
	e.copies[m] = copyDraining
	p.sim.redirectQueued(e, m)
	p.finishUnload(e, m, e.incarnation)
}

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

// redirectQueued hands the calls that wait for a model at an endpoint to others.
func (r *simulation) redirectQueued(e *engine, m int) {
	for _, c := range r.calls {
		if c != nil && c.engine == e && c.req.model == m && c.state == callQueued {
			r.queues[e.index].Cancel(r.wallTime(), c.id)
			r.tryNextEndpoint(c, 0)
		}
	}
}

// hasRunning reports whether calls for a model run at an endpoint.
func (r *simulation) hasRunning(e *engine, m int) bool {
	for _, c := range r.byID {
		if c.engine == e && c.req.model == m && c.state == callRunning {
			return true
		}
	}
	return false
}
