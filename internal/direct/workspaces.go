package direct

import (
	"fmt"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/recency"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// defaultRevocationTime applies if the settings don't name any.
	defaultRevocationTime = 5 * time.Second
	// revocationMargin is the part of revocationTime that is left for clocks that run apart.
	revocationMargin = 0.02
	// refreshShare is the part of revocationTime after which an instance that has heard of no
	// newer evidence watches the configuration itself.
	refreshShare = 0.6
	// denialShare is the part of revocationTime without evidence after which an unknown key may
	// be a new one.
	denialShare = 0.4
	// routeConfirmedTime is for how long after the store or a peer has confirmed the configuration an
	// unknown route is known to be absent: what passes from those that watch to all instances of a
	// large fleet takes 2 s.
	routeConfirmedTime = 3 * time.Second
	// confirmedRounds is in how many heartbeats one is answered with a confirmation if no keys
	// depend on it.
	confirmedRounds = 2
	// neverConfirmed is the age of a configuration without evidence.
	neverConfirmed = -time.Millisecond
)

// mustWatch reports whether this instance watches a prefix although others watch the store for
// all: their word of the configuration hasn't arrived for long.
func (n *Node) mustWatch(prefix string) bool {
	return prefix == platform.CatalogKey && n.state.mustConfirm()
}

// mustConfirm reports whether this instance asks the store for how old its configuration is. While the
// store doesn't answer it, only its registration tries.
func (s *state) mustConfirm() bool {
	if !s.confirmationIsOld() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReachable()
}

// setRevocation sets whether, and for how long without evidence, a key may still be used.
func (s *state) setRevocation(strict bool, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strictRevocation, s.revocationTime = strict, within
	if within <= 0 {
		s.revocationTime = defaultRevocationTime
	}
}

// confirmCatalog records that the store held no newer configuration than a version at a time of
// the clock uptime. Version 0 says nothing.
func (s *state) confirmCatalog(version int64, at time.Duration) {
	if version == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recency.Observe(recency.Evidence{Version: version, At: at})
}

// peersConfirm reports whether the answers to heartbeats confirm a configuration without keys: those of
// an earlier build don't.
func (s *state) peersConfirm() bool {
	return !slices.ContainsFunc(s.livePeers(), func(p *peer) bool { return !slices.Contains(p.heartbeat.Features, feature.Watchers) })
}

// ack answers a heartbeat, by its number, with how long ago this instance's configuration was the newest.
func (s *state) ack(sequence uint64) *gossip.Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog == nil || len(s.catalog.Workspaces) == 0 && sequence%confirmedRounds != 0 {
		return &gossip.Ack{}
	}
	a := &gossip.Ack{Catalog: s.catalog.Version}
	if age, ok := s.confirmedAge(); ok && age < s.revocationTime {
		a.ConfirmedMs = age.Milliseconds() + 1 // rounded up
	}
	return a
}

// receiveAck records what a peer has answered to a heartbeat sent at a time of the clock uptime.
// The peer's age counts from then, since the answer was made later.
func (s *state) receiveAck(sent time.Duration, a *gossip.Ack) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeCatalogVersion(s.clock(), a.Catalog)
	if a.ConfirmedMs > 0 {
		s.recency.Observe(recency.Evidence{Version: a.Catalog, At: sent - time.Duration(a.ConfirmedMs)*time.Millisecond})
	}
}

func (s *state) confirmedAge() (time.Duration, bool) {
	age, ok := s.recency.Age(s.uptime())
	if !ok {
		return neverConfirmed, false
	}
	return age, true
}

// confirmationIsOld reports whether this instance should ask the store itself for how old its
// configuration is.
func (s *state) confirmationIsOld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog == nil || len(s.catalog.Workspaces) == 0 {
		return false
	}
	if s.uptime()-s.keyedSince <= share(s.revocationTime, refreshShare) {
		return false // peers may not have said anything yet
	}
	return !s.isConfirmedFor(refreshShare)
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// isConfirmedFor reports whether this instance knows all configurations up to a part of
// revocationTime ago.
func (s *state) isConfirmedFor(part float64) bool {
	age, ok := s.confirmedAge()
	return ok && age <= share(s.revocationTime, part)
}

// mayUseKeys reports whether no key can have been revoked earlier than revocationTime ago without
// this instance's knowledge, or whether that doesn't matter.
func (s *state) mayUseKeys() bool {
	return !s.strictRevocation || s.isConfirmedFor(1-revocationMargin)
}

// Workspace returns the workspace of a request with a route of a configuration version.
func (s *state) Workspace(r *catalog.Route, version int64, key credential.Digest) (*catalog.Workspace, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.catalogOf(version)
	if c == nil {
		return nil, neverConfirmed, gateway.ErrKeyOutdated
	}
	if !c.NeedsKey(r) {
		return nil, 0, nil
	}
	age, _ := s.confirmedAge()
	w, ok := c.Workspace(key)
	switch {
	case !s.mayUseKeys(), !ok && !s.isConfirmedFor(denialShare):
		return w, age, gateway.ErrUnconfirmed
	case ok:
		return w, age, nil
	case !s.outdatedSince.IsZero():
		return nil, age, gateway.ErrKeyOutdated
	default:
		return nil, age, gateway.ErrUnknownKey
	}
}

// catalogOf returns the configuration of a version, nil if it is not kept any more.
func (s *state) catalogOf(version int64) *catalog.Catalog {
	for _, c := range []*catalog.Catalog{s.catalog, s.previousCatalog} {
		if c != nil && c.Version == version {
			return c
		}
	}
	return nil
}

// KeyValid returns an error if an admitted request must not be sent now: its key may have been
// revoked while it waited.
func (s *state) KeyValid(key credential.Digest, workspace string) error {
	if workspace == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayUseKeys() {
		age, _ := s.confirmedAge()
		return fmt.Errorf("%w: confirmed %s ago: %w", gateway.ErrKeyLapsed, age, gateway.ErrUnconfirmed)
	}
	if len(s.catalog.Workspaces) == 0 {
		return nil
	}
	if w, ok := s.catalog.Workspace(key); !ok || w.Name != workspace {
		return fmt.Errorf("%w: version %d", gateway.ErrKeyLapsed, s.catalog.Version)
	}
	return nil
}
