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
		b.placer(i)
	}
	b.network()
	b.endpoint()
	if s.holder > 0 && s.left.lapses > 0 {
		b.add("the lease lapses", func(s *memoryState) { s.holder, s.left.lapses = 0, s.left.lapses-1 })
	}
	return b.steps
}

// memorySteps gathers what may happen in a state.
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

// placer adds what a placer may do. It does one thing after the other, as the real one;
// between two of them it may be paused for as long as it takes.
func (b *memorySteps) placer(i int) {
	p := b.from.placers[i]
	act := func(name string, do func(s *memoryState, p *placer)) {
		b.add(fmt.Sprintf("placer %d %s", i+1, name), func(s *memoryState) { do(s, &s.placers[i]) })
	}
	switch {
	case p.waiting != "":
		act("gets no answer to order "+p.waiting, func(_ *memoryState, p *placer) {
			p.change(func(l *ledger.Ledger) { l.MarkLost(p.waiting) })
			p.waiting = ""
		})
	case p.outbox != nil:
		act("sends order "+p.outbox.ID, func(s *memoryState, p *placer) {
			s.flying = append(slices.Clone(s.flying), *p.outbox)
			p.waiting, p.outbox = p.outbox.ID, nil
		})
	case p.seen != nil:
		act("takes in the state that it read", func(_ *memoryState, p *placer) {
			seen := *p.seen
			p.change(func(l *ledger.Ledger) { l.Observe(seen) })
			p.seen = nil
		})
	case p.fence == 0 && b.from.holder == 0:
		act("takes the lease and reads the record", acquire(i))
	case p.fence > 0 && p.ledger == nil:
		act("reads the record again", func(s *memoryState, p *placer) { s.reread(i, p) })
	case p.fence > 0:
		b.holder(p, act)
	}
}

// holder adds what one does that believes in its lease.
func (b *memorySteps) holder(p placer, act func(string, func(*memoryState, *placer))) {
	act("reads the endpoint's state", func(s *memoryState, p *placer) { p.seen = s.engine.state() })
	if p.dirty {
		act("writes its record", func(s *memoryState, p *placer) { s.write(p, p.ledger) })
	}
	if !p.ledger.Observed() || b.from.left.orders == 0 {
		return
	}
	for _, model := range []fleet.Model{"m@1", "m@2"} {
		for _, kind := range []ledger.OrderKind{ledger.KindLoad, ledger.KindUnload} {
			b.order(p, kind, model, act)
		}
	}
	if (p.ledger.ChecksFence() || b.from.off == offFenceCheck) && p.ledger.Fence() < p.fence {
		act("sends an order that changes nothing", func(s *memoryState, p *placer) {
			o := s.order(p, ledger.KindRole, "")
			p.outbox = &o
		})
	}
}

func (b *memorySteps) order(p placer, kind ledger.OrderKind, model fleet.Model, act func(string, func(*memoryState, *placer))) {
	s := b.from.clone()
	o := s.order(&p, kind, model)
	next := p.ledger.Clone()
	if next.Reserve(o) != nil {
		return
	}
	name := fmt.Sprintf("records order %s to %s %s", o.ID, kind, model)
	act(name, func(s *memoryState, p *placer) { s.prepare(p, kind, model) })
	if s.left.replies > 0 && s.off != offWriteAhead {
		act(name+", the reply is lost", func(s *memoryState, p *placer) {
			s.left.replies--
			s.prepare(p, kind, model)
			p.unsend()
		})
	}
}

// network adds what happens to orders on their way. One that is lost never arrives.
func (b *memorySteps) network() {
	for i, o := range b.from.flying {
		name := "order " + o.ID + " arrives"
		b.add(name, func(s *memoryState) {
			s.flying = slices.Delete(slices.Clone(s.flying), i, i+1)
			s.arrive(o)
		})
		if b.from.left.doubles > 0 {
			b.add(name+", and once more later", func(s *memoryState) {
				s.left.doubles--
				s.arrive(o)
			})
		}
	}
}

