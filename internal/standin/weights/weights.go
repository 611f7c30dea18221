// Package weights is a stand-in for the weight store from which engines load
// models and adapters. It limits the rate of model loads and how many run
// concurrently. It is for tests and the demonstration only.
package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chiveramp/chiveramp/internal/standin/web"
)

// Paths of the store.
const (
	// PathModels and PathAdapters are followed by a name. The query parameter bytes
	// is the size of a model.
	PathModels   = "/weights/models/"
	PathAdapters = "/weights/adapters/"
	PathCounts   = "/standin/counts"
	PathFaults   = "/standin/faults"
)

const (
	defaultLoadsPerSecond         = 2
	defaultConcurrentLoads        = 8
	defaultBandwidth              = 4 << 30 // bytes per second of one load
	defaultAdapterLoadTime        = 7 * time.Millisecond
	defaultConcurrentAdapterLoads = 60
	readHeaderTimeout             = 10 * time.Second
)

// Option configures a Server.
type Option func(*Server)

// WithLimits sets the limits of model loads per second and of concurrent model
// loads.
func WithLimits(loadsPerSecond float64, concurrentLoads int) Option {
	return func(s *Server) {
		s.limiter = rate.NewLimiter(rate.Limit(loadsPerSecond), max(1, int(loadsPerSecond)))
		s.maxInFlight = concurrentLoads
	}
}

// WithBandwidth sets the bandwidth of each model load.
func WithBandwidth(bytesPerSecond float64) Option {
	return func(s *Server) { s.bandwidth = bytesPerSecond }
}

// WithAdapters sets the load time of an adapter while no more adapter loads than
// the threshold are in flight. Above the threshold, load times grow in proportion
// to the number in flight.
func WithAdapters(loadTime time.Duration, threshold int) Option {
	return func(s *Server) { s.adapterLoadTime, s.adapterThreshold = loadTime, threshold }
}

// Faults are the failures that the store simulates. They can be changed at run
// time.
type Faults struct {
	// Down makes the store reject all model loads.
	Down bool `json:"down"`
	// ExtraDelay is added to the time of each load, in milliseconds.
	ExtraDelay int `json:"slow"`
}

// Counts are the counters that tests check.
type Counts struct {
	Models       int `json:"models"`   // model loads that ended
	Adapters     int `json:"adapters"` // adapter loads that ended
	Refused      int `json:"refused"`  // model loads rejected
	PeakInFlight int `json:"at_once"`  // highest number of concurrent model loads
	InFlight     int `json:"in_flight"`
}

// Server is one weight store.
type Server struct {
	limiter          *rate.Limiter
	maxInFlight      int
	bandwidth        float64
	adapterLoadTime  time.Duration
	adapterThreshold int

	*web.Server

	mu               sync.Mutex
	faults           Faults
	counts           Counts
	adaptersInFlight int
}

// New returns a store that is not listening yet.
func New(opts ...Option) *Server {
	s := &Server{
		limiter:          rate.NewLimiter(defaultLoadsPerSecond, defaultLoadsPerSecond),
		maxInFlight:      defaultConcurrentLoads,
		bandwidth:        defaultBandwidth,
		adapterLoadTime:  defaultAdapterLoadTime,
		adapterThreshold: defaultConcurrentAdapterLoads,
	}
	for _, opt := range opts {
		opt(s)
	}
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
	return s.counts
}

// Handler returns the store's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathModels+"{name}", s.serveModel)
	mux.HandleFunc("GET "+PathAdapters+"{name}", s.serveAdapter)
	mux.HandleFunc("GET "+PathCounts, s.serveCounts)
	mux.HandleFunc("PUT "+PathFaults, s.serveFaults)
	return mux
}

func (s *Server) serveModel(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.ParseFloat(r.URL.Query().Get("bytes"), 64)
	if err != nil || bytes < 0 {
		http.Error(w, "bytes is not a number", http.StatusBadRequest)
		return
	}
	extraDelay, ok := s.beginModel()
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the store's limits", http.StatusTooManyRequests)
		return
	}
	sleep(r.Context(), extraDelay+time.Duration(bytes/s.bandwidth*float64(time.Second)))
	s.endModel()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) beginModel() (extraDelay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down || s.counts.InFlight >= s.maxInFlight || !s.limiter.Allow() {
		s.counts.Refused++
		return 0, false
	}
	s.counts.InFlight++
	s.counts.PeakInFlight = max(s.counts.PeakInFlight, s.counts.InFlight)
	return time.Duration(s.faults.ExtraDelay) * time.Millisecond, true
}

func (s *Server) endModel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.InFlight--
	s.counts.Models++
}

func (s *Server) serveAdapter(w http.ResponseWriter, r *http.Request) {
	sleep(r.Context(), s.beginAdapter())
	s.endAdapter()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) beginAdapter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adaptersInFlight++
	loadTime := s.adapterLoadTime + time.Duration(s.faults.ExtraDelay)*time.Millisecond
	if s.adaptersInFlight <= s.adapterThreshold {
		return loadTime
	}
	return loadTime * time.Duration(s.adaptersInFlight) / time.Duration(s.adapterThreshold)
}

func (s *Server) endAdapter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adaptersInFlight--
	s.counts.Adapters++
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Counts())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
