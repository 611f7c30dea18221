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

// usedBytes returns the memory taken by residents and the KV cache.
func (s *Server) usedBytes() int64 {
	used := s.state.KV
	for _, r := range s.residents {
		used += r.bytes
	}
	return used
}

// refresh removes residents that have finished unloading, and records the load.
func (s *Server) refresh(now time.Time) {
	s.residents = slices.DeleteFunc(s.residents, func(r *resident) bool {
		return r.unloading && r.activeRuns == 0 && !r.readyAt.After(now)
	})
	s.recordLoad(now)
}

func (r *resident) state(now time.Time) endpoint.ResidentState {
	switch {
	case r.unloading:
		return endpoint.ResidentUnloading
	case r.readyAt.After(now):
		return endpoint.ResidentLoading
	default:
		return endpoint.ResidentReady
	}
}

// readyResident returns the ready resident for the model name in a request, which
// is a model, an adapter or "model:adapter".
func (s *Server) readyResident(name string, now time.Time) *resident {
	for _, r := range s.residents {
		if r.state(now) == endpoint.ResidentReady && r.matches(name) {
			return r
		}
	}
	return nil
}

func (r *resident) matches(name string) bool {
	if r.adapter == "" {
		return string(r.model) == name
	}
	return string(r.adapter) == name || string(r.model)+":"+string(r.adapter) == name
}

func (s *Server) findResident(model fleet.Model, adapter fleet.Adapter) *resident {
	for _, r := range s.residents {
		if r.model == model && r.adapter == adapter {
			return r
		}
	}
	return nil
}

// orderRefusal is the HTTP status and error code for a refused order.
type orderRefusal struct {
	status int
	code   string
}

// applyOrder executes an order. An order that was not refused gets the stored
// reply when it is sent again with the same id.
func (s *Server) applyOrder(order endpoint.Order) (endpoint.OrderReply, *orderRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.refresh(now)
	s.counts.Orders++
	if reply, ok := s.orderReplies[order.ID]; ok && order.ID != "" {
		return reply, nil
	}
	if s.isStale(order.Fence) {
		s.counts.Stale++
		return endpoint.OrderReply{}, &orderRefusal{http.StatusConflict, endpoint.CodeStale}
	}
	s.state.Fence = max(s.state.Fence, order.Fence)
	status, refusal := s.executeOrder(order, now)
	if refusal != nil {
		return endpoint.OrderReply{}, refusal
	}
	reply := endpoint.OrderReply{ID: order.ID, Status: status, Fence: s.state.Fence}
	s.orderReplies[order.ID] = reply
	return reply, nil
}

func (s *Server) isStale(fence fleet.Fence) bool {
	return s.state.ChecksFence && !s.faults.IgnoreFences && fence < s.state.Fence
}

func (s *Server) executeOrder(order endpoint.Order, now time.Time) (endpoint.OrderStatus, *orderRefusal) {
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
		return "", &orderRefusal{http.StatusBadRequest, "unknown_order"}
	}
}

func (s *Server) load(model fleet.Model, adapter fleet.Adapter, bytes int64, now time.Time) (endpoint.OrderStatus, *orderRefusal) {
	if r := s.findResident(model, adapter); r != nil {
		r.unloading = false
		return orderStatus(!r.readyAt.After(now)), nil
	}
	if adapter != "" && s.findResident(model, "") == nil {
		return "", &orderRefusal{http.StatusNotFound, endpoint.CodeNoModel}
	}
	if bytes <= 0 {
		bytes = defaultBytes(adapter)
	}
	if s.usedBytes()+bytes > s.state.Memory {
		s.counts.Overcommits++
		if !s.faults.Overcommit {
			return "", &orderRefusal{http.StatusInsufficientStorage, endpoint.CodeMemory}
		}
	}
	s.counts.Loads++
	r := &resident{model: model, adapter: adapter, bytes: bytes, readyAt: now.Add(s.loadTime)}
	s.residents = append(s.residents, r)
	s.counts.PeakBytes = max(s.counts.PeakBytes, s.usedBytes())
	if s.weightStore != "" {
		r.readyAt = now.Add(farFuture)
		s.web.Go(func() error { return s.fetchWeights(r) })
	}
	return orderStatus(!r.readyAt.After(now)), nil
}

func defaultBytes(adapter fleet.Adapter) int64 {
	if adapter != "" {
		return adapterBytes
	}
	return defaultModelBytes
}

// unload marks a model or adapter for unloading. Its memory is freed once its load and
// its running requests have ended. Unloading a model also unloads its adapters.
func (s *Server) unload(model fleet.Model, adapter fleet.Adapter, now time.Time) endpoint.OrderStatus {
	for _, r := range s.residents {
		if r.model == model && (adapter == "" || r.adapter == adapter) {
			r.unloading = true
		}
	}
	s.refresh(now)
	return orderStatus(s.findResident(model, adapter) == nil)
}

func orderStatus(done bool) endpoint.OrderStatus {
	if done {
		return endpoint.OrderDone
	}
	return endpoint.OrderAccepted
}

// State returns the engine's current state.
func (s *Server) State() endpoint.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.refresh(now)
	state := s.state
	state.Used = s.usedBytes()
	state.Leaving = s.faults.Leaving
	state.ChecksFence = s.state.ChecksFence && !s.faults.IgnoreFences
	for _, r := range s.residents {
		state.Models = append(state.Models, endpoint.Resident{
			Model: r.model, Adapter: r.adapter, Bytes: r.bytes, State: r.state(now),
		})
	}
	return state
}
