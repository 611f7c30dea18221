package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Targets returns whom to send to in this round: a heartbeat to each peer of the own
// data centre, in a large one to some of them in turn, and, where the own instance
// opens the exchange of a pair, totals to one peer of another data centre.
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

// Wide makes the next round go to all peers of the own data centre, for news that
// can't wait.
func (v *View) Wide() { v.wide = true }

// near returns the peers of the own data centre whose turn it is. Dead ones are tried
// now and then, so that two sides that lost each other meet again.
func (v *View) near() []Peer {
	rows := v.neighbours()
	if len(rows) > v.settings.fanout && !v.wide && v.round > wideRounds {
		rows = v.turns(rows)
	}
	v.wide = false
	for _, r := range rows {
		r.answer = false
	}
	if v.round%probeRounds == 0 {
		rows = append(rows, v.filter(func(r *record) bool { return v.isNear(r) && r.state == StateDead })...)
		slices.SortFunc(rows, func(a, b *record) int { return cmp.Compare(a.peer.Instance, b.peer.Instance) })
	}
	return peers(rows)
}

func (v *View) isNear(r *record) bool {
	return r != v.self && r.peer.Place.DataCentre == v.self.peer.Place.DataCentre
}

// neighbours are the peers of the own data centre that aren't dead, by name.
func (v *View) neighbours() []*record {
	return v.filter(func(r *record) bool { return v.isNear(r) && r.state != StateDead })
}

// turns chooses from the peers of a large data centre those that follow the own
// instance in the ring of names, who get every heartbeat, a share of the others, and
// those that have to be answered.
func (v *View) turns(rows []*record) []*record {
	at, _ := slices.BinarySearchFunc(rows, v.self.peer.Instance, byName)
	ring := slices.Concat(rows[at:], rows[:at])
	list, rest := ring[:followers:followers], ring[followers:]
	slices.SortFunc(rest, func(a, b *record) int { return cmp.Compare(a.peer.Instance, b.peer.Instance) })
	from, found := slices.BinarySearchFunc(rest, v.cursor, byName)
	if found {
		from++
	}
	for i := range v.settings.fanout - followers {
		list = append(list, rest[(from+i)%len(rest)])
	}
	v.cursor = list[len(list)-1].peer.Instance
	for _, r := range rest {
		if r.answer && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// spare is how much longer than in a small data centre a peer may stay silent, as it
// doesn't beat the own instance every round. The rows are the own neighbours.
func (v *View) spare(r *record, rows []*record) time.Duration {
	if !v.isNear(r) || len(rows) <= v.settings.fanout || (r.pace <= v.settings.interval*3/2 && v.follows(r, rows)) {
		return 0
	}
	share := v.settings.fanout - followers
	rounds := (len(rows) - followers + share - 1) / share
	return time.Duration(rounds-1) * v.settings.interval
}

// follows says whether the own instance is one of the followers of a peer.
func (v *View) follows(r *record, rows []*record) bool {
	from, _ := slices.BinarySearchFunc(rows, r.peer.Instance, byName)
	self, _ := slices.BinarySearchFunc(rows, v.self.peer.Instance, byName)
	return (self-from-1+len(rows))%len(rows) < followers
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
// due and the own instance opens that exchange. Speakers of the same rank talk to each
// other, so that each holds what the other told before.
func (v *View) far(now time.Time, dc fleet.DataCentre) (Peer, bool) {
	rank, ok := v.rank(pairKey(v.self.peer.Place.DataCentre, dc), v.self.peer.Place.DataCentre)
	if !ok || rank >= speakers || now.Sub(v.exchange[dc]) < v.settings.exchange {
		return Peer{}, false
	}
	live := v.filter(func(r *record) bool { return r.peer.Place.DataCentre == dc && r.state == StateLive })
	if len(live) > 0 && !v.opens(now, dc, rank, live) {
		return Peer{}, false
	}
	v.exchange[dc] = now
	if len(live) > 0 {
		return v.counterpart(dc, rank, live), true
	}
	rows := v.filter(func(r *record) bool { return r.peer.Place.DataCentre == dc })
	v.turn++
	turn := xxhash.Sum64String(string(v.self.peer.Place.DataCentre)) + v.turn
	return rows[turn%uint64(len(rows))].peer, true
}

// opens says whether the own instance opens the exchange of a rank: one side does for
// each rank, and the other one too when nothing was heard for longer than an exchange.
func (v *View) opens(now time.Time, dc fleet.DataCentre, rank int, live []*record) bool {
	if (rank == 0) == (v.self.peer.Place.DataCentre < dc) {
		return true
	}
	var heard time.Time
	for _, r := range live {
		heard = later(heard, r.heard)
	}
	return now.Sub(heard) > v.settings.exchange+v.settings.interval
}

// counterpart returns the live instance of another data centre that speaks there with
// a rank, or the last in order when there are fewer.
func (v *View) counterpart(dc fleet.DataCentre, rank int, live []*record) Peer {
	key := xxhash.Sum64String(pairKey(dc, v.self.peer.Place.DataCentre))
	slices.SortFunc(live, func(a, b *record) int { return cmp.Compare(score(b.hash, key), score(a.hash, key)) })
	return live[min(rank, len(live)-1)].peer
}

// Failed takes note that a peer didn't answer. An exchange with another data centre is
// due again at once, with another one there.
func (v *View) Failed(p Peer) {
	v.Unreachable(p.Instance)
	delete(v.exchange, p.Place.DataCentre)
}

// Speaker says whether the own instance exchanges totals with another data centre.
// Each pair of data centres has two speakers on each side, chosen for the pair, so
// that the pairs are spread over the instances.
func (v *View) Speaker(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected(pairKey(own, dc), own, speakers)
}

// First says whether the own instance is the first speaker to another data centre,
// which passes on what it hears from there.
func (v *View) First(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected(pairKey(own, dc), own, 1)
}

func pairKey(from, to fleet.DataCentre) string {
	return "totals/" + string(from) + "/" + string(to)
}
