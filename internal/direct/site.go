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
func (s *state) Demand() (newest, steady map[fleet.Model]float64, adapters map[roster.Adapter]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest, steady = make(map[fleet.Model]float64), make(map[fleet.Model]float64)
	adapters = make(map[roster.Adapter]float64)
	add := func(d gossip.Demand) {
		if d.Adapter == "" {
			newest[d.Model] += float64(d.Tokens)
			steady[d.Model] += float64(d.LongTerm)
			return
		}
		adapters[roster.Adapter{Model: d.Model, Adapter: d.Adapter}] += float64(d.Tokens)
	}
	for _, d := range s.ownDemand() {
		add(d)
	}
	now := s.clock()
	for _, p := range s.peers {
		if now.Sub(p.at) > loadsKept {
			continue
		}
		for _, d := range p.beat.Demand {
			add(d)
		}
	}
	return newest, steady, adapters
}

// leastDemand is the rate below which a demand isn't told, tokens a second.
const leastDemand = 20

func (s *state) ownDemand() []gossip.Demand {
	now := s.clock()
	var all []gossip.Demand
	for what, m := range s.demand {
		if rate := m.steady.Rate(now); rate >= leastDemand {
			all = append(all, gossip.Demand{Model: what.Model, Adapter: what.Adapter, Tokens: int(m.newest.Rate(now)), LongTerm: int(rate)})
		} else {
			delete(s.demand, what)
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

// listSettles is how long endpoints that start with the instance take to be listed: two of
// their heartbeats, and the store's lag.
const listSettles = 3 * time.Second

// Settled reports whether the list of endpoints has been known for so long that what isn't
// there is missing.
func (s *state) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.clock().Sub(s.listedAt) >= listSettles
}

// Engine returns a service's endpoints that don't leave, as the loader sees them.
func (s *state) Engine(service catalog.Service) []loader.Candidate {
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
			ID: e.ID, Born: e.Born, Address: e.Address, Report: report, AtHand: report.AtHand,
			Pending: s.board.Load(e.ID).PrefillAhead(leastUrgent), Suspect: e.Suspect(now), Needed: s.needed(e.ID),
		})
	}
	return all
}

func (s *state) needed(id fleet.Endpoint) []roster.Adapter {
	var all []roster.Adapter
	for _, u := range s.board.AdaptersInUse(id) {
		all = append(all, roster.Adapter{Model: u.Model, Adapter: u.Adapter})
	}
	return all
}

// Reported takes a report that this instance took.
func (s *state) Reported(id fleet.Endpoint, r roster.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordReport(id, r)
	s.roster.RecordSuccess(id)
	delete(s.failed, id)
	s.fresh = append(s.fresh, gossip.Report{Endpoint: id, Report: r})
}

// Retire has all instances send nothing more for a model to an endpoint.
func (s *state) Retire(id fleet.Endpoint, model fleet.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.roster.MarkUnloading(now, id, model)
	s.retire = append(s.retire, retirement{endpoint: id, model: model, at: now})
}

// probes returns the endpoints that this instance asks how they are: each is asked
// by one live instance, in its region where there is one.
func (s *state) probes() []roster.Endpoint {
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

func (s *state) alive(name fleet.Instance) bool {
	st, ok := s.view.State(name)
	return ok && st == member.StateLive
}
