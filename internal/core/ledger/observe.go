package ledger

import "slices"

// Observe takes in a state that was read after every earlier event of this
// ledger, and reports whether the record changed.
func (l *Ledger) Observe(s State) (changed bool) {
	before := l.record()
	if l.incarnation != s.Incarnation {
		l.restart(s.Incarnation)
	}
	l.memory, l.used, l.leaving = s.Memory, s.Used, s.Leaving
	l.checks, l.role, l.fence = s.Checks, s.Role, s.Fence
	if s.Checks || l.rules.oneFence {
		l.settleBelow(s)
	}
	l.match(s.Models)
	l.sweep()
	l.seen = true
	return !before.equal(l.record())
}

// restart forgets what the former process held: its memory is free, and orders
// sent to it don't reach another process.
func (l *Ledger) restart(incarnation string) {
	l.incarnation = incarnation
	l.holdings = nil
}

// settleBelow drops the orders that the endpoint now refuses. The state was
// read after that, so it shows those that had been accepted.
func (l *Ledger) settleBelow(s State) {
	for i := range l.holdings {
		h := &l.holdings[i]
		h.Pending = slices.DeleteFunc(h.Pending, func(p Pending) bool { return p.Fence < s.Fence })
	}
}

// match compares the record with what the endpoint shows.
func (l *Ledger) match(residents []Resident) {
	shown := make(map[Item]bool, len(residents))
	for _, r := range residents {
		if l.rules.trustUnloads && r.State == PhaseUnloading {
			continue
		}
		shown[r.Item()] = true
		h := &l.holdings[l.ensure(r.Item())]
		if !h.Resident() {
			h.settleOne(Kind.Loads)
		}
		h.Phase = r.State
		h.Bytes = max(h.Bytes, r.Bytes)
	}
	for i := range l.holdings {
		h := &l.holdings[i]
		if h.Resident() && !shown[h.Item()] {
			h.Phase = ""
			h.settleOne(Kind.Unloads)
		}
	}
}

// settleOne drops one order: the change that was seen proves that at least one
// has arrived. Others of its kind may still be in flight.
func (h *Holding) settleOne(of func(Kind) bool) {
	i := slices.IndexFunc(h.Pending, func(p Pending) bool { return of(p.Kind) })
	if i >= 0 {
		h.Pending = slices.Delete(h.Pending, i, i+1)
	}
}
