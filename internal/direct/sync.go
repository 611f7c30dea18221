package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/core/watcher"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// instancePrefix is the key prefix under which instances register in the store.
	instancePrefix = "chiveramp/instances/"
	// registrationTTL is how long a dead instance stays registered.
	registrationTTL = 10 * time.Second
	// rosterWatchPause batches changes to the endpoint list; most of them also arrive with
	// reports, so the delay costs little.
	rosterWatchPause = 400 * time.Millisecond
	// watchStartDelay is how long an instance that has just started leaves it to others to watch
	// the store: until heartbeats show who does, each of hundreds would.
	watchStartDelay = 1500 * time.Millisecond
	// watchCheckInterval is how often an instance that leaves the store to others checks whether it
	// still does.
	watchCheckInterval = 200 * time.Millisecond
	// heartbeatTimeout limits the sending of one heartbeat, fetchTimeout one request to a
	// peer for a newer list.
	heartbeatTimeout = 600 * time.Millisecond
	fetchTimeout     = time.Second
	// ensureTimeout limits how long a request waits for an adapter to be loaded.
	ensureTimeout = 1500 * time.Millisecond
	// maxReadTime limits a read of the store that goes on, however slowly.
	maxReadTime = 30 * time.Second
)

// watchRoster keeps the list of endpoints up to date from the store.
func (n *Node) watchRoster(ctx context.Context) error {
	return n.watchPrefix(ctx, platform.EntryPrefix, rosterWatchPause, func(r storeRead) {
		if n.state.applyRecords(fromStore, platform.Records(r.items), r.revision, r.complete) {
			n.tasks.RunIfIdle("beat", n.sendHeartbeats)
		}
		if len(n.state.historyToWrite(false)) > 0 {
			n.tasks.RunIfIdle("history", n.streamRecords.updateHistory)
		}
	})
}

// storeRead is what a list or a watch of the store has returned.
type storeRead struct {
	items    []platform.Item
	revision int64
	complete bool // the items are all there are, not the changes
	// asOf is a time, by the clock uptime, at which the store had no later change.
	asOf time.Duration
}

// watchedUntil returns up to when a watch that was sent and answered at the given times has seen
// the store. The store answers without a change only once the wait is over, counted from the
// arrival of the call; a change may have been on its way back for the whole wait.
func watchedUntil(sent, wait, answered time.Duration, changes int) time.Duration {
	wait = wait.Truncate(time.Millisecond) // as the store is asked
	if changes > 0 || answered < sent+wait {
		return sent
	}
	return sent + wait
}

// watchPrefix lists the keys under a prefix and then watches them until the context ends.
// It passes apply all items at first and whenever the store has compacted the history, else
// the changes.
func (n *Node) watchPrefix(ctx context.Context, prefix string, pause time.Duration, apply func(storeRead)) error {
	revision, storeLost, started := int64(-1), false, false
	retry := false // after a first failure, which may have been the connection's
	pace := watcher.NewPace(n.config.Instance.Name + "/" + prefix)
	for ctx.Err() == nil {
		if watching := n.state.updateWatching(); revision >= 0 && !watching && !retry && !n.mustWatch(prefix) {
			// The instances that watch the store pass on the changes meanwhile.
			sleep(ctx, watchCheckInterval)
			continue
		}
		next, err := n.listOrWatch(ctx, prefix, revision, apply)
		retry = err != nil && !storeLost
		if err == nil {
			if storeLost {
				_ = level.Info(n.logger).Log("step", "store regained", "prefix", prefix, "after", revision, "now", next)
			}
			revision, storeLost = next, false
			pace.Answered()
			if !started {
				started = true
				sleep(ctx, watchStartDelay)
			}
			if !n.state.holdsRemovals() { // else an entry that is back ends the wait for it
				sleep(ctx, pause)
			}
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, platform.ErrCompacted) {
			revision = -1
			continue
		}
		n.state.storeFailed()
		if !storeLost {
			_ = level.Warn(n.logger).Log("step", "store lost", "prefix", prefix, "after", revision, "err", err)
		}
		storeLost = true
		sleep(ctx, pace.Failed(n.state.updateWatching()))
	}
	return nil
}

