package models

import (
	"fmt"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// Steps implements explore.State.
func (s *memoryState) Steps() []explore.Step {
	b := &memorySteps{from: s}
	for i := range s.placers {
		b.placerSteps(i)
	}
	b.networkSteps()
	b.endpointSteps()
	if s.holder > 0 && s.remaining.lapses > 0 {
		b.add("the lease lapses", func(s *memoryState) { s.holder, s.remaining.lapses = 0, s.remaining.lapses-1 })
	}
	return b.steps
}

// memorySteps collects the steps that are possible in a state.
type memorySteps struct {
	from  *memoryState
	steps []explore.Step
}

func (b *memorySteps) add(name string, do func(s *memoryState)) {
	b.steps = append(b.steps, explore.Step{Name: name, Take: func() explore.State {
		next := b.from.clone()
		do(next)
		return next
	}})
}

// placerSteps adds the steps of a placer. Like the production placer it does one thing at a
// time, and it may be paused for any time between two of them.
func (b *memorySteps) placerSteps(i int) {
	p := b.from.placers[i]
	act := func(name string, do func(s *memoryState, p *placer)) {
		b.add(fmt.Sprintf("placer %d %s", i+1, name), func(s *memoryState) { do(s, &s.placers[i]) })
	}
	switch {
	case p.awaiting != "":
		act("gets no answer to order "+p.awaiting, func(_ *memoryState, p *placer) {
			p.updateLedger(func(l *ledger.Ledger) { l.MarkLost(p.awaiting) })
			p.awaiting = ""
		})
	case p.outbox != nil:
		act("sends order "+p.outbox.ID, func(s *memoryState, p *placer) {
			s.inFlight = append(slices.Clone(s.inFlight), *p.outbox)
			p.awaiting, p.outbox = p.outbox.ID, nil
		})
	case p.observed != nil:
		act("takes in the state that it read", func(_ *memoryState, p *placer) {
			observed := *p.observed
			p.updateLedger(func(l *ledger.Ledger) { l.Observe(observed) })
			p.observed = nil
		})
	case p.fence == 0 && b.from.holder == 0:
		act("takes the lease and reads the record", acquire(i))
	case p.fence > 0 && p.ledger == nil:
		act("reads the record again", func(s *memoryState, p *placer) { s.reread(i, p) })
	case p.fence > 0:
		b.holderSteps(p, act)
	}
}

// holderSteps adds the steps of a placer that assumes it holds the lease.
func (b *memorySteps) holderSteps(p placer, act func(string, func(*memoryState, *placer))) {
	act("reads the endpoint's state", func(s *memoryState, p *placer) { p.observed = s.endpoint.state() })
	if p.dirty {
		act("writes its record", func(s *memoryState, p *placer) { s.write(p, p.ledger) })
	}
	if !p.ledger.Observed() || b.from.remaining.orders == 0 {
		return
	}
	for _, model := range []fleet.Model{"m@1", "m@2"} {
		for _, kind := range []ledger.OrderKind{ledger.KindLoad, ledger.KindUnload} {
			b.orderSteps(p, kind, model, act)
		}
	}
	if (p.ledger.ChecksFence() || b.from.disabled == mechanismFenceCheck) && p.ledger.Fence() < p.fence {
		act("sends an order that changes nothing", func(s *memoryState, p *placer) {
			o := s.newOrder(p, ledger.KindRole, "")
			p.outbox = &o
		})
	}
}

func (b *memorySteps) orderSteps(p placer, kind ledger.OrderKind, model fleet.Model, act func(string, func(*memoryState, *placer))) {
	s := b.from.clone()
	o := s.newOrder(&p, kind, model)
	next := p.ledger.Clone()
	if next.Reserve(o) != nil {
		return
	}
	name := fmt.Sprintf("records order %s to %s %s", o.ID, kind, model)
	act(name, func(s *memoryState, p *placer) { s.prepare(p, kind, model) })
	if s.remaining.lostReplies > 0 && s.disabled != mechanismWriteAhead {
		act(name+", the reply is lost", func(s *memoryState, p *placer) {
			s.remaining.lostReplies--
			s.prepare(p, kind, model)
			p.dropOutbox()
		})
	}
}

// networkSteps adds the delivery of orders in flight. A lost order is one that is never
// delivered.
func (b *memorySteps) networkSteps() {
	for i, o := range b.from.inFlight {
		name := "order " + o.ID + " arrives"
		b.add(name, func(s *memoryState) {
			s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
			s.deliver(o)
		})
		if b.from.remaining.duplicates > 0 {
			b.add(name+", and once more later", func(s *memoryState) {
				s.remaining.duplicates--
				s.deliver(o)
			})
		}
	}
}

func (b *memorySteps) endpointSteps() {
	for i, r := range b.from.endpoint.residents {
		if r.State == ledger.PhaseUnloading {
			b.add(fmt.Sprintf("the endpoint has unloaded %s", r.Model), func(s *memoryState) {
				s.endpoint.residents = slices.Delete(slices.Clone(s.endpoint.residents), i, i+1)
			})
		}
	}
	if b.from.remaining.restarts > 0 {
		b.add("the endpoint restarts", func(s *memoryState) {
			s.remaining.restarts--
			s.endpoint = endpointState{checksFence: s.endpoint.checksFence, starts: s.endpoint.starts + 1}
		})
	}
}

// ledgerOptions returns the ledger options that turn off the disabled rule, if it is one
// of the ledger's.
func (s *memoryState) ledgerOptions() []ledger.Option {
	switch s.disabled {
	case mechanismReservation:
		return []ledger.Option{ledger.WithoutReservation()}
	case mechanismSeenUnload:
		return []ledger.Option{ledger.WithoutObservedUnload()}
	case mechanismFenceCheck:
		return []ledger.Option{ledger.WithoutFenceCheck()}
	default:
		return nil
	}
}

func acquire(i int) func(*memoryState, *placer) {
	return func(s *memoryState, p *placer) {
		s.fence++
		s.holder = i + 1
		p.fence = s.fence
		s.loadRecord(p)
	}
}

func (s *memoryState) reread(i int, p *placer) {
	if s.holder != i+1 || s.fence != p.fence {
		p.fence = 0
		return
	}
	s.loadRecord(p)
}

func (s *memoryState) loadRecord(p *placer) {
	l := ledger.New(memoryEndpoint, s.ledgerOptions()...)
	if s.record != nil {
		var err error
		if l, err = ledger.Decode(memoryEndpoint, s.record, s.ledgerOptions()...); err != nil {
			panic(err) // written by the same code
		}
	}
	for _, id := range p.unsent {
		l.MarkRefused(id)
	}
	p.setLedger(l)
	p.version, p.dirty = s.version, false
}

func (s *memoryState) newOrder(p *placer, kind ledger.OrderKind, model fleet.Model) ledger.Order {
	o := ledger.Order{
		ID: fmt.Sprintf("%d-%d", p.fence, p.sequence+1), Fence: p.fence, Kind: kind, Model: model,
		Incarnation: p.ledger.Incarnation(),
	}
	if kind == ledger.KindLoad {
		o.Bytes = versionBytes
	}
	p.sequence++
	return o
}

// prepare records an order and puts it into the outbox. Without write-ahead the order may
// be sent before its record is stored.
func (s *memoryState) prepare(p *placer, kind ledger.OrderKind, model fleet.Model) {
	s.remaining.orders--
	o := s.newOrder(p, kind, model)
	next := p.ledger.Clone()
	if err := next.Reserve(o); err != nil {
		panic(err) // the reservation succeeded when the step was added
	}
	if s.disabled == mechanismWriteAhead {
		p.setLedger(next)
		p.dirty, p.outbox = true, &o
		return
	}
	p.outbox = &o
	if !s.write(p, next) {
		p.dropOutbox()
	}
}

// dropOutbox drops an order whose record may not have been written.
func (p *placer) dropOutbox() {
	if p.outbox != nil {
		p.unsent = append(slices.Clone(p.unsent), p.outbox.ID)
	}
	p.ledger, p.outbox = nil, nil
}

// write stores a ledger. It returns false if the placer no longer holds the lease or the
// record has changed.
func (s *memoryState) write(p *placer, l *ledger.Ledger) bool {
	held := s.holder > 0 && s.fence == p.fence && s.version == p.version
	if !held && s.disabled != mechanismHolder {
		p.ledger = nil
		return false
	}
	data, err := l.Encode()
	if err != nil {
		panic(err)
	}
	s.record = data
	s.version++
	p.setLedger(l)
	p.version, p.dirty = s.version, false
	return true
}

// updateLedger changes a copy of the ledger, since states share ledgers.
func (p *placer) updateLedger(with func(*ledger.Ledger)) {
	if p.ledger == nil {
		return
	}
	next := p.ledger.Clone()
	with(next)
	p.setLedger(next)
	p.dirty = true
}

// setLedger sets a ledger that must not be changed afterwards.
func (p *placer) setLedger(l *ledger.Ledger) {
	p.ledger, p.ledgerText = l, fmt.Sprint(*l)
}

// deliver gives an order to the endpoint, and the answer to the placer if it still waits.
func (s *memoryState) deliver(o ledger.Order) {
	if o.Incarnation != s.endpoint.incarnation() && s.disabled != mechanismIncarnation {
		return // the connection ended with the process
	}
	accepted := s.endpoint.execute(o, s.disabled)
	for i := range s.placers {
		p := &s.placers[i]
		if p.awaiting != o.ID {
			continue
		}
		p.awaiting = ""
		p.updateLedger(func(l *ledger.Ledger) {
			if accepted {
				l.MarkAccepted(o.ID)
			} else {
				l.MarkRefused(o.ID)
			}
		})
	}
}
