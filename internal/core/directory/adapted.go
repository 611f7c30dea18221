package directory

import (
	"cmp"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Adapted is an adapter of a model.
type Adapted struct {
	Model   fleet.Model
	Adapter fleet.Adapter
}

// Compare orders by model, then by adapter.
func (a Adapted) Compare(b Adapted) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

// adapterIndex lists the entries that have an adapter, in order of their names.
// It is changed in place: adapters come and go too often to index all anew.
type adapterIndex map[Adapted][]*Entry

// change moves an entry from the adapters that it was known to have to others.
func (x adapterIndex) change(e *Entry, to []Adapted) {
	from := e.Report.Adapters
	if slices.Equal(from, to) {
		return
	}
	for _, a := range from {
		if !listed(to, a) {
			x.remove(a, e)
		}
	}
	for _, a := range to {
		if !listed(from, a) {
			x.add(a, e)
		}
	}
}

func listed(sorted []Adapted, a Adapted) bool {
	_, found := slices.BinarySearchFunc(sorted, a, Adapted.Compare)
	return found
}

func (x adapterIndex) add(a Adapted, e *Entry) {
	i, found := slices.BinarySearchFunc(x[a], e.Endpoint, byEndpoint)
	if !found {
		x[a] = slices.Insert(x[a], i, e)
	}
}

func (x adapterIndex) remove(a Adapted, e *Entry) {
	i, found := slices.BinarySearchFunc(x[a], e.Endpoint, byEndpoint)
	if found {
		x[a] = slices.Delete(x[a], i, i+1)
	}
	if len(x[a]) == 0 {
		delete(x, a)
	}
}

func byEndpoint(e *Entry, id fleet.Endpoint) int { return cmp.Compare(e.Endpoint, id) }

// EachAdapted is Each with a note whether the endpoint has the adapter ready.
// Endpoints of a model come in order of their names.
func (d *Directory) EachAdapted(model fleet.Model, adapter fleet.Adapter, service string, visit func(*Entry, bool)) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if model == "" {
		d.eachOf(service, visit)
		return
	}
	var holders []*Entry
	if adapter != "" {
		holders = d.adapted[Adapted{Model: model, Adapter: adapter}]
	}
	for _, e := range d.models[model] {
		rest, has := after(holders, e)
		holders = rest
		visit(e, has)
	}
}

// after returns the holders that come after e, and whether e is one.
func after(holders []*Entry, e *Entry) ([]*Entry, bool) {
	for len(holders) > 0 {
		if holders[0] == e {
			return holders[1:], true
		}
		if holders[0].Endpoint > e.Endpoint {
			return holders, false
		}
		holders = holders[1:]
	}
	return nil, false
}

func (d *Directory) eachOf(service string, visit func(*Entry, bool)) {
	for _, e := range d.entries {
		if e.Service == service {
			visit(e, false)
		}
	}
}
