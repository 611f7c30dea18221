package direct

import (
	"context"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/link"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// farMargin is how much longer calls to another region may take in any case: a queue grows faster
	// than it is measured.
	farMargin = 2 * time.Second
	// nearbyCheckInterval is how often a fetch over a link is compared with what peers nearby have.
	nearbyCheckInterval = 100 * time.Millisecond
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
	return max(link.Allowance(there, back), link.Allowance(s.roundTrips.Longest(now, region), 0))
}

// peerAllowance returns the allowance for a call to a peer, and whether it stands in another region.
func (s *state) peerAllowance(address string) (allowance time.Duration, far bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.farPeer(address); p != nil {
		return farMargin + s.allowance(s.clock(), p.heartbeat.Place.Region), true
	}
	return 0, false
}

// farPeer returns the peer with an address if it stands in another region, else nil.
func (s *state) farPeer(address string) *peer {
	for _, p := range s.peers {
		if p.heartbeat.Peer.Address == address && p.heartbeat.Place.Region != s.place.Region {
			return p
		}
	}
	return nil
}

// heartbeatSent records a heartbeat to a peer, heartbeatAnswered its answer.
func (s *state) heartbeatSent(now time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.farPeer(address); p != nil {
		s.roundTrips.Sent(now, p.heartbeat.Place.Region)
	}
}

func (s *state) heartbeatAnswered(now, sent time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.farPeer(address); p != nil {
		s.roundTrips.Answered(now, sent, p.heartbeat.Place.Region)
	}
}

// hasStalled reports whether the connection to a peer is at fault if a heartbeat has no answer in time,
// rather than a link that has filled since it was sent.
func (s *state) hasStalled(now, sent time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.farPeer(address)
	return p == nil || s.roundTrips.Stalled(now, sent, p.heartbeat.Place.Region)
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

// mayFetchFrom reports whether this instance fetches what it has lacked for a time from a peer, which may
// stand beyond a link.
func (s *state) mayFetchFrom(p *peer, missing time.Duration) bool {
	if p == nil || p.heartbeat.Place.Region == s.place.Region {
		return p != nil
	}
	var region []fleet.Instance
	for _, near := range s.livePeers() {
		if near.heartbeat.Place.Region == s.place.Region {
			region = append(region, near.heartbeat.Peer.Instance)
		}
	}
	return link.Fetches(s.view.Self().Instance, region, missing, s.allowance(s.clock(), p.heartbeat.Place.Region))
}

// farFetchers returns the instances that fetch for the other regions, without those that have announced a
// version of the configuration or a later one.
func (s *state) farFetchers(version int64) []member.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	regions := make(map[fleet.Region][]fleet.Instance)
	for _, p := range s.livePeers() {
		if region := p.heartbeat.Place.Region; region != s.place.Region {
			regions[region] = append(regions[region], p.heartbeat.Peer.Instance)
		}
	}
	var all []member.Peer
	for _, region := range regions {
		for _, name := range link.Fetchers(region) {
			if b := &s.peers[name].heartbeat; b.Catalog < version {
				all = append(all, b.Peer)
			}
		}
	}
	return all
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
