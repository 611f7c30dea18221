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
	// maxDeaths is how many endpoints may die in succession while running a request before it
	// is refused as a poison request. A lower limit would also refuse requests that merely
	// ran at the same time as the poison request.
	maxDeaths = 3
	// brokenRunRetention is how long after an interrupted run the removal of its endpoint
	// still counts as a death with that request: the store entry of a dead endpoint expires
	// only after some seconds.
	brokenRunRetention = 15 * time.Second
	// deathAnnounceTime is how long a death is repeated in heartbeats, maxAnnouncedDeaths
	// limits how many deaths one heartbeat carries.
	deathAnnounceTime  = 3 * time.Second
	maxAnnouncedDeaths = 64
)

// brokenRun is the execution of a request whose endpoint closed the connection before
// completing the answer.
type brokenRun struct {
	fingerprint        suspect.Fingerprint
	startedAt, brokeAt time.Time
}

// announcedDeath is a death that heartbeats have carried since a time.
type announcedDeath struct {
	death suspect.Crash
	since time.Time
}

// AnswerInterrupted records that the connection to an endpoint broke while it ran a request sent at
// startedAt. This counts as a death only once the endpoint turns out to be gone, since
// connections also break for other reasons.
func (s *state) AnswerInterrupted(t gateway.Target, f suspect.Fingerprint, startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := gossip.Incarnation{Endpoint: t.ID, Born: t.Born}
	s.brokenRuns[incarnation] = append(s.brokenRuns[incarnation], brokenRun{fingerprint: f, startedAt: startedAt, brokeAt: s.clock()})
}

// AnswerCompleted records that a request got a complete answer, which clears it of earlier deaths.
func (s *state) AnswerCompleted(f suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Answered(s.clock(), f)
}

// IsPoison reports whether a request is a poison request: enough endpoints died while running
// it that no other endpoint may receive it.
func (s *state) IsPoison(f suspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Length(s.clock(), f) >= maxDeaths
}

// recordDeaths counts a death for each interrupted run whose endpoint is gone, and drops
// the runs whose endpoint is still alive after brokenRunRetention. It also stops announcing
// deaths after deathAnnounceTime.
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

func (s *state) recordEndpointDeath(now time.Time, incarnation gossip.Incarnation, runs []brokenRun) {
	incarnationID := string(incarnation.Endpoint) + "/" + strconv.FormatInt(incarnation.Born, 10)
	for _, r := range runs {
		d := suspect.Crash{Fingerprint: r.fingerprint, Incarnation: incarnationID, SentAt: r.startedAt, FailedAt: r.brokeAt}
		s.crashes.Add(d)
		if len(s.announcedDeaths) < maxAnnouncedDeaths {
			s.announcedDeaths = append(s.announcedDeaths, announcedDeath{death: d, since: now})
		}
	}
	_ = s.logger.Log("step", "died", "endpoint", incarnation.Endpoint, "born", incarnation.Born, "runs", len(runs))
}

// crashesToSend returns the deaths for the next heartbeat. Times are sent as ages because
// the clocks of instances differ.
func (s *state) crashesToSend(now time.Time) []gossip.Crash {
	var all []gossip.Crash
	for _, t := range s.announcedDeaths {
		d := t.death
		all = append(all, gossip.Crash{Fingerprint: uint64(d.Fingerprint), Incarnation: d.Incarnation, SentAgo: now.Sub(d.SentAt), FailedAgo: now.Sub(d.FailedAt)})
	}
	return all
}

// receiveCrash records a death reported by another instance. delay is how much longer than
// usual the heartbeat was in transit; the ages in it are increased by that.
func (s *state) receiveCrash(now time.Time, c gossip.Crash, delay time.Duration) {
	s.crashes.Add(suspect.Crash{
		Fingerprint: suspect.Fingerprint(c.Fingerprint), Incarnation: c.Incarnation,
		SentAt: now.Add(-c.SentAgo - delay), FailedAt: now.Add(-c.FailedAgo - delay),
	})
}
