package placer

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
)

// plannerView builds the input of the planner.
func (p *Placer) plannerView(now time.Time) place.View {
	v := place.View{}
	for _, n := range p.sortedEndpoints() {
		if n.recordLoaded {
			v.Endpoints = append(v.Endpoints, p.endpointView(now, n))
		}
	}
	for _, w := range p.wanted {
		m := place.ModelView{
			Model:       w.Model,
			Service:     w.Service,
			MinCopies:   w.MinCopies,
			Bytes:       w.copyBytes(),
			Fast:        w.FastDemand,
			Slow:        w.SlowDemand,
			Weight:      w.DemandWeight,
			OtherCopies: p.copiesElsewhere(now, w.Model),
		}
		for _, a := range w.Adapters {
			m.Bytes += a.Bytes
		}
		v.Models = append(v.Models, m)
	}
	return v
}

func (p *Placer) endpointView(now time.Time, n *managedEndpoint) place.EndpointView {
	v := place.EndpointView{
		Endpoint: n.target.Endpoint,
		Place:    n.target.Place,
		Service:  n.target.Service,
		Memory:   n.ledger.Memory(),
		Used:     n.ledger.ChargedBytes() + p.missingAdapterBytes(n),
		Dead:     !n.alive(now, p.lostAfter),
		Leaving:  n.target.Leaving || n.ledger.Leaving(),
	}
	for h := range n.ledger.All() {
		if h.Adapter != "" {
			continue
		}
		if h.Resident() {
			v.Models = append(v.Models, h.Model)
		}
		v.Pending = append(v.Pending, n.pendingMoves(h)...)
	}
	return v
}

// pendingMoves returns the moves of one model that are in progress. A load order that
// got no answer is not included: its memory stays reserved, but the planner has to load
// the model on another endpoint.
func (m *managedEndpoint) pendingMoves(h ledger.Allocation) []place.Pending {
	if h.Phase == ledger.PhaseLoading {
		return []place.Pending{{Kind: place.KindLoad, Model: h.Model}}
	}
	if h.Resident() && (m.retired[h.Model] || !h.Serving()) {
		return []place.Pending{{Kind: place.KindUnload, Model: h.Model}}
	}
	return nil
}

// missingAdapterBytes returns the memory that adapters of the endpoint's models still
// need once they are loaded.
func (p *Placer) missingAdapterBytes(n *managedEndpoint) int64 {
	var missing int64
	for _, w := range p.wanted {
		if len(w.Adapters) == 0 || n.ledger.Allocation(ledger.Item{Model: w.Model}).Model == "" {
			continue
		}
		for _, a := range w.Adapters {
			if n.ledger.Allocation(ledger.Item{Model: w.Model, Adapter: a.Adapter}).Model == "" {
				missing += a.Bytes
			}
		}
	}
	return missing
}
