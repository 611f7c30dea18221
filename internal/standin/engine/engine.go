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

	defaultMemoryBytes     = 48 * gib
	defaultModelBytes      = 8 * gib
	adapterBytes           = gib / 4
	defaultKVCacheBytes    = 4 * gib
	kvBytesPerToken        = 128 * kib
	defaultMaxBatch        = 64
	defaultStreamRetention = 30 * time.Second
	defaultLoadReportLag   = 200 * time.Millisecond
	defaultCacheEventLag   = 300 * time.Millisecond
)

// ErrCrashed ends Serve when a request made the engine crash.
var ErrCrashed = errors.New("engine crashed")

// Option changes a Server under construction.
type Option func(*Server)

// WithName names the engine in its answers.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithMemory sets the accelerator's memory in bytes.
func WithMemory(bytes int64) Option { return func(s *Server) { s.state.Memory = bytes } }

// WithKVCache sets the part of the memory that the cache takes, in bytes.
func WithKVCache(bytes int64) Option { return func(s *Server) { s.state.KV = bytes } }

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

// WithFenceChecks makes the engine refuse orders with an old fencing number.
func WithFenceChecks(on bool) Option { return func(s *Server) { s.state.ChecksFence = on } }

// WithStepTime sets the time between two tokens of a lone request.
func WithStepTime(step time.Duration) Option { return func(s *Server) { s.stepTime = step } }

// WithPrefillTime sets the time to read 100 tokens of a prompt.
func WithPrefillTime(prefill time.Duration) Option {
	return func(s *Server) { s.prefillTime = prefill }
}

// WithLoadTime sets how long weights take to load.
func WithLoadTime(load time.Duration) Option { return func(s *Server) { s.loadTime = load } }

// WithMaxBatch bounds the requests that run at once.
func WithMaxBatch(limit int) Option { return func(s *Server) { s.maxBatch = limit } }

// WithStreamRetention sets how long a stream is kept after its connection broke or it ended.
func WithStreamRetention(retention time.Duration) Option {
	return func(s *Server) { s.streamRetention = retention }
}

// WithLags sets how old load reports and cache events are.
func WithLags(load, events time.Duration) Option {
	return func(s *Server) { s.loadReportLag, s.cache.eventLag = load, events }
}

// WithFaults sets the faults at the start.
func WithFaults(faults Faults) Option { return func(s *Server) { s.faults = faults } }

// Server is one engine.
type Server struct {
	name            string
	stepTime        time.Duration
	prefillTime     time.Duration
	loadTime        time.Duration
	weightStore     string // address of the weight store, empty for a fixed time
	maxBatch        int
	streamRetention time.Duration
	loadReportLag   time.Duration
	now             func() time.Time

	web *web.Server

	workReady chan struct{}
	stop      chan struct{}
	stopOnce  sync.Once

	mu           sync.Mutex
	state        endpoint.State
	residents    []*resident
	orderReplies map[string]endpoint.OrderReply
	waiting      []*run
	running      []*run
	runs         map[string]*run
	lastSweep    time.Time
	loadReports  []endpoint.Load
	cache        *cache
	faults       Faults
	counts       Counts
	crashErr     error
}

// New returns an engine that does not listen yet.
func New(opts ...Option) *Server {
	s := &Server{
		name:            "engine",
		maxBatch:        defaultMaxBatch,
		streamRetention: defaultStreamRetention,
		loadReportLag:   defaultLoadReportLag,
		now:             time.Now,
		workReady:       make(chan struct{}, 1),
		stop:            make(chan struct{}),
		orderReplies:    map[string]endpoint.OrderReply{},
		runs:            map[string]*run{},
		cache:           newCache(defaultCacheEventLag),
		counts:          Counts{Requests: map[string]int{}, Keys: map[string]int{}},
	}
	s.state.Memory = defaultMemoryBytes
	s.state.KV = defaultKVCacheBytes
	s.state.Incarnation = uuid.NewString()
	for _, opt := range opts {
		opt(s)
	}
	s.counts.PeakBytes = s.usedBytes()
	s.web = web.New(s.Handler())
	return s
}

// Start listens on an address and serves until Close, Shutdown or a crash.
func (s *Server) Start(ctx context.Context, address string) error {
	if err := s.web.Start(ctx, address); err != nil {
		return err
	}
	s.web.Go(s.runBatchLoop)
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
	if s.crashErr != nil {
		return s.crashErr
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

// crashLocked ends the engine as a crash of its process does. The lock is held.
func (s *Server) crashLocked(attempt string) {
	if s.crashErr == nil {
		s.crashErr = fmt.Errorf("request %s: %w", attempt, ErrCrashed)
	}
	s.halt()
}
