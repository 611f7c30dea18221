package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// score is the rendezvous weight of a peer for a key.
func score(peer, key uint64) uint64 {
	x := peer ^ key
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// State returns what the view believes of a peer, false when it is unknown.
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

// All returns every known peer, the own instance included, by name.
func (v *View) All() []Peer {
	return v.collect(func(*record) bool { return true })
}

// Live returns the live peers of a data centre that take new work, by name. An
// empty data centre means all.
func (v *View) Live(dc fleet.DataCentre) []Peer {
	return v.collect(func(r *record) bool {
		return r.state == StateLive && (dc == "" || r.peer.Place.DataCentre == dc)
	})
}

// Behind returns the peers not known to have a document revision in force, dead
// and leaving ones left out.
func (v *View) Behind(revision uint64) []Peer {
	return v.collect(func(r *record) bool {
		return r.state != StateDead && r.state != StateLeaving && r.peer.Revision < revision
	})
}

// Settled says whether a list was seen and every peer that it names in the own data
// centre was heard, or stayed silent for as long as makes a peer dead.
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

// Dispatcher returns the instance that dispatches an endpoint: the rendezvous choice
// among the live of the endpoint's data centre, else its region, else anywhere.
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

// Entries returns up to n addresses for a caller at a place: nearest first, only
// those that take new work, each caller's key spread evenly over equals.
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

// IsWatcher says whether the own instance is one of the two of a data centre that
// watch the store.
func (v *View) IsWatcher(dc fleet.DataCentre) bool {
	return v.elected("watch/"+string(dc), dc, watcherCount)
}

// elected says whether the own instance is among the n rendezvous choices for a key
// among the live of a data centre.
func (v *View) elected(key string, dc fleet.DataCentre, n int) bool {
	rank, ok := v.rank(key, dc)
	return ok && rank < n
}

// rank is the place of the own instance among the rendezvous choices for a key among
// the live of a data centre, false when it is none of them.
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

// distance is 0 in the same data centre, 1 in the same region, 2 elsewhere.
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
