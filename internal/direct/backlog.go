package direct

import (
	"maps"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// maxAdmissionWay is the longest way of a request to the instance that admits it: work sent
	// that much earlier is in its backlogs.
	maxAdmissionWay = 30 * time.Millisecond
	// unboundedWait is added where the instance that admits an endpoint's requests doesn't answer:
	// others send there as well without being admitted, and no report shows it.
	unboundedWait = 250 * time.Millisecond
	// minReportedSlowness is the slowness from which on an idle endpoint is reported.
	minReportedSlowness = 1.1
	// backlogRetention is how long a backlog is kept without a newer one.
	backlogRetention = 10 * time.Second
)

// backlogs implements balance.Backlogs by this instance's own schedules and by what others report.
type backlogs struct {
	*state
	now time.Time
}

// Ahead returns the work ahead of a request, as the instance that admits it last reported.
func (b backlogs) Ahead(e *roster.Endpoint, level int) (ahead, age time.Duration) {
	p, ok := b.dispatcher(e)
	if ok && p.Instance == b.view.Self().Instance {
		return b.scheduled(b.now, incarnation{e.ID, e.Born})[min(level, backlog.Ranks-1)], 0
	}
	ahead, age, ok = b.reported.Ahead(b.now, e.ID, p.Instance, level)
	if !ok {
		age = backlogRetention
	}
	if b.now.Before(b.admitterDownUntil[p.Instance]) {
		ahead += unboundedWait
	}
	return ahead, age
}

// Slowness returns how much longer an endpoint takes, as the instance that admits its requests last
// reported.
func (b backlogs) Slowness(e *roster.Endpoint) float64 {
	p, ok := b.dispatcher(e)
	if ok && p.Instance == b.view.Self().Instance {
		return b.slowness.Of(b.now, e.ID)
	}
	return b.reported.Slowness(b.now, e.ID, p.Instance)
}

// scheduled returns the backlog of an endpoint whose requests this instance admits.
func (s *state) scheduled(now time.Time, key incarnation) backlog.Work {
	if schedule := s.schedules[key]; schedule != nil {
		return schedule.Backlog(now)
	}
	return backlog.Work{}
}

// spreads reports whether requests of a service are spread by backlogs: engines have schedules.
func (s *state) spreads(service catalog.Service) bool { return s.evens(service) && s.isEngine(service) }

// spreadsPlain reports whether requests of a service without models are chosen by the speeds of its
// endpoints: it stands beside one that is spread by backlogs.
func (s *state) spreadsPlain(service catalog.Service) bool {
	return s.loadFeatures.plain && !s.isEngine(service)
}

// chooseEndpoint selects an endpoint for a request.
func (s *state) chooseEndpoint(now time.Time, a *balance.Request, group *catalog.Group) (balance.Choice, balance.Missing) {
	known := backlogs{s, now}
	switch {
	case a.Model != "" && s.spreads(a.Service):
		return s.balancer.Spread(now, a, group, s.roster.All(), s.regions, known, s.random())
	case a.Model == "" && s.spreadsPlain(a.Service):
		if c, ok := s.balancer.ChoosePlain(now, a, s.roster.All(), s.regions, known.Slowness, s.random()); ok {
			return c, balance.MissingNone
		}
	}
	return s.balancer.Choose(now, a, group, s.roster.All(), s.regions)
}

// pendingPrefill returns the prefill that is ahead of the least urgent request at an endpoint.
func (s *state) pendingPrefill(now time.Time, e *roster.Endpoint) time.Duration {
	if !s.spreads(e.Service) {
		return s.balancer.Load(e.ID).PrefillAhead(bulkLevel)
	}
	ahead, _ := backlogs{s, now}.Ahead(e, bulkLevel)
	return ahead
}

// backlogsToSend returns the schedules that hold prompts, and the slow endpoints, for a heartbeat.
func (s *state) backlogsToSend(now time.Time) []gossip.Backlog {
	listed := make(map[fleet.Endpoint]struct{})
	for key := range s.schedules {
		e := s.roster.Get(key.id)
		if e != nil && e.Born == key.born && s.spreads(e.Service) && s.scheduled(now, key) != (backlog.Work{}) {
			listed[key.id] = struct{}{}
		}
	}
	for _, id := range s.slowness.Slow(now, minReportedSlowness) {
		if s.roster.Get(id) != nil {
			listed[id] = struct{}{}
		}
	}
	var all []gossip.Backlog
	for id := range listed {
		l := gossip.Backlog{Endpoint: id, Slowness: gossip.NewPercent(s.slowness.Of(now, id))}
		if w := s.scheduled(now, incarnation{id, s.roster.Get(id).Born}); w != (backlog.Work{}) {
			l.Work = gossip.NewBacklogWork(w)
		}
		all = append(all, l)
	}
	return all
}

// receiveBacklogs records the backlogs of a heartbeat that was delayed.
func (s *state) receiveBacklogs(now time.Time, b *gossip.Heartbeat, delay time.Duration) {
	if !slices.Contains(b.Features, feature.Backlog) {
		return
	}
	at := now.Add(-delay)
	for _, l := range b.Backlogs {
		s.reported.Record(l.Endpoint, backlog.Report{Work: l.Work.Work(), At: at, Sent: at.Add(-maxAdmissionWay), Slowness: l.Slowness.Factor()})
	}
	s.reported.RecordOwner(b.Peer.Instance, at)
}

// expireBacklogs drops what is too old or of endpoints that are gone.
func (s *state) expireBacklogs(now time.Time) {
	s.reported.Expire(now.Add(-backlogRetention))
	s.slowness.Expire(now)
	maps.DeleteFunc(s.delays, func(key incarnation, _ *backlog.Delay) bool {
		e := s.roster.Get(key.id)
		return e == nil || e.Born != key.born
	})
}

// loadsToSend returns the loads of the endpoints that no backlogs are sent of, for a heartbeat.
func (s *state) loadsToSend() map[fleet.Endpoint]balance.Load {
	loads := s.balancer.OwnLoads()
	for id := range loads {
		if e := s.roster.Get(id); e != nil && s.spreads(e.Service) {
			delete(loads, id)
		}
	}
	return loads
}
