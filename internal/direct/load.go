package direct

import (
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// loadFeatures holds which services get what is done under hard load, as of the last heartbeat.
type loadFeatures struct {
	settings    config.GatewayLoad
	announced   []feature.Feature // by this instance
	othersKnown bool              // the list of instances and their heartbeats have arrived once
	agreed      map[feature.Feature]bool
	even, queue map[catalog.Service]bool
	plain       bool // services without models are chosen by the speed of their endpoints
}

// evens reports whether requests of a service are spread by backlogs.
func (s *state) evens(service catalog.Service) bool { return s.loadFeatures.even[service] }

// queues reports whether requests of a service wait for room.
func (s *state) queues(service catalog.Service) bool { return s.loadFeatures.queue[service] }

// follows reports whether the copies of a service's models follow rising demand.
func (s *state) follows(service catalog.Service) bool {
	if s.catalog == nil || s.loadFeatures.settings.Follow <= 0 {
		return false
	}
	g, ok := s.catalog.Group(service)
	return ok && g.Engine != nil && g.Engine.MaxLoadsPerSecond >= s.loadFeatures.settings.Follow
}

// updateLoadFeatures decides again which services get what: those with enough endpoints, while all
// instances that may be running announce the feature.
func (s *state) updateLoadFeatures() {
	endpoints := make(map[catalog.Service]int)
	for _, e := range s.roster.All() {
		endpoints[e.Service]++
	}
	others := s.announcements()
	l := &s.loadFeatures
	l.othersKnown = l.othersKnown || s.view.Settled(s.clock())
	l.even = servicesFrom(endpoints, l.settings.Even, s.agreed(feature.Backlog, others))
	l.queue = servicesFrom(endpoints, l.settings.Queue, s.agreed(feature.Queue, others))
	l.plain = len(servicesFrom(endpoints, l.settings.Plain, len(l.even) > 0)) > 0
	if len(l.even) > 0 {
		s.balancer.SetLinkQueues(s.links.Queues(s.clock()))
	} else {
		s.balancer.SetLinkQueues(nil)
	}
}

// agreed reports whether all instances that may be running announce a feature, and logs when that
// changes.
func (s *state) agreed(f feature.Feature, others []feature.Announcement) bool {
	l := &s.loadFeatures
	agreed := feature.Agreed(f, l.announced, l.othersKnown, others)
	if l.agreed == nil {
		l.agreed = make(map[feature.Feature]bool)
	}
	if agreed != l.agreed[f] {
		l.agreed[f] = agreed
		_ = s.logger.Log("step", "feature", "feature", f, "agreed", agreed, "builds", s.builds())
	}
	return agreed
}

// announcements returns what the other instances announce. Dead ones are left out, and listed ones
// that never sent a heartbeat: either announces its features before it takes part again.
func (s *state) announcements() []feature.Announcement {
	var all []feature.Announcement
	for _, other := range s.view.All() {
		state, _ := s.view.State(other.Instance)
		if other.Instance == s.view.Self().Instance || state == member.StateDead || state == member.StateListed {
			continue
		}
		var a feature.Announcement
		if p := s.peers[other.Instance]; p != nil && p.heartbeat.Peer.Incarnation == other.Incarnation {
			a = feature.Announcement{Received: true, Features: p.heartbeat.Features}
		}
		all = append(all, a)
	}
	return all
}

// announcementChanged reports whether a heartbeat announces other features than the one before it,
// or is the first one of a start.
func announcementChanged(previous *peer, b *gossip.Heartbeat) bool {
	return previous == nil || previous.heartbeat.Peer.Incarnation != b.Peer.Incarnation ||
		!slices.Equal(previous.heartbeat.Features, b.Features)
}

// servicesFrom returns the services with at least a number of endpoints, none if that is 0.
func servicesFrom(endpoints map[catalog.Service]int, minimum int, announced bool) map[catalog.Service]bool {
	services := make(map[catalog.Service]bool)
	for service, n := range endpoints {
		if announced && minimum > 0 && n >= minimum {
			services[service] = true
		}
	}
	return services
}
