package directory

import (
	"cmp"
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// AdapterKey identifies an adapter of a model.
type AdapterKey struct {
	Model   fleet.Model
	Adapter fleet.Adapter
}

// Compare sorts by model, then by adapter.
func (a AdapterKey) Compare(b AdapterKey) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

// adapterIndex maps each adapter to the entries that have it, sorted by endpoint. It is
// updated in place: adapters change too often to rebuild the index each time.
type adapterIndex map[AdapterKey][]*Entry

// update replaces the adapters in the entry's last report by new ones.
func (x adapterIndex) update(e *Entry, to []AdapterKey) {
	from := e.Report.Adapters
	if slices.Equal(from, to) {
		return
	}
	for _, a := range from {
		if !contains(to, a) {
			x.remove(a, e)
		}
	}
	for _, a := range to {
		if !contains(from, a) {
			x.add(a, e)
		}
	}
}

func contains(sorted []AdapterKey, a AdapterKey) bool {
	_, found := slices.BinarySearchFunc(sorted, a, AdapterKey.Compare)
	return found
}

func (x adapterIndex) add(a AdapterKey, e *Entry) {
	i, found := slices.BinarySearchFunc(x[a], e.Endpoint, compareEndpoint)
	if !found {
		x[a] = slices.Insert(x[a], i, e)
	}
}

func (x adapterIndex) remove(a AdapterKey, e *Entry) {
	i, found := slices.BinarySearchFunc(x[a], e.Endpoint, compareEndpoint)
	if found {
		x[a] = slices.Delete(x[a], i, i+1)
	}
	if len(x[a]) == 0 {
		delete(x, a)
	}
}

func compareEndpoint(e *Entry, id fleet.Endpoint) int { return cmp.Compare(e.Endpoint, id) }

// EachWithAdapter is like Each and also passes whether the endpoint has the adapter ready.
// The endpoints of a model are visited in order of their names.
func (d *Directory) EachWithAdapter(model fleet.Model, adapter fleet.Adapter, service string, visit func(*Entry, bool)) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if model == "" {
		d.eachOfService(service, visit)
		return
	}
	var holders []*Entry
	if adapter != "" {
		holders = d.adapters[AdapterKey{Model: model, Adapter: adapter}]
	}
	for _, e := range d.models[model] {
		rest, has := advanceTo(holders, e)
		holders = rest
		visit(e, has)
	}
}

// advanceTo returns the holders sorted after e, and whether e is a holder. Both lists are
// sorted by endpoint, so one pass over the holders serves all entries.
func advanceTo(holders []*Entry, e *Entry) ([]*Entry, bool) {
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

func (d *Directory) eachOfService(service string, visit func(*Entry, bool)) {
	for _, e := range d.entries {
		if e.Service == service {
			visit(e, false)
		}
	}
}
