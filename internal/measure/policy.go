package measure

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// RouteMode says how endpoints are chosen.
type RouteMode string

// The ways to choose an endpoint.
const (
	RouteCore        RouteMode = "core"
	RouteRoundRobin  RouteMode = "round-robin"
	RouteLeastLoaded RouteMode = "least-loaded"
)

// QueueMode says how an endpoint's queue is kept.
type QueueMode string

// The ways to keep a queue.
const (
	QueueCore QueueMode = "core"
	QueueFIFO QueueMode = "fifo"
)

// PlaceMode says how models are placed.
type PlaceMode string

// The ways to place models.
const (
	PlaceCore   PlaceMode = "core"
	PlaceStatic PlaceMode = "static"
	PlaceChase  PlaceMode = "chase"
)

// Policy is one way to run a fleet.
type Policy struct {
	Name  string
	Route RouteMode
	Queue QueueMode
	Place PlaceMode
	// Admit, Choose and Plan change the core's defaults.
	Admit  []admit.Option
	Choose []route.Option
	Plan   []place.Option
	// Preempt says what becomes of bulk streams when urgent requests find no slot.
	Preempt PreemptMode
	// FreeCache lets all prefixes be cached everywhere, the most that moving KV cache can bring.
	FreeCache bool
	// Without switches mechanisms off, to measure what they are worth.
	Without Without
}

// Without lists mechanisms that are switched off.
type Without struct {
	OwnAccounting bool
	FreshReports  bool
	Prefix        bool
	Adapter       bool
	Suspects      bool
	Hops          bool
}

// Core is the policy of the project.
func Core() Policy {
	return Policy{Name: "chiveramp", Route: RouteCore, Queue: QueueCore, Place: PlaceCore}
}

// Baselines are the plain policies that the core is compared with.
func Baselines() []Policy {
	return []Policy{
		{Name: "round robin", Route: RouteRoundRobin, Queue: QueueFIFO, Place: PlaceStatic},
		{Name: "least loaded", Route: RouteLeastLoaded, Queue: QueueFIFO, Place: PlaceStatic},
		{Name: "first come", Route: RouteCore, Queue: QueueFIFO, Place: PlaceCore},
		{Name: "static", Route: RouteCore, Queue: QueueCore, Place: PlaceStatic},
		{Name: "chase", Route: RouteCore, Queue: QueueCore, Place: PlaceChase},
	}
}

// Variants are the core with one mechanism changed, to measure what it is worth.
func Variants() []Policy {
	change := func(name string, edit func(*Policy)) Policy {
		p := Core()
		p.Name = name
		edit(&p)
		return p
	}
	return []Policy{
		change("no own accounting", func(p *Policy) { p.Without.OwnAccounting = true }),
		change("lagging reports", func(p *Policy) { p.Without.FreshReports = true }),
		change("neither", func(p *Policy) { p.Without.OwnAccounting, p.Without.FreshReports = true, true }),
		change("no prefix affinity", func(p *Policy) { p.Without.Prefix = true }),
		change("no adapter affinity", func(p *Policy) { p.Without.Adapter = true }),
		change("one endpoint asked", func(p *Policy) { p.Without.Hops = true }),
		change("no floors", func(p *Policy) { p.Admit = []admit.Option{admit.Floors(admit.Shares{})} }),
		change("no profile cap", func(p *Policy) { p.Admit = []admit.Option{admit.ProfileCap(1)} }),
		change("smallest retry-after", func(p *Policy) {
			p.Admit = []admit.Option{admit.RetryAfterRule(admit.WaitSmallest)}
		}),
		change("no gap bound", func(p *Policy) { p.Admit = []admit.Option{admit.MaxTokenGap(0)} }),
		change("no spare model", func(p *Policy) { p.Admit = []admit.Option{admit.SpareModels(0)} }),
		change("link budget", func(p *Policy) { p.Choose = []route.Option{route.WithLink(linkBudget())} }),
		change("bulk resumed", func(p *Policy) { p.Preempt = PreemptResume }),
		change("bulk cancelled", func(p *Policy) { p.Preempt = PreemptCancel }),
		change("bulk kept, urgent floor 0.2", func(p *Policy) { p.Admit = lowUrgentFloor() }),
		change("bulk resumed, urgent floor 0.2", func(p *Policy) {
			p.Admit, p.Preempt = lowUrgentFloor(), PreemptResume
		}),
		change("prefixes moved for nothing", func(p *Policy) { p.FreeCache = true }),
		change("no trend", func(p *Policy) { p.Plan = []place.Option{place.Trend(0)} }),
		change("no threshold", func(p *Policy) {
			p.Plan = []place.Option{place.MinGain(0), place.MinStay(0)}
		}),
	}
}

// lowUrgentFloor keeps less room empty for urgent work.
func lowUrgentFloor() []admit.Option {
	return []admit.Option{admit.Floors(admit.Shares{Urgent: 0.2, Standard: 0.2, Bulk: 0.1})}
}

// linkBudget is an eighth of the link between regions for each entry, urgent first.
func linkBudget() route.LinkBudget {
	return route.LinkBudget{
		Urgent: linkRate / 16, Standard: linkRate / 32, Bulk: linkRate / 64, Burst: 2 * time.Second,
	}
}

// errAgainst reports an unknown set of policies.
var errAgainst = errors.New("want baselines, none or variants")

// Only keeps the first policy and those whose name contains a text.
func Only(all []Policy, name string) []Policy {
	kept := all[:1:1]
	for _, p := range all[1:] {
		if strings.Contains(p.Name, name) {
			kept = append(kept, p)
		}
	}
	return kept
}

// Against returns the core and what it is compared with.
func Against(name string) ([]Policy, error) {
	switch name {
	case "none":
		return []Policy{Core()}, nil
	case "baselines":
		return append([]Policy{Core()}, Baselines()...), nil
	case "variants":
		return append([]Policy{Core()}, Variants()...), nil
	default:
		return nil, fmt.Errorf("%q: %w", name, errAgainst)
	}
}
