package copies

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// starvedAfter is how long callers have asked in vain for a model before it counts as starved: a
// load from the weight store and a crashed endpoint's return take half as long.
const starvedAfter = 10 * time.Second

// Shortage tracks since when a service's models that callers ask for have had no copy. It is not
// safe for concurrent use.
type Shortage struct {
	since map[fleet.Model]time.Time
}

// Observe records the copies and the models in use at a time, and returns the starved models.
func (s *Shortage) Observe(now time.Time, engine *catalog.Engine, endpoints []Endpoint, inUse map[fleet.Model]bool) map[fleet.Model]bool {
	if s.since == nil {
		s.since = make(map[fleet.Model]time.Time)
	}
	ready := make(map[fleet.Model]bool)
	for i := range endpoints {
		for _, m := range endpoints[i].Loaded {
			ready[m] = ready[m] || !slices.Contains(endpoints[i].Unloading, m)
		}
	}
	starved := make(map[fleet.Model]bool)
	for i := range engine.Models {
		m := engine.Models[i].Name
		since, ok := s.since[m]
		switch {
		case !inUse[m] || ready[m]:
			delete(s.since, m)
		case !ok:
			s.since[m] = now
		case now.Sub(since) >= starvedAfter:
			starved[m] = true
		}
	}
	return starved
}

// Waiting returns for how long the models without a copy have been asked for, as last observed.
func (s *Shortage) Waiting(now time.Time) map[fleet.Model]time.Duration {
	waiting := make(map[fleet.Model]time.Duration, len(s.since))
	for m, since := range s.since {
		waiting[m] = now.Sub(since)
	}
	return waiting
}
