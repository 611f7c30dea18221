package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Suspicion says that one instance hears another one no more.
type Suspicion struct {
	Instance    fleet.Instance
	Incarnation string
	// Sequence is the last heartbeat that was heard.
	Sequence uint64
	// By is who hears it no more.
	By fleet.Instance
}

// Suspicions returns the suspicions to be told with heartbeats: those of the own instance
// and those that it was told, of each peer as many as confirm it. In a small data
// centre everybody hears everybody and there are none.
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

// ReceiveSuspicions takes suspicions of others. A peer is suspected when enough instances
// don't hear it and the own one has heard nothing newer. A rumour about the own
// instance is answered with a heartbeat to all.
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
