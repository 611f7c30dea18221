package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

func (s *Server) preload(model fleet.Model, bytes int64) {
	s.residents = append(s.residents, &resident{model: model, bytes: bytes})
}

// used returns the bytes held by residents and the cache.
func (s *Server) used() int64 {
	used := s.state.KV
	for _, r := range s.residents {
		used += r.bytes
	}
	return used
}

// settle drops residents whose unloading has ended, and notes the load.
func (s *Server) settle(now time.Time) {
	s.residents = slices.DeleteFunc(s.residents, func(r *resident) bool {
		return r.dropping && r.runs == 0 && !r.ready.After(now)
	})
	s.report(now)
}

func (r *resident) state(now time.Time) endpoint.ResidentState {
	switch {
	case r.dropping:
		return endpoint.ResidentUnloading
	case r.ready.After(now):
		return endpoint.ResidentLoading
	default:
		return endpoint.ResidentReady
	}
}

// serving returns the ready resident that a request's model name means: a
// model, an adapter, or "model:adapter".
func (s *Server) serving(name string, now time.Time) *resident {
	for _, r := range s.residents {
		if r.state(now) == endpoint.ResidentReady && r.answersTo(name) {
			return r
		}
	}
	return nil
}

func (r *resident) answersTo(name string) bool {
	if r.adapter == "" {
		return string(r.model) == name
	}
	return string(r.adapter) == name || string(r.model)+":"+string(r.adapter) == name
}

func (s *Server) find(model fleet.Model, adapter fleet.Adapter) *resident {
	for _, r := range s.residents {
		if r.model == model && r.adapter == adapter {
			return r
		}
	}
	return nil
}

// refusalOf is why an order was not taken.
type refusalOf struct {
	status int
	code   string
}

// take carries out one order. The same order id again gets the same reply.
func (s *Server) take(order endpoint.Order) (endpoint.OrderReply, *refusalOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.settle(now)
	s.counts.Orders++
	if reply, ok := s.orders[order.ID]; ok && order.ID != "" {
		return reply, nil
	}
	if s.stale(order.Fence) {
		s.counts.Stale++
		return endpoint.OrderReply{}, &refusalOf{http.StatusConflict, endpoint.CodeStale}
	}
	s.state.Fence = max(s.state.Fence, order.Fence)
	status, refused := s.carryOut(order, now)
	if refused != nil {
		return endpoint.OrderReply{}, refused
	}
	reply := endpoint.OrderReply{ID: order.ID, Status: status, Fence: s.state.Fence}
	s.orders[order.ID] = reply
	return reply, nil
}

func (s *Server) stale(fence fleet.Fence) bool {
	return s.state.ChecksFence && !s.faults.IgnoreFences && fence < s.state.Fence
}

func (s *Server) carryOut(order endpoint.Order, now time.Time) (endpoint.OrderStatus, *refusalOf) {
	switch order.Kind {
	case endpoint.OrderLoad:
		return s.load(order.Model, "", order.Bytes, now)
	case endpoint.OrderLoadAdapter:
		return s.load(order.Model, order.Adapter, order.Bytes, now)
	case endpoint.OrderUnload:
		return s.unload(order.Model, "", now), nil
	case endpoint.OrderUnloadAdapter:
		return s.unload(order.Model, order.Adapter, now), nil
	case endpoint.OrderRole:
		s.state.Role = order.Role
		return endpoint.OrderDone, nil
	default:
		return "", &refusalOf{http.StatusBadRequest, "unknown_order"}
	}
}

func (s *Server) load(model fleet.Model, adapter fleet.Adapter, bytes int64, now time.Time) (endpoint.OrderStatus, *refusalOf) {
	if r := s.find(model, adapter); r != nil {
		r.dropping = false
		return status(!r.ready.After(now)), nil
	}
	if adapter != "" && s.find(model, "") == nil {
		return "", &refusalOf{http.StatusNotFound, endpoint.CodeNoModel}
	}
	if bytes <= 0 {
		bytes = sizeOf(adapter)
	}
	if s.used()+bytes > s.state.Memory {
		s.counts.Overcommits++
		if !s.faults.Overcommit {
			return "", &refusalOf{http.StatusInsufficientStorage, endpoint.CodeMemory}
		}
	}
	s.counts.Loads++
	r := &resident{model: model, adapter: adapter, bytes: bytes, ready: now.Add(s.loadTime)}
	s.residents = append(s.residents, r)
	s.counts.Peak = max(s.counts.Peak, s.used())
	if s.weights != "" {
		r.ready = now.Add(farAhead)
		s.web.Go(func() error { return s.fetch(r) })
	}
	return status(!r.ready.After(now)), nil
}

func sizeOf(adapter fleet.Adapter) int64 {
	if adapter != "" {
		return adapterBytes
	}
	return defaultModelBytes
}

// unload lets running requests end first. Adapters go with their model.
func (s *Server) unload(model fleet.Model, adapter fleet.Adapter, now time.Time) endpoint.OrderStatus {
	for _, r := range s.residents {
		if r.model == model && (adapter == "" || r.adapter == adapter) {
			r.dropping = true
		}
	}
	s.settle(now)
	return status(s.find(model, adapter) == nil)
}

func status(done bool) endpoint.OrderStatus {
	if done {
		return endpoint.OrderDone
	}
	return endpoint.OrderAccepted
}

// State returns what the engine holds now.
func (s *Server) State() endpoint.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.settle(now)
	state := s.state
	state.Used = s.used()
	state.Leaving = s.faults.Leaving
	state.ChecksFence = s.state.ChecksFence && !s.faults.IgnoreFences
	for _, r := range s.residents {
		state.Models = append(state.Models, endpoint.Resident{
			Model: r.model, Adapter: r.adapter, Bytes: r.bytes, State: r.state(now),
		})
	}
	return state
}
