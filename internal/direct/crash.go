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
	// mostDeaths is how many endpoints may die with a request, one after the other, before
	// it is refused. Fewer would refuse those that ran beside the one that kills.
	mostDeaths = 3
	// brokenKept is how long a run that broke off counts as lost by its endpoint's death:
	// entries of dead endpoints lapse after some seconds.
	brokenKept = 15 * time.Second
	// deathNews is how long a death is repeated, deathsTold how many requests at most.
	deathNews  = 3 * time.Second
	deathsTold = 64
)

// run is one that broke off.
type run struct {
	print        suspect.Fingerprint
	began, broke time.Time
}

// told is a death that the other instances are told of since a time.
type told struct {
	death suspect.Crash
	since time.Time
}

// AnswerInterrupted notes that an endpoint broke off while it ran a request that was sent there at a
// time. It counts once the endpoint turns out to be dead: connections break for other
// reasons too.
func (s *state) AnswerInterrupted(t gateway.Target, f suspect.Fingerprint, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	where := gossip.Incarnation{Endpoint: t.ID, Born: t.Born}
	s.broken[where] = append(s.broken[where], run{print: f, began: began, broke: s.clock()})
}

// AnswerCompleted notes that a request was answered whole.
func (s *state) AnswerCompleted(f suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Answered(s.clock(), f)
}

// IsPoison reports whether endpoints have died with a request, so that no other may run it.
func (s *state) IsPoison(f suspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Length(s.clock(), f) >= mostDeaths
}

// bury counts what ran at endpoints that are gone, and drops runs that broke off while
// their endpoint lived on.
func (s *state) bury(now time.Time) {
	s.deaths = slices.DeleteFunc(s.deaths, func(t told) bool { return now.Sub(t.since) > deathNews })
	for where, runs := range s.broken {
		e := s.roster.Get(where.Endpoint)
		switch {
		case e == nil || e.Born > where.Born:
			delete(s.broken, where)
			s.died(now, where, runs)
		case now.Sub(runs[len(runs)-1].broke) > brokenKept:
			delete(s.broken, where)
		}
	}
}

func (s *state) died(now time.Time, where gossip.Incarnation, runs []run) {
	incarnation := string(where.Endpoint) + "/" + strconv.FormatInt(where.Born, 10)
	for _, r := range runs {
		d := suspect.Crash{Fingerprint: r.print, Incarnation: incarnation, SentAt: r.began, FailedAt: r.broke}
		s.crashes.Add(d)
		if len(s.deaths) < deathsTold {
			s.deaths = append(s.deaths, told{death: d, since: now})
		}
	}
	_ = s.logger.Log("step", "died", "endpoint", where.Endpoint, "born", where.Born, "runs", len(runs))
}

// crashNews returns the deaths to tell, as ages: clocks differ.
func (s *state) crashNews(now time.Time) []gossip.Crash {
	var all []gossip.Crash
	for _, t := range s.deaths {
		d := t.death
		all = append(all, gossip.Crash{Fingerprint: uint64(d.Fingerprint), Incarnation: d.Incarnation, Began: now.Sub(d.SentAt), Broke: now.Sub(d.FailedAt)})
	}
	return all
}

// hearCrash takes a death that another instance tells, in a beat that was on its way for
// longer than usual.
func (s *state) hearCrash(now time.Time, c gossip.Crash, late time.Duration) {
	s.crashes.Add(suspect.Crash{
		Fingerprint: suspect.Fingerprint(c.Fingerprint), Incarnation: c.Incarnation,
		SentAt: now.Add(-c.Began - late), FailedAt: now.Add(-c.Broke - late),
	})
}
