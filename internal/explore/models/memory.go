package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// Mechanisms of the memory model.
const (
	mechanismWriteAhead  = "write-ahead"
	mechanismReservation = "reservation"
	mechanismSeenUnload  = "seen-unload"
	mechanismFenceCheck  = "fence-check"
	mechanismOrderID     = "order-id"
	mechanismIncarnation = "incarnation"
	mechanismHolder      = "holder"
)

const (
	gib               = int64(1) << 30
	acceleratorMemory = 24 * gib
	versionBytes      = 16 * gib // of each version, so that only one fits
	maxMemoryOrders   = 3
	placerCount       = 2
	memoryEndpoint    = fleet.Endpoint("e1")
)

var errOvercommitted = errors.New("accelerator memory overcommitted")

func memoryModel() Model {
	return Model{
		Name:          "memory",
		Promise:       "no accelerator's memory is overcommitted",
		CodeUnderTest: "internal/core/ledger",
		Mechanisms: []Mechanism{
			{mechanismWriteAhead, "an order is recorded before it is sent"},
			{mechanismReservation, "the memory of an unanswered order stays reserved"},
			{mechanismSeenUnload, "memory is released when the endpoint reports the unload as ended, not when it accepts it"},
			{mechanismFenceCheck, "an endpoint that ignores fences is not treated as one that refuses old fences"},
			{mechanismOrderID, "an endpoint executes an order once, however often it is delivered"},
			{mechanismIncarnation, "an order reaches only the endpoint process that it was sent to"},
			{mechanismHolder, "a record is written only by the lease holder, over the version that it read"},
		},
		Start: func(disabled string) explore.State { return memoryStart{disabled} },
	}
}

// memoryStart is the state before the choice whether the endpoint checks fences.
type memoryStart struct {
	disabled string
}

// Key implements explore.State.
func (memoryStart) Key() string { return "start" }

// Check implements explore.State.
func (memoryStart) Check() error { return nil }

// Steps implements explore.State.
func (m memoryStart) Steps() []explore.Step {
	ignores := explore.Step{Name: "an endpoint that ignores fences starts", Take: func() explore.State { return newMemory(m.disabled, false) }}
	if m.disabled == mechanismFenceCheck {
		return []explore.Step{ignores}
	}
	refuses := explore.Step{Name: "an endpoint that refuses old fences starts", Take: func() explore.State { return newMemory(m.disabled, true) }}
	return []explore.Step{refuses, ignores}
}

// memoryState is the state of the store, the placers, the orders in flight and the endpoint.
type memoryState struct {
	disabled string
	placers  [placerCount]placer
	// record, version and fence are in the store; holder is one more than the index of the
	// placer that holds the lease, zero if none does.
	record    []byte
	version   int
	fence     fleet.Fence
	holder    int
	inFlight  []ledger.Order
	endpoint  endpointState
	remaining eventBudget
}

// eventBudget is how often each kind of event may still happen.
type eventBudget struct {
	orders, lapses, duplicates, restarts, lostReplies int
}

// placer is a placer that may hold the lease, or assume that it still does.
type placer struct {
	fence      fleet.Fence // zero when it assumes no lease
	ledger     *ledger.Ledger
	ledgerText string // the ledger as it appears in a state key
	version    int
	dirty      bool
	observed   *ledger.State // endpoint state that was read and is not applied yet
	outbox     *ledger.Order // recorded and not sent yet
	awaiting   string        // id of the order that was sent and has no answer yet
	unsent     []string      // orders dropped before they were sent
	sequence   int
}

// endpointState is the state of the endpoint.
type endpointState struct {
	checksFence bool
	starts      int
	fence       fleet.Fence
	residents   []ledger.Resident
	answered    []string // ids of the orders that were executed
}

// newMemory returns the state in which the first placer holds the lease and has observed
// the endpoint.
func newMemory(disabled string, checksFence bool) *memoryState {
	s := &memoryState{disabled: disabled, endpoint: endpointState{checksFence: checksFence}, remaining: eventBudgetFor(disabled)}
	first := &s.placers[0]
	acquire(0)(s, first)
	first.updateLedger(func(l *ledger.Ledger) { l.Observe(*s.endpoint.state()) })
	return s
}

// eventBudgetFor leaves out the faults that the counterexample for a disabled mechanism
// does not need, which keeps the search small.
func eventBudgetFor(disabled string) eventBudget {
	c := eventBudget{orders: maxMemoryOrders, lapses: 1, duplicates: 1, restarts: 1, lostReplies: 1}
	switch disabled {
	case mechanismFenceCheck:
		c.duplicates, c.restarts, c.lostReplies = 0, 0, 0
	case mechanismOrderID:
		c.lapses, c.restarts, c.lostReplies = 0, 0, 0
	}
	return c
}

func (s *memoryState) clone() *memoryState {
	c := *s
	return &c
}

// Key implements explore.State.
func (s *memoryState) Key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%x %d %d %d %v %v %v", s.record, s.version, s.fence, s.holder, s.inFlight, s.endpoint, s.remaining)
	for _, p := range s.placers {
		fmt.Fprintf(&b, "|%d %d %t %v %v %s %v %d", p.fence, p.version, p.dirty, p.observed, p.outbox, p.awaiting, p.unsent, p.sequence)
		if p.ledger != nil {
			b.WriteString(p.ledgerText)
		}
	}
	return b.String()
}

// Check implements explore.State.
func (s *memoryState) Check() error {
	if used := s.endpoint.used(); used > acceleratorMemory {
		return fmt.Errorf("%w: %d of %d GiB used", errOvercommitted, used/gib, acceleratorMemory/gib)
	}
	if s.record == nil {
		return nil
	}
	l, err := ledger.Decode(memoryEndpoint, s.record)
	if err != nil {
		return err
	}
	if charged := l.ChargedBytes(); charged > acceleratorMemory {
		return fmt.Errorf("%w: %d of %d GiB recorded", errOvercommitted, charged/gib, acceleratorMemory/gib)
	}
	return nil
}

func (e endpointState) used() int64 {
	var sum int64
	for _, r := range e.residents {
		sum += r.Bytes
	}
	return sum
}

func (e endpointState) incarnation() string {
	return fmt.Sprint("start ", e.starts)
}

// state is the state that the endpoint reports.
func (e endpointState) state() *ledger.State {
	return &ledger.State{
		Incarnation: e.incarnation(), Fence: e.fence, ChecksFence: e.checksFence,
		Memory: acceleratorMemory, Used: e.used(), Models: e.residents,
	}
}

// execute executes an order and returns false if the endpoint refuses it.
func (e *endpointState) execute(o ledger.Order, disabled string) bool {
	if slices.Contains(e.answered, o.ID) && disabled != mechanismOrderID {
		return true
	}
	if e.checksFence && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.answered = append(slices.Clone(e.answered), o.ID)
	at := slices.IndexFunc(e.residents, func(r ledger.Resident) bool { return r.Model == o.Model })
	switch {
	case o.Kind == ledger.KindLoad && at < 0:
		e.residents = append(slices.Clone(e.residents), ledger.Resident{Model: o.Model, Bytes: o.Bytes, State: ledger.PhaseReady})
	case o.Kind == ledger.KindUnload && at >= 0:
		e.residents = slices.Clone(e.residents)
		e.residents[at].State = ledger.PhaseUnloading
	case o.Kind == ledger.KindUnload:
		return false
	}
	return true
}
