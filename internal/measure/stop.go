package measure

import (
	"container/heap"
	"slices"
)

// cancel removes a call, whether it is in prefill, decoding or blocked.
func (e *engine) cancel(c *call) {
	e.advance()
	for i, j := range e.prefills {
		if j.call == c {
			e.prefills = append(e.prefills[:i], e.prefills[i+1:]...)
			e.kvTokens -= j.kvTokens
			break
		}
	}
	for i, j := range e.decoding {
		if j.call == c {
			heap.Remove(&e.decoding, i)
			e.releaseDecoding(j)
			break
		}
	}
	for i, b := range e.blocked {
		if b == c {
			e.blocked = append(e.blocked[:i], e.blocked[i+1:]...)
			break
		}
	}
	e.startBlocked()
	e.schedule()
}

// crash clears the engine and returns the calls it had.
func (e *engine) crash() []*call {
	var lost []*call
	for _, j := range e.prefills {
		lost = append(lost, j.call)
	}
	for _, j := range e.decoding {
		lost = append(lost, j.call)
	}
	lost = append(lost, e.blocked...)
	e.alive = false
	e.crashedAt, e.copiesAtCrash = e.clock.now, slices.Clone(e.copies)
	e.incarnation++
	e.scheduleVersion++
	e.prefills, e.decoding, e.blocked = nil, nil, nil
	e.kvTokens, e.activeModels, e.usedBytes, e.pendingLoads = 0, 0, 0, 0
	clear(e.decodingByModel)
	clear(e.copies)
	e.prefixCache = newLRU(prefixCacheTokens)
	e.adapters = newLRU(adapterSlots)
	return lost
}
