// Package profile reads the document that operators maintain. It defines profiles,
// each with a class of work, a rank, latency targets and the models it may use; the
// models; and the plain services, which serve no model.
package profile

import (
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Limit is the maximum size of a document, in bytes.
const Limit = 512 << 10

// Rank is the priority of a request.
type Rank = fleet.Rank

// The ranks, most urgent first.
const (
	RankUrgent   = fleet.RankUrgent
	RankStandard = fleet.RankStandard
	RankBulk     = fleet.RankBulk
)

// Profile is a named set of request settings: a calling service chooses one, and its
// requests are admitted, routed and retried accordingly.
type Profile struct {
	Name string
	// Class names the kind of work, such as chat or match.
	Class string
	Rank  Rank
	// First is the target for the time to the first token or byte. Zero: no target.
	First time.Duration
	// Gap is the target for the time between two tokens. Zero: no target.
	Gap time.Duration
	// Deadline is the maximum time to the complete answer.
	Deadline time.Duration
	// Models are the models that the profile may use: names, or prefixes followed by "*".
	Models []string
	// Services are the plain services that the profile may call.
	Services []string
	// Cap is the maximum fraction of the fleet that the profile may occupy, above 0 and up to 1.
	Cap float64
	// Retries is the maximum number of attempts after the first for one request.
	Retries int
}

// Model is a base model that the system keeps available.
type Model struct {
	Name string
	// Bytes is the memory that the weights occupy on an endpoint.
	Bytes int64
	// Adapter is the memory that one adapter occupies in addition to the weights, in bytes.
	Adapter int64
	// Cache is the memory reserved for the KV cache in addition to the weights, in bytes.
	Cache int64
	// Service is the endpoint service whose endpoints may load the model.
	Service string
	// Copies is the minimum number of endpoints that have the model loaded.
	Copies int
	// Adapters are the names of the model's adapters.
	Adapters []string
	// Versions are the versions that callers may request. Empty: the model has a single, unnamed version.
	Versions []string
}

// Service is a plain service: its endpoints serve calls without a model.
type Service struct {
	Name string
	// Repeat reports whether a call may run more than once.
	Repeat bool
}

// Document is a validated set of profiles, models and services.
type Document struct {
	profiles []Profile
	models   []Model
	services []Service
}

// Profiles returns all profiles, sorted by name.
func (d Document) Profiles() []Profile { return slices.Clone(d.profiles) }

// Models returns all models, sorted by name.
func (d Document) Models() []Model { return slices.Clone(d.models) }

// Services returns all plain services, sorted by name.
func (d Document) Services() []Service { return slices.Clone(d.services) }

// Profile returns the profile with the given name.
func (d Document) Profile(name string) (Profile, bool) {
	return find(d.profiles, name, func(p Profile) string { return p.Name })
}

// Model returns the model with the given name.
func (d Document) Model(name string) (Model, bool) {
	return find(d.models, name, func(m Model) string { return m.Name })
}

// Service returns the plain service with the given name.
func (d Document) Service(name string) (Service, bool) {
	return find(d.services, name, func(s Service) string { return s.Name })
}

// MayUse reports whether the profile may use a model.
func (p Profile) MayUse(model string) bool {
	return slices.ContainsFunc(p.Models, func(pattern string) bool { return matchesPattern(pattern, model) })
}

// MayCall reports whether the profile may call a plain service.
func (p Profile) MayCall(service string) bool {
	return slices.Contains(p.Services, service)
}

// Target is the model, version and adapter that a caller requests by a name of the form
// "model", "model@version", "model/adapter" or "model@version/adapter".
type Target struct {
	Model   Model
	Version string
	Adapter string
}

// Resolve returns the target of a model name given by a caller. Without a version in the
// name, it is the last version of the model, if the model has versions.
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

// LoadedModel returns the name, with the version if there is one, under which an endpoint
// loads the target's weights.
func (t Target) LoadedModel() fleet.Model {
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
