package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Errors of Reserve. Nothing is recorded when one is returned.
var (
	// ErrNotObserved: no state of the endpoint was read since the ledger was loaded.
	ErrNotObserved = errors.New("no state of the endpoint read yet")
	// ErrInsufficientMemory: the load needs more memory than is free.
	ErrInsufficientMemory = errors.New("not enough free memory")
	// ErrOrderInFlight: the order conflicts with one that is in flight.
	ErrOrderInFlight = errors.New("order in flight")
	// ErrAlreadyResident: the item is resident already.
	ErrAlreadyResident = errors.New("already resident")
	// ErrNotResident: the item, or the adapter's model, is not resident.
	ErrNotResident = errors.New("not resident")
	// ErrLeaving: the endpoint is shutting down and accepts no loads.
	ErrLeaving = errors.New("endpoint is leaving")
)

// maxAttempts limits the pending orders of one kind for one item.
const maxAttempts = 3

// PendingOrder is a recorded order whose outcome was not observed yet.
type PendingOrder struct {
	ID    string      `cbor:"1,keyasint"`
	Kind  OrderKind   `cbor:"2,keyasint"`
	Fence fleet.Fence `cbor:"3,keyasint"`
}

// Allocation is the memory charged to one item on the endpoint.
type Allocation struct {
	Model   fleet.Model   `cbor:"1,keyasint"`
	Adapter fleet.Adapter `cbor:"2,keyasint,omitempty"`
	Bytes   int64         `cbor:"3,keyasint"`
	// Phase is empty until the endpoint reports the item as resident.
	Phase   Phase          `cbor:"4,keyasint,omitempty"`
	Pending []PendingOrder `cbor:"5,keyasint,omitempty"`
}

// Item returns the item that the memory is charged to.
func (a Allocation) Item() Item {
	return Item{Model: a.Model, Adapter: a.Adapter}
}

// Resident reports whether the item takes memory on the endpoint.
func (a Allocation) Resident() bool {
	return a.Phase != ""
}

// Serving reports whether the item is ready and no unload of it is pending.
func (a Allocation) Serving() bool {
	return a.Phase == PhaseReady && a.pendingCount(OrderKind.IsUnload) == 0
}

func (a Allocation) pendingCount(matches func(OrderKind) bool) int {
	n := 0
	for _, p := range a.Pending {
		if matches(p.Kind) {
			n++
		}
	}
	return n
}

// chargedBytes returns the bytes that the item takes, or may take once a pending load
// has run.
func (a Allocation) chargedBytes() int64 {
	if a.Resident() || a.pendingCount(OrderKind.IsLoad) > 0 {
		return a.Bytes
	}
	return 0
}

// Option disables one of a ledger's safety rules. Options exist only for tests that show
// which failure each rule prevents.
type Option func(*rules)

type rules struct {
	releaseLost      bool
	freeOnAccept     bool
	assumeFenceCheck bool
}

// WithoutReservation releases the memory of an order that got no answer.
func WithoutReservation() Option {
	return func(r *rules) { r.releaseLost = true }
}

// WithoutObservedUnload releases memory as soon as an unload is accepted, not when the
// endpoint reports that it has ended.
func WithoutObservedUnload() Option {
	return func(r *rules) { r.freeOnAccept = true }
}

// WithoutFenceCheck assumes that every endpoint refuses orders with an old fence.
func WithoutFenceCheck() Option {
	return func(r *rules) { r.assumeFenceCheck = true }
}

// Ledger accounts for the memory of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	endpoint    fleet.Endpoint
	incarnation string
	memory      int64
	used        int64
	leaving     bool
	checksFence bool
	role        string
	fence       fleet.Fence
	observed    bool
	allocations []Allocation // sorted by model, then adapter
	rules       rules
}

// New returns the empty ledger of an endpoint.
func New(endpoint fleet.Endpoint, opts ...Option) *Ledger {
	l := &Ledger{endpoint: endpoint}
	for _, opt := range opts {
		opt(&l.rules)
	}
	return l
}

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.allocations = slices.Clone(l.allocations)
	for i := range c.allocations {
		c.allocations[i].Pending = slices.Clone(c.allocations[i].Pending)
	}
	return &c
}

// Endpoint returns the endpoint whose memory is accounted for.
func (l *Ledger) Endpoint() fleet.Endpoint { return l.endpoint }

// Incarnation identifies the endpoint process whose state was last read.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Memory returns the endpoint's total memory in bytes, zero before the first state.
func (l *Ledger) Memory() int64 { return l.memory }

// Leaving reports whether the last state marked the endpoint as leaving.
func (l *Ledger) Leaving() bool { return l.leaving }

// ChecksFence reports whether the endpoint refuses orders with an old fence.
func (l *Ledger) ChecksFence() bool { return l.checksFence }

// Role returns the role in the last state.
func (l *Ledger) Role() string { return l.role }

// Fence returns the highest fence that the endpoint reported as accepted.
func (l *Ledger) Fence() fleet.Fence { return l.fence }

// Observed reports whether a state was read since the ledger was loaded.
func (l *Ledger) Observed() bool { return l.observed }

// Allocations returns a copy of the allocations, sorted by model, then adapter.
func (l *Ledger) Allocations() []Allocation {
	return l.Clone().allocations
}

