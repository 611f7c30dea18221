package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// memberPrefix is the prefix of the store's keys under which instances register.
	memberPrefix = "chiveramp/instances/"
	// memberLease is how long an instance that died stays registered.
	memberLease = 10 * time.Second
	// listPace gathers changes of the list, most of which are reports' news too.
	listPace = 400 * time.Millisecond
	// storePause is the wait after a failed call to the store.
	storePause = 200 * time.Millisecond
	// beatWait bounds one beat, fetchWait one question to a peer for what it knows.
	beatWait  = 600 * time.Millisecond
	fetchWait = time.Second
	// ensureWait bounds how long a request waits for an adapter.
	ensureWait = 1500 * time.Millisecond
	// watchMargin is how much longer than asked for a watch may take.
	watchMargin = 700 * time.Millisecond
)

// followCatalog keeps the configuration up to date from the store.
func (n *Node) followCatalog(ctx context.Context) error {
	return n.follow(ctx, platform.CatalogKey, 0, func(items []platform.Item, _ int64, _ bool) {
		for _, i := range items {
			if i.Key == platform.CatalogKey && !i.Removed {
				n.takeCatalog(i.Value, "store")
			}
		}
	})
}

// takeCatalog puts a configuration in force unless a newer one is.
func (n *Node) takeCatalog(text []byte, from string) {
	c, err := platform.DecodeCatalog(text)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "catalog", "from", from, "err", err)
		return
	}
	if n.state.take(c) {
		_ = n.logger.Log("step", "catalog", "from", from, "version", c.Version, "routes", len(c.Routes))
		n.tasks.Solo("beat", n.beat) // the others learn of it from this instance
	}
}

// followRoster keeps the list of endpoints up to date from the store.
func (n *Node) followRoster(ctx context.Context) error {
	return n.follow(ctx, platform.EntryPrefix, listPace, func(items []platform.Item, revision int64, whole bool) {
		if n.state.takeRecords(platform.Records(items), revision, whole) {
			n.tasks.Solo("beat", n.beat)
		}
	})
}

// follow reads a prefix and then watches it, until the context ends. Take gets all
// items at first and whenever the store has lost its history, else the changes.
func (n *Node) follow(ctx context.Context, prefix string, pause time.Duration, take func(items []platform.Item, revision int64, whole bool)) error {
	revision, lost := int64(-1), false
	for ctx.Err() == nil {
		if revision >= 0 && !n.state.watch() {
			// What changes meanwhile comes from those that watch.
			wait(ctx, storePause)
			continue
		}
		next, err := n.look(ctx, prefix, revision, take)
		if err == nil {
			if lost {
				_ = level.Info(n.logger).Log("step", "store regained", "prefix", prefix, "after", revision, "now", next)
			}
			revision, lost = next, false
			n.state.answered()
			wait(ctx, pause)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrCompacted) {
			revision = -1
			continue
		}
		n.state.troubled()
		if !lost {
			_ = level.Warn(n.logger).Log("step", "store lost", "prefix", prefix, "after", revision, "err", err)
		}
		lost = true
		wait(ctx, storePause)
	}
	return nil
}

func (n *Node) look(ctx context.Context, prefix string, revision int64, take func([]platform.Item, int64, bool)) (int64, error) {
	if revision < 0 {
		ctx, cancel := context.WithTimeout(ctx, n.config.Store.Timeout)
		defer cancel()
		items, next, err := n.store.List(ctx, prefix, false)
		if err == nil {
			take(items, next, true)
		}
		return next, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.config.Store.Wait+watchMargin)
	defer cancel()
	items, next, err := n.store.Watch(ctx, prefix, revision, n.config.Store.Wait)
	if err == nil {
		take(items, next, false)
	}
	return next, err
}

// registration is what an instance writes of itself into the store.
type registration struct {
	Address string `json:"address"`
	Caller  string `json:"caller"`
}

// list registers this instance in the store and reads who else is there.
func (n *Node) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Store.Timeout)
	defer cancel()
	if n.state.Leaving() {
		return
	}
	if err := n.register(ctx); err != nil {
		_ = level.Warn(n.logger).Log("step", "register", "err", err)
	}
	items, _, err := n.store.List(ctx, memberPrefix, true)
	if err == nil {
		n.state.answered()
	} else {
		_ = level.Warn(n.logger).Log("step", "list instances", "err", err)
		return
	}
	var peers []member.Peer
	for _, i := range items {
		var r registration
		if err := json.Unmarshal(i.Value, &r); err != nil || r.Address == "" {
			_ = level.Warn(n.logger).Log("step", "list instances", "key", i.Key, "err", err)
			continue
		}
		peers = append(peers, member.Peer{
			Instance: fleet.Instance(i.Key[len(memberPrefix):]), Address: r.Address, Caller: r.Caller,
			Place: fleet.Place{DataCentre: site},
		})
	}
	n.state.members(peers)
}

