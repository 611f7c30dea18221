package direct

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// patience is how long the own watch may lag behind a peer before it is asked.
	patience = 250 * time.Millisecond
	// retireNews is how long the end of a model's copy is repeated.
	retireNews = time.Second
	// watchers is how many instances watch the store: one may be cut off and one die.
	watchers = 3
	// storeNews is how long an answer of the store tells that it is within reach.
	storeNews = 4 * time.Second
	// mostLeft bounds the leaving endpoints that are told in one beat.
	mostLeft = 64
)

// watch notes whether this instance watches the store, and returns it.
func (s *state) watch() bool {
	watching := s.watches()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = watching
	return watching
}

// takeRecords takes changes of the list of endpoints, or the whole of it. It returns
// whether one leaves or has gone.
func (s *state) takeRecords(records []roster.Record, revision int64, whole bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	leaves := false
	for i := range records {
		r := &records[i]
		s.newest = max(s.newest, r.Revision)
		known := s.roster.Get(r.ID)
		if known != nil && !r.Removed && !r.Invalid && r.Entry.Born > known.Born {
			s.board.ClearPrompts(r.ID)
		}
		s.note(known, r)
		leaves = leaves || known != nil && (r.Removed || r.Entry.Leaving && !known.Leaving)
	}
	if whole {
		s.roster.Replace(now, records, revision)
	} else {
		s.roster.Apply(now, records, revision)
	}
	if !s.listed {
		s.listed, s.listedAt = true, now
	}
	return leaves
}

// note logs a change of what is believed of an endpoint.
func (s *state) note(known *roster.Endpoint, r *roster.Record) {
	var now string
	switch {
	case r.Invalid:
		now = "forged"
	case r.Removed && known != nil:
		now = "removed"
	case r.Removed:
		return
	case known == nil || r.Entry.Born > known.Born:
		now = "listed"
	case r.Entry.Leaving && !known.Leaving:
		now = "leaving"
	default:
		return
	}
	_ = s.logger.Log("step", "endpoint", "endpoint", r.ID, "born", r.Entry.Born, "revision", r.Revision, "now", now)
}

// troubled notes a failed call to the store, answered a good one.
func (s *state) troubled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreFailure(s.clock())
	s.stored = time.Time{}
}

func (s *state) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordStoreSuccess(s.clock())
	s.stored = s.clock()
}

// reaches reports whether the store answered lately.
func (s *state) reaches() bool { return !s.stored.IsZero() && s.clock().Sub(s.stored) < storeNews }

// watches reports whether this instance is to watch the store for the others: a few
// of those that reach it do, and each that doesn't tries to.
func (s *state) watches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reaches() {
		return true
	}
	ahead := 0
	for name, p := range s.peers {
		if s.alive(name) && p.beat.StoreReachable && name < s.view.Self().Instance {
			ahead++
		}
	}
	return ahead < watchers
}

// rebudget changes what may be sent once more.
func (s *state) rebudget(share, extra float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetLimits(share, extra)
}

// members takes the store's list of instances.
func (s *state) members(peers []member.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.ApplyList(s.clock(), peers)
}

// leave makes the instance leave; there is no way back.
func (s *state) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.view.Leave()
}

// holding notes whether this instance may give orders.
func (s *state) holding(orders bool, fence fleet.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders, s.fence = orders, fence
}

// beat returns what to tell, and whom.
func (s *state) beat() ([]member.Peer, *gossip.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, c := range s.view.Tick(now) {
		_ = s.logger.Log("step", "peer", "peer", c.Instance, "from", c.From, "to", c.To)
	}
	b := &gossip.Heartbeat{
		Place: s.place, Sent: s.uptime(), Ready: s.readiness() == nil, StoreReachable: s.reaches(), Roster: s.newest,
		Loads: s.board.OwnLoads(), Uses: s.board.OwnUses(), Demand: s.ownDemand(), Leaving: s.retired, HoldsOrderLease: s.orders, Fence: s.fence,
		Suspicions: s.view.Suspicions(), Crashes: s.crashNews(now),
	}
	if s.catalog != nil {
		b.Catalog = s.catalog.Version
		s.view.SetRevision(uint64(max(0, s.catalog.Version)))
	}
	for _, r := range s.fresh {
		r.Age = now.Sub(r.Report.Taken)
		b.Reports = append(b.Reports, r)
	}
	s.fresh = nil
	for _, f := range s.failed {
		b.Failed = append(b.Failed, f)
	}
	clear(s.failed)
	s.retire = slices.DeleteFunc(s.retire, func(r retirement) bool { return now.Sub(r.at) > retireNews })
	for _, r := range s.retire {
		b.Retiring = append(b.Retiring, gossip.Retirement{Endpoint: r.endpoint, Model: r.model})
	}
	b.Peer = s.view.Heartbeat()
	return s.view.Targets(now), b
}

