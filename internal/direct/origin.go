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

// StreamBegan records that the first event of a stream is about to be passed on. It reports whether
// the store must have a record of it before.
func (s *state) StreamBegan(stream origin.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Began(s.clock(), stream)
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
	return &gossip.FindOriginReply{Known: known, Software: software, Versions: s.origins.Versions(now, f.Service), Settled: s.origins.Settled(now, f.Service)}
}

// originsObserved reports whether this instance has run for as long as streams are taken up.
func (s *state) originsObserved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Observed(s.clock())
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

// StreamBegan also has the stream named to its keepers and, while a service has several versions, waits
// until the store has a record of it: all instances may be lost right after the first event.
func (g gatewayFleet) StreamBegan(ctx context.Context, stream origin.Stream) {
	if !g.state.StreamBegan(stream) {
		return
	}
	g.node.tasks.RunIfIdle("origins", g.node.nameStreams)
	g.node.streamRecords.await(ctx, stream.ID)
}

// Origin returns the version that began a stream. Unless this instance passed on its first event,
// its keepers are asked, and the store if none of them has a record of the stream.
func (g gatewayFleet) Origin(ctx context.Context, service catalog.Service, id string) (fleet.Software, error) {
	question := &gossip.FindOrigin{Service: service, ID: id}
	own := g.findOrigin(question).Knowledge()
	software, basis := origin.Decide(own, nil)
	if basis == origin.BasisRecorded {
		return software, nil
	}
	replies, lookup := g.lookUp(ctx, question)
	source := "keepers"
	if software, basis = origin.Decide(own, replies); basis == origin.BasisUnread {
		source = "store"
		if lookup == nil {
			lookup = g.findRecord(ctx, service, id)
		}
		software, basis = origin.DecideByStore(g.findOrigin(question).Knowledge(), replies, *lookup)
	}
	_ = g.logger.Log("step", "origin", "stream", id, "service", service, "basis", string(basis), "software", software, "from", source)
	g.node.countOrigin(basis, source)
	if basis == origin.BasisUnknown {
		return "", gateway.ErrUnknownOrigin
	}
	return software, nil
}

// lookUp asks the keepers of a stream for its origin, and the store at the same time if this instance
// has just started: then all others may have too.
func (g gatewayFleet) lookUp(ctx context.Context, question *gossip.FindOrigin) (replies []*origin.Knowledge, lookup *origin.Lookup) {
	var group errgroup.Group
	if !g.originsObserved() {
		group.Go(func() error {
			lookup = g.findRecord(ctx, question.Service, question.ID)
			return nil
		})
	}
	replies = g.askKeepers(ctx, question)
	_ = group.Wait() // has no errors
	return replies, lookup
}

func (g gatewayFleet) findRecord(ctx context.Context, service catalog.Service, id string) *origin.Lookup {
	l := g.node.streamRecords.find(ctx, service, id)
	return &l
}

// askKeepers asks the keepers of a stream for its origin. The reply of one that doesn't answer is nil.
func (g gatewayFleet) askKeepers(ctx context.Context, question *gossip.FindOrigin) []*origin.Knowledge {
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	keepers := g.keepersToAsk(question.ID)
	replies := make([]*origin.Knowledge, len(keepers))
	var group errgroup.Group
	for i := range keepers {
		group.Go(func() error {
			reply, err := g.node.gossip.FindOrigin(ctx, keepers[i].Address, question)
			if err != nil {
				_ = level.Warn(g.logger).Log("step", "origin", "peer", keepers[i].Instance, "stream", question.ID, "err", err)
				return nil
			}
			replies[i] = reply.Knowledge()
			return nil
		})
	}
	_ = group.Wait() // failures are logged above
	return replies
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