func (n *Node) listOrWatch(ctx context.Context, prefix string, revision int64, apply func(storeRead)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	sent, sentAt := n.state.uptime(), n.clock()
	if revision < 0 {
		items, next, err := n.store.List(ctx, prefix, false)
		if err == nil {
			n.state.storeAnsweredSince(sentAt, 0)
			apply(storeRead{items: items, revision: next, complete: true, asOf: sent})
		}
		return next, err
	}
	items, next, err := n.store.Watch(ctx, prefix, revision, n.config.Store.Wait)
	if err == nil {
		n.state.storeAnsweredSince(sentAt, n.config.Store.Wait)
		apply(storeRead{items: items, revision: next, asOf: watchedUntil(sent, n.config.Store.Wait, n.state.uptime(), len(items))})
	}
	return next, err
}

// registration is the value under which an instance registers in the store.
type registration struct {
	Address string `json:"address"`
	Caller  string `json:"caller"`
}

// refreshInstances registers this instance in the store and reads the other registrations.
func (n *Node) refreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.config.Store.Timeout+n.state.storeAllowance())
	defer cancel()
	if _, leaving := n.state.Leaving(); leaving {
		return
	}
	failed := n.register(ctx)
	if failed != nil {
		_ = level.Warn(n.logger).Log("step", "register", "err", failed)
		if !n.state.registrationFailed() {
			return // no second call to a store that doesn't answer
		}
	} else {
		n.state.storeAnswered()
	}
	if due := n.state.listIsDue(); !due && failed == nil {
		return
	}
	items, _, err := n.store.List(ctx, instancePrefix, true)
	if err == nil {
		n.state.storeAnswered()
	} else {
		_ = level.Warn(n.logger).Log("step", "list instances", "err", err)
		if failed != nil {
			n.state.entriesMayLapse()
		}
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
			Instance: fleet.Instance(i.Key[len(instancePrefix):]), Address: r.Address, Caller: r.Caller,
			Place: fleet.Place{DataCentre: allDataCentres},
		})
	}
	n.state.applyInstances(peers)
}

func (n *Node) register(ctx context.Context) error {
	if !n.registrationLease.IsZero() {
		if err := n.store.Renew(ctx, n.registrationLease); !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		n.registrationLease = platform.Lease{}
	}
	lease, _, err := n.store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(registration{Address: n.config.Listen.Peer, Caller: n.config.Listen.Caller})
	if err != nil {
		return err
	}
	_, err = n.store.Put(ctx, platform.Write{Key: instancePrefix + n.config.Instance.Name, Value: value, Lease: lease, Unguarded: true})
	if err == nil {
		n.registrationLease = lease
	}
	return err
}

// sendHeartbeats sends the state of this instance to its peers, or to the configured seeds
// while no peer is known. Afterwards it fetches newer data from peers that have some.
func (n *Node) sendHeartbeats(ctx context.Context) {
	targets, heartbeat := n.state.heartbeat()
	holder, known := n.state.holderAddress()
	full, err := gossip.Pack(heartbeat)
	light := full
	if known && err == nil {
		light, err = gossip.Pack(heartbeat.WithoutDemand())
	}
	if err != nil {
		_ = level.Error(n.logger).Log("step", "beat", "err", err)
		return
	}
	payloads := make(map[string]*gossip.PackedHeartbeat, len(targets))
	for _, p := range targets {
		if payloads[p.Address] = light; p.Address == holder {
			payloads[p.Address] = full
		}
	}
	if len(targets) == 0 {
		for _, seed := range n.config.Peer.Seeds {
			payloads[seed] = full
		}
	}
	delete(payloads, n.config.Listen.Peer)
	var group errgroup.Group
	for address, payload := range payloads {
		allowance, far := n.state.peerAllowance(address)
		send := func() error {
			n.sendHeartbeat(ctx, address, payload, allowance)
			return nil
		}
		if far {
			n.group.Go(send) // the next round doesn't wait for a full link
		} else {
			group.Go(send)
		}
	}
	_ = group.Wait() // failure detection notices a peer whose heartbeats stop
	if _, _, ok := n.state.catalogPeer(""); ok {
		n.tasks.RunIfIdle("catalog", n.fetchCatalog)
	}
	if _, _, ok := n.state.peerAhead(); ok {
		n.tasks.RunIfIdle("follow", n.followPeers)
	}
}

