// Package ledger accounts for the accelerator memory of one endpoint: what is resident,
// what orders in flight may still load, and how much remains free.
//
// An order is recorded before it is sent, and the memory it may take is charged from then
// on. Memory is released only when the endpoint itself reports it as free. The package has
// no clock: nothing is released by a timeout.
package ledger

import "github.com/chiveramp/chiveramp/internal/core/fleet"

// OrderKind is the kind of change that an order makes at an endpoint.
type OrderKind string

// The kinds of orders.
const (
	KindLoad          OrderKind = "load"
	KindUnload        OrderKind = "unload"
	KindLoadAdapter   OrderKind = "load-adapter"
	KindUnloadAdapter OrderKind = "unload-adapter"
	// KindRole sets the role. Sent with the current role it only raises the
	// highest fence that the endpoint has accepted.
	KindRole OrderKind = "role"
)

// IsLoad reports whether the order allocates memory.
func (k OrderKind) IsLoad() bool {
	return k == KindLoad || k == KindLoadAdapter
}

// IsUnload reports whether the order releases memory.
func (k OrderKind) IsUnload() bool {
	return k == KindUnload || k == KindUnloadAdapter
}

// Order is a command to an endpoint to load or unload an item, or to change its role.
type Order struct {
	ID    string
	Fence fleet.Fence
	Kind  OrderKind
	// Incarnation identifies the endpoint process that the order is addressed to.
	// The order must be sent in a way that no other incarnation can receive it, for
	// instance over the connection on which this incarnation was read.
	Incarnation string
	Model       fleet.Model
	Adapter     fleet.Adapter
	Role        string
	// Bytes is the maximum memory that the order may take, KV cache included.
	Bytes int64
}

// Item returns the item that the order loads or unloads.
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

// Phase is the loading state of an item on an endpoint.
type Phase string

// The phases of a resident item.
const (
	PhaseLoading   Phase = "loading"
	PhaseReady     Phase = "ready"
	PhaseUnloading Phase = "unloading"
)

// Resident is an item that takes memory on an endpoint, from the acceptance of its load
// until its memory is released.
type Resident struct {
	Model   fleet.Model
	Adapter fleet.Adapter
	Bytes   int64
	State   Phase
}

// Item returns the item that is resident.
func (r Resident) Item() Item {
	return Item{Model: r.Model, Adapter: r.Adapter}
}

// State is what an endpoint reports about itself. It reflects every order that was accepted
// before the state was read.
type State struct {
	// Incarnation differs after each start of the endpoint's process.
	Incarnation string
	// Fence is the highest fence of an accepted order.
	Fence fleet.Fence
	// ChecksFence is set if the endpoint refuses orders with a fence below Fence.
	ChecksFence bool
	// Memory is the accelerator's total memory, in bytes.
	Memory int64
	// Used is the memory in use, KV cache included, in bytes.
	Used    int64
	Models  []Resident
	Role    string
	Leaving bool
}
