// Package platform is a stand-in for the platform's key-value service and
// instance list, for tests and the demonstration. It serves the part of
// Consul's HTTP API that chiveramp uses, with faults that can be switched on.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chiveramp/chiveramp/internal/platform"
)

// maxBodyBytes limits a request's body, in bytes.
const maxBodyBytes = 64 << 20

// Faults are the faults that are switched on.
type Faults struct {
	// Down refuses every call; nothing takes effect.
	Down bool `json:"down"`
	// Cut closes every connection without an answer; nothing takes effect.
	Cut bool `json:"cut"`
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int `json:"slow"`
	// LoseReply lets that many writes take effect and get no answer.
	LoseReply int `json:"loseReply"`
	// LoseWrite drops that many writes before they take effect, without an answer.
	LoseWrite int `json:"loseWrite"`
	// ListLagMillis is how late a change of the instance list shows, in milliseconds.
	ListLagMillis int `json:"listLag"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	clock     func() time.Time
	sleep     func(time.Duration)
	lockDelay time.Duration
	writes    *rate.Limiter
	reads     *rate.Limiter
	counter   *platform.Counter
	store     *kvStore
	members   *memberList
	mux       *http.ServeMux

	mu          sync.Mutex
	faults      Faults
	rateLimited uint64
}

// Option configures a Server.
type Option func(*Server)

// WithClock replaces the wall clock that leases and the list's lag go by.
func WithClock(clock func() time.Time) Option {
	return func(s *Server) { s.clock = clock }
}

// WithSleep replaces how a slow call waits.
func WithSleep(sleep func(time.Duration)) Option {
	return func(s *Server) { s.sleep = sleep }
}

// WithLockDelay keeps a key from being taken for a while after its lease lapsed.
func WithLockDelay(delay time.Duration) Option {
	return func(s *Server) { s.lockDelay = delay }
}

// WithRateLimits refuses calls past these rates, a second. Zero sets no limit.
func WithRateLimits(writes, reads float64) Option {
	return func(s *Server) {
		s.writes = newLimiter(writes)
		s.reads = newLimiter(reads)
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// NewServer returns a stand-in without faults.
func NewServer(opts ...Option) *Server {
	s := &Server{
		clock:   time.Now,
		sleep:   time.Sleep,
		writes:  newLimiter(0),
		reads:   newLimiter(0),
		counter: platform.NewCounter(nil),
		members: newMemberList(),
		mux:     http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.store = newKVStore(s.lockDelay)
	s.registerRoutes()
	return s
}

// Handler returns the stand-in's HTTP handler.
func (s *Server) Handler() http.Handler {
	return s.mux
}

// Calls returns how many calls arrived, by kind, refused ones included.
func (s *Server) Calls() platform.Calls {
	return s.counter.Calls()
}

// Refused returns how many calls were refused for their rate.
func (s *Server) Refused() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimited
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the faults that are on.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetMember adds or changes a listed member, shown after the list's lag.
func (s *Server) SetMember(member Member) {
	lag := time.Duration(s.Faults().ListLagMillis) * time.Millisecond
	s.members.add(s.clock().Add(lag), member)
}

// RestoreMembers goes back to the list as it was after its first changes, as when
// the platform's service is restored from a snapshot: the index falls.
func (s *Server) RestoreMembers(changes int) {
	s.members.truncate(changes)
}

func (s *Server) registerRoutes() {
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.getKey)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.putKey)
	s.mux.HandleFunc("PUT /v1/txn", s.putTxn)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	s.mux.HandleFunc("GET /v1/health/service/{service}", s.listMembers)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /standin/members", s.putMember)
	s.mux.HandleFunc("PUT /standin/restore", s.putRestore)
	s.mux.HandleFunc("GET /standin/calls", s.getCalls)
}

// admit counts a call and applies the faults and rates that act before it
// takes effect. It reports whether the call may go on.
func (s *Server) admit(w http.ResponseWriter, kind platform.Kind) bool {
	s.counter.Add(kind)
	f := s.Faults()
	if f.SlowMillis > 0 {
		s.sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	switch {
	case f.Cut:
		panic(http.ErrAbortHandler)
	case f.Down:
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return false
	case !s.allowRate(kind):
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	if !kind.IsRead() && s.consumeFault(func(f *Faults) *int { return &f.LoseWrite }) {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (s *Server) allowRate(kind platform.Kind) bool {
	l := s.writes
	if kind.IsRead() {
		l = s.reads
	}
	if l.AllowN(s.clock(), 1) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimited++
	return false
}

// consumeFault uses up one of a fault's counted strikes.
func (s *Server) consumeFault(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// replyToWrite replies to a write that took effect, unless its reply is to be lost.
func (s *Server) replyToWrite(w http.ResponseWriter, status int, body any) {
	if s.consumeFault(func(f *Faults) *int { return &f.LoseReply }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// decodeBody decodes a request's body and answers 400 when it can't.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
