package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/endpoint"
)

const (
	loadReportInterval = 20 * time.Millisecond
	maxLoadReports     = 512
)

// Paths through which tests inject faults and read counters.
const (
	PathFaults = "/standin/faults"
	PathCounts = "/standin/counts"
)

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathChat, s.serveChat)
	mux.HandleFunc("GET "+endpoint.PathStream+"{attempt}", s.serveResume)
	mux.HandleFunc("DELETE "+endpoint.PathStream+"{attempt}", s.serveCancel)
	mux.HandleFunc("POST "+endpoint.PathOrders, s.serveOrder)
	mux.HandleFunc("GET "+endpoint.PathState, s.serveState)
	mux.HandleFunc("GET "+endpoint.PathLoad, s.serveLoad)
	mux.HandleFunc("GET "+endpoint.PathEvents, s.serveEvents)
	mux.HandleFunc("GET "+endpoint.PathModels, s.serveModels)
	mux.HandleFunc("POST "+endpoint.PathExport, s.serveExport)
	mux.HandleFunc("POST "+endpoint.PathImport, s.serveImport)
	mux.HandleFunc("GET "+endpoint.PathHealth, s.serveHealth)
	mux.HandleFunc("PUT "+PathFaults, s.serveFaults)
	mux.HandleFunc("GET "+PathCounts, s.serveCounts)
	return mux
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if !decode(w, r, &order) {
		return
	}
	faults := s.currentFaults()
	if delay := time.Duration(faults.OrderDelayMillis) * time.Millisecond; delay > 0 {
		time.Sleep(delay) // the order is applied late, even if the sender has disconnected
	}
	reply, refusal := s.applyOrder(order)
	if faults.OrderReplyLost {
		panic(http.ErrAbortHandler)
	}
	if refusal != nil {
		writeError(w, refusal.status, refusal.code, "order "+order.ID+" refused")
		return
	}
	if reply.Status == endpoint.OrderDone {
		writeJSON(w, http.StatusOK, reply)
		return
	}
	writeJSON(w, http.StatusAccepted, reply)
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.State())
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.now()
	s.refresh(now)
	load := s.delayedLoad(now)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// recordLoad records the current load, from which delayedLoad serves reports.
func (s *Server) recordLoad(now time.Time) {
	if count := len(s.loadReports); count > 0 && now.Sub(s.loadReports[count-1].At) < loadReportInterval {
		return
	}
	kvUsage := float64(s.kvTokens()*kvBytesPerToken) / float64(max(s.state.KV, 1))
	s.loadReports = append(s.loadReports, endpoint.Load{
		Running: len(s.running), Waiting: len(s.waiting), KV: kvUsage, At: now,
	})
	if len(s.loadReports) > maxLoadReports {
		s.loadReports = s.loadReports[len(s.loadReports)-maxLoadReports:]
	}
}

// delayedLoad returns the newest report that is at least loadReportLag old, or
// the oldest one if there is none.
func (s *Server) delayedLoad(now time.Time) endpoint.Load {
	load := s.loadReports[0]
	for _, report := range s.loadReports {
		if now.Sub(report.At) < s.loadReportLag {
			break
		}
		load = report
	}
	return load
}

func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_offset", "after is not a number")
		return
	}
	s.mu.Lock()
	events := s.cache.eventsAfter(after, s.faults.EventGap, s.now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, endpoint.CacheEvents{Incarnation: s.state.Incarnation, Events: events})
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	list := endpoint.ModelList{Object: "list", Data: []endpoint.ModelCard{}}
	for _, r := range s.State().Models {
		if r.State != endpoint.ResidentReady {
			continue
		}
		name := string(r.Model)
		if r.Adapter != "" {
			name = string(r.Adapter)
		}
		list.Data = append(list.Data, endpoint.ModelCard{ID: name, Object: "model", OwnedBy: s.name})
	}
	writeJSON(w, http.StatusOK, list)
}

// cacheExport is the body of an export or import: the cached blocks of a prompt.
type cacheExport struct {
	Model  string   `json:"model"`
	Blocks []uint64 `json:"blocks"`
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var query endpoint.CacheQuery
	if !decode(w, r, &query) {
		return
	}
	s.mu.Lock()
	blocks := s.cache.cachedPrefix(string(query.Model), query.Prompt)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, cacheExport{Model: string(query.Model), Blocks: blocks})
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	var imported cacheExport
	if !decode(w, r, &imported) {
		return
	}
	s.mu.Lock()
	for _, hash := range imported.Blocks {
		s.cache.store(blockKey{imported.Model, hash}, s.now())
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Leaving {
		writeError(w, http.StatusServiceUnavailable, endpoint.CodeLeaving, "leaving")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err.Error())
		return false
	}
	return true
}
