package direct

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// maxWatchLag is how long this instance's store watch may lag behind a peer before it
	// fetches the missing data from that peer.
	maxWatchLag = 250 * time.Millisecond
	// retirementAnnounceTime is how long heartbeats repeat that a model's copy will be unloaded.
	retirementAnnounceTime = time.Second
	// departureAnnounceTime is how long heartbeats name an endpoint after its departure: long enough to
	// reach every peer of a large fleet once.
	departureAnnounceTime = 2 * time.Second
	// instancesPerList is the number of instances for each of which, beyond the first, the list
	// of instances is read one round later.
	instancesPerList = 60
	// maxLeftAnnounced limits the leaving endpoints listed in one heartbeat.
	maxLeftAnnounced = 64
)

// fromStore is the source of changes that this instance has read from the store itself. Changes from a
// peer have its address.
const fromStore = "store"

// applyRecords applies changes to the endpoint list, or replaces it if complete is set. It
// reports whether peers should hear at once: an endpoint has started leaving, was removed, or is back
// after its removal was held back.
func (s *state) applyRecords(from string, records []roster.Record, revision int64, complete bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	news := false
	var listed []fleet.Endpoint
	before := s.roster.All()
	for i := range records {
		r := &records[i]
		previous := s.roster.Get(r.ID)
		if previous == nil && !r.Removed {
			listed = append(listed, r.ID)
		}
		s.observeRecord(now, previous, r)
		news = news || previous != nil && (r.Removed || r.Entry.Leaving && !previous.Leaving || previous.RemovedAt() > 0)
	}
	s.observeRestore(records, revision)
	if complete {
		s.roster.Replace(now, records, revision)
	} else {
		s.roster.Apply(now, records, revision)
	}
	s.logRemovals(now, before, from)
	s.recordDepartures(now, before)
	for _, id := range listed {
		s.withdrawCrash(now, id)
	}
	s.observeSoftware(now)
	if !s.listed {
		s.listed, s.listedAt = true, now
	}
	return news
}

// observeRecord records what a change shows beside the state of the endpoint, and logs it.
func (s *state) observeRecord(now time.Time, previous *roster.Endpoint, r *roster.Record) {
	if previous != nil && !r.Removed && !r.Invalid && r.Entry.Born > previous.Born {
		s.balancer.ClearPrompts(r.ID)
		s.slowness.Forget(r.ID)
	}
	if !r.Removed && !r.Invalid {
		s.origins.Listed(now, r.Entry.Service, r.Entry.Software) // a later record may remove it again
	}
	s.logEndpointChange(previous, r)
}

// observeRestore records the first list or changes since the store came back from an older copy.
func (s *state) observeRestore(records []roster.Record, revision int64) {
	if s.revisionEra(revision) <= s.revisionEra(s.roster.Revision()) {
		return
	}
	newest := revision
	for i := range records {
		newest = max(newest, records[i].Revision)
	}
	s.roster.RecordRestore(newest)
}

// logEndpointChange logs a change to the recorded state of an endpoint.
func (s *state) logEndpointChange(previous *roster.Endpoint, r *roster.Record) {
	var change string
	switch {
	case r.Invalid:
		change = "forged"
	case r.Removed:
		return // logged once it has been applied
	case previous == nil || r.Entry.Born > previous.Born:
		change = "listed"
	case r.Entry.Leaving && !previous.Leaving:
		change = "leaving"
	default:
		return
	}
	_ = s.logger.Log("step", "endpoint", "endpoint", r.ID, "born", r.Entry.Born, "software", r.Entry.Software, "revision", r.Revision, "now", change)
}

// logRemovals logs which of the endpoints that were listed before a change are removed, and which
// removals are held back. From is where the change came from.
func (s *state) logRemovals(now time.Time, before []*roster.Endpoint, from string) {
	for _, e := range before {
		since, held := e.HeldSince()
		switch {
		case e.Lost:
			s.logRemoval(now, e, "removed", from)
		case held && since.Equal(now):
			s.counts.RemovalHeld()
			s.logRemoval(now, e, "held", from)
		}
	}
}

