// Package place plans which models are loaded on which endpoints.
//
// It has no clock and no goroutine. The caller passes in a view of the fleet with its
// time and gets proposed moves; the placer that orders them ensures that memory is not
// overcommitted and that no last copy is lost.
package place

import "github.com/chiveramp/chiveramp/internal/core/fleet"

// Kind is the type of a move.
type Kind string

// The kinds of move.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Reason is why a move is proposed.
type Reason string

// The reasons of a move.
const (
	// ReasonUnreachable: the model is unavailable, it has no copy.
	ReasonUnreachable Reason = "unreachable"
	// ReasonSpread: all copies of the model are in one data centre.
	ReasonSpread Reason = "spread"
	// ReasonCopies: the model has fewer copies than its operators configured.
	ReasonCopies Reason = "copies"
	// ReasonDemand: the endpoints of the model are overloaded.
	ReasonDemand Reason = "demand"
	// ReasonRoom: another model needs the memory.
	ReasonRoom Reason = "room"
)

// Move is one proposed load or unload on an endpoint.
type Move struct {
	Kind     Kind
	Model    fleet.Model
	Endpoint fleet.Endpoint
	Reason   Reason
	// For is the model that needs the memory, set with ReasonRoom.
	For fleet.Model
}

// Pending is a move that was ordered and has not been confirmed as done.
type Pending struct {
	Kind  Kind
	Model fleet.Model
}

// EndpointView is the recorded state of one endpoint.
type EndpointView struct {
	Endpoint fleet.Endpoint
	Place    fleet.Place
	// Service is the service that the endpoint belongs to. It loads only models of
	// that service.
	Service string
	// Memory is the endpoint's memory for weights, in bytes.
	Memory int64
	// Used is the memory of resident models and pending moves, in bytes.
	Used int64
	// Models are resident, including those with a pending unload.
	Models  []fleet.Model
	Pending []Pending
	// Dead and Leaving endpoints get no loads, and their copies do not count.
	Dead    bool
	Leaving bool
}

// ModelView is the recorded state of one model.
type ModelView struct {
	Model fleet.Model
	// Service is the service whose endpoints may load the model; empty means any.
	Service string
	// MinCopies is the minimum number of copies, added only where memory is free.
	MinCopies int
	// Bytes is the memory of one copy.
	Bytes int64
	// Fast and Slow are a fast and a slow average of the demand, in accelerators
	// that the work would keep busy.
	Fast float64
	Slow float64
	// Weight is the relative value of the model's work; zero counts as one.
	Weight float64
	// OtherCopies counts the copies outside the view.
	OtherCopies int
}

// View is the fleet as the planner sees it.
type View struct {
	Endpoints []EndpointView
	Models    []ModelView
}
