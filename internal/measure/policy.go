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

// RouteMode is the routing policy.
type RouteMode string

// Routing policies.
const (
	RouteCore        RouteMode = "core"
	RouteRoundRobin  RouteMode = "round-robin"
	RouteLeastLoaded RouteMode = "least-loaded"
)

// QueueMode is the queueing policy of an endpoint.
type QueueMode string

// Queueing policies.
const (
	QueueCore QueueMode = "core"
	QueueFIFO QueueMode = "fifo"
)

// PlaceMode is the placement policy.
type PlaceMode string

// Placement policies.
const (
	PlaceCore PlaceMode = "core"
	// PlaceStatic keeps the initial layout.
	PlaceStatic PlaceMode = "static"
	// PlaceChase scales copies to the fast average of the demand.
	PlaceChase PlaceMode = "chase"
)

// Policy is a combination of routing, queueing and placement policies.
type Policy struct {
	Name  string
	Route RouteMode
	Queue QueueMode
	Place PlaceMode
	// AdmitOptions, RouteOptions and PlaceOptions override defaults of the core.
	AdmitOptions []admit.Option
	RouteOptions []route.Option
	PlaceOptions []place.Option
	// Preempt says whether bulk streams are preempted when urgent requests find no slot.
	Preempt PreemptMode
	// PerfectPrefixCache makes every prefix a cache hit on every engine, an upper bound
	// for the benefit of moving KV cache between engines.
	PerfectPrefixCache bool
	// Disabled switches mechanisms off, to measure what each contributes.
	Disabled Disabled
}

// Disabled selects the mechanisms to switch off.
type Disabled struct {
	// OwnAccounting counts the calls that an entry sent since the last report.
	OwnAccounting bool
	// FreshReports are load reports without a lag.
	FreshReports    bool
	PrefixAffinity  bool
	AdapterAffinity bool
	// Suspects is the detection of poison requests.
	Suspects bool
	// Hops is the forwarding of a refused call to other endpoints.
	Hops bool
}

// Core returns the policy under test, with the defaults of the core.
func Core() Policy {
	return Policy{Name: "chiveramp", Route: RouteCore, Queue: QueueCore, Place: PlaceCore}
}

// Baselines returns the simple policies that the core is compared with.
func Baselines() []Policy {
	return []Policy{
		{Name: "round robin", Route: RouteRoundRobin, Queue: QueueFIFO, Place: PlaceStatic},
		{Name: "least loaded", Route: RouteLeastLoaded, Queue: QueueFIFO, Place: PlaceStatic},
		{Name: "first come", Route: RouteCore, Queue: QueueFIFO, Place: PlaceCore},
		{Name: "static", Route: RouteCore, Queue: QueueCore, Place: PlaceStatic},
		{Name: "chase", Route: RouteCore, Queue: QueueCore, Place: PlaceChase},
	}
}

// Variants returns the core with one mechanism changed in each, to measure what it contributes.
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

// lowUrgentFloors reserves less capacity for urgent requests than the defaults.
func lowUrgentFloors() []admit.Option {
	return []admit.Option{admit.Floors(admit.Shares{Urgent: 0.2, Standard: 0.2, Bulk: 0.1})}
}

// linkBudget returns the budget of one entry on the link between regions: about an
// eighth of it (7/64 over the three ranks), with the largest share for urgent requests.
func linkBudget() route.LinkBudget {
	return route.LinkBudget{
		Urgent: linkRate / 16, Standard: linkRate / 32, Bulk: linkRate / 64, Burst: 2 * time.Second,
	}
}

// errUnknownPolicySet is returned for an unknown set of policies.
var errUnknownPolicySet = errors.New("want baselines, none or variants")

// FilterPolicies returns the first policy and those whose name contains the given text.
func FilterPolicies(all []Policy, name string) []Policy {
	matching := all[:1:1]
	for _, p := range all[1:] {
		if strings.Contains(p.Name, name) {
			matching = append(matching, p)
		}
	}
	return matching
}

// ComparedPolicies returns the core, followed by the named set of policies to compare it with.
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
