package direct

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/path"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/tcp"
)

const (
	// connectTimeout limits connecting to an endpoint by any way.
	connectTimeout = 500 * time.Millisecond
	// usualConnectTime is how long a direct connect takes at most unless the path or the endpoint is
	// at fault: two round trips between regions. After it a peer is asked as well.
	usualConnectTime = 100 * time.Millisecond
	// relayTimeout limits the question to one peer.
	relayTimeout = 200 * time.Millisecond
	// relayCandidates is how many peers are asked for one connection.
	relayCandidates = 2
	// maxRelayed limits the connections that an instance carries for its peers.
	maxRelayed = 256
	// pathCheckInterval is how often paths that are cut are looked through for those to try again.
	pathCheckInterval = 500 * time.Millisecond
)

var errNoRelay = errors.New("no peer to connect through")

// wayTo returns how to connect to an endpoint, and for how long to try.
func (s *state) wayTo(id fleet.Endpoint) (path.Way, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	way := s.paths.Way(now, id)
	switch {
	case way == path.Alone:
		return way, usualConnectTime
	case s.paths.Lost(now, id):
		return way, relayTimeout
	default:
		return way, connectTimeout
	}
}

// pathFailed records that a direct connect, or a question over an open connection, has failed.
func (s *state) pathFailed(id fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths.Failed(s.clock(), id)
}

// pathWorked records a direct connect. It reports whether the path was cut before.
func (s *state) pathWorked(id fleet.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	healed := s.paths.Worked(s.clock(), id)
	if healed {
		_ = s.logger.Log("step", "path", "endpoint", id, "now", "direct", "cut", s.paths.Cut())
	}
	return healed
}

// pathRelayed records that only a peer has connected to an endpoint. It reports whether this shows
// that the instance is cut off from most endpoints.
func (s *state) pathRelayed(id fleet.Endpoint, through fleet.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.paths.Cut()
	cutOff := s.paths.Relayed(s.clock(), id)
	s.relayPeers[through] = struct{}{}
	if cut := s.paths.Cut(); cut != before {
		_ = s.logger.Log("step", "path", "endpoint", id, "now", "cut", "through", through, "cut", cut, "off", cutOff)
	}
	return cutOff
}

// lostRelayPeer reports whether a peer that connections go through is about to stop or has failed. It
// reports each once.
func (s *state) lostRelayPeer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := false
	for name := range s.relayPeers {
		if !s.isLive(name) {
			delete(s.relayPeers, name)
			lost = true
		}
	}
	return lost
}

// relayFailed records why no peer has connected to an endpoint.
func (s *state) relayFailed(id fleet.Endpoint, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, gossip.ErrRelayRefused) {
		s.paths.RefusedThere(s.clock(), id)
	} else {
		s.paths.UnreachedThere(s.clock(), id)
	}
}

// refusalConfirmed reports whether a refused connect to an endpoint shows that nothing listens there:
// a peer has found the same, or there is no peer that could tell.
func (s *state) refusalConfirmed(id fleet.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refusalsDoubtful(id) && (s.paths.ConfirmedRefused(s.clock(), id) || len(s.livePeers()) == 0)
}

// refusalsDoubtful reports whether so many connects have failed here that this instance's own path is
// a likelier reason for that of one endpoint than the endpoints. Data centres may be cut off one by one,
// so only what the endpoint's own still answers shows that the path to it is sound.
func (s *state) refusalsDoubtful(id fleet.Endpoint) bool {
	e := s.roster.Get(id)
	return s.paths.Doubtful(s.clock(), len(s.roster.All()), func(other fleet.Endpoint) bool {
		o := s.roster.Get(other)
		return e != nil && o != nil && o.DataCentre == e.DataCentre
	})
}

// mayConfirmRefusal reports whether this instance's word that nothing listens at an endpoint counts
// for a peer.
func (s *state) mayConfirmRefusal(id fleet.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refusalsDoubtful(id)
}

// cutOff reports whether this instance is cut off from most endpoints while a peer isn't.
func (s *state) cutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.CutOff(s.clock()) && slices.ContainsFunc(s.livePeers(), func(p *peer) bool { return !p.heartbeat.CutOff })
}

