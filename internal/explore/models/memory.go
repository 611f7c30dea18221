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

// The mechanisms of memory.
const (
	offWriteAhead  = "write-ahead"
	offReservation = "reservation"
	offSeenUnload  = "seen-unload"
	offFenceCheck  = "fence-check"
	offOrderID     = "order-id"
	offIncarnation = "incarnation"
	offHolder      = "holder"
)

const (
	gib          = int64(1) << 30
	modelMemory  = 24 * gib
	versionBytes = 16 * gib // of either version, so that only one has room
	memoryOrders = 3
	modelPlacers = 2
	modelTarget  = fleet.Endpoint("e1")
)

var errOvercommitted = errors.New("more memory promised than the accelerator has")

func memory() Model {
	return Model{
		Name:    "memory",
		Promise: "no accelerator's memory is overcommitted",
		Drives:  "internal/core/ledger",
		Mechanisms: []Mechanism{
			{offWriteAhead, "an order is recorded before it leaves"},
			{offReservation, "an order without an answer keeps its memory"},
			{offSeenUnload, "memory is free when the endpoint shows it, not when an unload is accepted"},
			{offFenceCheck, "an endpoint that ignores fences is not taken for one that refuses old ones"},
			{offOrderID, "an endpoint carries an order out once, however often it arrives"},
			{offIncarnation, "an order reaches only the process that it is meant for"},
			{offHolder, "a record is written only by the lease's holder, over the version that it read"},
		},
		Start: func(off string) explore.State { return memoryStart{off} },
	}
}

// memoryStart lets the endpoint be of either kind.
type memoryStart struct {
	off string
}

// Key implements explore.State.
func (memoryStart) Key() string { return "start" }

// Check implements explore.State.
func (memoryStart) Check() error { return nil }

// Steps implements explore.State.
func (m memoryStart) Steps() []explore.Step {
	ignores := explore.Step{Name: "an endpoint that ignores fences starts", Take: func() explore.State { return newMemory(m.off, false) }}
	if m.off == offFenceCheck {
		return []explore.Step{ignores}
	}
	refuses := explore.Step{Name: "an endpoint that refuses old fences starts", Take: func() explore.State { return newMemory(m.off, true) }}
	return []explore.Step{refuses, ignores}
}

// memoryState is the store, the placers, the orders on their way and the endpoint.
type memoryState struct {
	off     string
	placers [modelPlacers]placer
	// record, version and fence are in the store; holder is one more than the placer
	// that has the lease, zero when nobody has.
	record  []byte
	version int
	fence   fleet.Fence
	holder  int
	flying  []ledger.Order
	engine  engine
	left    chances
}

// chances are how often things may still happen.
type chances struct {
	orders, lapses, doubles, restarts, replies int
}

// placer is one that may hold the lease, or believe that it does.
type placer struct {
	fence   fleet.Fence // zero when it believes in no lease
	ledger  *ledger.Ledger
	text    string // of the ledger, in a key
	version int
	dirty   bool
	seen    *ledger.State // read, and not taken in yet
	outbox  *ledger.Order // recorded, and not sent yet
	waiting string        // the order sent without an answer yet
	unsent  []string
	serial  int
}

// engine is the endpoint.
type engine struct {
	checks    bool
	starts    int
	fence     fleet.Fence
	residents []ledger.Resident
	done      []string // orders that it has answered
}

// newMemory returns the state in which the first placer has the lease and has seen the
// endpoint.
func newMemory(off string, checks bool) *memoryState {
	s := &memoryState{off: off, engine: engine{checks: checks}, left: chancesOf(off)}
	first := &s.placers[0]
	acquire(0)(s, first)
	first.change(func(l *ledger.Ledger) { l.Observe(*s.engine.state()) })
	return s
}

// chancesOf leaves out the faults that the lack of a mechanism does not need to show.
func chancesOf(off string) chances {
	c := chances{orders: memoryOrders, lapses: 1, doubles: 1, restarts: 1, replies: 1}
	switch off {
	case offFenceCheck:
		c.doubles, c.restarts, c.replies = 0, 0, 0
	case offOrderID:
		c.lapses, c.restarts, c.replies = 0, 0, 0
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
	fmt.Fprintf(&b, "%x %d %d %d %v %v %v", s.record, s.version, s.fence, s.holder, s.flying, s.engine, s.left)
	for _, p := range s.placers {
		fmt.Fprintf(&b, "|%d %d %t %v %v %s %v %d", p.fence, p.version, p.dirty, p.seen, p.outbox, p.waiting, p.unsent, p.serial)
		if p.ledger != nil {
			b.WriteString(p.text)
		}
	}
	return b.String()
}

// Check implements explore.State.
func (s *memoryState) Check() error {
	if used := s.engine.used(); used > modelMemory {
		return fmt.Errorf("%w: %d of %d GiB used", errOvercommitted, used/gib, modelMemory/gib)
	}
	if s.record == nil {
		return nil
	}
	l, err := ledger.Decode(modelTarget, s.record)
	if err != nil {
		return err
	}
	if charged := l.ChargedBytes(); charged > modelMemory {
		return fmt.Errorf("%w: %d of %d GiB recorded", errOvercommitted, charged/gib, modelMemory/gib)
	}
	return nil
}

func (e engine) used() int64 {
	var sum int64
	for _, r := range e.residents {
		sum += r.Bytes
	}
	return sum
}

func (e engine) incarnation() string {
	return fmt.Sprint("start ", e.starts)
}

// state is what the endpoint shows.
func (e engine) state() *ledger.State {
	return &ledger.State{
		Incarnation: e.incarnation(), Fence: e.fence, ChecksFence: e.checks,
		Memory: modelMemory, Used: e.used(), Models: e.residents,
	}
}

// take carries out an order, false when it is refused.
func (e *engine) take(o ledger.Order, off string) bool {
	if slices.Contains(e.done, o.ID) && off != offOrderID {
		return true
	}
	if e.checks && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.done = append(slices.Clone(e.done), o.ID)
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
