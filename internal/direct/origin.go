package direct

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// findOriginTimeout limits the question for the origin of a stream, for which its caller waits:
	// a round trip between regions and as much again.
	findOriginTimeout = 100 * time.Millisecond
	// nameOriginTimeout limits the call that names streams to a keeper.
	nameOriginTimeout = time.Second
)

// observeSoftware records the versions of the listed endpoints.
func (s *state) observeSoftware(now time.Time) {
	for _, e := range s.roster.All() {
		s.origins.Listed(now, e.Service, e.Software)
	}
}

// StreamBegan records that the first event of a stream was passed on.
func (s *state) StreamBegan(stream origin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Began(s.clock(), stream)
}

func (s *state) hasUnnamedStreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.HasUnnamed()
}

// keeperCandidates returns the names of the live instances, this one among them, or of all listed ones
// while no peer counts as live yet, as after a restart.
func (s *state) keeperCandidates() []fleet.Instance {
	names := []fleet.Instance{s.view.Self().Instance}
	peers := s.view.Live("")
	if !slices.ContainsFunc(peers, func(p member.Peer) bool { return p.Instance != names[0] }) {
		peers = s.view.All()
	}
	for _, p := range peers {
		if p.Instance != names[0] {
			names = append(names, p.Instance)
		}
	}
	return names
}

// streamsToName returns the streams to name to their keepers, by the keepers' addresses.
func (s *state) streamsToName() map[string]*gossip.Origins {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, instances := make(map[string]*gossip.Origins), s.keeperCandidates()
	for _, stream := range s.origins.TakeUnnamed() {
		for _, keeper := range origin.NamedTo(stream.ID, s.view.Self().Instance, instances) {
			p, ok := s.view.Get(keeper)
			if !ok {
				continue
			}
			if calls[p.Address] == nil {
				calls[p.Address] = &gossip.Origins{}
			}
			calls[p.Address].Streams = append(calls[p.Address].Streams, stream)
		}
	}
	return calls
}

// keepStreams records streams that another instance has named.
func (s *state) keepStreams(streams []origin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, stream := range streams {
		s.origins.Keep(now, stream)
	}
}

// findOrigin answers the question for the origin of a stream by what this instance knows.
func (s *state) findOrigin(f *gossip.FindOrigin) *gossip.FindOriginReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	software, known := s.origins.Find(now, f.Service, f.ID)
	return &gossip.FindOriginReply{Known: known, Software: software, Versions: s.origins.Versions(now, f.Service)}
}

// keepersToAsk returns the other instances to ask for the origin of a stream.
func (s *state) keepersToAsk(id string) []member.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []member.Peer
	for _, keeper := range origin.KeepersOf(id, s.keeperCandidates()) {
		if p, ok := s.view.Get(keeper); ok && keeper != s.view.Self().Instance {
			peers = append(peers, p)
		}
	}
	return peers
}

// decideOrigin returns the version that began a stream, by this instance's record and the replies of
// the keepers, nil for one that didn't reply. A stream without a record may continue only if a single
// version can have begun it, and if a keeper or the store has answered: a second version may have been
// listed while this instance was cut off.
func (s *state) decideOrigin(own *gossip.FindOriginReply, others []*gossip.FindOriginReply) (*fleet.Software, error) {
	var versions []fleet.Software
	answered := len(others) == 0
	for _, r := range append([]*gossip.FindOriginReply{own}, others...) {
		if r == nil {
			continue
		}
		if r.Known {
			return &r.Software, nil
		}
		answered = answered || r != own
		versions = append(versions, r.Versions...)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(versions) > 1, !answered && !s.storeReachable():
		return nil, gateway.ErrUnknownOrigin
	case len(versions) == 0:
		return nil, nil //nolint:nilnil // no endpoint is listed
	default:
		return &versions[0], nil
	}
}

// StreamBegan also has the stream named to its keepers.
func (g gatewayFleet) StreamBegan(stream origin.Stream) {
	g.state.StreamBegan(stream)
	if g.hasUnnamedStreams() {
		g.node.tasks.RunIfIdle("origins", g.node.nameStreams)
	}
}

// Origin returns the version that began a stream. Unless this instance passed on its first event,
// the keepers of the stream are asked.
func (g gatewayFleet) Origin(ctx context.Context, service catalog.Service, id string) (*fleet.Software, error) {
	question := &gossip.FindOrigin{Service: service, ID: id}
	own := g.findOrigin(question)
	if own.Known {
		return &own.Software, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	keepers := g.keepersToAsk(id)
	replies := make([]*gossip.FindOriginReply, len(keepers))
	var group errgroup.Group
	for i := range keepers {
		group.Go(func() error {
			reply, err := g.node.gossip.FindOrigin(ctx, keepers[i].Address, question)
			if err != nil {
				_ = level.Warn(g.logger).Log("step", "origin", "peer", keepers[i].Instance, "stream", id, "err", err)
				return nil
			}
			replies[i] = reply
			return nil
		})
	}
	_ = group.Wait() // failures are logged above
	return g.decideOrigin(own, replies)
}

// nameStreams names streams to their keepers until none is left to name.
func (n *Node) nameStreams(ctx context.Context) {
	for ctx.Err() == nil && n.state.hasUnnamedStreams() {
		var group errgroup.Group
		for address, streams := range n.state.streamsToName() {
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, nameOriginTimeout)
				defer cancel()
				if _, err := n.gossip.Origins(ctx, address, streams); err != nil {
					_ = level.Warn(n.logger).Log("step", "origins", "peer", address, "streams", len(streams.Streams), "err", err)
				}
				return nil
			})
		}
		_ = group.Wait() // failures are logged above
	}
}

// Origins keeps the streams that another instance names.
func (n *Node) Origins(_ context.Context, o *gossip.Origins) (*gossip.OriginsReply, error) {
	n.state.keepStreams(o.Streams)
	return &gossip.OriginsReply{}, nil
}

// FindOrigin answers another instance that asks for the origin of a stream.
func (n *Node) FindOrigin(_ context.Context, f *gossip.FindOrigin) (*gossip.FindOriginReply, error) {
	return n.state.findOrigin(f), nil
}