// livePeers returns the peers that are known to be live.
func (s *state) livePeers() []*peer {
	var live []*peer
	for name, p := range s.peers {
		if s.isLive(name) {
			live = append(live, p)
		}
	}
	return live
}

// relays returns the peers to ask for a connection to an endpoint. Those in the region of either end
// go first, since no part of the way between regions is then taken twice; among equals a hash spreads
// the connections.
func (s *state) relays(id fleet.Endpoint) []*peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.roster.Get(id)
	if e == nil {
		return nil
	}
	candidates := slices.DeleteFunc(s.livePeers(), func(p *peer) bool { return p.heartbeat.CutOff })
	far := func(p *peer) int {
		if region := p.heartbeat.Place.Region; region == s.place.Region || region == s.regions[e.DataCentre] {
			return 0
		}
		return 1
	}
	score := func(p *peer) uint64 {
		return xxhash.Sum64String(string(s.view.Self().Instance) + "/" + string(p.heartbeat.Peer.Instance) + "/" + string(id))
	}
	slices.SortFunc(candidates, func(a, b *peer) int { return cmp.Or(far(a)-far(b), cmp.Compare(score(a), score(b))) })
	return candidates[:min(len(candidates), relayCandidates)]
}

// pathChecks returns the endpoints whose direct path is due to be tried again.
func (s *state) pathChecks() []roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []roster.Endpoint
	for _, id := range s.paths.Checks(s.clock()) {
		if e := s.roster.Get(id); e != nil {
			due = append(due, *e)
		}
	}
	return due
}

// relayTarget returns the endpoint that a peer wants to be connected to. ok is false if it is not
// known, leaves or wants nothing from this instance.
func (s *state) relayTarget(r *gossip.Relay) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.roster.Get(r.Endpoint)
	if e == nil || e.Born != r.Born || e.Leaving || e.Spared(s.clock()) {
		return "", false
	}
	return e.Address, true
}

// Relay connects to an endpoint for a peer that doesn't reach it. It is never passed on to a third
// instance. An instance that leaves doesn't connect: it may be gone before the peer's requests have ended.
func (n *Node) Relay(ctx context.Context, r *gossip.Relay) (net.Conn, error) {
	if _, leaving := n.state.Leaving(); leaving {
		metrics.GetOrRegisterCounter("relays;outcome=leaving", n.registry).Inc(1)
		return nil, gossip.ErrRelayBusy
	}
	address, ok := n.state.relayTarget(r)
	if !ok {
		return nil, gossip.ErrRelayUnreachable
	}
	if n.relayed.Add(1) > maxRelayed {
		n.relayed.Add(-1)
		metrics.GetOrRegisterCounter("relays;outcome=busy", n.registry).Inc(1)
		return nil, gossip.ErrRelayBusy
	}
	conn, err := n.dialDirect(ctx, r.Endpoint, r.Born, address)
	if err != nil {
		n.relayed.Add(-1)
		n.state.pathFailed(r.Endpoint)
		metrics.GetOrRegisterCounter("relays;outcome=failed", n.registry).Inc(1)
		if errors.Is(err, syscall.ECONNREFUSED) && n.state.mayConfirmRefusal(r.Endpoint) {
			return nil, fmt.Errorf("%w: %w", gossip.ErrRelayRefused, err)
		}
		return nil, fmt.Errorf("%w: %w", gossip.ErrRelayUnreachable, err)
	}
	n.state.pathWorked(r.Endpoint)
	metrics.GetOrRegisterCounter("relays;outcome=connected", n.registry).Inc(1)
	return &countedConn{Conn: conn, closed: func() { n.relayed.Add(-1) }}, nil
}

// dialEndpoint connects to an endpoint: directly, or through a peer while the direct path is cut. The
// error is ECONNREFUSED only if nothing listens there, as far as peers can tell.
func (n *Node) dialEndpoint(ctx context.Context, id fleet.Endpoint, born int64, address string) (net.Conn, error) {
	way, timeout := n.state.wayTo(id)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := &connect{node: n, id: id, born: born, address: address}
	switch way {
	case path.Alone:
		conn, err := c.direct(ctx)
		return conn, c.failure(err, nil)
	case path.Relay:
		if conn, err := c.relay(ctx); err == nil {
			return conn, nil
		}
		conn, err := c.direct(ctx)
		return conn, c.failure(err, nil)
	case path.Both:
		return c.race(ctx, 0)
	case path.Direct:
	}
	return c.race(ctx, usualConnectTime)
}

