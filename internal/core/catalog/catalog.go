// Package catalog holds the operators' configuration as requests are served by
// it: routes, services, the models of an engine and the limits towards callers.
package catalog

import (
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Kind says how often a request of a route may run.
type Kind string

// The kinds of requests.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with events. They run at most once
	// unless their route can be resumed.
	KindStream Kind = "stream"
)

// Service names a group of endpoints that are alike.
type Service string

// Split is a service's part of the requests on a route.
type Split struct {
	Service Service
	Weight  int
}

// Route is a profile as operators write it: whom a request may reach, its rank
// and its targets.
type Route struct {
	Name string
	// Host and Prefix select the route; of several prefixes, the longest.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Target is the time to the first byte of an answer that counts as in time.
	Target time.Duration
	// MaxEventGap is the longest pause between events of a stream that is in time.
	MaxEventGap time.Duration
	// Level is the rank, 0 for the most urgent.
	Level int
	// Splits holds at least one service.
	Splits []Split
	// Attempts is the largest number of endpoints that one request may be sent to.
	Attempts int
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service picks one of the route's services by a number from 0 up to 1.
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
	// MemoryMB is the size of its weights, MB.
	MemoryMB float64
	// Adapters are its adapters, AdapterMemory the size of one, MB.
	Adapters        []fleet.Adapter
	AdapterMemoryMB float64
}

// Engine is what the endpoints of a service share if they are model engines.
type Engine struct {
	// MemoryMB is the room for weights, MB; Adapters the places for adapters.
	MemoryMB     float64
	AdapterSlots int
	// MaxLoadsPerSecond is the most loads from the weight store in a second, over all endpoints.
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

// Group is a service and its endpoints' common properties.
type Group struct {
	Name Service
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is the largest body, bytes.
	MaxBodyBytes int
}

// Catalog is one version of the configuration. It is not changed once made.
type Catalog struct {
	Version int64
	Routes  []Route
	Groups  []Group
	Limits  Limits
	// Raw is the text it was read from, for instances that can't read the store.
	Raw []byte

	hosts map[string][]*Route
}

// Index prepares the catalog for Match.
func (c *Catalog) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
}

// Match returns the route of a host and path: the longest prefix that begins the path.
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
