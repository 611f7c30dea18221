package ledger

import "slices"

// Observe updates the ledger from a state that the endpoint reported, and reports whether
// the stored record changed. The state must have been read after all events that the
// ledger has recorded so far.
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

// reset drops all allocations of the previous endpoint process: its memory is free, and
// orders sent to it never reach another process.
func (l *Ledger) reset(incarnation string) {
	l.incarnation = incarnation
	l.allocations = nil
}

// dropFencedOff drops pending orders with a fence below the endpoint's, which it now
// refuses. Those that it accepted earlier show up in the same state.
func (l *Ledger) dropFencedOff(s State) {
	for i := range l.allocations {
		h := &l.allocations[i]
		h.Pending = slices.DeleteFunc(h.Pending, func(p PendingOrder) bool { return p.Fence < s.Fence })
	}
}

// reconcile updates the allocations from the items that the endpoint reports. An item that
// appears settles one pending load, one that disappears settles one pending unload.
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

// dropOnePending drops one pending order. The observed change proves that at least one such
// order has arrived; others of its kind may still be in flight.
func (a *Allocation) dropOnePending(matches func(OrderKind) bool) {
	i := slices.IndexFunc(a.Pending, func(p PendingOrder) bool { return matches(p.Kind) })
	if i >= 0 {
		a.Pending = slices.Delete(a.Pending, i, i+1)
	}
}
