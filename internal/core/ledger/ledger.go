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
	// ErrUnseen: the endpoint's state was not read since the ledger was loaded.
	ErrUnseen = errors.New("endpoint not seen yet")
	// ErrNoRoom: the memory is not free.
	ErrNoRoom = errors.New("memory not free")
	// ErrBusy: an order in flight rules this one out.
	ErrBusy = errors.New("order in flight")
	// ErrPresent: the item is resident already.
	ErrPresent = errors.New("already resident")
	// ErrAbsent: the item, or the adapter's model, is not resident.
	ErrAbsent = errors.New("not resident")
	// ErrLeaving: the endpoint takes nothing new.
	ErrLeaving = errors.New("endpoint is leaving")
)

// maxAttempts limits the orders of one kind in flight for one item.
const maxAttempts = 3

// Pending is an order that was recorded and whose outcome was not seen.
type Pending struct {
	ID    string      `cbor:"1,keyasint"`
	Kind  Kind        `cbor:"2,keyasint"`
	Fence fleet.Fence `cbor:"3,keyasint"`
}

// Holding is an item with the memory that is charged for it.
type Holding struct {
	Model   fleet.Model   `cbor:"1,keyasint"`
	Adapter fleet.Adapter `cbor:"2,keyasint,omitempty"`
	Bytes   int64         `cbor:"3,keyasint"`
	// Phase is empty while the item was not seen resident.
	Phase   Phase     `cbor:"4,keyasint,omitempty"`
	Pending []Pending `cbor:"5,keyasint,omitempty"`
}

// Item returns which item is held.
func (h Holding) Item() Item {
	return Item{Model: h.Model, Adapter: h.Adapter}
}

// Resident reports whether the endpoint holds the item.
func (h Holding) Resident() bool {
	return h.Phase != ""
}

// Serving reports whether the item is ready and no unload can take it away.
func (h Holding) Serving() bool {
	return h.Phase == PhaseReady && h.inFlight(Kind.Unloads) == 0
}

func (h Holding) inFlight(of func(Kind) bool) int {
	n := 0
	for _, p := range h.Pending {
		if of(p.Kind) {
			n++
		}
	}
	return n
}

// charged returns the bytes that the item takes or may come to take.
func (h Holding) charged() int64 {
	if h.Resident() || h.inFlight(Kind.Loads) > 0 {
		return h.Bytes
	}
	return 0
}

// Option changes a ledger's rules. Options serve only to prove what each rule is for.
type Option func(*rules)

type rules struct {
	forgetLost   bool
	trustUnloads bool
	oneFence     bool
}

// WithoutReservation frees the memory of an order that got no answer.
func WithoutReservation() Option {
	return func(r *rules) { r.forgetLost = true }
}

// WithoutSeenUnload frees memory when an unload is accepted, not when it has ended.
func WithoutSeenUnload() Option {
	return func(r *rules) { r.trustUnloads = true }
}

// WithoutFenceCheck takes every endpoint for one that refuses old fences.
func WithoutFenceCheck() Option {
	return func(r *rules) { r.oneFence = true }
}

// Ledger is the memory of one endpoint.
type Ledger struct {
	endpoint    fleet.Endpoint
	incarnation string
	memory      int64
	used        int64
	leaving     bool
	checks      bool
	role        string
	fence       fleet.Fence
	seen        bool
	holdings    []Holding // by model, then adapter
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

// Clone returns a copy that shares nothing.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.holdings = slices.Clone(l.holdings)
	for i := range c.holdings {
		c.holdings[i].Pending = slices.Clone(c.holdings[i].Pending)
	}
	return &c
}

// Endpoint returns whose memory it is.
func (l *Ledger) Endpoint() fleet.Endpoint { return l.endpoint }

// Incarnation returns the process whose state was last read.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Memory returns the whole memory in bytes, zero before the first state.
func (l *Ledger) Memory() int64 { return l.memory }

// Leaving reports whether the endpoint last showed itself as leaving.
func (l *Ledger) Leaving() bool { return l.leaving }

// Checks reports whether the endpoint refuses old fences.
func (l *Ledger) Checks() bool { return l.checks }

// Role returns the role the endpoint last showed.
func (l *Ledger) Role() string { return l.role }

// Fence returns the highest fence the endpoint showed as accepted.
func (l *Ledger) Fence() fleet.Fence { return l.fence }

// Seen reports whether a state was read since the ledger was loaded.
func (l *Ledger) Seen() bool { return l.seen }

// Holdings returns a copy of the items, by model, then adapter.
func (l *Ledger) Holdings() []Holding {
	return l.Clone().holdings
}

// All yields the items without copying them; they must not be changed.
func (l *Ledger) All() iter.Seq[Holding] {
	return slices.Values(l.holdings)
}

