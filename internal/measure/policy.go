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
	// AdmitOptions, Choose and Plan change the core's defaults.
	AdmitOptions []admit.Option
	RouteOptions []route.Option
	PlaceOptions []place.Option
	// Preempt says what becomes of bulk streams when urgent requests find no slot.
	Preempt PreemptMode
	// PerfectPrefixCache lets all prefixes be cached everywhere, the most that moving KV cache can bring.
	PerfectPrefixCache bool
	// Disabled switches mechanisms off, to measure what they are worth.
	Disabled Disabled
}

// Disabled lists mechanisms that are switched off.
type Disabled struct {
	OwnAccounting   bool
	FreshReports    bool
	PrefixAffinity  bool
	AdapterAffinity bool
	Suspects        bool
	Hops            bool
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
	variant := func(name string, edit func(*Policy)) Policy {
		p := Core()
		p.Name = name
		edit(&p)
		return p
	}
	return []Policy{
		variant("no own accounting", func(p *Policy) { p.Disabled.OwnAccounting = true }),
		variant("lagging reports", func(p *Policy) { p.Disabled.FreshReports = true }),
		variant("neither", func(p *Policy) { p.Disabled.OwnAccounting, p.Disabled.FreshReports = true, true }),
		variant("no prefix affinity", func(p *Policy) { p.Disabled.PrefixAffinity = true }),
		variant("no adapter affinity", func(p *Policy) { p.Disabled.AdapterAffinity = true }),
		variant("one endpoint asked", func(p *Policy) { p.Disabled.Hops = true }),
		variant("no floors", func(p *Policy) { p.AdmitOptions = []admit.Option{admit.Floors(admit.Shares{})} }),
		variant("no profile cap", func(p *Policy) { p.AdmitOptions = []admit.Option{admit.ProfileCap(1)} }),
		variant("smallest retry-after", func(p *Policy) {
			p.AdmitOptions = []admit.Option{admit.RetryAfterRule(admit.WaitSmallest)}
		}),
		variant("no gap bound", func(p *Policy) { p.AdmitOptions = []admit.Option{admit.MaxTokenGap(0)} }),
		variant("no spare model", func(p *Policy) { p.AdmitOptions = []admit.Option{admit.SpareModels(0)} }),
		variant("link budget", func(p *Policy) { p.RouteOptions = []route.Option{route.WithLink(linkBudget())} }),
		variant("bulk resumed", func(p *Policy) { p.Preempt = PreemptResume }),
		variant("bulk cancelled", func(p *Policy) { p.Preempt = PreemptCancel }),
		variant("bulk kept, urgent floor 0.2", func(p *Policy) { p.AdmitOptions = lowUrgentFloors() }),
		variant("bulk resumed, urgent floor 0.2", func(p *Policy) {
			p.AdmitOptions, p.Preempt = lowUrgentFloors(), PreemptResume
		}),
		variant("prefixes moved for nothing", func(p *Policy) { p.PerfectPrefixCache = true }),
		variant("no trend", func(p *Policy) { p.PlaceOptions = []place.Option{place.Trend(0)} }),
		variant("no threshold", func(p *Policy) {
			p.PlaceOptions = []place.Option{place.MinGain(0), place.MinStay(0)}
		}),
	}
}

// lowUrgentFloors keeps less room empty for urgent work.
func lowUrgentFloors() []admit.Option {
	return []admit.Option{admit.Floors(admit.Shares{Urgent: 0.2, Standard: 0.2, Bulk: 0.1})}
}

// linkBudget is an eighth of the link between regions for each entry, urgent first.
func linkBudget() route.LinkBudget {
	return route.LinkBudget{
		Urgent: linkRate / 16, Standard: linkRate / 32, Bulk: linkRate / 64, Burst: 2 * time.Second,
	}
}

// errUnknownPolicySet reports an unknown set of policies.
var errUnknownPolicySet = errors.New("want baselines, none or variants")

// FilterPolicies keeps the first policy and those whose name contains a text.
func FilterPolicies(all []Policy, name string) []Policy {
	matching := all[:1:1]
	for _, p := range all[1:] {
		if strings.Contains(p.Name, name) {
			matching = append(matching, p)
		}
	}
	return matching
}

// ComparedPolicies returns the core and what it is compared with.
func ComparedPolicies(name string) ([]Policy, error) {
	switch name {
	case "none":
		return []Policy{Core()}, nil
	case "baselines":
		return append([]Policy{Core()}, Baselines()...), nil
	case "variants":
		return append([]Policy{Core()}, Variants()...), nil
	default:
		return nil, fmt.Errorf("%q: %w", name, errUnknownPolicySet)
	}
}
