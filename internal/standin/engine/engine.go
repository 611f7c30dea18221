// Package engine is a small stand-in for a model engine: continuous batching,
// a prefix cache, memory, orders and streams, with faults that can be switched
// on. It is for tests and the demonstration only.
package engine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/standin/web"
)

const (
	kib = 1 << 10
	gib = 1 << 30

	defaultMemory     = 48 * gib
	defaultModelBytes = 8 * gib
	adapterBytes      = gib / 4
	defaultKV         = 4 * gib
	tokenBytes        = 128 * kib
	defaultBatch      = 64
	defaultKeep       = 30 * time.Second
	defaultLoadLag    = 200 * time.Millisecond
	defaultEventLag   = 300 * time.Millisecond
)

// ErrCrashed ends Serve when a request made the engine crash.
var ErrCrashed = errors.New("engine crashed")

// Option changes a Server under construction.
type Option func(*Server)

// WithName names the engine in its answers.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithMemory sets the accelerator's memory in bytes.
func WithMemory(bytes int64) Option { return func(s *Server) { s.state.Memory = bytes } }

// WithKV sets the part of the memory that the cache takes, in bytes.
func WithKV(bytes int64) Option { return func(s *Server) { s.state.KV = bytes } }

// WithModel serves a model from the start.
func WithModel(model fleet.Model, bytes int64) Option {
	return func(s *Server) { s.preload(model, bytes) }
}

// WithModels serves models of the usual size from the start.
func WithModels(models ...fleet.Model) Option {
	return func(s *Server) {
		for _, model := range models {
			s.preload(model, defaultModelBytes)
		}
	}
}

// WithChecks makes the engine refuse orders with an old fencing number.
func WithChecks(on bool) Option { return func(s *Server) { s.state.ChecksFence = on } }

// WithStep sets the time between two tokens of a lone request.
func WithStep(step time.Duration) Option { return func(s *Server) { s.step = step } }

// WithPrefill sets the time to read 100 tokens of a prompt.
func WithPrefill(prefill time.Duration) Option { return func(s *Server) { s.prefill = prefill } }

// WithLoadTime sets how long weights take to load.
func WithLoadTime(load time.Duration) Option { return func(s *Server) { s.loadTime = load } }

// WithBatch bounds the requests that run at once.
func WithBatch(most int) Option { return func(s *Server) { s.batch = most } }

// WithKeep sets how long a stream is kept after its connection broke or it ended.
func WithKeep(keep time.Duration) Option { return func(s *Server) { s.keep = keep } }

// WithLags sets how old load reports and cache events are.
func WithLags(load, events time.Duration) Option {
	return func(s *Server) { s.loadLag, s.cache.lag = load, events }
}

// WithFaults sets the faults at the start.
func WithFaults(faults Faults) Option { return func(s *Server) { s.faults = faults } }

// Server is one engine.
type Server struct {
	name     string
	step     time.Duration
	prefill  time.Duration
	loadTime time.Duration
	weights  string // address of the weight store, empty for a fixed time
	batch    int
	keep     time.Duration
	loadLag  time.Duration
	now      func() time.Time

	web *web.Server

	work     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once

	mu        sync.Mutex
	state     endpoint.State
	residents []*resident
	orders    map[string]endpoint.OrderReply
	waiting   []*run
	running   []*run
	runs      map[string]*run
	swept     time.Time
	reports   []endpoint.Load
	cache     *cache
	faults    Faults
	counts    Counts
	crashed   error
}

// New returns an engine that does not listen yet.
func New(opts ...Option) *Server {
	s := &Server{
		name:    "engine",
		batch:   defaultBatch,
		keep:    defaultKeep,
		loadLag: defaultLoadLag,
		now:     time.Now,
		work:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		orders:  map[string]endpoint.OrderReply{},
		runs:    map[string]*run{},
		cache:   newCache(defaultEventLag),
		counts:  Counts{Requests: map[string]int{}, Keys: map[string]int{}},
	}
	s.state.Memory = defaultMemory
	s.state.KV = defaultKV
	s.state.Incarnation = uuid.NewString()
	for _, opt := range opts {
		opt(s)
	}
	s.counts.Peak = s.used()
	s.web = web.New(s.Handler())
	return s
}

// Start listens on an address and serves until Close, Shutdown or a crash.
func (s *Server) Start(ctx context.Context, address string) error {
	if err := s.web.Start(ctx, address); err != nil {
		return err
	}
	s.web.Go(s.runBatch)
	return nil
}

// Address returns the address on which the engine listens.
func (s *Server) Address() string { return s.web.Address() }

// Incarnation returns the id of this start of the engine.
func (s *Server) Incarnation() string { return s.state.Incarnation }

// Wait returns when the engine has ended; ErrCrashed when a request crashed it.
func (s *Server) Wait() error {
	err := s.web.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed != nil {
		return s.crashed
	}
	return err
}

// Close ends the engine at once, as a kill does, and waits for its end.
func (s *Server) Close() error {
	s.halt()
	return s.Wait()
}

// Shutdown refuses new work, lets running requests end, then ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.faults.Leaving = true
	s.mu.Unlock()
	err := s.web.Drain(ctx)
	s.halt()
	return errors.Join(err, s.Wait())
}

func (s *Server) halt() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.web.Stop()
}

// crash ends the engine as a crash of its process does. The lock is held.
func (s *Server) crash(attempt string) {
	if s.crashed == nil {
		s.crashed = fmt.Errorf("request %s: %w", attempt, ErrCrashed)
	}
	s.halt()
}
