package roster

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// reportLag is how long an endpoint's reports may not yet show a change there: reports
// are some hundred milliseconds old, and arrive through an instance that polls periodically.
const reportLag = 800 * time.Millisecond

// maxPresence and maxAbsence are how long an observation counts without a newer report. In
// a fleet of hundreds of instances reports arrive only every few seconds. A wrong presence
// costs a request that is sent in vain once the adapter has been evicted, a wrong absence
// keeps requests from a copy.
const (
	maxPresence = 4 * time.Second
	maxAbsence  = 3 * time.Second
)

// observation is the result of a send or an order that reports may not show yet.
type observation struct {
	at      time.Time
	present bool
}

// RecordPresence records that the endpoint has a model or adapter, or that it lacks it.
// This overrides reports that were taken less than reportLag later. An empty adapter means the base model.
func (r *Roster) RecordPresence(now time.Time, id fleet.Endpoint, what Adapter, present bool) {
	if e := r.endpoints[id]; e != nil {
		e.recordPresence(now, what, present)
	}
}

func (e *Endpoint) recordPresence(now time.Time, what Adapter, present bool) {
	if e.observations == nil {
		e.observations = make(map[Adapter]observation)
	}
	e.observations[what] = observation{at: now, present: present}
}

// MarkUnloading records that a model is about to be unloaded, so that no new request for
// it is sent there.
func (r *Roster) MarkUnloading(now time.Time, id fleet.Endpoint, model fleet.Model) {
	r.RecordPresence(now, id, Adapter{Model: model}, false)
}

// Serves reports whether the endpoint has the model, and the adapter if that is not empty.
func (e *Endpoint) Serves(now time.Time, model fleet.Model, adapter fleet.Adapter) bool {
	base := Adapter{Model: model}
	if !e.isLoaded(now, base, Holds(e.Holdings(), model, "")) {
		return false
	}
	return adapter == "" || e.isLoaded(now, Adapter{Model: model, Adapter: adapter}, Holds(e.Holdings(), model, adapter))
}

func (e *Endpoint) isLoaded(now time.Time, what Adapter, reported bool) bool {
	o, ok := e.observations[what]
	if !ok {
		return reported
	}
	age, limit := now.Sub(o.at), maxAbsence
	if o.present {
		limit = maxPresence
	}
	if age < reportLag || age < limit && e.Report.Taken.Before(o.at.Add(reportLag)) {
		return o.present
	}
	return reported
}
