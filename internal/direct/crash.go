package direct

import (
	"slices"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// maxDeaths is how many endpoints may die with a request, one after the other, before
	// it is refused. Fewer would refuse those that ran beside the one that kills.
	maxDeaths = 3
	// brokenRunRetention is how long a run that broke off counts as lost by its endpoint's death:
	// entries of dead endpoints lapse after some seconds.
	brokenRunRetention = 15 * time.Second
	// deathAnnounceTime is how long a death is repeated, deathsTold how many requests at most.
	deathAnnounceTime  = 3 * time.Second
	maxAnnouncedDeaths = 64
)

// brokenRun is one that broke off.
type brokenRun struct {
	fingerprint        suspect.Fingerprint
	startedAt, brokeAt time.Time
}

// announcedDeath is a death that the other instances are told of since a time.
type announcedDeath struct {
	death suspect.Death
	since time.Time
}

// Broke notes that an endpoint broke off while it ran a request that was sent there at a
// time. It counts once the endpoint turns out to be dead: connections break for other
// reasons too.
func (s *state) Broke(t gateway.Target, f suspect.Fingerprint, startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := gossip.Incarnation{Endpoint: t.ID, Born: t.Born}
	s.brokenRuns[incarnation] = append(s.brokenRuns[incarnation], brokenRun{fingerprint: f, startedAt: startedAt, brokeAt: s.clock()})
}

// Proved notes that a request was answered whole.
func (s *state) Proved(f suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Ended(s.clock(), f)
}

// Lethal reports whether endpoints have died with a request, so that no other may run it.
func (s *state) Lethal(f suspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Length(s.clock(), f) >= maxDeaths
}

// recordDeaths counts what ran at endpoints that are gone, and drops runs that broke off while
// their endpoint lived on.
func (s *state) recordDeaths(now time.Time) {
	s.announcedDeaths = slices.DeleteFunc(s.announcedDeaths, func(t announcedDeath) bool { return now.Sub(t.since) > deathAnnounceTime })
	for incarnation, runs := range s.brokenRuns {
		e := s.roster.Get(incarnation.Endpoint)
		switch {
		case e == nil || e.Born > incarnation.Born:
			delete(s.brokenRuns, incarnation)
			s.recordEndpointDeath(now, incarnation, runs)
		case now.Sub(runs[len(runs)-1].brokeAt) > brokenRunRetention:
			delete(s.brokenRuns, incarnation)
		}
	}
}

func (s *state) recordEndpointDeath(now time.Time, endpoint gossip.Incarnation, runs []brokenRun) {
	id := string(endpoint.Endpoint) + "/" + strconv.FormatInt(endpoint.Born, 10)
	for _, r := range runs {
		d := suspect.Death{Fingerprint: r.fingerprint, Incarnation: id, Began: r.startedAt, Broke: r.brokeAt}
		s.crashes.Add(d)
		if len(s.announcedDeaths) < maxAnnouncedDeaths {
			s.announcedDeaths = append(s.announcedDeaths, announcedDeath{death: d, since: now})
		}
	}
	_ = s.logger.Log("step", "died", "endpoint", endpoint.Endpoint, "born", endpoint.Born, "runs", len(runs))
}

// crashesToSend returns the deaths to tell, as ages: clocks differ.
func (s *state) crashesToSend(now time.Time) []gossip.Crash {
	var all []gossip.Crash
	for _, t := range s.announcedDeaths {
		d := t.death
		all = append(all, gossip.Crash{Fingerprint: uint64(d.Fingerprint), Incarnation: d.Incarnation, Began: now.Sub(d.Began), Broke: now.Sub(d.Broke)})
	}
	return all
}

// receiveCrash takes a death that another instance tells, in a beat that was on its way for
// longer than usual.
func (s *state) receiveCrash(now time.Time, c gossip.Crash, delay time.Duration) {
	s.crashes.Add(suspect.Death{
		Fingerprint: suspect.Fingerprint(c.Fingerprint), Incarnation: c.Incarnation,
		Began: now.Add(-c.Began - delay), Broke: now.Add(-c.Broke - delay),
	})
}
