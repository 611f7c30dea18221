// Package catalog holds the operators' configuration in the form used to serve requests:
// routes, services, the models of an engine and the limits for callers.
package catalog

import (
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Kind says how often a request of a route may be run.
type Kind string

// The kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with a stream of events. They run at most once
	// unless their route is resumable.
	KindStream Kind = "stream"
)

// Service names a group of interchangeable endpoints.
type Service string

// Split is a service with its weight in the traffic of a route.
type Split struct {
	Service Service
	Weight  int
}

// Route is a profile as operators configure it: the services that a request may reach,
// its rank and its latency targets.
type Route struct {
	Name string
	// Host and Prefix select the route; the longest matching prefix wins.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the caller has the complete answer.
	Timeout time.Duration
	// Target is the maximum time to the first byte for an answer to count as in time.
	Target time.Duration
	// MaxEventGap is the maximum pause between events for a stream to count as in time.
	MaxEventGap time.Duration
	// Level is the rank, 0 for the most urgent.
	Level int
	// Splits holds at least one service.
	Splits []Split
	// Attempts is the maximum number of endpoints that one request is sent to.
	Attempts int
	// Resumable streams may continue at another endpoint.
	Resumable bool
	// Public routes need no key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service selects one of the route's services by weight; draw is a random number in [0, 1).
func (r *Route) Service(draw float64) Service {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Model is a base model that an engine may load.
type Model struct {
	Name fleet.Model
	// MemoryMB is the size of its weights.
	MemoryMB float64
	// Adapters are the adapters of the model; AdapterMemoryMB is the size of each.
	Adapters        []fleet.Adapter
	AdapterMemoryMB float64
}

// Engine holds the common settings of a service's endpoints if they are model engines.
type Engine struct {
	// MemoryMB is the memory for weights; AdapterSlots is the number of adapters that fit.
	MemoryMB     float64
	AdapterSlots int
	// MaxLoadsPerSecond limits the loads from the weight store, over all endpoints.
	MaxLoadsPerSecond float64
	Models            []Model
}

// Model returns a model by its name.
func (e *Engine) Model(name fleet.Model) (Model, bool) {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return e.Models[i], true
		}
	}
	return Model{}, false
}

// Group is a service with the common properties of its endpoints.
type Group struct {
	Name Service
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
}

// Catalog is one version of the configuration. It is immutable once built.
type Catalog struct {
	Version int64
	Routes  []Route
	Groups  []Group
	Limits  Limits
	// Workspaces is empty if requests need no key.
	Workspaces []Workspace
	// Raw is the text from which it was parsed, for instances that can't reach the store.
	Raw []byte

	hosts      map[string][]*Route
	workspaces map[credential.Digest]*Workspace
}

// Index builds the lookups that Match and Workspace use.
func (c *Catalog) Index() {
	c.indexKeys()
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
}

// Match returns the route of a host with the longest prefix that matches the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// Group returns a service by its name.
func (c *Catalog) Group(name Service) (*Group, bool) {
	for i := range c.Groups {
		if c.Groups[i].Name == name {
			return &c.Groups[i], true
		}
	}
	return nil, false
}
