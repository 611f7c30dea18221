package direct

import (
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// loadFeatures holds which services get what is done under hard load, as of the last heartbeat.
type loadFeatures struct {
	settings    config.GatewayLoad
	even, queue map[catalog.Service]bool
}

// evens reports whether requests of a service are spread by what admissions tell of the load.
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
// live instances announce the feature.
func (s *state) updateLoadFeatures() {
	endpoints := make(map[catalog.Service]int)
	for _, e := range s.roster.All() {
		endpoints[e.Service]++
	}
	announcements := [][]feature.Feature{feature.Announced()}
	for _, p := range s.livePeers() {
		announcements = append(announcements, p.heartbeat.Features)
	}
	l := &s.loadFeatures
	l.even = servicesFrom(endpoints, l.settings.Even, feature.All(feature.Backlog, announcements...))
	l.queue = servicesFrom(endpoints, l.settings.Queue, feature.All(feature.Queue, announcements...))
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
