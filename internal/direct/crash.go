package direct

import (
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// mostDeaths is how many endpoints may die with a request before it is refused.
	// Fewer would refuse those that ran beside the one that kills.
	mostDeaths = 3
	// brokenKept is how long a run that broke off counts as lost by its endpoint's death:
	// entries of dead endpoints lapse after some seconds.
	brokenKept = 15 * time.Second
	// deathNews is how long the requests of a death are repeated, deathsTold how many.
	deathNews  = 3 * time.Second
	deathsTold = 64
)

// broken is what ran at an incarnation of an endpoint when it broke off.
type broken struct {
	at   time.Time
	runs []suspect.Fingerprint
}

// Broke notes that an endpoint broke off while it ran a request. It counts once the
// endpoint turns out to be dead: connections break for other reasons too.
func (s *state) Broke(t gateway.Target, f suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	where := gossip.Incarnation{Endpoint: t.ID, Born: t.Born}
	b := s.broken[where]
	b.at, b.runs = s.clock(), append(b.runs, f)
	s.broken[where] = b
}

// Proved notes that a request was answered whole.
func (s *state) Proved(f suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Finished(s.clock(), f)
}

// Lethal reports whether endpoints have died with a request, so that no other may run it.
func (s *state) Lethal(f suspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Deaths(s.clock(), f) >= mostDeaths
}

// bury blames what ran at endpoints that are gone for their deaths, and drops runs that
// broke off while their endpoint lived on.
func (s *state) bury(now time.Time) {
	for where, b := range s.broken {
		e := s.roster.Get(where.Endpoint)
		switch {
		case e == nil || e.Born > where.Born:
			delete(s.broken, where)
			s.died(now, where, b.runs)
		case now.Sub(b.at) > brokenKept:
			delete(s.broken, where)
		}
	}
}

func (s *state) died(now time.Time, where gossip.Incarnation, prints []suspect.Fingerprint) {
	runs := make([]suspect.Run, 0, len(prints))
	for _, f := range prints {
		runs = append(runs, suspect.Run{Fingerprint: f})
	}
	s.crashes.Blame(now, string(where.Endpoint)+"/"+strconv.FormatInt(where.Born, 10), runs)
	_ = s.logger.Log("step", "died", "endpoint", where.Endpoint, "born", where.Born, "runs", len(runs))
}
