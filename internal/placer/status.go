package placer

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
)

// MoveStatus is a load or unload in progress.
type MoveStatus struct {
	Endpoint fleet.Endpoint `json:"endpoint"`
	Item     string         `json:"item"`
	// Stage is draining, ordered, lost (no answer to the order), loading or unloading.
	Stage string `json:"stage"`
}

// EndpointStatus is the memory, in bytes, and the resident models of one endpoint.
type EndpointStatus struct {
	Endpoint fleet.Endpoint `json:"endpoint"`
	Memory   int64          `json:"memory"`
	Free     int64          `json:"free"`
	Models   []fleet.Model  `json:"models"`
	Seen     time.Time      `json:"seen"`
}

// Status is the state of a placer after its last step.
type Status struct {
	DataCentre fleet.DataCentre `json:"datacentre"`
	// Held is set if this placer holds the lease of its data centre.
	Held       bool             `json:"held"`
	Fence      fleet.Fence      `json:"fence"`
	Reconciled bool             `json:"reconciled"`
	Endpoints  []EndpointStatus `json:"endpoints"`
	Moves      []MoveStatus     `json:"moves"`
	// Degraded lists the problems of the last step that may hold back moves.
	Degraded []string `json:"degraded"`
	// At is the time of the last step.
	At time.Time `json:"at"`
}

// Status returns the state after the last step. It is safe for concurrent use.
func (p *Placer) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.status
	s.Endpoints = slices.Clone(s.Endpoints)
	s.Moves = slices.Clone(s.Moves)
	s.Degraded = slices.Clone(s.Degraded)
	return s
}

func (p *Placer) publishStatus(now time.Time) {
	s := Status{
		DataCentre: p.place.DataCentre,
		Held:       p.lease.live(),
		Fence:      p.lease.fence,
		Reconciled: p.lease.reconciled,
		Degraded:   slices.Clone(p.problems),
		At:         now,
	}
	if s.Held {
		for _, n := range p.sortedEndpoints() {
			if n.recordLoaded {
				s.Endpoints = append(s.Endpoints, n.status())
				s.Moves = append(s.Moves, n.moves()...)
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = s
}

func (m *managedEndpoint) status() EndpointStatus {
	s := EndpointStatus{
		Endpoint: m.target.Endpoint,
		Memory:   m.ledger.Memory(),
		Free:     m.ledger.FreeBytes(),
		Seen:     m.seenAt,
	}
	for h := range m.ledger.All() {
		if h.Adapter == "" && h.Resident() {
			s.Models = append(s.Models, h.Model)
		}
	}
	return s
}

func (m *managedEndpoint) moves() []MoveStatus {
	var moves []MoveStatus
	for h := range m.ledger.All() {
		if stage := m.stage(h); stage != "" {
			moves = append(moves, MoveStatus{Endpoint: m.target.Endpoint, Item: h.Item().String(), Stage: stage})
		}
	}
	return moves
}

func (m *managedEndpoint) stage(h ledger.Allocation) string {
	for _, o := range h.Pending {
		if _, ok := m.lostOrders[o.ID]; ok {
			return "lost"
		}
	}
	switch {
	case len(h.Pending) > 0:
		return "ordered"
	case h.Phase == ledger.PhaseLoading, h.Phase == ledger.PhaseUnloading:
		return string(h.Phase)
	case m.retired[h.Model]:
		return "draining"
	default:
		return ""
	}
}