func (b *memorySteps) endpoint() {
	for i, r := range b.from.engine.residents {
		if r.State == ledger.PhaseUnloading {
			b.add(fmt.Sprintf("the endpoint has unloaded %s", r.Model), func(s *memoryState) {
				s.engine.residents = slices.Delete(slices.Clone(s.engine.residents), i, i+1)
			})
		}
	}
	if b.from.left.restarts > 0 {
		b.add("the endpoint restarts", func(s *memoryState) {
			s.left.restarts--
			s.engine = engine{checks: s.engine.checks, starts: s.engine.starts + 1}
		})
	}
}

// rules are the ledger's options with one of its rules off.
func (s *memoryState) rules() []ledger.Option {
	switch s.off {
	case offReservation:
		return []ledger.Option{ledger.WithoutReservation()}
	case offSeenUnload:
		return []ledger.Option{ledger.WithoutObservedUnload()}
	case offFenceCheck:
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
		s.load(p)
	}
}

func (s *memoryState) reread(i int, p *placer) {
	if s.holder != i+1 || s.fence != p.fence {
		p.fence = 0
		return
	}
	s.load(p)
}

func (s *memoryState) load(p *placer) {
	l := ledger.New(modelTarget, s.rules()...)
	if s.record != nil {
		var err error
		if l, err = ledger.Decode(modelTarget, s.record, s.rules()...); err != nil {
			panic(err) // written by the same code
		}
	}
	for _, id := range p.unsent {
		l.MarkRefused(id)
	}
	p.keep(l)
	p.version, p.dirty = s.version, false
}

func (s *memoryState) order(p *placer, kind ledger.OrderKind, model fleet.Model) ledger.Order {
	o := ledger.Order{
		ID: fmt.Sprintf("%d-%d", p.fence, p.serial+1), Fence: p.fence, Kind: kind, Model: model,
		Incarnation: p.ledger.Incarnation(),
	}
	if kind == ledger.KindLoad {
		o.Bytes = versionBytes
	}
	p.serial++
	return o
}

// prepare records an order and puts it into the outbox.
func (s *memoryState) prepare(p *placer, kind ledger.OrderKind, model fleet.Model) {
	s.left.orders--
	o := s.order(p, kind, model)
	next := p.ledger.Clone()
	if err := next.Reserve(o); err != nil {
		panic(err) // tried before the step was offered
	}
	if s.off == offWriteAhead {
		p.keep(next)
		p.dirty, p.outbox = true, &o
		return
	}
	p.outbox = &o
	if !s.write(p, next) {
		p.unsend()
	}
}

// unsend drops an order whose record is not known to stand.
func (p *placer) unsend() {
	if p.outbox != nil {
		p.unsent = append(slices.Clone(p.unsent), p.outbox.ID)
	}
	p.ledger, p.outbox = nil, nil
}

// write stores a ledger, false when it is no longer the holder's or was changed.
func (s *memoryState) write(p *placer, l *ledger.Ledger) bool {
	held := s.holder > 0 && s.fence == p.fence && s.version == p.version
	if !held && s.off != offHolder {
		p.ledger = nil
		return false
	}
	data, err := l.Encode()
	if err != nil {
		panic(err)
	}
	s.record = data
	s.version++
	p.keep(l)
	p.version, p.dirty = s.version, false
	return true
}

// change changes a copy of the ledger, for states share them.
func (p *placer) change(with func(*ledger.Ledger)) {
	if p.ledger == nil {
		return
	}
	next := p.ledger.Clone()
	with(next)
	p.keep(next)
	p.dirty = true
}

// keep takes a ledger that is not changed any more.
func (p *placer) keep(l *ledger.Ledger) {
	p.ledger, p.text = l, fmt.Sprint(*l)
}

// arrive gives an order to the endpoint, and the answer to the placer that still waits.
func (s *memoryState) arrive(o ledger.Order) {
	if o.Incarnation != s.engine.incarnation() && s.off != offIncarnation {
		return // the connection ended with the process
	}
	taken := s.engine.take(o, s.off)
	for i := range s.placers {
		p := &s.placers[i]
		if p.waiting != o.ID {
			continue
		}
		p.waiting = ""
		p.change(func(l *ledger.Ledger) {
			if taken {
				l.MarkAccepted(o.ID)
			} else {
				l.MarkRefused(o.ID)
			}
		})
	}
}
