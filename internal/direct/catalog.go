package direct

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/transfer"
	"github.com/chiveramp/chiveramp/internal/delta"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/switches"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// partTimeout limits the request for one part of a configuration: a part comes in time from a
	// peer whose slow link is shared by dozens that ask for it.
	partTimeout = 2 * time.Second
	// maxPartFailures is how many peers may fail before the next heartbeats choose anew.
	maxPartFailures = 3
	// maxOutgoingCatalogs is how many configurations are kept for peers that have begun to fetch
	// them: some of two versions, compressed against an earlier one or not.
	maxOutgoingCatalogs = 4
	// maxPushBytes bounds a configuration that is pushed over a link between regions, compressed.
	maxPushBytes = 256 << 10
	// maxCatalogMemory bounds the memory in which a configuration is decompressed.
	maxCatalogMemory = 64 << 20
)

// watchCatalog keeps the configuration up to date from the store.
func (n *Node) watchCatalog(ctx context.Context) error {
	stored := int64(0) // the version in the store, 0 if unknown
	return n.watchPrefix(ctx, platform.CatalogKey, 0, func(r storeRead) {
		if r.complete {
			stored = 0
		}
		for _, i := range r.items {
			switch {
			case i.Key != platform.CatalogKey:
			case i.Removed:
				stored = 0
			default:
				stored = n.applyCatalog(i.Value, fromStore)
			}
		}
		n.state.confirmCatalog(stored, r.asOf)
	})
}

// applyCatalog decodes a configuration and activates it unless the active one is as new or
// newer. It returns its version, 0 if it can't be decoded.
func (n *Node) applyCatalog(text []byte, from string) int64 {
	c, err := platform.DecodeCatalog(text)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "catalog", "from", from, "err", err)
		return 0
	}
	if behind, ok := n.state.applyCatalog(c); ok {
		_ = n.logger.Log("step", "catalog", "from", from, "version", c.Version, "routes", len(c.Routes), "bytes", len(text), "behind", behind)
		n.tasks.RunIfIdle("beat", n.sendHeartbeats) // announces the new version to the peers at once
		if from == fromStore {
			n.tasks.RunIfIdle("push", n.pushCatalog)
		}
	}
	return c.Version
}

// fetchCatalog gets newer configurations from peers, part by part. What has arrived when a call
// fails is kept: the rest may come from another peer, also in a later run.
func (n *Node) fetchCatalog(ctx context.Context) {
	address, have, ok := n.state.catalogPeer("")
	for failures := 0; ok && failures < maxPartFailures; {
		complete, err := n.fetchCatalogPart(ctx, address, have)
		switch {
		case status.Code(err) == codes.Unimplemented:
			n.fetchWholeCatalog(ctx, address, have)
			return
		case err != nil:
			id, offset := n.incomingCatalog.Next()
			_ = level.Warn(n.logger).Log("step", "fetch", "peer", address, "version", id.Version, "received", offset, "err", err)
			failures++
			address, have, ok = n.state.catalogPeer(address)
		case complete:
			n.applyIncomingCatalog(address)
			address, have, ok = n.state.catalogPeer("")
		}
	}
}

// fetchWholeCatalog gets a newer configuration from a peer that doesn't send it in parts.
func (n *Node) fetchWholeCatalog(ctx context.Context, address string, have int64) {
	answer, err := n.fetch(ctx, address, &gossip.Fetch{Catalog: have, Roster: math.MaxInt64})
	if err == nil && len(answer.Catalog) > 0 {
		n.applyCatalog(answer.Catalog, address)
	}
}

// errNothingNewer: a peer has announced a newer configuration but doesn't have it any more.
var errNothingNewer = errors.New("no newer configuration there")

// fetchCatalogPart gets the next part of a configuration and reports whether it is complete.
func (n *Node) fetchCatalogPart(ctx context.Context, address string, have int64) (bool, error) {
	allowance, _ := n.state.peerAllowance(address)
	ctx, cancel := context.WithTimeout(ctx, partTimeout+allowance)
	defer cancel()
	ctx, end := n.untilNearby(ctx, address, n.state.catalogNearby)
	defer end()
	if id, _ := n.incomingCatalog.Next(); id.Version <= have || id.Base != 0 && id.Base != have {
		n.incomingCatalog.Reset() // the active configuration has changed since
	}
	id, offset := n.incomingCatalog.Next()
	reply, err := n.gossip.FetchCatalog(ctx, address, &gossip.FetchCatalog{Have: have, Text: id, Offset: offset})
	if err != nil {
		return false, err
	}
	if reply.Part.Size == 0 {
		return false, errNothingNewer
	}
	return n.incomingCatalog.Add(reply.Part)
}

