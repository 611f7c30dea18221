// Package service is a stand-in for a plain service. It counts the calls that it
// runs. It is for tests and the demonstration only.
package service

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/standin/web"
)

// Paths of the admin interface, with which tests set faults and read counts.
const (
	PathFaults = "/standin/faults"
	PathCounts = "/standin/counts"
)

const maxBodyBytes = 32 << 20 // bytes

// Faults are the failures that a service simulates. They can be changed at run
// time.
type Faults struct {
	// Delay is the time a call takes, in milliseconds.
	Delay int `json:"delay"`
	// Status replaces the status of each answer; zero to leave it unchanged.
	Status int `json:"status"`
	// ReplyLost is the number of next calls that run but lose their reply because
	// the connection is closed.
	ReplyLost int `json:"reply_lost"`
	// CutAfter truncates answers after this many bytes; zero for never.
	CutAfter int `json:"cut_after"`
	// Leaving makes the service reject new calls and fail its health check.
	Leaving bool `json:"leaving"`
}

// Counts are the counters that tests check.
type Counts struct {
	// Total is the number of calls that ran.
	Total int `json:"total"`
	// Keys counts the calls by idempotency key, Paths by method and path.
	Keys  map[string]int `json:"keys"`
	Paths map[string]int `json:"paths"`
	// Bytes is the number of body bytes that arrived.
	Bytes int64 `json:"bytes"`
}

// Reply is the answer to a call that ran.
type Reply struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Bytes   int64  `json:"bytes"`
	// Run is the sequence number of the call among those that ran, from 1.
	Run int `json:"run"`
}

// Server is one plain service.
type Server struct {
	name string
	*web.Server

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns a service that is not listening yet.
func New(name string) *Server {
	s := &Server{name: name, counts: Counts{Keys: map[string]int{}, Paths: map[string]int{}}}
	s.Server = web.New(s.Handler())
	return s
}

// SetFaults replaces the simulated faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Keys = maps.Clone(s.counts.Keys)
	counts.Paths = maps.Clone(s.counts.Paths)
	return counts
}

// Handler returns the service's HTTP interface. A call whose path ends in /echo
// streams the request body back as it arrives; any other call is answered with a
// Reply.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("PUT "+PathFaults, s.serveFaults)
	mux.HandleFunc("GET "+PathCounts, s.serveCounts)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Leaving {
		refuseLeaving(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func refuseLeaving(w http.ResponseWriter) {
	writeJSON(w, http.StatusServiceUnavailable, json.RawMessage(`{"error":{"code":"leaving","message":"leaving"}}`))
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
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

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults()
	if faults.Leaving {
		refuseLeaving(w)
		return
	}
	reply := s.countCall(r)
	if len(r.URL.Path) >= 5 && r.URL.Path[len(r.URL.Path)-5:] == "/echo" {
		s.echo(w, r)
		return
	}
	count, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reply.Bytes = count
	s.addBytes(count)
	time.Sleep(time.Duration(faults.Delay) * time.Millisecond)
	if s.consumeReplyLoss() {
		panic(http.ErrAbortHandler)
	}
	s.writeReply(w, faults, reply)
}

// countCall counts one call as run and returns its reply.
func (s *Server) countCall(r *http.Request) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	s.counts.Total++
	s.counts.Paths[r.Method+" "+r.URL.Path]++
	if key != "" {
		s.counts.Keys[key]++
	}
	return Reply{Service: s.name, Method: r.Method, Path: r.URL.Path, Key: key, Run: s.counts.Total}
}

func (s *Server) addBytes(count int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Bytes += count
}

// consumeReplyLoss decrements the ReplyLost fault and reports whether it was above
// zero.
func (s *Server) consumeReplyLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ReplyLost == 0 {
		return false
	}
	s.faults.ReplyLost--
	return true
}

func (s *Server) writeReply(w http.ResponseWriter, faults Faults, reply Reply) {
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	if faults.CutAfter > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(faults.CutAfter+1))
		_, _ = w.Write(make([]byte, faults.CutAfter))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, reply)
}

// echo streams the request body back chunk by chunk while it is still arriving.
func (s *Server) echo(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	buffer := make([]byte, 32<<10)
	for {
		count, err := r.Body.Read(buffer)
		s.addBytes(int64(count))
		if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
			return
		}
		_ = controller.Flush()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	data, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
