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
	list := v.localTargets()
	for _, dc := range v.otherDataCentres() {
		if p, ok := v.exchangeTarget(now, dc); ok {
			list = append(list, p)
		}
	}
	return list
}

// BroadcastNextRound makes the next round go to all peers of the own data centre, for news that
// can't wait.
func (v *View) BroadcastNextRound() { v.broadcast = true }

// localTargets returns the peers of the own data centre whose turn it is. Dead ones are tried
// now and then, so that two sides that lost each other meet again.
func (v *View) localTargets() []Peer {
	rows := v.localPeers()
	if len(rows) > v.settings.fanout && !v.broadcast && v.round > broadcastRounds {
		rows = v.rotate(rows)
	}
	v.broadcast = false
	for _, r := range rows {
		r.needsReply = false
	}
	if v.round%probeRounds == 0 {
		rows = append(rows, v.filter(func(r *record) bool { return v.isLocal(r) && r.state == StateDead })...)
		slices.SortFunc(rows, func(a, b *record) int { return cmp.Compare(a.peer.Instance, b.peer.Instance) })
	}
	return peers(rows)
}

func (v *View) isLocal(r *record) bool {
	return r != v.self && r.peer.Place.DataCentre == v.self.peer.Place.DataCentre
}

// localPeers are the peers of the own data centre that aren't dead, by name.
func (v *View) localPeers() []*record {
	return v.filter(func(r *record) bool { return v.isLocal(r) && r.state != StateDead })
}

// rotate chooses from the peers of a large data centre those that follow the own
// instance in the ring of names, who get every heartbeat, a share of the others, and
// those that have to be answered.
func (v *View) rotate(rows []*record) []*record {
	at, _ := slices.BinarySearchFunc(rows, v.self.peer.Instance, byName)
	ring := slices.Concat(rows[at:], rows[:at])
	list, others := ring[:successors:successors], ring[successors:]
	slices.SortFunc(others, func(a, b *record) int { return cmp.Compare(a.peer.Instance, b.peer.Instance) })
	from, found := slices.BinarySearchFunc(others, v.cursor, byName)
	if found {
		from++
	}
	for i := range v.settings.fanout - successors {
		list = append(list, others[(from+i)%len(others)])
	}
	v.cursor = list[len(list)-1].peer.Instance
	for _, r := range others {
		if r.needsReply && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// extraTimeout is how much longer than in a small data centre a peer may stay silent, as it
// doesn't beat the own instance every round. The rows are the own neighbours.
func (v *View) extraTimeout(r *record, rows []*record) time.Duration {
	if !v.isLocal(r) || len(rows) <= v.settings.fanout || (r.heartbeatGap <= v.settings.interval*3/2 && v.isSuccessor(r, rows)) {
		return 0
	}
	share := v.settings.fanout - successors
	rounds := (len(rows) - successors + share - 1) / share
	return time.Duration(rounds-1) * v.settings.interval
}

// isSuccessor says whether the own instance is one of the followers of a peer.
func (v *View) isSuccessor(r *record, rows []*record) bool {
	from, _ := slices.BinarySearchFunc(rows, r.peer.Instance, byName)
	self, _ := slices.BinarySearchFunc(rows, v.self.peer.Instance, byName)
	return (self-from-1+len(rows))%len(rows) < successors
}

// otherDataCentres returns the other data centres known, by name.
func (v *View) otherDataCentres() []fleet.DataCentre {
	var list []fleet.DataCentre
	for _, r := range v.sorted {
		dc := r.peer.Place.DataCentre
		if dc != v.self.peer.Place.DataCentre && !slices.Contains(list, dc) {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}

// exchangeTarget returns the peer of another data centre to exchange totals with, when it is
// due and the own instance opens that exchange. Speakers of the same rank talk to each
// other, so that each holds what the other told before.
func (v *View) exchangeTarget(now time.Time, dc fleet.DataCentre) (Peer, bool) {
	rank, ok := v.rank(pairKey(v.self.peer.Place.DataCentre, dc), v.self.peer.Place.DataCentre)
	if !ok || rank >= speakerCount || now.Sub(v.lastExchange[dc]) < v.settings.exchangeInterval {
		return Peer{}, false
	}
	live := v.filter(func(r *record) bool { return r.peer.Place.DataCentre == dc && r.state == StateLive })
	if len(live) > 0 && !v.initiates(now, dc, rank, live) {
		return Peer{}, false
	}
	v.lastExchange[dc] = now
	if len(live) > 0 {
		return v.counterpart(dc, rank, live), true
	}
	rows := v.filter(func(r *record) bool { return r.peer.Place.DataCentre == dc })
	v.exchangeTurn++
	index := xxhash.Sum64String(string(v.self.peer.Place.DataCentre)) + v.exchangeTurn
	return rows[index%uint64(len(rows))].peer, true
}

// initiates says whether the own instance opens the exchange of a rank: one side does for
// each rank, and the other one too when nothing was heard for longer than an exchange.
func (v *View) initiates(now time.Time, dc fleet.DataCentre, rank int, live []*record) bool {
	if (rank == 0) == (v.self.peer.Place.DataCentre < dc) {
		return true
	}
	var lastReceived time.Time
	for _, r := range live {
		lastReceived = latest(lastReceived, r.lastReceived)
	}
	return now.Sub(lastReceived) > v.settings.exchangeInterval+v.settings.interval
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
	delete(v.lastExchange, p.Place.DataCentre)
}

// IsSpeaker says whether the own instance exchanges totals with another data centre.
// Each pair of data centres has two speakers on each side, chosen for the pair, so
// that the pairs are spread over the instances.
func (v *View) IsSpeaker(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected(pairKey(own, dc), own, speakerCount)
}

// IsFirstSpeaker says whether the own instance is the first speaker to another data centre,
// which passes on what it hears from there.
func (v *View) IsFirstSpeaker(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected(pairKey(own, dc), own, 1)
}

func pairKey(from, to fleet.DataCentre) string {
	return "totals/" + string(from) + "/" + string(to)
}
