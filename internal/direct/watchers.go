package direct

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/contact"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/watcher"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// storeReachableTime is how long after its last answer the store counts as reachable.
	storeReachableTime = 4 * time.Second
	// watchersByName is how many of the first instances by name watch the store in builds without
	// feature.Watchers.
	watchersByName = 3
	// contactRounds is how many heartbeats tell of one answer of the store.
	contactRounds = 2
)

// storeFailed records a failed call to the store, storeAnswered a successful one.
func (s *state) storeFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreFailure(s.clock())
	s.storeAnsweredAt = time.Time{}
}

func (s *state) storeAnswered() { s.storeAnsweredSince(s.clock(), 0) }

// storeAnsweredSince records an answer to a call that was sent at a time and was to take as long as wait.
func (s *state) storeAnsweredSince(sent time.Time, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreAnswer(sent, s.clock(), wait)
	s.storeAnsweredAt = s.clock()
}

// contactToSend returns when the store last answered this instance, nil if peers have been told.
func (s *state) contactToSend(now time.Time) *gossip.Contact {
	own, ok := s.roster.Contact()
	if !ok || now.Sub(own.Until) > storeReachableTime {
		return nil
	}
	if !own.Until.Equal(s.contactSent) {
		s.contactSent, s.contactRounds = own.Until, 0
	}
	if s.contactRounds++; s.contactRounds > contactRounds {
		return nil
	}
	return &gossip.Contact{SinceMs: now.Sub(own.Since).Milliseconds(), UntilMs: now.Sub(own.Until).Milliseconds() + 1, Era: s.revisionEra(s.roster.Revision())}
}

// receiveContact records when the store answered a peer, as of a heartbeat that was on its way longer
// than usual by a delay.
func (s *state) receiveContact(now time.Time, c *gossip.Contact, delay time.Duration) {
	if c == nil || c.Era != s.revisionEra(s.roster.Revision()) {
		return
	}
	sent := now.Add(-delay)
	s.roster.RecordContact(contact.Span{
		Since: sent.Add(-time.Duration(c.SinceMs) * time.Millisecond), Until: sent.Add(-time.Duration(c.UntilMs) * time.Millisecond),
	})
}

// holdsRemovals reports whether removals are held back.
func (s *state) holdsRemovals() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.HoldsRemovals()
}

// removeMissing puts removals in force that were held back and need not be any more. It reports whether
// there was one.
func (s *state) removeMissing(now time.Time) bool {
	lost := s.roster.RemoveMissing(now)
	for _, e := range lost {
		s.logRemoval(now, e, "not back", fromStore)
	}
	return len(lost) > 0
}

// endHolds puts removals in force that need not be held back any more, and tells peers.
func (n *Node) endHolds(context.Context) {
	n.state.mu.Lock()
	news := n.state.removeMissing(n.clock())
	n.state.mu.Unlock()
	if news {
		n.tasks.RunIfIdle("beat", n.sendHeartbeats)
	}
}

// registrationFailed records a failed call of an instance that need not watch the store. It reports
// whether the store still counts as reachable.
func (s *state) registrationFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeReachable() {
		return true
	}
	s.roster.RecordStoreFailure(s.clock()) // entries may lapse that were not renewed meanwhile
	return false
}

// entriesMayLapse records that the store seems to be down, for the endpoint list only: a store that
// answered within storeReachableTime still counts as reachable.
func (s *state) entriesMayLapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreFailure(s.clock())
}

// storeReachable reports whether the store answered within storeReachableTime, beyond what its answers
// wait on a link.
func (s *state) storeReachable() bool {
	if s.storeAnsweredAt.IsZero() {
		return false
	}
	silent := s.clock().Sub(s.storeAnsweredAt)
	return silent < storeReachableTime || silent < storeReachableTime+s.longestAllowance()
}

// updateWatching decides whether this instance watches the store, records the decision and
// returns it.
func (s *state) updateWatching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	watching := s.shouldWatchStore()
	if watching != s.watching {
		_ = s.logger.Log("step", "watcher", "now", watching, "reachable", s.storeReachable())
	}
	s.watching = watching
	return watching
}

// shouldWatchStore reports whether this instance should watch the store.
func (s *state) shouldWatchStore() bool {
	self := watcher.Instance{Name: s.view.Self().Instance, Place: s.place, Reaches: s.storeReachable()}
	live := s.livePeers()
	peers := make([]watcher.Instance, 0, len(live))
	for _, p := range live {
		b := &p.heartbeat
		peers = append(peers, watcher.Instance{Name: b.Peer.Instance, Place: b.Place, Reaches: b.StoreReachable})
	}
	agreed := feature.Agreed(feature.Watchers, s.loadFeatures.announced, s.loadFeatures.othersKnown, s.announcements())
	if !agreed && firstByName(self, peers) {
		return true // instances of an earlier build leave it to the first ones
	}
	return watcher.Watches(self, peers)
}

// firstByName reports whether an instance is one of the first watchersByName that reach the store.
func firstByName(self watcher.Instance, peers []watcher.Instance) bool {
	ahead := 0
	for _, p := range peers {
		if p.Reaches && p.Name < self.Name {
			ahead++
		}
	}
	return self.Reaches && ahead < watchersByName
}
