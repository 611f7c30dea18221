package roster

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// lag is how long an endpoint's reports may miss what happened there: reports are
// some hundred milliseconds old, and pass through an instance that asks now and then.
const lag = 800 * time.Millisecond

// belief is what a send or an order has shown since the last reports.
type belief struct {
	at      time.Time
	present bool
}

// Learned notes that the endpoint has a model or adapter, or that it lacks it,
// whatever its next reports say. An empty adapter stands for the base model.
func (r *Roster) Learned(now time.Time, id fleet.Endpoint, what Adapter, present bool) {
	if e := r.endpoints[id]; e != nil {
		e.learn(now, what, present)
	}
}

func (e *Endpoint) learn(now time.Time, what Adapter, present bool) {
	if e.beliefs == nil {
		e.beliefs = make(map[Adapter]belief)
	}
	e.beliefs[what] = belief{at: now, present: present}
}

// Retiring notes that a model is about to be unloaded: nothing new goes there for it.
func (r *Roster) Retiring(now time.Time, id fleet.Endpoint, model fleet.Model) {
	r.Learned(now, id, Adapter{Model: model}, false)
}

// Serves reports whether the endpoint has the model, and the adapter if that is not empty.
func (e *Endpoint) Serves(now time.Time, model fleet.Model, adapter fleet.Adapter) bool {
	base := Adapter{Model: model}
	if !e.has(now, base, Holds(e.Holdings(), model, "")) {
		return false
	}
	return adapter == "" || e.has(now, Adapter{Model: model, Adapter: adapter}, Holds(e.Holdings(), model, adapter))
}

func (e *Endpoint) has(now time.Time, what Adapter, reported bool) bool {
	if b, ok := e.beliefs[what]; ok && now.Sub(b.at) < lag {
		return b.present
	}
	return reported
}
