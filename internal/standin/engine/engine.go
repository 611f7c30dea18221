// Package engine simulates an inference engine for tests and the demonstration:
// continuous batching, a prefix cache, accelerator memory, load and unload
// orders, and resumable streams. Faults can be injected at run time.
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

// ErrCrashed is returned by Wait when a request made the engine crash.
var ErrCrashed = errors.New("engine crashed")

// Option configures a Server.
type Option func(*Server)

// WithName sets the owner name that the engine's model list reports.
func WithName(name string) Option { return func(s *Server) { s.name = name } }

// WithMemory sets the accelerator's memory in bytes.
func WithMemory(bytes int64) Option { return func(s *Server) { s.state.Memory = bytes } }

// WithKVCache sets the part of the memory reserved for the KV cache, in bytes.
func WithKVCache(bytes int64) Option { return func(s *Server) { s.state.KV = bytes } }

// WithModel preloads a model of the given size.
func WithModel(model fleet.Model, bytes int64) Option {
	return func(s *Server) { s.preload(model, bytes) }
}

// WithModels preloads models of the default size.
func WithModels(models ...fleet.Model) Option {
	return func(s *Server) {
		for _, model := range models {
			s.preload(model, defaultModelBytes)
		}
	}
}

// WithFenceChecks makes the engine refuse orders with a stale fencing token.
func WithFenceChecks(on bool) Option { return func(s *Server) { s.state.ChecksFence = on } }

// WithStepTime sets the inter-token latency of a request that runs alone.
func WithStepTime(step time.Duration) Option { return func(s *Server) { s.stepTime = step } }

// WithPrefillTime sets the prefill time for each 100 prompt tokens.
func WithPrefillTime(prefill time.Duration) Option {
	return func(s *Server) { s.prefillTime = prefill }
}

// WithLoadTime sets how long weights take to load.
func WithLoadTime(load time.Duration) Option { return func(s *Server) { s.loadTime = load } }

// WithMaxBatch limits the number of requests in the batch.
func WithMaxBatch(limit int) Option { return func(s *Server) { s.maxBatch = limit } }

// WithStreamRetention sets how long a stream can be resumed after its last reader
// disconnected or it ended.
func WithStreamRetention(retention time.Duration) Option {
	return func(s *Server) { s.streamRetention = retention }
}

// WithLags sets the delay after which load reports and cache events become visible.
func WithLags(load, events time.Duration) Option {
	return func(s *Server) { s.loadReportLag, s.cache.eventLag = load, events }
}

// WithFaults sets the initial faults.
func WithFaults(faults Faults) Option { return func(s *Server) { s.faults = faults } }

// Server is a simulated engine.
type Server struct {
	name            string
	stepTime        time.Duration
	prefillTime     time.Duration
	loadTime        time.Duration
	weightStore     string // address of the weight store; if empty, loads take loadTime
	maxBatch        int
	streamRetention time.Duration
	loadReportLag   time.Duration
	now             func() time.Time

	web *web.Server

	workReady chan struct{} // signals a queued run to the idle batch loop
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

// New returns an engine; Start makes it listen.
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

// Incarnation returns the id that the engine was given when it was created.
func (s *Server) Incarnation() string { return s.state.Incarnation }

// Wait blocks until the engine has stopped. The error is ErrCrashed if a request
// crashed it.
func (s *Server) Wait() error {
	err := s.web.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashErr != nil {
		return s.crashErr
	}
	return err
}

// Close stops the engine immediately, as a kill of its process would, and waits
// until it has stopped.
func (s *Server) Close() error {
	s.halt()
	return s.Wait()
}

// Shutdown refuses new requests, waits for running ones to finish, then stops
// the engine.
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

// crashLocked stops the engine as a crash of its process would. The caller holds s.mu.
func (s *Server) crashLocked(attempt string) {
	if s.crashErr == nil {
		s.crashErr = fmt.Errorf("request %s: %w", attempt, ErrCrashed)
	}
	s.halt()
}