// recordDepartures records, for the next heartbeats, which of the endpoints that were listed before a change
// are removed or say in their entries that they leave. A heartbeat passes a full link once, while a fetch of
// the list passes it twice more.
func (s *state) recordDepartures(now time.Time, before []*roster.Endpoint) {
	for _, e := range before {
		id := incarnation{e.ID, e.Born}
		if !e.Lost && !e.ListedLeaving() || s.departed[id] {
			continue
		}
		s.departed[id] = true
		s.departures = append(s.departures, departure{gossip.Incarnation{Endpoint: e.ID, Born: e.Born}, now})
	}
}

// leavingToSend returns the endpoints that the next heartbeat names as leaving: those that said so in an
// answer to this instance, and those whose departure the store has lately shown.
func (s *state) leavingToSend(now time.Time) []gossip.Incarnation {
	s.departures = slices.DeleteFunc(s.departures, func(d departure) bool { return now.Sub(d.since) > departureAnnounceTime })
	leaving := slices.Clone(s.leftEndpoints)
	for _, d := range s.departures[max(0, len(s.departures)-maxLeftAnnounced):] {
		if !slices.Contains(leaving, d.Incarnation) {
			leaving = append(leaving, d.Incarnation)
		}
	}
	return leaving
}

// logRemoval logs what has become of a removal, and for how long it was held back.
func (s *state) logRemoval(now time.Time, e *roster.Endpoint, change, from string) {
	var held time.Duration
	if since, ok := e.HeldSince(); ok {
		held = now.Sub(since)
	}
	if e.Lost {
		s.counts.RemovalInForce(held)
	}
	_ = s.logger.Log("step", "endpoint", "endpoint", e.ID, "born", e.Born, "software", e.Software, "revision", e.RemovedAt(), "now", change, "from", from, "held", held)
}

// listIsDue reports whether this instance reads the registrations of all instances now: each
// time in a small fleet, less often in a large one, where the lists of all are the most bytes.
// Instances that start meanwhile announce themselves by their heartbeats.
func (s *state) listIsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listRounds++
	return (s.listRounds-1)%(1+len(s.view.All())/instancesPerList) == 0
}

// setRetryLimits changes the limits of the retry budget.
func (s *state) setRetryLimits(share, extra float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetLimits(share, extra)
}

// applyInstances applies the list of instances registered in the store.
func (s *state) applyInstances(peers []member.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.instancesListedAt.IsZero() {
		s.instancesListedAt = now
	}
	s.view.ApplyList(now, peers)
}

// leave marks this instance as leaving, which is irreversible.
func (s *state) leave(plan shutdown.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.shutdown = true, plan
	s.view.Leave()
}

// setOrderLease records whether this instance may give orders, and its fence while it holds
// the order lease.
func (s *state) setOrderLease(mayOrder bool, fence fleet.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayOrder, s.fence = mayOrder, fence
}

