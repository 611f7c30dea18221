// Package profile reads the operators' document: named profiles with the class
// of work, rank, targets and models of each, the models themselves, and the
// plain services beside them.
package profile

import (
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Limit is the largest document, bytes.
const Limit = 512 << 10

// Rank orders work by urgency.
type Rank = fleet.Rank

// The ranks, most urgent first.
const (
	RankUrgent   = fleet.RankUrgent
	RankStandard = fleet.RankStandard
	RankBulk     = fleet.RankBulk
)

// Profile is what a service runs under.
type Profile struct {
	Name string
	// Class names the kind of work, such as chat or match.
	Class string
	Rank  Rank
	// First is the target of the time to the first token or byte. Zero: no target.
	First time.Duration
	// Gap is the target of the time between two tokens. Zero: no target.
	Gap time.Duration
	// Deadline is the longest time to the whole answer.
	Deadline time.Duration
	// Models are names, or prefixes that end in "*", of the models it may reach.
	Models []string
	// Services are the plain services it may reach.
	Services []string
	// Cap is the largest share of the fleet that it may take, above 0 and up to 1.
	Cap float64
	// Retries is the most attempts after the first for one request.
	Retries int
}

// Model is a base model that the system keeps reachable.
type Model struct {
	Name string
	// Bytes is the memory that the weights take on an endpoint.
	Bytes int64
	// Adapter is the memory that one adapter takes beside the weights, bytes.
	Adapter int64
	// Cache is the memory kept for the KV cache beside the weights, bytes.
	Cache int64
	// Service is the endpoint service whose endpoints may load the model.
	Service string
	// Copies is the least number of endpoints that hold the model.
	Copies int
	// Adapters are the names of the model's adapters.
	Adapters []string
	// Versions are the versions that callers may name. Empty: the model has one, unnamed.
	Versions []string
}

// Service is a plain service beside the models.
type Service struct {
	Name string
	// Repeat says that a call may run more than once.
	Repeat bool
}

// Document is a checked set of profiles, models and services.
type Document struct {
	profiles []Profile
	models   []Model
	services []Service
}

// Profiles returns all profiles by name.
func (d Document) Profiles() []Profile { return slices.Clone(d.profiles) }

// Models returns all models by name.
func (d Document) Models() []Model { return slices.Clone(d.models) }

// Services returns all plain services by name.
func (d Document) Services() []Service { return slices.Clone(d.services) }

// Profile returns the profile of a name.
func (d Document) Profile(name string) (Profile, bool) {
	return find(d.profiles, name, func(p Profile) string { return p.Name })
}

// Model returns the model of a name.
func (d Document) Model(name string) (Model, bool) {
	return find(d.models, name, func(m Model) string { return m.Name })
}

// Service returns the plain service of a name.
func (d Document) Service(name string) (Service, bool) {
	return find(d.services, name, func(s Service) string { return s.Name })
}

// MayUse reports whether the profile may reach a model.
func (p Profile) MayUse(model string) bool {
	return slices.ContainsFunc(p.Models, func(pattern string) bool { return matchesPattern(pattern, model) })
}

// MayCall reports whether the profile may reach a plain service.
func (p Profile) MayCall(service string) bool {
	return slices.Contains(p.Services, service)
}

// Target is a model as a caller names it: "model", "model@version",
// "model/adapter" or "model@version/adapter".
type Target struct {
	Model   Model
	Version string
	Adapter string
}

// Resolve returns what a caller's model name stands for. A model with versions
// that is named without one stands for its last version.
func (d Document) Resolve(name string) (Target, bool) {
	base, adapter, _ := strings.Cut(name, "/")
	base, version, _ := strings.Cut(base, "@")
	m, found := d.Model(base)
	if !found {
		return Target{}, false
	}
	if version == "" && len(m.Versions) > 0 {
		version = m.Versions[len(m.Versions)-1]
	}
	t := Target{Model: m, Version: version, Adapter: adapter}
	return t, t.exists(name)
}

func (t Target) exists(name string) bool {
	if t.Version != "" && !slices.Contains(t.Model.Versions, t.Version) {
		return false
	}
	if t.Adapter != "" && !slices.Contains(t.Model.Adapters, t.Adapter) {
		return false
	}
	return !strings.HasSuffix(name, "/") && !strings.Contains(name, "@/") && !strings.HasSuffix(name, "@")
}

// Loaded returns the name under which an endpoint loads the target's weights.
func (t Target) Loaded() fleet.Model {
	if t.Version == "" {
		return fleet.Model(t.Model.Name)
	}
	return fleet.Model(t.Model.Name + "@" + t.Version)
}

func find[T any](sorted []T, name string, key func(T) string) (T, bool) {
	i, found := slices.BinarySearchFunc(sorted, name, func(v T, n string) int { return strings.Compare(key(v), n) })
	if !found {
		var zero T
		return zero, false
	}
	return sorted[i], true
}

func matchesPattern(pattern, name string) bool {
	if prefix, found := strings.CutSuffix(pattern, "*"); found {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}
