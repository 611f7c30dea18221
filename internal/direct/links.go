package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// queueGrowth is how much longer a queue may have become since it was measured.
	queueGrowth = 2
	// maxAllowance limits how much longer calls over a link take.
	maxAllowance = 5 * time.Second
	// farMargin is how much longer calls to another region may take in any case: a queue grows faster
	// than it is measured.
	farMargin = 2 * time.Second
	// nearbyCheckInterval is how often a fetch over a link is compared with what peers nearby have.
	nearbyCheckInterval = 100 * time.Millisecond
	// farFetchers is how many instances of a region fetch what nobody there has over the link at once;
	// as many more do after each farFetchPatience.
	farFetchers      = 2
	farFetchPatience = 500 * time.Millisecond
)

// queuesToSend returns how long heartbeats from other regions wait on the links, for the next heartbeat.
func (s *state) queuesToSend(now time.Time) []gossip.Queue {
	var all []gossip.Queue
	for region, wait := range s.links.Queues(now) {
		all = append(all, gossip.Queue{From: region, WaitMs: wait.Milliseconds()})
	}
	return all
}

// allowance returns how much longer a call to another region may take than over an empty link.
func (s *state) allowance(now time.Time, region fleet.Region) time.Duration {
	if region == s.place.Region {
		return 0
	}
	there, back := time.Duration(0), s.links.Queues(now)[region]
	for _, p := range s.peers {
		if p.heartbeat.Place.Region == region && now.Sub(p.receivedAt) < peerLoadRetention {
			there = max(there, p.heartbeat.QueueFrom(s.place.Region))
		}
	}
	return min(queueGrowth*(there+back), maxAllowance)
}

// peerAllowance returns the allowance for a call to a peer, and whether it stands in another region.
func (s *state) peerAllowance(address string) (allowance time.Duration, far bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.heartbeat.Peer.Address == address && p.heartbeat.Place.Region != s.place.Region {
			return farMargin + s.allowance(s.clock(), p.heartbeat.Place.Region), true
		}
	}
	return 0, false
}

// storeAllowance returns the allowance for a call to the store, which may stand in any region.
func (s *state) storeAllowance() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestAllowance()
}

func (s *state) longestAllowance() time.Duration {
	longest, now := time.Duration(0), s.clock()
	for _, region := range s.regions {
		longest = max(longest, s.allowance(now, region))
	}
	return longest
}

// untilNearby returns a context that ends once a peer nearby has what is fetched over a link.
func (n *Node) untilNearby(ctx context.Context, address string, nearby func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if _, far := n.state.peerAllowance(address); far {
		n.group.Go(func() error {
			for ctx.Err() == nil && !nearby() {
				sleep(ctx, nearbyCheckInterval)
			}
			cancel()
			return nil
		})
	}
	return ctx, cancel
}

// isNearby reports whether one of some peers stands in the region of this instance.
func (s *state) isNearby(peers []*peer) bool {
	return slices.ContainsFunc(peers, func(p *peer) bool { return p.heartbeat.Place.Region == s.place.Region })
}

// listNearby reports whether a peer of the region has a newer endpoint list, catalogNearby whether one
// has a newer configuration.
func (s *state) listNearby() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isNearby(s.peersAhead(s.roster.InForceTo()))
}

func (s *state) catalogNearby() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isNearby(s.peersWithCatalogAfter(s.activeVersion()))
}

// mayFetchFrom reports whether this instance fetches what it has lacked for a time from a peer. Over a
// link between regions a few instances do first, for all of their region.
func (s *state) mayFetchFrom(p *peer, behind time.Duration) bool {
	if p == nil || p.heartbeat.Place.Region == s.place.Region {
		return p != nil
	}
	patience := farFetchPatience + s.allowance(s.clock(), p.heartbeat.Place.Region)
	return s.regionRank() < farFetchers*(1+int(behind/patience))
}

// regionRank returns the position of this instance among the live ones of its region that fetch for it.
func (s *state) regionRank() int {
	self, rank := s.view.Self().Instance, 0
	for _, p := range s.livePeers() {
		if p.heartbeat.Place.Region == s.place.Region && fetchesBefore(p.heartbeat.Peer.Instance, self) {
			rank++
		}
	}
	return rank
}

// farLeaders returns the instances that fetch for the other regions, without those that have announced a
// version of the configuration or a later one.
func (s *state) farLeaders(version int64) []member.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	regions := make(map[fleet.Region][]*peer)
	for _, p := range s.livePeers() {
		if region := p.heartbeat.Place.Region; region != s.place.Region {
			regions[region] = append(regions[region], p)
		}
	}
	var leaders []member.Peer
	for _, peers := range regions {
		slices.SortFunc(peers, func(a, b *peer) int {
			if fetchesBefore(a.heartbeat.Peer.Instance, b.heartbeat.Peer.Instance) {
				return -1
			}
			return 1
		})
		for _, p := range peers[:min(farFetchers, len(peers))] {
			if p.heartbeat.Catalog < version {
				leaders = append(leaders, p.heartbeat.Peer)
			}
		}
	}
	return leaders
}

// fetchesBefore orders the instances of a region that fetch for it, in a way that changes for none when
// others come or go.
func fetchesBefore(a, b fleet.Instance) bool {
	score := func(i fleet.Instance) uint64 { return xxhash.Sum64String("fetch/" + string(i)) }
	return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b)) < 0
}

// logLinks logs the links from other regions that are full, or no longer.
func (s *state) logLinks(now time.Time) {
	full := s.links.Full(now)
	for region, delay := range full {
		if _, ok := s.fullLinks[region]; !ok {
			_ = s.logger.Log("step", "link", "from", region, "now", "full", "delay", delay)
		}
	}
	for region := range s.fullLinks {
		if _, ok := full[region]; !ok {
			_ = s.logger.Log("step", "link", "from", region, "now", "clear")
		}
	}
	s.fullLinks = full
}
