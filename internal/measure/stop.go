package measure

import (
	"container/heap"
	"slices"
)

// cancel stops a call wherever it stands.
func (e *engine) cancel(c *call) {
	e.advance()
	for i, j := range e.reading {
		if j.call == c {
			e.reading = append(e.reading[:i], e.reading[i+1:]...)
			e.kv -= j.kv
			break
		}
	}
	for i, j := range e.running {
		if j.call == c {
			heap.Remove(&e.running, i)
			e.release(j)
			break
		}
	}
	for i, b := range e.blocked {
		if b == c {
			e.blocked = append(e.blocked[:i], e.blocked[i+1:]...)
			break
		}
	}
	e.unblock()
	e.schedule()
}

// die empties the engine and returns what it ran.
func (e *engine) die() []*call {
	var lost []*call
	for _, j := range e.reading {
		lost = append(lost, j.call)
	}
	for _, j := range e.running {
		lost = append(lost, j.call)
	}
	lost = append(lost, e.blocked...)
	e.alive = false
	e.died, e.had = e.clock.now, slices.Clone(e.copies)
	e.life++
	e.version++
	e.reading, e.running, e.blocked = nil, nil, nil
	e.kv, e.models, e.used, e.loading = 0, 0, 0, 0
	clear(e.busy)
	clear(e.copies)
	e.cache = newLRU(cacheTokens)
	e.adapters = newLRU(adapterPlaces)
	return lost
}
