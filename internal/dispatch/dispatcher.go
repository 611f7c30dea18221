package dispatch

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/chiveramp/chiveramp/internal/core/admit"
)

// enqueue asks for a turn. The dispatcher answers on reply, once.
type enqueue struct {
	now   time.Time
	item  admit.Item
	reply chan<- admission
}

// admission tells a request whether it may go to the endpoint now.
type admission struct {
	granted  bool
	gone     bool // the endpoint is no longer listed
	decision admit.Decision
}

// release gives a turn back, or gives up waiting for one.
type release struct {
	now time.Time
	id  string
	end admit.End
}

// tick lets queued requests expire and late starts happen.
type tick struct {
	now time.Time
}

// loadQuery asks for the numbers of the queue.
type loadQuery struct {
	now   time.Time
	reply chan<- Load
}

// Load is the exact state of one endpoint's queue. Wait is that of a new standard request.
type Load struct {
	Running int
	Queued  int
	Wait    time.Duration
}

// Dispatcher is the actor that owns the queue of one endpoint.
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

// rejectAll answers all that wait: the endpoint is gone.
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
