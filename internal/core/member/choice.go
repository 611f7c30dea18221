package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// score returns the rendezvous hashing weight of a peer for a key.
func score(peer, key uint64) uint64 {
	x := peer ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// State returns the recorded state of a peer, false when the peer is unknown.
func (v *View) State(instance fleet.Instance) (State, bool) {
	r, ok := v.records[instance]
	if !ok {
		return "", false
	}
	return r.state, true
}

// Get returns a known peer.
func (v *View) Get(instance fleet.Instance) (Peer, bool) {
	r, ok := v.records[instance]
	if !ok {
		return Peer{}, false
	}
	return r.peer, true
}

// All returns every known peer including this instance, sorted by name.
func (v *View) All() []Peer {
	return v.collect(func(*record) bool { return true })
}

// Live returns the peers of a data centre that accept new work, sorted by name.
// An empty data centre selects all of them.
func (v *View) Live(dc fleet.DataCentre) []Peer {
	return v.collect(func(r *record) bool {
		return r.state == StateLive && (dc == "" || r.peer.Place.DataCentre == dc)
	})
}

// Behind returns the peers that have not reported the given document revision or
// a later one. Dead and leaving peers are omitted.
func (v *View) Behind(revision uint64) []Peer {
	return v.collect(func(r *record) bool {
		return r.state != StateDead && r.state != StateLeaving && r.peer.Revision < revision
	})
}

// ListReceived reports whether a platform list was received.
func (v *View) ListReceived() bool { return v.listReceived }

// Settled reports whether a platform list was received and each peer that it names
// in the local data centre has either sent a heartbeat or exceeded the dead timeout.
func (v *View) Settled(now time.Time) bool {
	timeout := time.Duration(v.settings.deadMissed) * v.settings.interval
	for _, r := range v.sorted {
		local := r.peer.Place.DataCentre == v.self.peer.Place.DataCentre
		if local && r.state == StateListed && r.listed && now.Sub(r.lastReceived) < timeout {
			return false
		}
	}
	return v.listReceived
}

// Dispatcher returns the instance that dispatches to an endpoint, chosen by rendezvous
// hashing among the live instances of the endpoint's data centre, else of its region,
// else of the whole fleet.
func (v *View) Dispatcher(e fleet.Endpoint, at fleet.Place) (Peer, bool) {
	key := xxhash.Sum64String(string(e))
	if p, ok := v.best(key, func(p Peer) bool { return p.Place.DataCentre == at.DataCentre }); ok {
		return p, true
	}
	if p, ok := v.best(key, func(p Peer) bool { return p.Place.Region == at.Region }); ok {
		return p, true
	}
	return v.best(key, func(Peer) bool { return true })
}

// Entries returns up to n instances that a caller at a place may connect to, nearest
// first. Only instances that accept new work are returned; callers spread evenly by
// their key over instances at the same distance.
func (v *View) Entries(at fleet.Place, key string, n int) []Peer {
	hash := xxhash.Sum64String(key)
	rows := v.filter(func(r *record) bool { return r.state == StateLive })
	slices.SortStableFunc(rows, func(a, b *record) int {
		if c := cmp.Compare(distance(at, a.peer.Place), distance(at, b.peer.Place)); c != 0 {
			return c
		}
		return cmp.Compare(score(b.hash, hash), score(a.hash, hash))
	})
	return peers(rows[:min(n, len(rows))])
}

// IsWatcher reports whether this instance is one of the two in a data centre that
// watch the store.
func (v *View) IsWatcher(dc fleet.DataCentre) bool {
	return v.elected("watch/"+string(dc), dc, watcherCount)
}

// elected reports whether this instance is among the n highest-scoring live instances
// of a data centre for a key.
func (v *View) elected(key string, dc fleet.DataCentre, n int) bool {
	rank, ok := v.rank(key, dc)
	return ok && rank < n
}

// rank returns the position of this instance when the live instances of a data centre
// are ordered by score for a key, false when it is not one of them.
func (v *View) rank(key string, dc fleet.DataCentre) (int, bool) {
	if v.self.state != StateLive || v.self.peer.Place.DataCentre != dc {
		return 0, false
	}
	hash := xxhash.Sum64String(key)
	own := score(v.self.hash, hash)
	higher := 0
	for _, r := range v.sorted {
		if r.state == StateLive && r.peer.Place.DataCentre == dc && score(r.hash, hash) > own {
			higher++
		}
	}
	return higher, true
}

// best returns the live peer with the highest score for a key among those that match.
func (v *View) best(key uint64, match func(Peer) bool) (Peer, bool) {
	var top *record
	for _, r := range v.sorted {
		if r.state != StateLive || !match(r.peer) {
			continue
		}
		if top == nil || score(r.hash, key) > score(top.hash, key) {
			top = r
		}
	}
	if top == nil {
		return Peer{}, false
	}
	return top.peer, true
}

func (v *View) filter(match func(*record) bool) []*record {
	var rows []*record
	for _, r := range v.sorted {
		if match(r) {
			rows = append(rows, r)
		}
	}
	return rows
}

func (v *View) collect(match func(*record) bool) []Peer {
	return peers(v.filter(match))
}

func peers(rows []*record) []Peer {
	list := make([]Peer, 0, len(rows))
	for _, r := range rows {
		list = append(list, r.peer)
	}
	return list
}

// distance returns 0 for the same data centre, 1 for the same region, 2 otherwise.
func distance(a, b fleet.Place) int {
	switch {
	case a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}