func (n *Node) register(ctx context.Context) error {
	if n.lease != 0 {
		if err := n.store.Renew(ctx, n.lease); !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		n.lease = 0
	}
	lease, _, err := n.store.Grant(ctx, memberLease)
	if err != nil {
		return err
	}
	value, err := json.Marshal(registration{Address: n.config.Listen.Peer, Caller: n.config.Listen.Caller})
	if err != nil {
		return err
	}
	_, err = n.store.Put(ctx, platform.Write{Key: memberPrefix + n.config.Instance.Name, Value: value, Lease: lease, Unguarded: true})
	if err == nil {
		n.lease = lease
	}
	return err
}

// beat tells the other instances how this one is.
func (n *Node) beat(ctx context.Context) {
	targets, beat := n.state.beat()
	addresses := make(map[string]bool, len(targets))
	for _, p := range targets {
		addresses[p.Address] = true
	}
	if len(targets) == 0 {
		for _, seed := range n.config.Peer.Seeds {
			addresses[seed] = true
		}
	}
	delete(addresses, n.config.Listen.Peer)
	packed, err := gossip.Pack(beat)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "beat", "err", err)
		return
	}
	var group errgroup.Group
	for address := range addresses {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, beatWait)
			defer cancel()
			if err := n.gossip.Heartbeat(ctx, address, packed); err != nil && ctx.Err() != nil {
				n.gossip.Reset(address) // the connection may be silent for good
			}
			return nil
		})
	}
	_ = group.Wait() // each beat's failure shows as a peer that isn't heard
	if address, fetch, ok := n.state.behind(); ok {
		n.fetch(ctx, address, fetch)
	}
}

// fetch takes from a peer what this instance doesn't know.
func (n *Node) fetch(ctx context.Context, address string, f *gossip.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	known, err := n.gossip.Fetch(ctx, address, f)
	if err != nil {
		_ = level.Warn(n.logger).Log("step", "fetch", "peer", address, "err", err)
		return
	}
	if len(known.Catalog) > 0 {
		n.takeCatalog(known.Catalog, address)
	}
	if known.Roster > f.Roster {
		items := make([]platform.Item, 0, len(known.Entries))
		for _, e := range known.Entries {
			items = append(items, platform.Item{Key: platform.EntryPrefix + string(e.ID), Value: e.Text, Revision: e.Revision})
		}
		n.state.takeRecords(platform.Records(items), known.Roster, true)
	}
}

// Heartbeat takes the beat of another instance.
func (n *Node) Heartbeat(_ context.Context, p *gossip.PackedHeartbeat) (*gossip.Ack, error) {
	b, err := p.Unpack()
	if err != nil {
		return nil, err
	}
	n.state.hear(b)
	return &gossip.Ack{}, nil
}

// Fetch tells another instance what this one knows.
func (n *Node) Fetch(_ context.Context, f *gossip.Fetch) (*gossip.FetchReply, error) {
	return n.state.known(f), nil
}

// probe asks the endpoints that are this instance's to ask.
func (n *Node) probe(ctx context.Context) {
	var group errgroup.Group
	for _, e := range n.state.probes() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeWait)
			defer cancel()
			asked := n.clock() // what the report tells may be as old as the question
			report, err := n.endpoints.Report(ctx, e.ID, e.Born, e.Address)
			if err != nil {
				n.state.lost(e.ID, e.Born)
				_ = level.Warn(n.logger).Log("step", "probe", "endpoint", e.ID, "err", err)
				return nil
			}
			if report.Born != e.Born {
				_ = level.Warn(n.logger).Log("step", "probe", "endpoint", e.ID, "born", report.Born, "known", e.Born)
				n.state.left(e.ID, e.Born)
				return nil
			}
			report.Taken = asked
			n.state.Reported(e.ID, report)
			return nil
		})
	}
	_ = group.Wait() // failures are noted above
}

// Ensure has an adapter loaded for another instance.
func (n *Node) Ensure(ctx context.Context, e *gossip.Ensure) (*gossip.EnsureReply, error) {
	answer := &gossip.EnsureReply{}
	if err := n.loader.Ensure(ctx, e.Endpoint, e.Born, roster.Adapter{Model: e.Model, Adapter: e.Adapter}); err != nil {
		answer.Refused = err.Error()
	}
	return answer, nil
}

// routes is the instance as the gateway sees it.
type routes struct {
	*state
	node *Node
}

// Ensure has an adapter loaded, by this instance or by the one that may order it.
func (r routes) Ensure(ctx context.Context, t gateway.Target, m fleet.Model, a fleet.Adapter) error {
	ctx, cancel := context.WithTimeout(ctx, ensureWait)
	defer cancel()
	what := roster.Adapter{Model: m, Adapter: a}
	if _, ok := r.node.right.Orders(); ok {
		return r.node.loader.Ensure(ctx, t.ID, t.Born, what)
	}
	address, ok := r.holder()
	if !ok {
		return loader.ErrNoRight
	}
	answer, err := r.node.gossip.Ensure(ctx, address, &gossip.Ensure{Endpoint: t.ID, Born: t.Born, Model: m, Adapter: a})
	if err != nil {
		return err
	}
	if answer.Refused != "" {
		return fmt.Errorf("peer %s: %s", address, answer.Refused)
	}
	r.Learned(t.ID, what, true)
	return nil
}
