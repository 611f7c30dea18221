package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Targets returns whom to send to in this round: a heartbeat to each peer of the
// own data centre, and, where the own instance is elected for the pair, totals to
// one peer of another data centre.
func (v *View) Targets(now time.Time) []Peer {
	v.round++
	list := v.near()
	for _, dc := range v.others() {
		if p, ok := v.far(now, dc); ok {
			list = append(list, p)
		}
	}
	return list
}

// near returns the peers of the own data centre. Dead ones are tried now and then,
// so that two sides that lost each other meet again.
func (v *View) near() []Peer {
	probe := v.round%probeRounds == 0
	return v.collect(func(r *record) bool {
		if r == v.self || r.peer.Place.DataCentre != v.self.peer.Place.DataCentre {
			return false
		}
		return r.state != StateDead || probe
	})
}

// others returns the other data centres known, by name.
func (v *View) others() []fleet.DataCentre {
	var list []fleet.DataCentre
	for _, r := range v.order {
		dc := r.peer.Place.DataCentre
		if dc != v.self.peer.Place.DataCentre && !slices.Contains(list, dc) {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}

// far returns the peer of another data centre to exchange totals with, when it is
// due and the own instance is elected for that pair of data centres.
func (v *View) far(now time.Time, dc fleet.DataCentre) (Peer, bool) {
	own := v.self.peer.Place.DataCentre
	if !v.Speaker(dc) || now.Sub(v.exchange[dc]) < v.settings.exchange {
		return Peer{}, false
	}
	v.exchange[dc] = now
	rows := v.filter(func(r *record) bool { return r.peer.Place.DataCentre == dc && r.state == StateLive })
	if len(rows) == 0 {
		rows = v.filter(func(r *record) bool { return r.peer.Place.DataCentre == dc })
	}
	if len(rows) == 0 {
		return Peer{}, false
	}
	v.turn++
	turn := xxhash.Sum64String(string(own)) + v.turn
	return rows[turn%uint64(len(rows))].peer, true
}

// Speaker says whether the own instance exchanges totals with another data centre.
// Each pair of data centres has two speakers on each side, chosen for the pair, so
// that the pairs are spread over the instances.
func (v *View) Speaker(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected("totals/"+string(own)+"/"+string(dc), own, speakers)
}