// applyIncomingCatalog activates the configuration that has arrived.
func (n *Node) applyIncomingCatalog(from string) {
	defer n.incomingCatalog.Reset()
	id, _ := n.incomingCatalog.Next()
	n.restoreCatalog(id, n.incomingCatalog.Text(), from)
}

// restoreCatalog activates a configuration in the form in which it is moved.
func (n *Node) restoreCatalog(id transfer.ID, moved []byte, from string) {
	base, ok := n.state.catalogText(id.Base)
	if !ok {
		return // another one came meanwhile
	}
	text, err := delta.Restore(moved, base, maxCatalogMemory)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "catalog", "from", from, "version", id.Version, "err", err)
		return
	}
	n.applyCatalog(text, from)
}

// pushCatalog sends a configuration that this instance has read from the store to those who fetch for the
// other regions: a question for it would pass a full link twice more.
func (n *Node) pushCatalog(ctx context.Context) {
	active, previous := n.state.catalogs()
	for _, p := range n.state.farFetchers(active.Version) {
		n.group.Go(func() error {
			n.pushCatalogTo(ctx, p, active, previous)
			return nil
		})
	}
}

func (n *Node) pushCatalogTo(ctx context.Context, p member.Peer, active, previous *catalog.Catalog) {
	part, err := n.outgoingCatalogs.whole(n.state.catalogAt(p.Instance), active, previous)
	if err == nil {
		allowance, _ := n.state.peerAllowance(p.Address)
		ctx, cancel := context.WithTimeout(ctx, partTimeout+allowance)
		defer cancel()
		err = n.gossip.PushCatalog(ctx, p.Address, &gossip.PushCatalog{Part: part})
	}
	if err != nil && status.Code(err) != codes.Unimplemented { // an earlier build fetches it
		_ = level.Warn(n.logger).Log("step", "push", "peer", p.Address, "version", active.Version, "err", err)
	}
}

// PushCatalog takes a configuration that another instance offers.
func (n *Node) PushCatalog(_ context.Context, p *gossip.PushCatalog) (*gossip.PushReply, error) {
	var whole transfer.Assembly
	complete, err := whole.Add(p.Part)
	if err != nil || !complete {
		_ = level.Warn(n.logger).Log("step", "push", "version", p.Part.Version, "bytes", len(p.Part.Data), "size", p.Part.Size, "err", err)
		return nil, status.Error(codes.InvalidArgument, "not a whole configuration")
	}
	n.restoreCatalog(p.Part.ID, whole.Text(), "push")
	return &gossip.PushReply{}, nil
}

// FetchCatalog answers another instance that requests a part of the configuration.
func (n *Node) FetchCatalog(_ context.Context, f *gossip.FetchCatalog) (*gossip.CatalogPart, error) {
	active, previous := n.state.catalogs()
	return n.outgoingCatalogs.part(f, active, previous)
}

// applyCatalog activates a configuration unless the active one is as new or newer. It
// returns for how long a peer had announced a newer one than the active one before, and
// whether the configuration was activated.
func (s *state) applyCatalog(c *catalog.Catalog) (behind time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog != nil && c.Version <= s.catalog.Version && !switches.Off(switches.NewestConfig) {
		return 0, false
	}
	behind = s.outdatedFor()
	s.counts.CatalogActivated(behind)
	if s.catalog == nil || len(s.catalog.Workspaces) == 0 {
		s.keyedSince = s.uptime()
	}
	s.previousCatalog, s.catalog = s.catalog, c
	s.recency.Activate(c.Version)
	s.allotments.setLimits(s.uptime(), c.Workspaces)
	if c.Version >= s.newestCatalog {
		s.outdatedSince = time.Time{}
	}
	return behind, true
}

// observeCatalogVersion records the version that a peer has announced.
func (s *state) observeCatalogVersion(now time.Time, version int64) {
	s.newestCatalog = max(s.newestCatalog, version)
	if (s.catalog == nil || s.catalog.Version < s.newestCatalog) && s.outdatedSince.IsZero() {
		s.outdatedSince = now
	}
}

// outdatedFor returns for how long a newer configuration than the active one has been known
// to exist.
func (s *state) outdatedFor() time.Duration {
	if s.outdatedSince.IsZero() {
		return 0
	}
	return s.clock().Sub(s.outdatedSince)
}

