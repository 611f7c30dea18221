// Package ledger keeps the accelerator memory of one endpoint: what is
// resident, what orders in flight may still load, and what that leaves free.
//
// An order is recorded before it is sent, and what it may load is charged from
// then on. Memory is freed only by what the endpoint itself shows. The package
// has no clock: nothing is ever released because time has passed.
package ledger

import "github.com/chiveramp/chiveramp/internal/core/fleet"

// OrderKind names an order to an endpoint.
type OrderKind string

// The kinds of orders.
const (
	KindLoad          OrderKind = "load"
	KindUnload        OrderKind = "unload"
	KindLoadAdapter   OrderKind = "load-adapter"
	KindUnloadAdapter OrderKind = "unload-adapter"
	// KindRole sets the role. With the present role it changes nothing but the
	// highest fence that the endpoint has accepted.
	KindRole OrderKind = "role"
)

// IsLoad reports whether the order takes memory.
func (k OrderKind) IsLoad() bool {
	return k == KindLoad || k == KindLoadAdapter
}

// IsUnload reports whether the order frees memory.
func (k OrderKind) IsUnload() bool {
	return k == KindUnload || k == KindUnloadAdapter
}

// Order is one change asked of an endpoint.
type Order struct {
	ID    string
	Fence fleet.Fence
	Kind  OrderKind
	// Incarnation is the process the order is meant for. It has to be sent so
	// that another incarnation can't receive it, for instance over a connection
	// on which this incarnation was read.
	Incarnation string
	Model       fleet.Model
	Adapter     fleet.Adapter
	Role        string
	// Bytes is all the memory the order may take, KV cache included.
	Bytes int64
}

// Item returns what the order loads or unloads.
func (o Order) Item() Item {
	return Item{Model: o.Model, Adapter: o.Adapter}
}

// Item is a model version, or an adapter of one.
type Item struct {
	Model   fleet.Model
	Adapter fleet.Adapter
}

// String returns "model" or "model+adapter".
func (i Item) String() string {
	if i.Adapter == "" {
		return string(i.Model)
	}
	return string(i.Model) + "+" + string(i.Adapter)
}

// Phase says how far an item is in an endpoint.
type Phase string

// The phases of a resident item.
const (
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseUnloading Phase = "unloading"
)

// Resident is an item that takes memory of an endpoint, from the acceptance of
// its load until its memory is free again.
type Resident struct {
	Model   fleet.Model
	Adapter fleet.Adapter
	Bytes   int64
	State   Phase
}

// Item returns which item is resident.
func (r Resident) Item() Item {
	return Item{Model: r.Model, Adapter: r.Adapter}
}

// State is what an endpoint shows of itself. It shows every order that was
// accepted before the state was read.
type State struct {
	// Incarnation differs after each start of the endpoint's process.
	Incarnation string
	// Fence is the highest fence of an accepted order.
	Fence fleet.Fence
	// ChecksFence tells that orders with a fence below Fence are refused.
	ChecksFence bool
	// Memory is the accelerator's whole memory, in bytes.
	Memory int64
	// Used is the memory in use, KV cache included, in bytes.
	Used    int64
	Models  []Resident
	Role    string
	Leaving bool
}