// sendHeartbeat sends a heartbeat to a peer. Without an answer in time the connection is replaced if it may
// have stalled permanently.
func (n *Node) sendHeartbeat(ctx context.Context, address string, payload *gossip.PackedHeartbeat, allowance time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout+allowance)
	defer cancel()
	sent, sentAt := n.state.uptime(), n.clock()
	n.state.heartbeatSent(sentAt, address)
	ack, err := n.gossip.Heartbeat(ctx, address, payload)
	switch {
	case err == nil:
		n.state.heartbeatAnswered(n.clock(), sentAt, address)
		n.state.receiveAck(sent, ack)
	case ctx.Err() != nil && !n.state.hasStalled(n.clock(), sentAt, address):
		_ = level.Info(n.logger).Log("step", "unanswered", "peer", address, "after", n.state.uptime()-sent)
	case ctx.Err() != nil:
		metrics.GetOrRegisterCounter("peer_resets", n.registry).Inc(1)
		_ = level.Warn(n.logger).Log("step", "reset", "peer", address, "after", n.state.uptime()-sent)
		n.gossip.Reset(address)
	}
}

// followPeers gets the endpoint list from peers that have a newer one: the changes, or the
// complete list page by page.
func (n *Node) followPeers(ctx context.Context) {
	for {
		address, f, ok := n.state.peerAhead()
		if !ok {
			return
		}
		f.After = n.incomingList.after()
		answer, err := n.fetch(ctx, address, f)
		switch {
		case err != nil:
			return // another peer is chosen after the next heartbeats
		case answer.Roster <= f.Roster && len(answer.Entries)+len(answer.Removed) == 0:
			return // the peer has nothing newer
		case answer.Delta:
			n.incomingList = incomingList{}
			n.applyChanges(address, answer)
		default:
			n.incomingList.add(answer)
			if !answer.More {
				n.state.applyRecords(address, platform.Records(n.incomingList.items), n.incomingList.revision, true)
				n.incomingList = incomingList{}
			}
		}
		if !answer.More {
			return
		}
	}
}

// incomingList is a complete endpoint list that arrives in pages, also from several peers.
type incomingList struct {
	items    []platform.Item
	revision int64 // all pages are complete to it
}

func (l *incomingList) after() fleet.Endpoint {
	if len(l.items) == 0 {
		return ""
	}
	return fleet.Endpoint(strings.TrimPrefix(l.items[len(l.items)-1].Key, platform.EntryPrefix))
}

func (l *incomingList) add(page *gossip.FetchReply) {
	if len(l.items) == 0 {
		l.revision = page.Roster
	}
	l.revision = min(l.revision, page.Roster)
	l.items = append(l.items, listedItems(page.Entries)...)
}

func listedItems(entries []gossip.Entry) []platform.Item {
	items := make([]platform.Item, 0, len(entries))
	for _, e := range entries {
		items = append(items, platform.Item{Key: platform.EntryPrefix + string(e.ID), Value: e.Text, Revision: e.Revision})
	}
	return items
}

// applyChanges applies the changes to the endpoint list that a peer has sent.
func (n *Node) applyChanges(from string, answer *gossip.FetchReply) {
	items := listedItems(answer.Entries)
	for _, e := range answer.Removed {
		items = append(items, platform.Item{Key: platform.EntryPrefix + string(e.ID), Revision: e.Revision, Removed: true})
	}
	records := platform.Records(items)
	for i := range records {
		records[i].InForce = records[i].Removed // peers hide removals that they hold back
	}
	n.state.applyRecords(from, records, answer.Roster, false)
}

// fetch asks a peer for newer data.
func (n *Node) fetch(ctx context.Context, address string, f *gossip.Fetch) (*gossip.FetchReply, error) {
	allowance, _ := n.state.peerAllowance(address)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout+allowance)
	defer cancel()
	ctx, end := n.untilNearby(ctx, address, n.state.listNearby)
	defer end()
	before := n.gossip.Received(address)
	answer, err := n.gossip.Fetch(ctx, address, f)
	if err != nil {
		_ = level.Warn(n.logger).Log("step", "fetch", "peer", address, "after", f.Roster, "received", n.gossip.Received(address)-before, "err", err)
	}
	return answer, err
}

// Heartbeat handles a heartbeat from another instance.
func (n *Node) Heartbeat(_ context.Context, p *gossip.PackedHeartbeat) (*gossip.Ack, error) {
	b, err := p.Unpack()
	if err != nil {
		_ = level.Warn(n.logger).Log("step", "beat", "err", err)
		return nil, err
	}
	n.state.receiveHeartbeat(b)
	if b.Peer.Leaving {
		n.dropLostRelays()
	}
	return n.state.ack(b.Peer.Sequence), nil
}

