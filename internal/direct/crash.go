package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// poisonThreshold is how many endpoints must crash in succession while running a request
	// before it is refused as a poison request. A lower threshold would also refuse requests
	// that merely ran at the same time as the poison request.
	poisonThreshold = 3
	// interruptedRunRetention is how long after an interrupted run the removal of its endpoint
	// still counts as a crash with that request: the store entry of a crashed endpoint
	// expires only after some seconds.
	interruptedRunRetention = 15 * time.Second
	// crashAnnounceTime is how long a crash is repeated in heartbeats, maxAnnouncedCrashes
	// limits how many crashes one heartbeat carries.
	crashAnnounceTime   = 3 * time.Second
	maxAnnouncedCrashes = 64
)

// interruptedRun is the execution of a request whose endpoint closed the connection before
// completing the answer.
type interruptedRun struct {
	fingerprint              suspect.Fingerprint
	startedAt, interruptedAt time.Time
}

// announcedCrash is a crash with the time since which heartbeats have carried it.
type announcedCrash struct {
	crash suspect.Crash
	since time.Time
}

// AnswerInterrupted records that the connection to an endpoint broke while it ran a request
// sent at startedAt. This counts as a crash only once the endpoint has been removed or has
// restarted, since connections also break for other reasons.
func (s *state) AnswerInterrupted(t gateway.Target, f suspect.Fingerprint, startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := gossip.Incarnation{Endpoint: t.ID, Born: t.Born}
	s.interruptedRuns[incarnation] = append(s.interruptedRuns[incarnation], interruptedRun{fingerprint: f, startedAt: startedAt, interruptedAt: s.clock()})
}

// AnswerCompleted records that a request got a complete answer, which clears it of earlier crashes.
func (s *state) AnswerCompleted(f suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.Answered(s.clock(), f)
}

// IsPoison reports whether a request is a poison request: enough endpoints crashed while
// running it that no other endpoint may receive it.
func (s *state) IsPoison(f suspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Length(s.clock(), f) >= poisonThreshold
}

// recordCrashes counts a crash for each interrupted run whose endpoint is gone, and drops
// the runs whose endpoint is still listed after interruptedRunRetention. It also stops
// announcing crashes after crashAnnounceTime.
func (s *state) recordCrashes(now time.Time) {
	s.announcedCrashes = slices.DeleteFunc(s.announcedCrashes, func(t announcedCrash) bool { return now.Sub(t.since) > crashAnnounceTime })
	for incarnation, runs := range s.interruptedRuns {
		e := s.roster.Get(incarnation.Endpoint)
		switch {
		case e == nil || e.Born > incarnation.Born:
			delete(s.interruptedRuns, incarnation)
			s.recordEndpointCrash(now, incarnation, runs)
		case now.Sub(runs[len(runs)-1].interruptedAt) > interruptedRunRetention:
			delete(s.interruptedRuns, incarnation)
		}
	}
}

func (s *state) recordEndpointCrash(now time.Time, incarnation gossip.Incarnation, runs []interruptedRun) {
	incarnationID := crashID(incarnation.Endpoint, incarnation.Born)
	var requests []string
	for _, r := range runs {
		d := suspect.Crash{Fingerprint: r.fingerprint, Incarnation: incarnationID, SentAt: r.startedAt, FailedAt: r.interruptedAt}
		s.crashes.Add(d)
		requests = append(requests, r.fingerprint.String())
		if len(s.announcedCrashes) < maxAnnouncedCrashes {
			s.announcedCrashes = append(s.announcedCrashes, announcedCrash{crash: d, since: now})
		}
	}
	_ = s.logger.Log("step", "died", "endpoint", incarnation.Endpoint, "born", incarnation.Born, "requests", strings.Join(requests, ","))
}

// crashesToSend returns the crashes for the next heartbeat. Times are sent as ages because
// the clocks of instances differ.
func (s *state) crashesToSend(now time.Time) []gossip.Crash {
	var all []gossip.Crash
	for _, t := range s.announcedCrashes {
		d := t.crash
		all = append(all, gossip.Crash{Fingerprint: uint64(d.Fingerprint), Incarnation: d.Incarnation, SentAgo: now.Sub(d.SentAt), FailedAgo: now.Sub(d.FailedAt)})
	}
	return all
}

// receiveCrash records a crash reported by another instance. delay is how much longer than
// usual the heartbeat was in transit; the ages in it are increased by that.
func (s *state) receiveCrash(now time.Time, c gossip.Crash, delay time.Duration) {
	s.crashes.Add(suspect.Crash{
		Fingerprint: suspect.Fingerprint(c.Fingerprint), Incarnation: c.Incarnation,
		SentAt: now.Add(-c.SentAgo - delay), FailedAt: now.Add(-c.FailedAgo - delay),
	})
}