// hear takes the beat of another instance.
func (s *state) hear(b *gossip.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.view.Observe(now, b.Peer)
	s.view.ReceiveSuspicions(b.Suspicions)
	name := b.Peer.Instance
	if known := s.peers[name]; known != nil && known.beat.Peer.Incarnation == b.Peer.Incarnation && known.beat.Peer.Sequence > b.Peer.Sequence {
		return
	}
	ahead := s.uptime() - b.Sent
	late := time.Duration(0)
	if known := s.peers[name]; known != nil && known.beat.Peer.Incarnation == b.Peer.Incarnation {
		late = max(0, ahead-known.ahead)
		ahead = min(ahead, known.ahead)
	}
	s.peers[name] = &peer{beat: *b, at: now, ahead: ahead}
	s.board.SetRemote(name, b.Loads, b.Uses)
	for _, r := range b.Reports {
		// A beat may have waited on a connection that was cut for a while.
		r.Report.Taken = now.Add(-r.Age - late)
		s.roster.RecordReport(r.Endpoint, r.Report)
	}
	for _, l := range b.Leaving {
		s.roster.MarkLeaving(l.Endpoint, l.Born)
	}
	for _, f := range b.Failed {
		s.roster.RecordFailure(now, f.Endpoint, f.Born)
	}
	for _, c := range b.Crashes {
		s.hearCrash(now, c, late)
	}
	for _, r := range b.Retiring {
		s.roster.MarkUnloading(now, r.Endpoint, r.Model)
	}
}

// behind returns a peer to ask if one has known more for a while.
func (s *state) behind() (string, *gossip.Fetch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	f := &gossip.Fetch{Roster: s.roster.Revision()}
	if s.catalog != nil {
		f.Catalog = s.catalog.Version
	}
	var ahead *peer
	for name, p := range s.peers {
		if s.alive(name) && (p.beat.Catalog > f.Catalog || p.beat.Roster > f.Roster) {
			ahead = p
		}
	}
	switch {
	case ahead == nil:
		s.lagging = time.Time{}
		return "", nil, false
	case s.lagging.IsZero():
		s.lagging = now
	}
	if s.catalog != nil && s.listed && s.watching && now.Sub(s.lagging) < patience {
		return "", nil, false
	}
	return ahead.beat.Peer.Address, f, true
}

// known answers what another instance doesn't know.
func (s *state) known(f *gossip.Fetch) *gossip.FetchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := &gossip.FetchReply{}
	if s.catalog != nil && s.catalog.Version > f.Catalog {
		k.Catalog = s.catalog.Raw
	}
	if s.listed && s.newest > f.Roster {
		k.Roster = s.newest
		for _, e := range s.roster.All() {
			k.Entries = append(k.Entries, gossip.Entry{ID: e.ID, Revision: e.Revision, Text: e.Raw})
		}
	}
	return k
}

// tidy drops what is no longer true, and returns the incarnations of endpoints that are left.
func (s *state) tidy() map[fleet.Endpoint]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, e := range s.roster.RemoveMissing(now) {
		_ = s.logger.Log("step", "endpoint", "endpoint", e.ID, "born", e.Born, "now", "not back")
		s.retired = append(s.retired, gossip.Incarnation{Endpoint: e.ID, Born: e.Born})
	}
	s.bury(now)
	for name, p := range s.peers {
		if now.Sub(p.at) > loadsKept {
			s.board.Forget(name)
		}
	}
	if len(s.retired) > mostLeft {
		s.retired = s.retired[len(s.retired)-mostLeft:]
	}
	live := make(map[fleet.Endpoint]int64)
	for _, e := range s.roster.All() {
		live[e.ID] = e.Born
	}
	return live
}