// Holding returns one item, the zero Holding when it is not held.
func (l *Ledger) Holding(item Item) Holding {
	if i, ok := l.find(item); ok {
		return l.holdings[i]
	}
	return Holding{}
}

// Charged returns the bytes in use or promised to orders in flight.
func (l *Ledger) Charged() int64 {
	var total int64
	used := l.used
	for _, h := range l.holdings {
		total += h.charged()
		if !h.Resident() {
			used += h.charged()
		}
	}
	if l.rules.trustUnloads {
		return total
	}
	return max(total, used)
}

// Free returns the bytes that a new order may take.
func (l *Ledger) Free() int64 {
	return max(0, l.memory-l.Charged())
}

// Unsettled returns the orders whose outcome was not seen, by item.
func (l *Ledger) Unsettled() []Pending {
	var all []Pending
	for _, h := range l.holdings {
		all = append(all, h.Pending...)
	}
	return all
}

// Reserve records an order that is about to be sent. The record has to be
// stored before the order leaves.
func (l *Ledger) Reserve(o Order) error {
	if err := l.allow(o); err != nil {
		return fmt.Errorf("endpoint %s: %s %s: %w", l.endpoint, o.Kind, o.Item(), err)
	}
	i := l.ensure(o.Item())
	h := &l.holdings[i]
	if o.Kind.Loads() {
		h.Bytes = max(h.Bytes, o.Bytes)
	}
	h.Pending = append(h.Pending, Pending{ID: o.ID, Kind: o.Kind, Fence: o.Fence})
	return nil
}

func (l *Ledger) allow(o Order) error {
	h := l.Holding(o.Item())
	switch {
	case !l.seen:
		return ErrUnseen
	case h.inFlight(func(k Kind) bool { return k == o.Kind }) >= maxAttempts:
		return ErrBusy
	case o.Kind.Loads():
		return l.allowLoad(o, h)
	case o.Kind.Unloads() && !h.Resident():
		return ErrAbsent
	}
	return nil
}

func (l *Ledger) allowLoad(o Order, h Holding) error {
	switch {
	case l.leaving:
		return ErrLeaving
	case h.Resident():
		return ErrPresent
	case h.inFlight(Kind.Unloads) > 0:
		return ErrBusy
	case o.Kind == KindLoadAdapter && !l.Holding(Item{Model: o.Model}).Serving():
		return ErrAbsent
	case l.Charged()-h.charged()+max(h.Bytes, o.Bytes) > l.memory:
		return ErrNoRoom
	}
	return nil
}

// Accepted records that the endpoint accepted an order. A state that clears
// what it loaded must have been read after that.
func (l *Ledger) Accepted(id string) {
	i, kind, ok := l.take(id)
	if !ok {
		return
	}
	h := &l.holdings[i]
	switch {
	case kind.Loads() && !h.Resident():
		h.Phase = PhaseLoading
	case kind.Unloads() && l.rules.trustUnloads:
		h.Phase = ""
	case kind.Unloads() && h.Resident():
		h.Phase = PhaseUnloading
	}
	l.sweep()
}

// Refused records the proof that an order has not run and never will.
func (l *Ledger) Refused(id string) {
	l.take(id)
	l.sweep()
}

// Lost records that no answer came. What the order may load stays charged.
func (l *Ledger) Lost(id string) {
	if l.rules.forgetLost {
		l.Refused(id)
	}
}

// take removes an order in flight and returns the index of its item.
func (l *Ledger) take(id string) (index int, kind Kind, ok bool) {
	for i := range l.holdings {
		for j, p := range l.holdings[i].Pending {
			if p.ID == id {
				l.holdings[i].Pending = slices.Delete(l.holdings[i].Pending, j, j+1)
				return i, p.Kind, true
			}
		}
	}
	return 0, "", false
}

// sweep drops items that are not resident and can't become so.
func (l *Ledger) sweep() {
	l.holdings = slices.DeleteFunc(l.holdings, func(h Holding) bool {
		return !h.Resident() && len(h.Pending) == 0
	})
}

func (l *Ledger) find(item Item) (int, bool) {
	return slices.BinarySearchFunc(l.holdings, item, func(h Holding, item Item) int {
		return cmp.Or(cmp.Compare(h.Model, item.Model), cmp.Compare(h.Adapter, item.Adapter))
	})
}

// ensure returns the index of an item, adding it when it is missing.
func (l *Ledger) ensure(item Item) int {
	i, ok := l.find(item)
	if !ok {
		l.holdings = slices.Insert(l.holdings, i, Holding{Model: item.Model, Adapter: item.Adapter})
	}
	return i
}
