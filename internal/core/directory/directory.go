// Package directory holds what one instance knows of the endpoints of its
// data centre: where they are, what they serve and how busy they are.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// Registration is one endpoint of the platform's list.
type Registration struct {
	Endpoint    fleet.Endpoint
	Service     string
	Address     string
	Place       fleet.Place
	Incarnation string
	Leaving     bool
}

// Report is a dispatcher's view of one endpoint. Wait is the predicted wait of a new request.
type Report struct {
	Endpoint      fleet.Endpoint
	Incarnation   string
	Running       int
	Queued        int
	PredictedWait time.Duration
	Leaving       bool
	// Down endpoints did not answer their dispatcher lately.
	Down bool
	// AdapterLoads counts the adapter loads in flight there.
	AdapterLoads int
	// Serial rises with each change of Models or Adapters.
	Serial uint64
	// Drained are the models that were asked to drain and have nothing in flight.
	Drained []fleet.Model
	// Models are ready to be asked for; nil when the report does not tell.
	Models []fleet.Model
	// Adapters are ready to be asked for, in order; told together with Models.
	Adapters []AdapterKey
}

// Entry is what is known of one endpoint.
type Entry struct {
	Registration
	Report Report
	// LastReported is when a dispatcher last reported the endpoint.
	LastReported time.Time
	// Candidate is what a choice reads, made when something changes and not for
	// each choice: how busy the endpoint is, with requests sent from here since the
	// last report. Whether it may be chosen depends on the request.
	Candidate route.Candidate
}

// resetCandidate makes the candidate anew, without requests sent from here.
func (e *Entry) resetCandidate() {
	e.Candidate = route.Candidate{
		Endpoint:     e.Endpoint,
		Place:        e.Place,
		Running:      e.Report.Running,
		Queued:       e.Report.Queued,
		Wait:         e.Report.PredictedWait,
		AdapterLoads: e.Report.AdapterLoads,
		ModelLoaded:  true,
	}
}

// Serves reports whether the endpoint has the model ready.
func (e *Entry) Serves(model fleet.Model) bool {
	return slices.Contains(e.Report.Models, model)
}

// Directory is safe for use by many goroutines.
type Directory struct {
	mu       sync.RWMutex
	entries  map[fleet.Endpoint]*Entry
	models   map[fleet.Model][]*Entry
	adapters adapterIndex
	serial   uint64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries:  make(map[fleet.Endpoint]*Entry),
		models:   make(map[fleet.Model][]*Entry),
		adapters: make(adapterIndex),
	}
}

// Serial is the serial of the platform's list last taken in.
func (d *Directory) Serial() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serial
}

// ReplaceAll takes in the platform's list. An endpoint that is missing from it is dropped.
// A listed "live" never overrides a known "leaving" of the same incarnation.
func (d *Directory) ReplaceAll(serial uint64, rows []Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial = max(d.serial, serial)
	listed := make(map[fleet.Endpoint]bool, len(rows))
	for _, row := range rows {
		listed[row.Endpoint] = true
		d.upsert(row)
	}
	for id, e := range d.entries {
		if !listed[id] {
			d.adapters.update(e, nil)
			delete(d.entries, id)
		}
	}
	d.rebuildIndex()
}

func (d *Directory) upsert(row Registration) {
	known, ok := d.entries[row.Endpoint]
	if ok && known.Incarnation != row.Incarnation {
		d.adapters.update(known, nil)
		ok = false
	}
	if !ok {
		known = &Entry{Registration: row}
		known.resetCandidate()
		d.entries[row.Endpoint] = known
		return
	}
	row.Leaving = row.Leaving || known.Leaving
	known.Registration = row
	known.Candidate.Place = row.Place
}

// ApplyReport takes in a dispatcher's view. A report without models, which is not the
// same as one with none, leaves the known ones as they are.
func (d *Directory) ApplyReport(now time.Time, r Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[r.Endpoint]
	if !ok {
		return
	}
	if r.Models == nil {
		r.Models, r.Adapters = e.Report.Models, e.Report.Adapters
		r.Serial, r.Incarnation = e.Report.Serial, e.Report.Incarnation
	}
	d.adapters.update(e, r.Adapters)
	changed := !slices.Equal(r.Models, e.Report.Models)
	e.Leaving = e.Leaving || r.Leaving
	e.Report, e.LastReported = r, now
	e.resetCandidate()
	if changed {
		d.rebuildIndex()
	}
}

// MarkLeaving marks an endpoint as leaving for as long as its incarnation lasts.
func (d *Directory) MarkLeaving(id fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.entries[id]; ok {
		e.Leaving = true
	}
}

// CountSent counts a request sent from here, until the next report covers it. It
// returns where the endpoint is.
func (d *Directory) CountSent(id fleet.Endpoint) (fleet.Place, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[id]
	if !ok {
		return fleet.Place{}, false
	}
	e.Candidate.Unreported++
	return e.Place, true
}

// Incarnation names the life of the endpoint's process, as last reported.
func (d *Directory) Incarnation(id fleet.Endpoint) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if e, ok := d.entries[id]; ok {
		return e.Report.Incarnation
	}
	return ""
}

// Get returns a copy of one entry.
func (d *Directory) Get(id fleet.Endpoint) (Entry, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Len returns how many endpoints there are.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.entries)
}

// All returns copies of all entries in order of their names.
func (d *Directory) All() []Entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]Entry, 0, len(d.entries))
	for _, e := range d.entries {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// Each calls visit for every endpoint that serves the model, or, when model is
// empty, for every endpoint of the service. The entry must not be kept.
func (d *Directory) Each(model fleet.Model, service string, visit func(*Entry)) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if model != "" {
		for _, e := range d.models[model] {
			visit(e)
		}
		return
	}
	for _, e := range d.entries {
		if e.Service == service {
			visit(e)
		}
	}
}

// Models lists every model that some endpoint serves, in order.
func (d *Directory) Models() []fleet.Model {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := make([]fleet.Model, 0, len(d.models))
	for name := range d.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (d *Directory) rebuildIndex() {
	clear(d.models)
	for _, e := range d.entries {
		for _, m := range e.Report.Models {
			d.models[m] = append(d.models[m], e)
		}
	}
	for _, list := range d.models {
		slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	}
}