// connect is one connect to an endpoint.
type connect struct {
	node    *Node
	id      fleet.Endpoint
	born    int64
	address string
}

// direct connects directly.
func (c *connect) direct(ctx context.Context) (net.Conn, error) {
	conn, err := c.node.dialDirect(ctx, c.id, c.born, c.address)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.node.state.pathFailed(c.id)
		}
		return nil, err
	}
	if c.node.state.pathWorked(c.id) {
		c.node.endpoints.CloseIdle(c.id, c.born) // connections through peers
	}
	return conn, nil
}

// relay connects through one of a few peers.
func (c *connect) relay(ctx context.Context) (net.Conn, error) {
	s, lost := c.node.state, errNoRelay
	for _, p := range s.relays(c.id) {
		conn, err := c.relayThrough(ctx, p)
		if err == nil {
			if s.pathRelayed(c.id, p.heartbeat.Peer.Instance) {
				c.node.endpoints.CloseAllIdle() // what is sent over them may be lost
			}
			metrics.GetOrRegisterCounter("relayed_connects", c.node.registry).Inc(1)
			return conn, nil
		}
		if lost = err; errors.Is(err, gossip.ErrRelayRefused) || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() == nil {
		s.relayFailed(c.id, lost)
	}
	return nil, lost
}

func (c *connect) relayThrough(ctx context.Context, p *peer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return c.node.gossip.Relay(ctx, p.heartbeat.Peer.Address, &gossip.Relay{Endpoint: c.id, Born: c.born})
}

// connected is the outcome of one way to connect.
type connected struct {
	conn    net.Conn
	err     error
	relayed bool
}

// race connects directly, and through a peer once that has failed or taken as long as the delay. The
// first connection is used.
func (c *connect) race(ctx context.Context, delay time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting, endWait := context.WithTimeout(ctx, delay)
	defer endWait()
	outcomes := make(chan connected, 2)
	var group errgroup.Group // both end when the context does
	group.Go(func() error {
		conn, err := c.direct(ctx)
		if err != nil {
			endWait()
		}
		outcomes <- connected{conn: conn, err: err}
		return nil
	})
	group.Go(func() error {
		<-waiting.Done()
		conn, err := net.Conn(nil), ctx.Err()
		if err == nil {
			conn, err = c.relay(ctx)
		}
		outcomes <- connected{conn: conn, err: err, relayed: true}
		return nil
	})
	first := <-outcomes
	if first.err == nil {
		cancel()
		if second := <-outcomes; second.err == nil {
			_ = second.conn.Close()
		}
		return first.conn, nil
	}
	second := <-outcomes
	if second.err == nil {
		return second.conn, nil
	}
	if first.relayed {
		first, second = second, first
	}
	return nil, c.failure(first.err, second.err)
}

// failure returns the error of a connect that has failed. A refusal that no peer confirms may come
// from the path, so it doesn't show that nothing listens.
func (c *connect) failure(direct, relay error) error {
	switch {
	case direct == nil:
		return nil
	case errors.Is(direct, syscall.ECONNREFUSED) && !c.node.state.refusalConfirmed(c.id):
		return fmt.Errorf("%s, which may be due to the path (peers: %v)", direct, relay) //nolint:errorlint // it must not match ECONNREFUSED
	default:
		return direct
	}
}

// dropLostRelays has no connection reused that goes through a peer which is lost.
func (n *Node) dropLostRelays() {
	if n.state.lostRelayPeer() {
		n.endpoints.CloseAllIdle()
	}
}

// checkPaths tries the paths that are cut again, and has no connection reused that goes through a peer
// which is lost.
func (n *Node) checkPaths(ctx context.Context) {
	n.dropLostRelays()
	var group errgroup.Group
	for _, e := range n.state.pathChecks() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			c := &connect{node: n, id: e.ID, born: e.Born, address: e.Address}
			if conn, err := c.direct(ctx); err == nil {
				_ = conn.Close()
			}
			return nil
		})
	}
	_ = group.Wait() // failures are recorded by direct
}

// countedConn runs a function once it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// SetLinger implements tcp.Lingerer.
func (c *countedConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(tcp.Lingerer); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
