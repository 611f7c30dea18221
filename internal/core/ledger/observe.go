package ledger

import "slices"

// Observe takes in a state that was read after every earlier event of this
// ledger, and reports whether the record changed.
func (l *Ledger) Observe(s State) (changed bool) {
	before := l.record()
	if l.incarnation != s.Incarnation {
		l.reset(s.Incarnation)
	}
	l.memory, l.used, l.leaving = s.Memory, s.Used, s.Leaving
	l.checksFence, l.role, l.fence = s.ChecksFence, s.Role, s.Fence
	if s.ChecksFence || l.rules.assumeFenceCheck {
		l.dropFencedOff(s)
	}
	l.reconcile(s.Models)
	l.removeUnused()
	l.observed = true
	return !before.equal(l.record())
}

// reset forgets what the former process held: its memory is free, and orders
// sent to it don't reach another process.
func (l *Ledger) reset(incarnation string) {
	l.incarnation = incarnation
	l.allocations = nil
}

// dropFencedOff drops the orders that the endpoint now refuses. The state was
// read after that, so it shows those that had been accepted.
func (l *Ledger) dropFencedOff(s State) {
	for i := range l.allocations {
		h := &l.allocations[i]
		h.Pending = slices.DeleteFunc(h.Pending, func(p PendingOrder) bool { return p.Fence < s.Fence })
	}
}

// reconcile compares the record with what the endpoint shows.
func (l *Ledger) reconcile(residents []Resident) {
	reported := make(map[Item]bool, len(residents))
	for _, r := range residents {
		if l.rules.freeOnAccept && r.State == PhaseUnloading {
			continue
		}
		reported[r.Item()] = true
		h := &l.allocations[l.ensure(r.Item())]
		if !h.Resident() {
			h.dropOnePending(OrderKind.IsLoad)
		}
		h.Phase = r.State
		h.Bytes = max(h.Bytes, r.Bytes)
	}
	for i := range l.allocations {
		h := &l.allocations[i]
		if h.Resident() && !reported[h.Item()] {
			h.Phase = ""
			h.dropOnePending(OrderKind.IsUnload)
		}
	}
}

// dropOnePending drops one order: the change that was seen proves that at least one
// has arrived. Others of its kind may still be in flight.
func (h *Allocation) dropOnePending(matches func(OrderKind) bool) {
	i := slices.IndexFunc(h.Pending, func(p PendingOrder) bool { return matches(p.Kind) })
	if i >= 0 {
		h.Pending = slices.Delete(h.Pending, i, i+1)
	}
}
