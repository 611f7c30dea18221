package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Suspicion states that one instance no longer receives heartbeats from another.
type Suspicion struct {
	Instance    fleet.Instance
	Incarnation string
	// Sequence is that of the last heartbeat received.
	Sequence uint64
	// By is the instance that reports the suspicion.
	By fleet.Instance
}

// Suspicions returns the suspicions to send with heartbeats: those of this instance and
// those that it received, up to minSuspicions for each peer. In a data centre no larger
// than the fanout each instance gets all heartbeats itself, so there are none.
func (v *View) Suspicions() []Suspicion {
	rows := v.localPeers()
	if len(rows) <= v.settings.fanout || !v.settings.shareSuspicions {
		return nil
	}
	var list []Suspicion
	for _, r := range rows {
		reporters := slices.SortedFunc(maps.Keys(r.suspectedBy), func(a, b fleet.Instance) int {
			return cmp.Or(cmp.Compare(r.suspectedBy[b], r.suspectedBy[a]), cmp.Compare(a, b))
		})
		for _, name := range reporters[:min(len(reporters), minSuspicions)] {
			list = append(list, Suspicion{r.peer.Instance, r.peer.Incarnation, r.suspectedBy[name], name})
		}
	}
	return list
}

// ReceiveSuspicions applies suspicions of other instances. A peer is suspected once
// minSuspicions instances report it and no newer heartbeat has arrived here. A suspicion
// of this instance itself is refuted with a heartbeat to all local peers.
func (v *View) ReceiveSuspicions(list []Suspicion) {
	for _, suspicion := range list {
		if suspicion.Instance == v.self.peer.Instance {
			v.broadcast = v.broadcast || suspicion.Incarnation == v.self.peer.Incarnation
			continue
		}
		r, ok := v.records[suspicion.Instance]
		if ok && v.isLocal(r) && suspicion.Incarnation == r.peer.Incarnation && suspicion.Sequence >= r.peer.Sequence {
			v.addSuspicion(r, suspicion.By, suspicion.Sequence)
		}
	}
}

func (v *View) addSuspicion(r *record, by fleet.Instance, sequence uint64) {
	if r.suspectedBy == nil {
		r.suspectedBy = make(map[fleet.Instance]uint64)
	}
	r.suspectedBy[by] = max(r.suspectedBy[by], sequence)
	if r.state == StateLive && len(r.suspectedBy) >= minSuspicions {
		v.setState(r, StateSuspected)
	}
}
