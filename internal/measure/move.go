package measure

import "time"

func (p *placer) storeDown() bool {
	return p.run.scene.StoreDown.holds(p.run.now)
}

// load orders a load; false when memory or the store's limits forbid it.
func (p *placer) load(e *engine, m int) bool {
	d := p.run.deployment
	full := e.used+bytesOf(m) > weightMemory
	if !e.alive || full || e.copies[m] != copyAbsent || p.pending >= d.LoadsAtOnce || p.storeDown() {
		return false
	}
	p.moves++
	p.pending++
	e.used += bytesOf(m)
	e.copies[m] = copyLoading
	e.advance()
	e.loading++
	e.schedule()
	life := e.life
	p.permit = max(p.permit, p.run.now) + time.Duration(float64(time.Second)/d.LoadRate)
	took := time.Duration(bytesOf(m)/gib) * loadTimePerGiB
	p.run.at(p.permit+took, func() { p.loaded(e, m, life) })
	return true
}

func (p *placer) loaded(e *engine, m, life int) {
	p.pending--
	if e.life != life {
		return
	}
	e.advance()
	e.loading--
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
	p.run.sendAway(e, m)
	p.drain(e, m, e.life)
}

func (p *placer) drain(e *engine, m, life int) {
	p.run.after(unloadTime, func() {
		if e.life != life {
			return
		}
		if p.run.holds(e, m) {
			p.drain(e, m, life)
			return
		}
		e.copies[m] = copyAbsent
		e.used -= bytesOf(m)
	})
}

// sendAway hands the calls that wait for a model at an endpoint to others.
func (r *run) sendAway(e *engine, m int) {
	for _, c := range r.calls {
		if c != nil && c.engine == e && c.req.model == m && c.state == callQueued {
			r.queues[e.index].Cancel(r.time(), c.id)
			r.elsewhere(c, 0)
		}
	}
}

// holds reports whether calls for a model run at an endpoint.
func (r *run) holds(e *engine, m int) bool {
	for _, c := range r.byID {
		if c.engine == e && c.req.model == m && c.state == callRunning {
			return true
		}
	}
	return false
}
