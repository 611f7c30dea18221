// Package place plans which models are loaded on which endpoints.
//
// It has no clock and no goroutine. A view of the fleet goes in with its time,
// proposed moves come out; whoever orders them keeps memory and copies safe.
package place

import "github.com/chiveramp/chiveramp/internal/core/fleet"

// Kind says what a move does.
type Kind string

// The kinds of move.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Reason says why a move is proposed.
type Reason string

// The reasons of a move.
const (
	// ReasonUnreachable: the model has no copy left.
	ReasonUnreachable Reason = "unreachable"
	// ReasonSpread: all copies of the model stand in one data centre.
	ReasonSpread Reason = "spread"
	// ReasonCopies: the model has fewer copies than its operators ask for.
	ReasonCopies Reason = "copies"
	// ReasonDemand: the endpoints of the model have too much work.
	ReasonDemand Reason = "demand"
	// ReasonRoom: another model needs the memory.
	ReasonRoom Reason = "room"
)

// Move is one proposed change of an endpoint.
type Move struct {
	Kind     Kind
	Model    fleet.Model
	Endpoint fleet.Endpoint
	Reason   Reason
	// For names the model that needs the memory of an unload for room.
	For fleet.Model
}

// Pending is a move that was ordered and whose end was not yet seen.
type Pending struct {
	Kind  Kind
	Model fleet.Model
}

// EndpointView is what is known of one endpoint.
type EndpointView struct {
	Endpoint fleet.Endpoint
	Place    fleet.Place
	// Service is what the endpoint belongs to; it loads that service's models only.
	Service string
	// Memory is what the endpoint has for weights, in bytes.
	Memory int64
	// Used is what is resident or reserved by pending moves, in bytes.
	Used int64
	// Models are resident, including those with a pending unload.
	Models  []fleet.Model
	Pending []Pending
	// Dead and Leaving endpoints get no load and their copies do not count.
	Dead    bool
	Leaving bool
}

// ModelView is what is known of one model.
type ModelView struct {
	Model fleet.Model
	// Service is whose endpoints may load the model; empty for any.
	Service string
	// MinCopies is how many copies there are to be, where memory is free.
	MinCopies int
	// Bytes is the memory of one copy.
	Bytes int64
	// Fast and Slow are the demand by a fast and a slow average, in
	// accelerators that the work would keep busy.
	Fast float64
	Slow float64
	// Weight is the worth of the work; zero counts as one.
	Weight float64
	// OtherCopies counts the copies outside of the view.
	OtherCopies int
}

// View is the fleet as the planner sees it.
type View struct {
	Endpoints []EndpointView
	Models    []ModelView
}
