package member

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Clone returns a deep copy.
func (v *View) Clone() *View {
	c := *v
	c.records = make(map[fleet.Instance]*record, len(v.records))
	c.sorted = make([]*record, 0, len(v.sorted))
	for _, r := range v.sorted {
		dup := *r
		dup.leaving, dup.retired = slices.Clone(r.leaving), slices.Clone(r.retired)
		dup.suspectedBy = maps.Clone(r.suspectedBy)
		c.records[dup.peer.Instance] = &dup
		c.sorted = append(c.sorted, &dup)
	}
	c.self = c.records[v.self.peer.Instance]
	c.changes = slices.Clone(v.changes)
	c.lastExchange = maps.Clone(v.lastExchange)
	return &c
}

// Fingerprint renders all state that affects later decisions, so that a state
// explorer can recognise views that it has already visited.
func (v *View) Fingerprint() string {
	var b strings.Builder
	fmt.Fprintf(&b, "ticked %d round %d turn %d listed %t wide %t cursor %q %v",
		v.lastTick.UnixNano(), v.round, v.exchangeTurn, v.listReceived, v.broadcast, v.cursor, v.lastExchange)
	for _, r := range v.sorted {
		fmt.Fprintf(&b, "\n%v %s %d %t %q %q %v %d %t",
			r.peer, r.state, r.lastReceived.UnixNano(), r.listed, r.leaving, r.retired, r.suspectedBy, r.heartbeatGap, r.needsReply)
	}
	return b.String()
}

// WithoutStickyLeaving lets a delayed "live" update override an earlier "leaving".
// It exists only for tests that show which failure the rule prevents.
func WithoutStickyLeaving() Option {
	return func(s *settings) { s.stickyLeaving = false }
}
