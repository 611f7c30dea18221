// Package platform is a stand-in for the key-value service and instance list of
// the platform, for tests and the demonstration. It serves the part of Consul's
// HTTP API that chiveramp uses. Faults can be injected at run time.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chiveramp/chiveramp/internal/platform"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 64 << 20

// Faults are the failures to inject.
type Faults struct {
	// Down refuses every call with an error; no write takes effect.
	Down bool `json:"down"`
	// Cut closes every connection without a reply; no write takes effect.
	Cut bool `json:"cut"`
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int `json:"slow"`
	// LoseReply is the number of writes that take effect but get no reply.
	LoseReply int `json:"loseReply"`
	// LoseWrite is the number of writes that are dropped without a reply.
	LoseWrite int `json:"loseWrite"`
	// ListLagMillis is the delay before a change of the instance list becomes
	// visible, in milliseconds.
	ListLagMillis int `json:"listLag"`
}

// Server is the stand-in server. It is safe for concurrent use.
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

// WithClock replaces the wall clock used for sessions, rate limits and the lag of
// the instance list.
func WithClock(clock func() time.Time) Option {
	return func(s *Server) { s.clock = clock }
}

// WithSleep replaces the function that delays calls while SlowMillis is set.
func WithSleep(sleep func(time.Duration)) Option {
	return func(s *Server) { s.sleep = sleep }
}

// WithLockDelay sets how long a key cannot be locked after the session that
// locked it ended.
func WithLockDelay(delay time.Duration) Option {
	return func(s *Server) { s.lockDelay = delay }
}

// WithRateLimits limits writes and reads per second; calls beyond the limit
// get status 429. Zero means no limit.
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

// Calls returns the number of calls received by kind, including refused ones.
func (s *Server) Calls() platform.Calls {
	return s.counter.Calls()
}

// Refused returns the number of calls refused by the rate limits.
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

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetMember adds or updates a member. The change becomes visible after the lag of
// the list.
func (s *Server) SetMember(member Member) {
	lag := time.Duration(s.Faults().ListLagMillis) * time.Millisecond
	s.members.add(s.clock().Add(lag), member)
}

// RestoreMembers resets the list to its first changes, as when the platform's
// service is restored from a snapshot. The index of the list goes down.
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

// admit counts a call and applies the rate limits and the faults that act before
// the call takes effect. It reports whether to proceed with the call.
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

// consumeFault decrements a counted fault and reports whether it was above zero.
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

// replyToWrite sends the reply to a write, unless the LoseReply fault drops it.
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

// decodeBody decodes the body of a request as JSON. If that fails, it replies with
// status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
