package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Targets starts a round and returns its recipients. Peers of the local data centre get
// a heartbeat: all of them, or a rotating subset if there are more than the fanout. Where
// this instance initiates the exchange with another data centre, one peer there gets
// totals.
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

// BroadcastNextRound makes the next round go to broadcastFanout peers of the local data
// centre, for updates that must not wait for the rotation.
func (v *View) BroadcastNextRound() { v.broadcast = true }

// localTargets returns the peers of the local data centre that get a heartbeat in this
// round. Every probeRounds rounds it includes dead peers, so that both sides of a network
// partition reconnect after it has healed.
func (v *View) localTargets() []Peer {
	rows := v.localPeers()
	limit := v.settings.fanout
	if v.broadcast || v.round <= broadcastRounds {
		limit = max(limit, broadcastFanout)
	}
	if len(rows) > limit {
		rows = v.rotate(rows, limit)
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

// localPeers returns the peers of the local data centre that are not dead, sorted by name.
func (v *View) localPeers() []*record {
	return v.filter(func(r *record) bool { return v.isLocal(r) && r.state != StateDead })
}

// rotate chooses limit targets of a round in a large data centre: the successors of this
// instance in the ring of sorted names, which get every heartbeat, and the next few of the
// other peers in turn. Up to replyFanout of those that need a reply are added: when hundreds
// of instances start together, the others get theirs in turn.
func (v *View) rotate(rows []*record, limit int) []*record {
	at, _ := slices.BinarySearchFunc(rows, v.self.peer.Instance, byName)
	ring := slices.Concat(rows[at:], rows[:at])
	list, others := ring[:successors:successors], ring[successors:]
	slices.SortFunc(others, func(a, b *record) int { return cmp.Compare(a.peer.Instance, b.peer.Instance) })
	if v.cursor == "" && len(rows) > broadcastFanout {
		v.cursor = v.self.peer.Instance // else hundreds of instances would begin with the same peers
	}
	from, found := slices.BinarySearchFunc(others, v.cursor, byName)
	if found {
		from++
	}
	for i := range limit - successors {
		list = append(list, others[(from+i)%len(others)])
	}
	v.cursor = list[len(list)-1].peer.Instance
	replies := 0
	for _, r := range others {
		if r.needsReply && replies < replyFanout && !slices.Contains(list, r) {
			list = append(list, r)
			replies++
		}
	}
	return list
}

// extraTimeout returns the time added to a peer's timeout because it does not send this
// instance a heartbeat every round in a large data centre. The rows are the local peers.
// A successor gets no extra time as long as its peer does send one every round.
func (v *View) extraTimeout(r *record, rows []*record) time.Duration {
	if !v.isLocal(r) || len(rows) <= v.settings.fanout || (r.heartbeatGap <= v.settings.interval*3/2 && v.isSuccessor(r, rows)) {
		return 0
	}
	share := v.settings.fanout - successors
	rounds := (len(rows) - successors + share - 1) / share
	return time.Duration(rounds-1) * v.settings.interval
}

// isSuccessor reports whether this instance is one of the successors of a peer.
func (v *View) isSuccessor(r *record, rows []*record) bool {
	from, _ := slices.BinarySearchFunc(rows, r.peer.Instance, byName)
	self, _ := slices.BinarySearchFunc(rows, v.self.peer.Instance, byName)
	return (self-from-1+len(rows))%len(rows) < successors
}

// otherDataCentres returns the other known data centres, sorted by name.
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

// exchangeTarget returns the peer of another data centre to exchange totals with, if an
// exchange is due and this instance initiates it. Speakers of the same rank exchange with
// each other, so that each still holds the other's last snapshot and gets only a delta.
// If no peer there is live, all known ones are tried in turn.
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

// initiates reports whether this instance opens the exchange of a rank. One side does so
// for each rank; the other side takes over when nothing has arrived for longer than an
// exchange interval.
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

// counterpart returns the live instance of another data centre that is its speaker of the
// same rank, or its last speaker if it has fewer.
func (v *View) counterpart(dc fleet.DataCentre, rank int, live []*record) Peer {
	key := xxhash.Sum64String(pairKey(dc, v.self.peer.Place.DataCentre))
	slices.SortFunc(live, func(a, b *record) int { return cmp.Compare(score(b.hash, key), score(a.hash, key)) })
	return live[min(rank, len(live)-1)].peer
}

// Failed records that a peer did not answer. The exchange with its data centre is due
// again immediately, with another peer there.
func (v *View) Failed(p Peer) {
	v.Unreachable(p.Instance)
	delete(v.lastExchange, p.Place.DataCentre)
}

// IsSpeaker reports whether this instance exchanges totals with another data centre.
// Each pair of data centres has two speakers on each side. They are chosen per pair, so
// that the work of all pairs spreads over the instances.
func (v *View) IsSpeaker(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected(pairKey(own, dc), own, speakerCount)
}

// IsFirstSpeaker reports whether this instance is the first speaker to another data
// centre, which forwards the totals that it receives from there.
func (v *View) IsFirstSpeaker(dc fleet.DataCentre) bool {
	own := v.self.peer.Place.DataCentre
	return v.elected(pairKey(own, dc), own, 1)
}

func pairKey(from, to fleet.DataCentre) string {
	return "totals/" + string(from) + "/" + string(to)
}