// Fetch answers another instance that requests newer data.
func (n *Node) Fetch(_ context.Context, f *gossip.Fetch) (*gossip.FetchReply, error) {
	return n.state.answerFetch(f), nil
}

// probeEndpoints requests reports from the endpoints that this instance probes.
func (n *Node) probeEndpoints(ctx context.Context) {
	var group errgroup.Group
	for _, e := range n.state.endpointsToProbe() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			requestedAt := n.clock() // the report's contents may be as old as the request for it
			report, err := n.endpoints.Report(ctx, e.ID, e.Born, e.Address)
			if errors.Is(err, context.DeadlineExceeded) {
				// What is sent over the open connections may be lost.
				n.state.pathFailed(e.ID)
				n.endpoints.CloseIdle(e.ID, e.Born)
			}
			if err != nil {
				n.state.recordFailure(e.ID, e.Born)
				_ = level.Warn(n.logger).Log("step", "probe", "endpoint", e.ID, "err", err)
				return nil
			}
			if report.Born != e.Born {
				_ = level.Warn(n.logger).Log("step", "probe", "endpoint", e.ID, "born", report.Born, "known", e.Born)
				n.state.recordLeft(e.ID, e.Born)
				return nil
			}
			report.Taken = requestedAt
			n.state.RecordReport(e.ID, report)
			return nil
		})
	}
	_ = group.Wait() // failures are recorded above
}

// checkBroken asks the endpoints to which connections broke whether they are gone, until none is
// left to ask.
func (n *Node) checkBroken(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, endCheckDelay)
		endpoints, pending := n.state.endpointsToAsk()
		if !pending {
			return
		}
		var group errgroup.Group
		for _, e := range endpoints {
			group.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				askedAt := n.clock()
				gone, err := n.endpoints.Gone(ctx, e.id, e.born, e.address)
				n.state.recordAsked(e.incarnation, askedAt, gone, err)
				return nil
			})
		}
		_ = group.Wait() // failures are recorded above
	}
}

// Ensure gets an adapter loaded on behalf of another instance.
func (n *Node) Ensure(ctx context.Context, e *gossip.Ensure) (*gossip.EnsureReply, error) {
	answer := &gossip.EnsureReply{}
	if err := n.loader.Ensure(ctx, e.Endpoint, e.Born, roster.Adapter{Model: e.Model, Adapter: e.Adapter}); err != nil {
		answer.Refused = err.Error()
	}
	return answer, nil
}

// gatewayFleet implements gateway.Fleet on the state of the instance and its node.
type gatewayFleet struct {
	*state
	node *Node
}

// AnswerInterrupted also has the endpoint asked whether it is gone.
func (g gatewayFleet) AnswerInterrupted(t gateway.Target, id suspect.Identity, sentAt time.Time, begun bool) {
	g.state.AnswerInterrupted(t, id, sentAt, begun)
	g.node.tasks.RunIfIdle("broken", g.node.checkBroken)
}

// PromptInterrupted does so too.
func (g gatewayFleet) PromptInterrupted(t gateway.Target, a *balance.Request, sentAt time.Time) {
	g.state.PromptInterrupted(t, a, sentAt)
	g.node.tasks.RunIfIdle("broken", g.node.checkBroken)
}

// Ensure gets an adapter loaded: by this instance if it may give orders, else through the
// lease holder.
func (g gatewayFleet) Ensure(ctx context.Context, t gateway.Target, m fleet.Model, a fleet.Adapter) error {
	ctx, cancel := context.WithTimeout(ctx, ensureTimeout)
	defer cancel()
	adapter := roster.Adapter{Model: m, Adapter: a}
	if _, ok := g.node.orderLease.MayOrder(); ok {
		return g.node.loader.Ensure(ctx, t.ID, t.Born, adapter)
	}
	address, ok := g.holder()
	if !ok {
		return loader.ErrNotLeaseHolder
	}
	answer, err := g.node.gossip.Ensure(ctx, address, &gossip.Ensure{Endpoint: t.ID, Born: t.Born, Model: m, Adapter: a})
	if err != nil {
		return err
	}
	if answer.Refused != "" {
		return fmt.Errorf("peer %s: %s", address, answer.Refused)
	}
	g.RecordPresence(t.ID, adapter, true)
	return nil
}
