package member

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Rumour says that one instance hears another one no more.
type Rumour struct {
	Instance    fleet.Instance
	Incarnation string
	// Sequence is the last heartbeat that was heard.
	Sequence uint64
	// By is who hears it no more.
	By fleet.Instance
}

// Rumours returns the suspicions to be told with heartbeats: those of the own instance
// and those that it was told, of each peer as many as confirm it. In a small data
// centre everybody hears everybody and there are none.
func (v *View) Rumours() []Rumour {
	rows := v.neighbours()
	if len(rows) <= v.settings.fanout || !v.settings.rumours {
		return nil
	}
	var list []Rumour
	for _, r := range rows {
		by := slices.SortedFunc(maps.Keys(r.accusers), func(a, b fleet.Instance) int {
			return cmp.Or(cmp.Compare(r.accusers[b], r.accusers[a]), cmp.Compare(a, b))
		})
		for _, name := range by[:min(len(by), confirming)] {
			list = append(list, Rumour{r.peer.Instance, r.peer.Incarnation, r.accusers[name], name})
		}
	}
	return list
}

// HearRumours takes suspicions of others. A peer is suspected when enough instances
// don't hear it and the own one has heard nothing newer. A rumour about the own
// instance is answered with a heartbeat to all.
func (v *View) HearRumours(list []Rumour) {
	for _, rumour := range list {
		if rumour.Instance == v.self.peer.Instance {
			v.wide = v.wide || rumour.Incarnation == v.self.peer.Incarnation
			continue
		}
		r, ok := v.records[rumour.Instance]
		if ok && v.isNear(r) && rumour.Incarnation == r.peer.Incarnation && rumour.Sequence >= r.peer.Sequence {
			v.accuse(r, rumour.By, rumour.Sequence)
		}
	}
}

func (v *View) accuse(r *record, by fleet.Instance, sequence uint64) {
	if r.accusers == nil {
		r.accusers = make(map[fleet.Instance]uint64)
	}
	r.accusers[by] = max(r.accusers[by], sequence)
	if r.state == StateLive && len(r.accusers) >= confirming {
		v.move(r, StateSuspected)
	}
}