// heartbeat builds the next heartbeat and returns it with the peers to send it to.
func (s *state) heartbeat() ([]member.Peer, *gossip.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, c := range s.view.Tick(now) {
		_ = s.logger.Log("step", "peer", "peer", c.Instance, "build", s.buildOf(c.Instance), "from", c.From, "to", c.To)
	}
	s.updateLoadFeatures()
	b := &gossip.Heartbeat{
		Contact: s.contactToSend(now), Queues: s.queuesToSend(now),
		Place: s.place, Sent: s.uptime(), Ready: s.readinessError() == nil, StoreReachable: s.storeReachable(), Roster: s.roster.ChangedAt(), CutOff: s.paths.CutOff(now),
		Loads: s.loadsToSend(), Backlogs: s.backlogsToSend(now), Uses: s.balancer.OwnUses(), Demand: s.ownDemand(), Leaving: s.leavingToSend(now), HoldsOrderLease: s.mayOrder, Fence: s.fence,
		Suspicions: s.view.Suspicions(), Limits: s.limitsToSend(), Features: s.loadFeatures.announced,
	}
	if s.catalog != nil {
		b.Catalog = s.catalog.Version
		s.view.SetRevision(uint64(max(0, s.catalog.Version)))
	}
	for _, r := range s.newReports {
		r.Age = now.Sub(r.Report.Taken)
		b.Reports = append(b.Reports, r)
	}
	s.newReports = nil
	if !b.CutOff { // else its own path is the likelier reason
		for _, f := range s.failedEndpoints {
			b.Failed = append(b.Failed, f)
		}
	}
	clear(s.failedEndpoints)
	s.retirements = slices.DeleteFunc(s.retirements, func(r retirement) bool { return now.Sub(r.since) > retirementAnnounceTime })
	for _, r := range s.retirements {
		b.Retiring = append(b.Retiring, gossip.Retirement{Endpoint: r.endpoint, Model: r.model})
	}
	b.Holder = s.holderNews()
	s.addCrashNews(now, b)
	b.Peer = s.view.Heartbeat()
	b.Build = s.buildNews(b.Peer.Sequence)
	return s.withHolder(s.view.Targets(now), b.Peer.Sequence), b
}

// receiveHeartbeat applies a heartbeat from another instance.
func (s *state) receiveHeartbeat(b *gossip.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.view.Observe(now, b.Peer)
	s.view.ReceiveSuspicions(b.Suspicions)
	name := b.Peer.Instance
	previous := s.peers[name]
	if previous != nil && previous.heartbeat.Peer.Incarnation == b.Peer.Incarnation && previous.heartbeat.Peer.Sequence > b.Peer.Sequence {
		return
	}
	clockOffset := s.uptime() - b.Sent
	delay := time.Duration(0) // unknown for the first heartbeat of a start
	if previous != nil && previous.heartbeat.Peer.Incarnation == b.Peer.Incarnation {
		delay = max(0, clockOffset-previous.clockOffset)
		s.links.Observe(now, b.Place.Region, delay)
		clockOffset = min(clockOffset, previous.clockOffset)
		s.receiveContact(now, b.Contact, delay)
	}
	s.peers[name] = &peer{heartbeat: *b, receivedAt: now, clockOffset: clockOffset, build: knownBuild(previous, b)}
	if announcementChanged(previous, b) {
		s.updateLoadFeatures()
	}
	s.observeCatalogVersion(now, b.Catalog)
	s.receiveHolder(now, b, delay)
	s.balancer.SetRemote(name, b.Loads, b.Uses)
	s.receiveBacklogs(now, b, delay)
	for _, r := range b.Reports {
		// A heartbeat may have been delayed on a connection that was cut for a while; its
		// reports are older by that delay.
		r.Report.Taken = now.Add(-r.Age - delay)
		s.observeReport(r.Endpoint, r.Report, string(name))
	}
	for _, l := range b.Leaving {
		s.receiveLeaving(now, l, string(name))
	}
	for _, f := range b.Failed {
		s.roster.RecordFailure(now, f.Endpoint, f.Born)
	}
	for i := range b.Limits {
		s.receiveLimit(&b.Limits[i], delay, name)
	}
	s.receiveCrashNews(now, b, delay)
	for _, r := range b.Retiring {
		s.roster.MarkUnloading(now, r.Endpoint, r.Model)
	}
}

// peerAhead returns the address of a peer with a newer endpoint list, and what to request
// from it. ok is false if there is none, or if the store watch may still catch up on its own.
func (s *state) peerAhead() (string, *gossip.Fetch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	f := &gossip.Fetch{Roster: s.roster.InForceTo(), Deltas: true, Parts: true, Pages: true}
	ahead := s.nearest(s.peersAhead(f.Roster))
	switch {
	case ahead == nil:
		s.laggingSince = time.Time{}
		return "", nil, false
	case s.laggingSince.IsZero():
		s.laggingSince = now
	}
	lagging := now.Sub(s.laggingSince)
	if s.listed && (s.watching && lagging < maxWatchLag || !s.mayFetchFrom(ahead, lagging)) {
		return "", nil, false
	}
	return ahead.heartbeat.Peer.Address, f, true
}

