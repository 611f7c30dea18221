package dispatch

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/chiveramp/chiveramp/internal/core/admit"
)

// enter asks for a turn. The dispatcher answers on reply, once.
type enter struct {
	now   time.Time
	item  admit.Item
	reply chan<- turn
}

// turn tells a request whether it may go to the endpoint now.
type turn struct {
	granted bool
	gone    bool // the endpoint is no longer listed
	verdict admit.Decision
}

// leave gives a turn back, or gives up waiting for one.
type leave struct {
	now time.Time
	id  string
	end admit.End
}

// tick lets queued requests expire and late starts happen.
type tick struct {
	now time.Time
}

// load asks for the numbers of the queue.
type load struct {
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
	waiting map[string]chan<- turn
}

func newDispatcher(opts []admit.Option) *Dispatcher {
	return &Dispatcher{queue: admit.New(opts...), waiting: make(map[string]chan<- turn)}
}

// Receive implements actor.Actor.
func (d *Dispatcher) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Stopping:
		d.dismiss()
	case enter:
		d.enter(m)
	case leave:
		d.leave(m)
	case tick:
		d.expire(m.now)
		d.start(m.now)
	case load:
		m.reply <- d.load(m.now)
	}
}

// dismiss answers all that wait: the endpoint is gone.
func (d *Dispatcher) dismiss() {
	for id, reply := range d.waiting {
		delete(d.waiting, id)
		reply <- turn{gone: true}
	}
}

func (d *Dispatcher) enter(m enter) {
	verdict := d.queue.Offer(m.now, m.item)
	switch verdict.State {
	case admit.StateQueued:
		d.waiting[m.item.ID] = m.reply
		d.start(m.now)
	default:
		m.reply <- turn{granted: verdict.State == admit.StateStart, verdict: verdict}
	}
}

func (d *Dispatcher) leave(m leave) {
	if _, queued := d.waiting[m.id]; queued {
		delete(d.waiting, m.id)
		d.queue.Cancel(m.now, m.id)
	} else {
		d.queue.Done(m.now, m.id, m.end)
	}
	d.start(m.now)
}

func (d *Dispatcher) start(now time.Time) {
	for {
		item, ok := d.queue.Next(now)
		if !ok {
			return
		}
		d.answer(item.ID, turn{granted: true})
	}
}

func (d *Dispatcher) expire(now time.Time) {
	for _, refusal := range d.queue.Expire(now) {
		d.answer(refusal.Item.ID, turn{verdict: refusal.Decision})
	}
}

func (d *Dispatcher) answer(id string, t turn) {
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
