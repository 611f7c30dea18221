// Package directory keeps what one instance has recorded about the endpoints of its data
// centre: their addresses, the models they serve and their load.
package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// Registration is an endpoint as listed by the platform.
type Registration struct {
	Endpoint    fleet.Endpoint
	Service     string
	Address     string
	Place       fleet.Place
	Incarnation string
	Leaving     bool
}

// Report is a dispatcher's view of one endpoint. PredictedWait is that of a new request.
type Report struct {
	Endpoint      fleet.Endpoint
	Incarnation   string
	Running       int
	Queued        int
	PredictedWait time.Duration
	Leaving       bool
	// Down is set if the endpoint recently failed to answer its dispatcher.
	Down bool
	// AdapterLoads is the number of adapter loads in flight.
	AdapterLoads int
	// Serial is increased by each change of Models or Adapters.
	Serial uint64
	// Drained are the models that are draining and have no requests in flight.
	Drained []fleet.Model
	// Models are the ready models, nil if the report doesn't include them.
	Models []fleet.Model
	// Adapters are the ready adapters, sorted; included only together with Models.
	Adapters []AdapterKey
}

// Entry is what is recorded about one endpoint.
type Entry struct {
	Registration
	Report Report
	// LastReported is when the last report of a dispatcher was applied.
	LastReported time.Time
	// Candidate is the input for routing: the load of the endpoint, with the requests that
	// this instance sent since the last report. It is built when a report changes it, not
	// for each request. Whether the endpoint may be chosen depends on the request.
	Candidate route.Candidate
}

// resetCandidate rebuilds the candidate from the last report, without requests that this
// instance sent.
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

// Directory is safe for concurrent use.
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

// Serial returns the highest serial of the platform's lists that were applied.
func (d *Directory) Serial() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serial
}

// ReplaceAll replaces the registrations by the platform's list. An endpoint that is missing
// from the list is dropped. An endpoint recorded as leaving stays so until its incarnation
// changes, even if it is listed as live.
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

// ApplyReport records a dispatcher's report. A report with nil Models leaves the recorded
// models and adapters as they are; an empty list removes them.
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

// MarkLeaving marks an endpoint as leaving until its incarnation changes.
func (d *Directory) MarkLeaving(id fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.entries[id]; ok {
		e.Leaving = true
	}
}

// CountSent counts a request that this instance sent, until the next report includes it. It
// returns the location of the endpoint.
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

// Incarnation returns the incarnation of the endpoint's process, as last reported.
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

// Len returns the number of endpoints.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.entries)
}

// All returns copies of all entries, sorted by endpoint.
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

// Each calls visit for every endpoint that serves the model or, if model is empty, for
// every endpoint of the service. visit must not retain the entry.
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

// Models returns every model that at least one endpoint serves, sorted.
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
