package direct

import (
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
	return ahead, age
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

// pendingPrefill returns the prefill that is ahead of the least urgent request at an endpoint.
func (s *state) pendingPrefill(now time.Time, e *roster.Endpoint) time.Duration {
	if !s.spreads(e.Service) {
		return s.balancer.Load(e.ID).PrefillAhead(bulkLevel)
	}
	ahead, _ := backlogs{s, now}.Ahead(e, bulkLevel)
	return ahead
}

// backlogReply returns the backlog of an endpoint for the answer to an admission, nil if its
// service is not spread by backlogs.
func (s *state) backlogReply(key incarnation) gossip.BacklogWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.roster.Get(key.id); e == nil || !s.spreads(e.Service) {
		return nil
	}
	return gossip.NewBacklogWork(s.scheduled(s.clock(), key))
}

// receiveBacklogReply records the backlog in the answer to an admission that was asked for at a
// time and decided a while later.
func (s *state) receiveBacklogReply(id fleet.Endpoint, r *gossip.AdmitReply, askedAt time.Time, way time.Duration) {
	if len(r.Backlog) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported.Record(id, backlog.Report{Work: r.Backlog.Work(), At: askedAt.Add(way), Sent: askedAt})
}

// backlogsToSend returns the schedules that hold prompts, for a heartbeat.
func (s *state) backlogsToSend(now time.Time) []gossip.Backlog {
	var all []gossip.Backlog
	for key := range s.schedules {
		e := s.roster.Get(key.id)
		if e == nil || e.Born != key.born || !s.spreads(e.Service) {
			continue
		}
		if w := s.scheduled(now, key); w != (backlog.Work{}) {
			all = append(all, gossip.Backlog{Endpoint: key.id, Work: gossip.NewBacklogWork(w)})
		}
	}
	return all
}

// receiveBacklogs records the backlogs of a heartbeat that was delayed.
func (s *state) receiveBacklogs(now time.Time, b *gossip.Heartbeat, delay time.Duration) {
	if !slices.Contains(b.Features, feature.Backlog) {
		return
	}
	all := make(map[fleet.Endpoint]backlog.Work, len(b.Backlogs))
	for _, l := range b.Backlogs {
		all[l.Endpoint] = l.Work.Work()
	}
	at := now.Add(-delay)
	s.reported.RecordAll(b.Peer.Instance, at, at.Add(-maxAdmissionWay), all)
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
