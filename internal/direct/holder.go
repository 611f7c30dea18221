package direct

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// holderValidity is how long an instance counts as the holder of the order lease after it
	// announced so: a few rounds in which heartbeats pass the news on.
	holderValidity = 3 * time.Second
	// holderRounds is the number of rounds between two heartbeats to the holder, which needs
	// the demand of all instances: in a large fleet the rotation takes seconds.
	holderRounds = 3
)

// announcedHolder is the newest announcement of a holder of the order lease.
type announcedHolder struct {
	gossip.Holder
	announcedAt time.Time
}

// receiveHolder records which instance holds the order lease, by the heartbeat of the holder
// or of an instance that passes the news on.
func (s *state) receiveHolder(now time.Time, b *gossip.Heartbeat, delay time.Duration) {
	announced := announcedHolder{announcedAt: now.Add(-delay)}
	switch {
	case b.Fence != 0:
		announced.Holder = gossip.Holder{Instance: b.Peer.Instance, Address: b.Peer.Address, Fence: b.Fence, MayOrder: b.HoldsOrderLease}
	case b.Holder != nil && b.Holder.Fence != 0 && b.Holder.Instance != s.view.Self().Instance:
		announced.Holder = *b.Holder
		announced.announcedAt = announced.announcedAt.Add(-b.Holder.Age)
	default:
		if s.lastHolder.Instance == b.Peer.Instance {
			s.lastHolder = announcedHolder{} // it doesn't hold the lease any more
		}
		return
	}
	last := &s.lastHolder
	if announced.Fence > last.Fence || announced.Fence == last.Fence && !announced.announcedAt.Before(last.announcedAt) {
		*last = announced
	}
}

// currentHolder returns the instance that holds the order lease, as far as this one knows.
func (s *state) currentHolder() (gossip.Holder, bool) {
	h := s.lastHolder
	state, known := s.view.State(h.Instance)
	if h.Fence == 0 || s.clock().Sub(h.announcedAt) > holderValidity || known && state != member.StateLive && state != member.StateListed {
		return gossip.Holder{}, false
	}
	return h.Holder, true
}

// holderNews returns the holder to announce in a heartbeat, nil if none is known.
func (s *state) holderNews() *gossip.Holder {
	h, ok := s.currentHolder()
	if !ok {
		return nil
	}
	h.Age = s.clock().Sub(s.lastHolder.announcedAt)
	return &h
}

// withHolder adds the holder of the order lease to the targets of every few rounds.
func (s *state) withHolder(targets []member.Peer, round uint64) []member.Peer {
	h, ok := s.currentHolder()
	if !ok || round%holderRounds != 0 {
		return targets
	}
	for _, t := range targets {
		if t.Instance == h.Instance {
			return targets
		}
	}
	return append(targets, member.Peer{Instance: h.Instance, Address: h.Address})
}

// holder returns the address of the instance that may give orders.
func (s *state) holder() (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.currentHolder()
	return h.Address, ok && h.MayOrder
}

// holderAddress returns the address of the instance that holds the order lease, whether or
// not it may give orders yet.
func (s *state) holderAddress() (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence != 0 {
		return s.view.Self().Address, true
	}
	h, ok := s.currentHolder()
	return h.Address, ok
}

// noKnownHolder reports whether no instance is known to hold the order lease.
func (s *state) noKnownHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.currentHolder()
	return !ok
}