// catalogPeer returns the address of a peer with a newer configuration, another one than except
// if there is one, and the version in force here. ok is false if there is none, or if the store
// watch may still catch up on its own.
func (s *state) catalogPeer(except string) (address string, have int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog != nil {
		have = s.catalog.Version
		if s.watching && s.outdatedFor() < maxWatchLag {
			return "", have, false
		}
	}
	ahead := s.peersWithCatalogAfter(have)
	if others := slices.DeleteFunc(slices.Clone(ahead), func(p *peer) bool { return p.heartbeat.Peer.Address == except }); len(others) > 0 {
		ahead = others
	}
	if p := s.nearest(ahead); p != nil && (s.catalog == nil || s.mayFetchFrom(p, s.outdatedFor())) {
		address = p.heartbeat.Peer.Address
	}
	return address, have, address != ""
}

// peersWithCatalogAfter returns the live peers with a newer configuration than a version.
func (s *state) peersWithCatalogAfter(version int64) []*peer {
	return slices.DeleteFunc(s.livePeers(), func(p *peer) bool { return p.heartbeat.Catalog <= version })
}

// activeVersion returns the version in force, 0 if there is none.
func (s *state) activeVersion() int64 {
	if s.catalog == nil {
		return 0
	}
	return s.catalog.Version
}

// catalogAt returns the version that a peer has last announced.
func (s *state) catalogAt(name fleet.Instance) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		return p.heartbeat.Catalog
	}
	return 0
}

// catalogs returns the active configuration and the one before; both may be nil.
func (s *state) catalogs() (active, previous *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog, s.previousCatalog
}

// catalogText returns the text of the active configuration if it has the version; version 0 is
// the empty text.
func (s *state) catalogText(version int64) ([]byte, bool) {
	if version == 0 {
		return nil, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog == nil || s.catalog.Version != version {
		return nil, false
	}
	return s.catalog.Raw, true
}

// outgoingCatalogs are the configurations that peers have lately fetched, compressed, newest
// first. It is safe for concurrent use; the lock is held while a configuration is compressed, so
// that many peers that ask at once wait for one.
type outgoingCatalogs struct {
	mu    sync.Mutex
	texts []*transfer.Text
}

// part returns the part of a configuration that a peer asks for: of the one that it has begun to
// fetch if it is still kept, else the first part of the active one.
func (o *outgoingCatalogs) part(f *gossip.FetchCatalog, active, previous *catalog.Catalog) (*gossip.CatalogPart, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.texts {
		if t.ID() == f.Text {
			return &gossip.CatalogPart{Part: t.Part(f.Offset)}, nil
		}
	}
	if active == nil || active.Version <= f.Have {
		return &gossip.CatalogPart{}, nil
	}
	withoutBase := f.Text.Version == active.Version && f.Text.Base == 0 // as another peer has begun
	if previous == nil || previous.Version != f.Have || withoutBase {
		previous = new(catalog.Catalog)
	}
	text, err := o.text(active, previous)
	if err != nil {
		return nil, err
	}
	if text.ID() == f.Text {
		return &gossip.CatalogPart{Part: text.Part(f.Offset)}, nil
	}
	return &gossip.CatalogPart{Part: text.Part(0)}, nil
}

// errTooLarge: a configuration is fetched in parts instead of pushed.
var errTooLarge = errors.New("too large to be pushed")

// whole returns the active configuration in one part for a peer that has a version.
func (o *outgoingCatalogs) whole(have int64, active, previous *catalog.Catalog) (transfer.Part, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if previous == nil || previous.Version != have {
		previous = new(catalog.Catalog)
	}
	text, err := o.text(active, previous)
	if err != nil {
		return transfer.Part{}, err
	}
	part, ok := text.Whole(maxPushBytes)
	if !ok {
		return transfer.Part{}, fmt.Errorf("%w: %d bytes", errTooLarge, part.Size)
	}
	return part, nil
}

// text returns a configuration compressed against an earlier one, whose version is 0 for none.
func (o *outgoingCatalogs) text(c, base *catalog.Catalog) (*transfer.Text, error) {
	for _, t := range o.texts {
		if id := t.ID(); id.Version == c.Version && id.Base == base.Version {
			return t, nil
		}
	}
	compressed, err := delta.Compress(c.Raw, base.Raw)
	if err != nil {
		return nil, err
	}
	text := transfer.NewText(c.Version, base.Version, compressed)
	o.texts = append([]*transfer.Text{text}, o.texts[:min(len(o.texts), maxOutgoingCatalogs-1)]...)
	return text, nil
}
