package dispatch

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/chiveramp/chiveramp/internal/core/admit"
)

// enqueue asks for a slot at the endpoint. The dispatcher replies exactly once.
type enqueue struct {
	now   time.Time
	item  admit.Item
	reply chan<- admission
}

// admission says whether a request may be sent to the endpoint now.
type admission struct {
	granted  bool
	gone     bool // the endpoint is no longer in the directory
	decision admit.Decision
}

// release returns a slot, or takes a request that still waits out of the queue.
type release struct {
	now time.Time
	id  string
	end admit.End
}

// tick has the dispatcher expire queued requests whose deadline has passed, and start those
// that can start by now.
type tick struct {
	now time.Time
}

// loadQuery asks for the load of the endpoint's queue.
type loadQuery struct {
	now   time.Time
	reply chan<- Load
}

// Load is the exact state of one endpoint's queue. Wait is the time that a new request
// of standard rank would spend in it.
type Load struct {
	Running int
	Queued  int
	Wait    time.Duration
}

// Dispatcher is the actor that owns the admission queue of one endpoint.
type Dispatcher struct {
	queue   *admit.Queue
	waiting map[string]chan<- admission
}

func newDispatcher(opts []admit.Option) *Dispatcher {
	return &Dispatcher{queue: admit.New(opts...), waiting: make(map[string]chan<- admission)}
}

// Receive implements actor.Actor.
func (d *Dispatcher) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Stopping:
		d.rejectAll()
	case enqueue:
		d.enqueue(m)
	case release:
		d.release(m)
	case tick:
		d.expire(m.now)
		d.startNext(m.now)
	case loadQuery:
		m.reply <- d.load(m.now)
	}
}

// rejectAll rejects all waiting requests, since the endpoint is gone.
func (d *Dispatcher) rejectAll() {
	for id, reply := range d.waiting {
		delete(d.waiting, id)
		reply <- admission{gone: true}
	}
}

func (d *Dispatcher) enqueue(m enqueue) {
	decision := d.queue.Offer(m.now, m.item)
	switch decision.State {
	case admit.StateQueued:
		d.waiting[m.item.ID] = m.reply
		d.startNext(m.now)
	default:
		m.reply <- admission{granted: decision.State == admit.StateStart, decision: decision}
	}
}

func (d *Dispatcher) release(m release) {
	if _, queued := d.waiting[m.id]; queued {
		delete(d.waiting, m.id)
		d.queue.Cancel(m.now, m.id)
	} else {
		d.queue.Done(m.now, m.id, m.end)
	}
	d.startNext(m.now)
}

func (d *Dispatcher) startNext(now time.Time) {
	for {
		item, ok := d.queue.Next(now)
		if !ok {
			return
		}
		d.reply(item.ID, admission{granted: true})
	}
}

func (d *Dispatcher) expire(now time.Time) {
	for _, refusal := range d.queue.Expire(now) {
		d.reply(refusal.Item.ID, admission{decision: refusal.Decision})
	}
}

func (d *Dispatcher) reply(id string, t admission) {
	reply, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	reply <- t
}

func (d *Dispatcher) load(now time.Time) Load {
	return Load{
		Running: d.queue.Running(),
		Queued:  d.queue.Queued(),
		Wait:    d.queue.Wait(now, standard),
	}
}