// peersAhead returns the live peers that have a newer endpoint list than that of a revision.
func (s *state) peersAhead(revision int64) []*peer {
	return slices.DeleteFunc(s.livePeers(), func(p *peer) bool { return p.heartbeat.Roster <= revision })
}

// nearest returns a random one of the peers that are nearest: in the same data centre, else in the same
// region. It answers a change that hundreds fetch at once: what peers beside them have needn't pass the
// link between regions again. It returns nil if there is no peer.
func (s *state) nearest(peers []*peer) *peer {
	distance := func(p *peer) int {
		switch place := p.heartbeat.Place; {
		case place == s.place:
			return 0
		case place.Region == s.place.Region:
			return 1
		default:
			return 2
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if len(peers) == 0 {
		return nil
	}
	return slices.MinFunc(peers, func(a, b *peer) int { return distance(a) - distance(b) })
}

// answerFetch returns the endpoint list if it is newer than that of the requesting instance,
// and the configuration if that one can't get it in parts.
func (s *state) answerFetch(f *gossip.Fetch) *gossip.FetchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &gossip.FetchReply{}
	if !f.Parts && s.catalog != nil && s.catalog.Version > f.Catalog {
		reply.Catalog = s.catalog.Raw
	}
	if s.listed && s.roster.ChangedAt() > f.Roster {
		s.addEntries(reply, f)
	}
	return reply
}

// entriesPerPage limits the entries of one page of the complete list, some 100 kB: it must
// arrive over a busy link before its call is given up.
const entriesPerPage = 256

// addEntries adds the changes to the endpoint list since the requester's revision, or a page of
// the complete list if the requester can't apply changes or they are no longer recorded.
func (s *state) addEntries(reply *gossip.FetchReply, f *gossip.Fetch) {
	reply.Roster = s.roster.CompleteTo()
	entries, removed, ok := s.roster.ChangesSince(f.Roster)
	reply.Delta = ok && f.Deltas
	if !reply.Delta {
		entries, removed = s.roster.All(), nil
		if f.Pages {
			entries, reply.More = page(entries, f.After)
		}
	}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, gossip.Entry{ID: e.ID, Revision: e.Revision, Text: e.Raw})
	}
	for id, revision := range removed {
		reply.Removed = append(reply.Removed, gossip.Entry{ID: id, Revision: revision})
	}
}

// page returns the endpoints of the next page after an ID, and whether there are more.
func page(sorted []*roster.Endpoint, after fleet.Endpoint) ([]*roster.Endpoint, bool) {
	begin := sort.Search(len(sorted), func(i int) bool { return sorted[i].ID > after })
	end := min(begin+entriesPerPage, len(sorted))
	return sorted[begin:end], end < len(sorted)
}

// cleanUp garbage-collects expired state and returns the incarnations of the endpoints that
// remain.
func (s *state) cleanUp() map[fleet.Endpoint]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.removeMissing(now)
	for _, e := range s.roster.Disprove(now) {
		_ = s.logger.Log("step", "endpoint", "endpoint", e.ID, "born", e.Born, "now", "not leaving")
	}
	s.settleBroken(now)
	s.logVerdicts(now)
	s.logLinks(now)
	s.observeSoftware(now)
	s.origins.Expire(now)
	s.removeIdleSchedules(now)
	s.removeOldCaches()
	s.expireBacklogs(now)
	s.removeOldLimits(now)
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) > peerLoadRetention {
			s.balancer.Forget(name)
		}
	}
	if len(s.leftEndpoints) > maxLeftAnnounced {
		s.leftEndpoints = s.leftEndpoints[len(s.leftEndpoints)-maxLeftAnnounced:]
	}
	live := make(map[fleet.Endpoint]int64)
	for _, e := range s.roster.All() {
		live[e.ID] = e.Born
	}
	maps.DeleteFunc(s.departed, func(i incarnation, _ bool) bool { return live[i.id] != i.born })
	s.paths.Keep(now, live)
	return live
}
