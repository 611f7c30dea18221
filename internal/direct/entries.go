package direct

import (
	"cmp"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// maxEntries is the number of addresses up to which callers get all of their region.
	maxEntries = 32
	// dataCentreEntries is the number of instances that a data centre of a larger region has its
	// callers connect to. Fewer entries keep more of their connections to endpoints in use, and
	// know better what the endpoints hold.
	dataCentreEntries = 8
)

// candidateEntry is a ready instance that callers could connect to.
type candidateEntry struct {
	name    fleet.Instance
	address string
	place   fleet.Place
}

// addresses returns the addresses that callers at a place may connect to: those of the ready
// instances in their region, or of a few in their data centre if the region has many, or of
// all regions if theirs has none.
func (s *state) addresses(at fleet.Place, self string, ready bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []candidateEntry
	if ready && !s.leaving {
		all = append(all, candidateEntry{s.view.Self().Instance, self, s.place})
	}
	for name, p := range s.peers {
		if p.heartbeat.Ready && s.isLive(name) {
			all = append(all, candidateEntry{name, p.heartbeat.Peer.Caller, p.heartbeat.Place})
		}
	}
	return entries(all, at)
}

// entries chooses among the candidates, equally at every instance that knows the same ones.
func entries(all []candidateEntry, at fleet.Place) []string {
	if near := within(all, func(p fleet.Place) bool { return p.Region == at.Region }); len(near) > 0 {
		all = near
	}
	// Shorter names first: in numbered names that is the order of the numbers.
	slices.SortFunc(all, func(a, b candidateEntry) int {
		return cmp.Or(cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	if len(all) > maxEntries {
		if local := within(all, func(p fleet.Place) bool { return p.DataCentre == at.DataCentre }); len(local) >= dataCentreEntries {
			all = local[:dataCentreEntries]
		}
		all = all[:min(len(all), maxEntries)]
	}
	addresses := make([]string, 0, len(all))
	for _, c := range all {
		addresses = append(addresses, c.address)
	}
	return addresses
}

func within(all []candidateEntry, match func(fleet.Place) bool) []candidateEntry {
	var some []candidateEntry
	for _, c := range all {
		if match(c.place) {
			some = append(some, c)
		}
	}
	return some
}
