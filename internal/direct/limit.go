package direct

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/pace"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// limitAnnounceTime is for how long heartbeats pass on what an answer said of a limit: a few
	// rounds, in which it reaches all instances. While requests come, answers renew it.
	limitAnnounceTime = 3 * time.Second
	// endedLimitRetention is how long an ended limit is kept, so that older news of it that
	// arrive late don't bring it back.
	endedLimitRetention = 10 * time.Second
)

// endpointLimit is the limit that an endpoint has asked for, and the requests that were sent
// under it.
type endpointLimit struct {
	pace.Limit
	// all admits the requests of all instances, own those of this one while the instance that
	// admits for all doesn't answer.
	all, own pace.Limiter
}

// RecordLimit records whether an answer of an endpoint asked for a limit, and which.
func (s *state) RecordLimit(t gateway.Target, limited bool, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLimit(incarnation{t.ID, t.Born}, pace.Limit{PerSecond: perSecond, Named: limited, SeenAt: s.clock()}, "answer")
}

// observeLimit records a limit unless a newer answer is known. From is where it was learned.
func (s *state) observeLimit(key incarnation, l pace.Limit, from string) {
	known := s.limits[key]
	switch {
	case known == nil && !l.Named:
		return
	case known == nil:
		known = new(endpointLimit)
		s.limits[key] = known
	case !l.SeenAt.After(known.SeenAt):
		return
	}
	if l.Named != known.Named || l.PerSecond != known.PerSecond {
		_ = s.logger.Log("step", "limit", "endpoint", key.id, "born", key.born, "limited", l.Named, "rate", l.PerSecond, "from", from)
	}
	known.Limit = l
	if !l.Named {
		s.roster.Defer(key.id, key.born, time.Time{})
	}
}

// limit returns the limit in force at an endpoint, nil if there is none.
func (s *state) limit(key incarnation) *endpointLimit {
	if l := s.limits[key]; l != nil && l.Named {
		return l
	}
	return nil
}

// limitNews returns what is known of a limit in the form of messages, nil if nothing is.
func (s *state) limitNews(key incarnation) *gossip.Limit {
	l := s.limits[key]
	if l == nil {
		return nil
	}
	return &gossip.Limit{
		Incarnation: gossip.Incarnation{Endpoint: key.id, Born: key.born},
		PerSecond:   l.PerSecond, Named: l.Named, Age: s.clock().Sub(l.SeenAt),
	}
}

// knownLimit returns what is known of a target's limit in the form of messages.
func (s *state) knownLimit(t gateway.Target) *gossip.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limitNews(incarnation{t.ID, t.Born})
}

// limitsToSend returns the limits that heartbeats pass on.
func (s *state) limitsToSend() []gossip.Limit {
	var all []gossip.Limit
	for key := range s.limits {
		if n := s.limitNews(key); n.Age < limitAnnounceTime {
			all = append(all, *n)
		}
	}
	return all
}

// receiveLimit records a limit from another instance; the message was delayed.
func (s *state) receiveLimit(l *gossip.Limit, delay time.Duration, from fleet.Instance) {
	key := incarnation{l.Endpoint, l.Born}
	s.observeLimit(key, pace.Limit{PerSecond: l.PerSecond, Named: l.Named, SeenAt: s.clock().Add(-l.Age - delay)}, string(from))
}

// removeOldLimits drops the limits of endpoints that are gone, and those that ended long ago.
func (s *state) removeOldLimits(now time.Time) {
	for key, l := range s.limits {
		e := s.roster.Get(key.id)
		if e == nil || e.Born != key.born || !l.Named && now.Sub(l.SeenAt) > endedLimitRetention {
			delete(s.limits, key)
		}
	}
}

// takeOwnShare admits a request to an endpoint under this instance's part of the endpoint's
// limit. It is used while the instance that admits the requests of all doesn't answer.
func (s *state) takeOwnShare(t gateway.Target, maxWait time.Duration) gateway.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limit(incarnation{t.ID, t.Born})
	if l == nil {
		return gateway.Admission{}
	}
	now, instances := s.clock(), len(s.view.All())
	l.own.Stagger(now, l.Limit, instances, s.turn(t.ID))
	wait := l.own.Wait(now)
	if wait > maxWait {
		s.roster.Defer(t.ID, t.Born, now.Add(wait))
		return gateway.Admission{Wait: wait, Refused: true, Limited: true}
	}
	l.own.Take(now, l.Limit, instances)
	return gateway.Admission{Wait: wait, Hold: wait}
}

// turn returns at which part of the interval, in [0, 1), this instance begins with its share of an
// endpoint's limit. The instances take equal distances: begun at random, some would come together.
func (s *state) turn(id fleet.Endpoint) float64 {
	all := s.view.All()
	position := slices.IndexFunc(all, func(p member.Peer) bool { return p.Instance == s.view.Self().Instance })
	first := xxhash.Sum64String(string(id)) % uint64(len(all))
	return float64((uint64(max(0, position))+first)%uint64(len(all))) / float64(len(all))
}

// deferEndpoint records that an endpoint's limit leaves no room for a request before a wait is
// over, so that other endpoints are chosen meanwhile.
func (s *state) deferEndpoint(t gateway.Target, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.Defer(t.ID, t.Born, s.clock().Add(wait))
}