// All iterates over the allocations without copying them; they must not be changed.
func (l *Ledger) All() iter.Seq[Allocation] {
	return slices.Values(l.allocations)
}

// Allocation returns the allocation of an item, the zero Allocation if there is none.
func (l *Ledger) Allocation(item Item) Allocation {
	if i, ok := l.find(item); ok {
		return l.allocations[i]
	}
	return Allocation{}
}

// ChargedBytes returns the bytes in use or reserved for pending loads: the sum of all
// allocations or the usage that the endpoint reported, whichever is larger.
func (l *Ledger) ChargedBytes() int64 {
	var total int64
	used := l.used
	for _, h := range l.allocations {
		total += h.chargedBytes()
		if !h.Resident() {
			used += h.chargedBytes()
		}
	}
	if l.rules.freeOnAccept {
		return total
	}
	return max(total, used)
}

// FreeBytes returns the bytes that a new load may take.
func (l *Ledger) FreeBytes() int64 {
	return max(0, l.memory-l.ChargedBytes())
}

// PendingOrders returns the orders whose outcome was not observed, grouped by item.
func (l *Ledger) PendingOrders() []PendingOrder {
	var all []PendingOrder
	for _, h := range l.allocations {
		all = append(all, h.Pending...)
	}
	return all
}

// Reserve records an order that is about to be sent and charges the memory it may take.
// The encoded ledger has to be stored before the order is sent.
func (l *Ledger) Reserve(o Order) error {
	if err := l.checkOrder(o); err != nil {
		return fmt.Errorf("endpoint %s: %s %s: %w", l.endpoint, o.Kind, o.Item(), err)
	}
	i := l.ensure(o.Item())
	h := &l.allocations[i]
	if o.Kind.IsLoad() {
		h.Bytes = max(h.Bytes, o.Bytes)
	}
	h.Pending = append(h.Pending, PendingOrder{ID: o.ID, Kind: o.Kind, Fence: o.Fence})
	return nil
}

func (l *Ledger) checkOrder(o Order) error {
	h := l.Allocation(o.Item())
	switch {
	case !l.observed:
		return ErrNotObserved
	case h.pendingCount(func(k OrderKind) bool { return k == o.Kind }) >= maxAttempts:
		return ErrOrderInFlight
	case o.Kind.IsLoad():
		return l.checkLoad(o, h)
	case o.Kind.IsUnload() && !h.Resident():
		return ErrNotResident
	}
	return nil
}

func (l *Ledger) checkLoad(o Order, h Allocation) error {
	switch {
	case l.leaving:
		return ErrLeaving
	case h.Resident():
		return ErrAlreadyResident
	case h.pendingCount(OrderKind.IsUnload) > 0:
		return ErrOrderInFlight
	case o.Kind == KindLoadAdapter && !l.Allocation(Item{Model: o.Model}).Serving():
		return ErrNotResident
	case l.ChargedBytes()-h.chargedBytes()+max(h.Bytes, o.Bytes) > l.memory:
		return ErrInsufficientMemory
	}
	return nil
}

// MarkAccepted records that the endpoint accepted an order. Only a state that was read
// after the acceptance may be passed to Observe from then on, since an older state would
// clear the accepted load.
func (l *Ledger) MarkAccepted(id string) {
	i, kind, ok := l.removePending(id)
	if !ok {
		return
	}
	h := &l.allocations[i]
	switch {
	case kind.IsLoad() && !h.Resident():
		h.Phase = PhaseLoading
	case kind.IsUnload() && l.rules.freeOnAccept:
		h.Phase = ""
	case kind.IsUnload() && h.Resident():
		h.Phase = PhaseUnloading
	}
	l.removeUnused()
}

// MarkRefused records proof that an order did not run and never will, and releases its
// reservation.
func (l *Ledger) MarkRefused(id string) {
	l.removePending(id)
	l.removeUnused()
}

// MarkLost records that no answer came. The memory that the order may take stays charged.
func (l *Ledger) MarkLost(id string) {
	if l.rules.releaseLost {
		l.MarkRefused(id)
	}
}

// removePending removes a pending order and returns the index of its allocation.
func (l *Ledger) removePending(id string) (index int, kind OrderKind, ok bool) {
	for i := range l.allocations {
		for j, p := range l.allocations[i].Pending {
			if p.ID == id {
				l.allocations[i].Pending = slices.Delete(l.allocations[i].Pending, j, j+1)
				return i, p.Kind, true
			}
		}
	}
	return 0, "", false
}

// removeUnused drops allocations of items that are not resident and have no pending order.
func (l *Ledger) removeUnused() {
	l.allocations = slices.DeleteFunc(l.allocations, func(h Allocation) bool {
		return !h.Resident() && len(h.Pending) == 0
	})
}

func (l *Ledger) find(item Item) (int, bool) {
	return slices.BinarySearchFunc(l.allocations, item, func(h Allocation, item Item) int {
		return cmp.Or(cmp.Compare(h.Model, item.Model), cmp.Compare(h.Adapter, item.Adapter))
	})
}

// ensure returns the index of the allocation of an item, adding it if it is missing.
func (l *Ledger) ensure(item Item) int {
	i, ok := l.find(item)
	if !ok {
		l.allocations = slices.Insert(l.allocations, i, Allocation{Model: item.Model, Adapter: item.Adapter})
	}
	return i
}
