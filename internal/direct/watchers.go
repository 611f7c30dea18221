package direct

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/watcher"
)

const (
	// storeReachableTime is how long after its last answer the store counts as reachable.
	storeReachableTime = 4 * time.Second
	// watchersByName is how many of the first instances by name watch the store in builds without
	// feature.Watchers.
	watchersByName = 3
)

// storeFailed records a failed call to the store, storeAnswered a successful one.
func (s *state) storeFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreFailure(s.clock())
	s.storeAnsweredAt = time.Time{}
}

func (s *state) storeAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreSuccess(s.clock())
	s.storeAnsweredAt = s.clock()
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

// storeReachable reports whether the store answered within storeReachableTime.
func (s *state) storeReachable() bool {
	return !s.storeAnsweredAt.IsZero() && s.clock().Sub(s.storeAnsweredAt) < storeReachableTime
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
