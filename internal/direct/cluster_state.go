package direct

import (
	"math"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
)

// Demand returns the demand over all instances in tokens per second: by model, recent and
// over a longer time, and by adapter.
func (s *state) Demand() (recent, longTerm map[fleet.Model]float64, adapters map[roster.Adapter]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, longTerm = make(map[fleet.Model]float64), make(map[fleet.Model]float64)
	adapters = make(map[roster.Adapter]float64)
	add := func(d gossip.Demand) {
		if d.Adapter == "" {
			recent[d.Model] += float64(d.Tokens)
			longTerm[d.Model] += float64(d.LongTerm)
			return
		}
		adapters[roster.Adapter{Model: d.Model, Adapter: d.Adapter}] += float64(d.Tokens)
	}
	for _, d := range s.ownDemand() {
		add(d)
	}
	now := s.clock()
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) > peerLoadRetention {
			continue
		}
		for _, d := range p.heartbeat.Demand {
			add(d)
		}
	}
	return recent, longTerm, adapters
}

// loadLead is how long it takes from the demand that causes a load in place of another model until
// the copy serves.
const loadLead = 3 * time.Second

// trendLead returns the part of the difference between recent and long-term demand by which steadily
// rising demand exceeds the recent one after loadLead: a meter lags by its mean age.
func trendLead() float64 {
	recentLag, longTermLag := demandHalfLife.Seconds()/math.Ln2, longTermHalfLife.Seconds()/math.Ln2
	return (recentLag + loadLead.Seconds()) / (longTermLag - recentLag)
}

// minAnnouncedDemand is the demand below which heartbeats omit a model or adapter, in
// tokens per second.
const minAnnouncedDemand = 20

func (s *state) ownDemand() []gossip.Demand {
	now := s.clock()
	var all []gossip.Demand
	for adapter, m := range s.demand {
		if rate := m.longTerm.Rate(now); rate >= minAnnouncedDemand {
			all = append(all, gossip.Demand{Model: adapter.Model, Adapter: adapter.Adapter, Tokens: int(m.recent.Rate(now)), LongTerm: int(rate)})
		} else {
			delete(s.demand, adapter)
		}
	}
	return all
}

// Engines returns the services that are model engines.
func (s *state) Engines() []*catalog.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*catalog.Group
	if s.catalog == nil {
		return nil
	}
	for i := range s.catalog.Groups {
		if s.catalog.Groups[i].Engine != nil {
			all = append(all, &s.catalog.Groups[i])
		}
	}
	return all
}

// listSettleTime is how long endpoints that start together with this instance may take to
// be listed: two of their heartbeats plus the lag of the store.
const listSettleTime = 3 * time.Second

// settledSequence is the number of heartbeats after which a peer has run for longer than
// listSettleTime; some are sent between the rounds.
const settledSequence = 20

// Settled reports whether models found on no endpoint count as missing: the first endpoint
// list was received long enough ago, or this instance has joined others that run for long, as
// after its restart.
func (s *state) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed || s.clock().Sub(s.listedAt) >= listSettleTime {
		return s.listed
	}
	for name, p := range s.peers {
		if p.heartbeat.Peer.Sequence >= settledSequence && s.isLive(name) {
			return true
		}
	}
	return false
}

// Candidates returns the endpoints of a service that are not leaving, in the form that the
// loader needs.
func (s *state) Candidates(service catalog.Service) []loader.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var all []loader.Candidate
	for _, e := range s.roster.All() {
		if e.Service == service && !e.Leaving {
			all = append(all, s.candidate(now, e))
		}
	}
	return all
}

// Candidate returns one of the Candidates of a service.
func (s *state) Candidate(service catalog.Service, id fleet.Endpoint) (loader.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.roster.Get(id)
	if e == nil || e.Service != service || e.Leaving {
		return loader.Candidate{}, false
	}
	return s.candidate(s.clock(), e), true
}

func (s *state) candidate(now time.Time, e *roster.Endpoint) loader.Candidate {
	report := e.Report
	if report.Taken.IsZero() {
		// Before the first report the loaded models are taken from the store entry;
		// otherwise they would count as missing.
		report.Models, report.AtHand, report.Seq, report.Born = e.Models, e.AtHand, e.Seq, e.Born
	}
	return loader.Candidate{
		ID: e.ID, Born: e.Born, Address: e.Address, Report: report, CachedModels: report.AtHand,
		PendingPrefill: s.pendingPrefill(now, e), Suspect: e.Suspect(now), Spared: e.Spared(now), AdaptersInUse: s.adaptersInUse(e.ID),
	}
}

func (s *state) adaptersInUse(id fleet.Endpoint) []roster.Adapter {
	var all []roster.Adapter
	for _, u := range s.balancer.AdaptersInUse(id) {
		all = append(all, roster.Adapter{Model: u.Model, Adapter: u.Adapter})
	}
	return all
}

// RecordReport records a report that this instance got from an endpoint, and sends it to
// the peers with the next heartbeat.
func (s *state) RecordReport(id fleet.Endpoint, r roster.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeReport(id, r, "report")
	s.roster.RecordSuccess(id)
	s.paths.Answered(s.clock(), id)
	delete(s.failedEndpoints, id)
	s.newReports = append(s.newReports, gossip.Report{Endpoint: id, Report: r})
}

// AnnounceRetirement makes all instances stop sending requests for a model to an endpoint,
// before the model is unloaded there.
func (s *state) AnnounceRetirement(id fleet.Endpoint, model fleet.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.roster.MarkUnloading(now, id, model)
	s.retirements = append(s.retirements, retirement{endpoint: id, model: model, since: now})
}

// endpointsToProbe returns the endpoints that this instance probes. Each endpoint is probed
// by one live instance, in its own region if there is one.
func (s *state) endpointsToProbe() []roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mine []roster.Endpoint
	now := s.clock()
	for _, e := range s.roster.All() {
		if !s.isEngine(e.Service) || e.Spared(now) {
			continue
		}
		if p, ok := s.dispatcher(e); ok && p.Instance == s.view.Self().Instance {
			mine = append(mine, *e)
		}
	}
	return mine
}

func (s *state) isEngine(service catalog.Service) bool {
	if s.catalog == nil {
		return false
	}
	g, ok := s.catalog.Group(service)
	return ok && g.Engine != nil
}

// dispatcher returns the instance that probes an endpoint and admits its requests. The choice
// among hundreds of instances is kept until one of them changes.
func (s *state) dispatcher(e *roster.Endpoint) (member.Peer, bool) {
	if version := s.view.Version(); s.dispatchers == nil || s.dispatchersVersion != version {
		s.dispatchers, s.dispatchersVersion = make(map[fleet.Endpoint]member.Peer), version
	}
	if p, ok := s.dispatchers[e.ID]; ok {
		return p, true
	}
	p, ok := s.view.Dispatcher(e.ID, fleet.Place{Region: s.regions[e.DataCentre]})
	if ok {
		s.dispatchers[e.ID] = p
	}
	return p, ok
}

func (s *state) isLive(name fleet.Instance) bool {
	st, ok := s.view.State(name)
	return ok && st == member.StateLive
}
