package direct

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
)

// Demand returns tokens a second over all instances: by model, newest and over a
// longer time, and by adapter.
func (s *state) Demand() (recent, longTerm map[fleet.Model]float64, adapters map[roster.Adapter]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent, longTerm = make(map[fleet.Model]float64), make(map[fleet.Model]float64)
	adapters = make(map[roster.Adapter]float64)
	add := func(d gossip.Demand) {
		if d.Adapter == "" {
			recent[d.Model] += float64(d.Tokens)
			longTerm[d.Model] += float64(d.Steady)
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

// minAnnouncedDemand is the rate below which a demand isn't told, tokens a second.
const minAnnouncedDemand = 20

func (s *state) ownDemand() []gossip.Demand {
	now := s.clock()
	var all []gossip.Demand
	for adapter, m := range s.demand {
		if rate := m.longTerm.Rate(now); rate >= minAnnouncedDemand {
			all = append(all, gossip.Demand{Model: adapter.Model, Adapter: adapter.Adapter, Tokens: int(m.recent.Rate(now)), Steady: int(rate)})
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

// listSettleTime is how long endpoints that start with the instance take to be listed: two of
// their heartbeats, and the store's lag.
const listSettleTime = 3 * time.Second

// Settled reports whether the list of endpoints has been known for so long that what isn't
// there is missing.
func (s *state) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.clock().Sub(s.listedAt) >= listSettleTime
}

// Candidates returns a service's endpoints that don't leave, as the loader sees them.
func (s *state) Candidates(service catalog.Service) []loader.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var all []loader.Candidate
	for _, e := range s.roster.All() {
		if e.Service != service || e.Leaving {
			continue
		}
		report := e.Report
		if report.Taken.IsZero() {
			// One that wasn't asked yet holds what its entry says; else its models would
			// pass for lost.
			report.Models, report.AtHand, report.Seq, report.Born = e.Models, e.AtHand, e.Seq, e.Born
		}
		all = append(all, loader.Candidate{
			ID: e.ID, Born: e.Born, Address: e.Address, Report: report, CachedModels: report.AtHand,
			PendingPrefill: s.balancer.Load(e.ID).PrefillAhead(bulkLevel), Suspect: e.Suspect(now), AdaptersInUse: s.adaptersInUse(e.ID),
		})
	}
	return all
}

func (s *state) adaptersInUse(id fleet.Endpoint) []roster.Adapter {
	var all []roster.Adapter
	for _, u := range s.balancer.AdaptersInUse(id) {
		all = append(all, roster.Adapter{Model: u.Model, Adapter: u.Adapter})
	}
	return all
}

// RecordReport takes a report that this instance took.
func (s *state) RecordReport(id fleet.Endpoint, r roster.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.Reported(id, r)
	s.roster.Served(id)
	delete(s.failedEndpoints, id)
	s.newReports = append(s.newReports, gossip.Report{Endpoint: id, Report: r})
}

// AnnounceRetirement has all instances send nothing more for a model to an endpoint.
func (s *state) AnnounceRetirement(id fleet.Endpoint, model fleet.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.roster.Retiring(now, id, model)
	s.retirements = append(s.retirements, retirement{endpoint: id, model: model, since: now})
}

// endpointsToProbe returns the endpoints that this instance asks how they are: each is asked
// by one live instance, in its region where there is one.
func (s *state) endpointsToProbe() []roster.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var mine []roster.Endpoint
	for _, e := range s.roster.All() {
		if s.prober(e) == s.view.Self().Instance && s.isEngine(e.Service) {
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

// prober is the instance that asks an endpoint how it is.
func (s *state) prober(e *roster.Endpoint) fleet.Instance {
	p, _ := s.view.Dispatcher(e.ID, fleet.Place{Region: s.regions[e.DataCentre]})
	return p.Instance
}

func (s *state) isLive(name fleet.Instance) bool {
	st, ok := s.view.State(name)
	return ok && st == member.StateLive
}
