package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// remoteExpiry is how long the totals of another data centre are believed.
const remoteExpiry = 30 * time.Second

// servicePrefix marks the totals of a plain service among those of models.
const servicePrefix = "service:"

type centre struct {
	totals *peerpb.TotalsRequest
	heard  time.Time
}

// remote keeps the totals of the other data centres. It implements entry.Remote.
type remote struct {
	region fleet.Region

	mu      sync.Mutex
	centres map[fleet.DataCentre]centre
}

func newRemote(region fleet.Region) *remote {
	return &remote{region: region, centres: make(map[fleet.DataCentre]centre)}
}

func (r *remote) hear(now time.Time, totals *peerpb.TotalsRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.centres[fleet.DataCentre(totals.Datacentre)] = centre{totals: totals, heard: now}
}

type option struct {
	dc   fleet.DataCentre
	far  bool
	load float64
}

// Centres implements entry.Remote: the own region first, then the least loaded.
func (r *remote) Centres(now time.Time, model fleet.Model, service string) []fleet.DataCentre {
	name := string(model)
	if service != "" {
		name = servicePrefix + service
	}
	options := r.options(now, name)
	slices.SortFunc(options, func(a, b option) int {
		if a.far != b.far {
			return cmp.Compare(flag(a.far), flag(b.far))
		}
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.dc, b.dc))
	})
	centres := make([]fleet.DataCentre, 0, len(options))
	for _, o := range options {
		centres = append(centres, o.dc)
	}
	return centres
}

func (r *remote) options(now time.Time, name string) []option {
	r.mu.Lock()
	defer r.mu.Unlock()
	var options []option
	for dc, c := range r.centres {
		if now.Sub(c.heard) > remoteExpiry {
			continue
		}
		for _, t := range c.totals.Models {
			if t.Model == name && t.Copies > 0 {
				load := float64(t.Running+t.Queued) / float64(t.Copies)
				options = append(options, option{dc: dc, far: fleet.Region(c.totals.Region) != r.region, load: load})
			}
		}
	}
	return options
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
