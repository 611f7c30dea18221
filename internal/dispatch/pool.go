package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	cmap "github.com/orcaman/concurrent-map"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

const standard = fleet.RankStandard

// Engine is the client of the endpoints, of inference engines and other services.
type Engine interface {
	Start(ctx context.Context, addr string, call endpoint.Call) (*endpoint.Stream, error)
	Resume(ctx context.Context, addr, attempt string, after uint64) (*endpoint.Stream, error)
	Cancel(ctx context.Context, addr, attempt string) (bool, error)
	Forward(ctx context.Context, addr string, call endpoint.ForwardCall) (*http.Response, error)
	State(ctx context.Context, addr string) (endpoint.State, error)
}

// Endpoints is the directory of endpoints.
type Endpoints interface {
	Get(fleet.Endpoint) (directory.Entry, bool)
	MarkLeaving(fleet.Endpoint)
}

// Claims ensures that a request with an idempotency key runs at most once.
type Claims interface {
	Claim(context.Context, once.Key, once.Request) (once.Result, error)
	Finish(ctx context.Context, key once.Key, claim string, a once.Answer) error
	Release(ctx context.Context, key once.Key, claim string) error
	// Abandon gives up a claim on a request whose outcome is unknown.
	Abandon(key once.Key, claim string)
}

// Suspects records which requests were running when endpoints crashed, to find those that
// cause the crashes.
type Suspects interface {
	// Check reports whether a request is a suspect or a poison request.
	Check(fingerprint uint64) (suspected, poison bool)
	// RecordCrash records the crash of an endpoint's incarnation and the requests that it
	// was running.
	RecordCrash(incarnation string, running []suspect.Run)
	// Finished records that a request completed without crashing its endpoint.
	Finished(fingerprint uint64)
}

// Draining reports which models take no new requests on an endpoint.
type Draining interface {
	Draining(fleet.Endpoint, fleet.Model) bool
}

// Meter counts the work done and refused for each model.
type Meter interface {
	// Worked records how long a request occupied a slot of an endpoint.
	Worked(model fleet.Model, busy time.Duration)
	// Refused records a request that the endpoint's queue refused.
	Refused(model fleet.Model)
}

// DecisionLog records the decisions made for a request.
type DecisionLog interface {
	Note(request, step, peer, note string)
}

// Timers is a clock with periodic callbacks.
type Timers interface {
	Now() time.Time
	Every(interval, jitter time.Duration, fn func(now time.Time)) (cancel func())
}

// Limits bounds what a Pool buffers, and how long it waits.
type Limits struct {
	// BodyBytes is the largest request body, bytes.
	BodyBytes int64
	// ReplayBytes is the size of the buffer of one answer.
	ReplayBytes int
	// EndedBytes is the maximum size of the answers of all ended attempts together.
	EndedBytes int
	// ResumeWindow is how long an answer without a reader is retained for a caller to resume.
	ResumeWindow time.Duration
	// ReaderStall is how long a slow reader may block reading from an endpoint.
	ReaderStall time.Duration
	// EndpointStall is how long an endpoint may send nothing before its answer is complete.
	EndpointStall time.Duration
}

// DefaultLimits returns the limits of a Pool made without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:    8 << 20,
		ReplayBytes:  1 << 20,
		EndedBytes:   4 << 20,
		ResumeWindow: 30 * time.Second,
		ReaderStall:  30 * time.Second,

		EndpointStall: 30 * time.Second,
	}
}

// The actor library allocates 1024 concurrent maps with 32 shards each by default, which
// is 4 MB of empty maps. One shard each is enough for the few actors of an instance.
func init() { cmap.SHARD_COUNT = 1 }

// sweepInterval is the interval at which queues and attempts are checked for timeouts.
const sweepInterval = 50 * time.Millisecond

// Pool holds the dispatchers and attempts of one instance.
type Pool struct {
	self      fleet.Instance
	system    *actor.ActorSystem
	group     *errgroup.Group
	timers    Timers
	engine    Engine
	endpoints Endpoints
	claims    Claims
	suspects  Suspects
	decisions DecisionLog
	draining  Draining
	meter     Meter
	tracer    trace.Tracer
	limits    Limits
	admission func(service string) []admit.Option
	shutdown  shutdownState

	mu              sync.Mutex
	dispatchers     map[fleet.Endpoint]*actor.PID
	attempts        map[string]*run
	live            map[string]*run      // the attempts that have not ended or still have a reader
	ended           []endedAttempt       // the other attempts, oldest first
	endedBytes      int                  // bytes buffered by the attempts in ended
	reportedCrashes map[string]time.Time // when each was reported, by incarnation
	waiting         atomic.Int64         // requests in the queues of all dispatchers
	stopSweep       func()               // stops the periodic sweep, nil while none is scheduled
	closed          bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithLimits sets the pool's limits.
func WithLimits(l Limits) Option { return func(p *Pool) { p.limits = l } }

// WithAdmission sets the options of the queue of each endpoint of a service.
func WithAdmission(opts func(service string) []admit.Option) Option {
	return func(p *Pool) { p.admission = opts }
}

// WithClaims sets where requests with an idempotency key are claimed.
func WithClaims(c Claims) Option { return func(p *Pool) { p.claims = c } }

// WithSuspects sets the record of requests that may crash endpoints.
func WithSuspects(s Suspects) Option { return func(p *Pool) { p.suspects = s } }

// WithDecisionLog sets where decisions are recorded.
func WithDecisionLog(t DecisionLog) Option { return func(p *Pool) { p.decisions = t } }

// WithDraining sets which models take no new requests on an endpoint.
func WithDraining(d Draining) Option { return func(p *Pool) { p.draining = d } }

// WithMeter sets what counts the work for each model.
func WithMeter(m Meter) Option { return func(p *Pool) { p.meter = m } }

// New returns a pool for an instance. The pool's goroutines run in the group.
func New(self fleet.Instance, group *errgroup.Group, timers Timers, engine Engine, endpoints Endpoints, opts ...Option) *Pool {
	p := &Pool{
		self:            self,
		system:          actor.NewActorSystem(actor.WithLoggerFactory(discardLogger)),
		group:           group,
		timers:          timers,
		engine:          engine,
		endpoints:       endpoints,
		claims:          noop{},
		suspects:        noop{},
		admission:       func(string) []admit.Option { return nil },
		decisions:       noop{},
		draining:        noop{},
		meter:           noop{},
		tracer:          otel.Tracer("github.com/chiveramp/chiveramp/internal/dispatch"),
		limits:          DefaultLimits(),
		dispatchers:     make(map[fleet.Endpoint]*actor.PID),
		attempts:        make(map[string]*run),
		live:            make(map[string]*run),
		reportedCrashes: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// discardLogger drops the actor library's own log; the instance logs through go-kit.
func discardLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// Close stops the dispatchers, and ends the attempts that run without cancelling them at their endpoints.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.stopSweeps()
	for _, r := range p.live {
		r.cancel(errClosed)
		r.abort()
	}
	p.mu.Unlock()
	p.system.Shutdown()
}

// startSweeps schedules the periodic sweep unless it is scheduled already. It runs only
// while there is work, so that an idle instance isn't woken by its timer. The caller must
// hold p.mu.
func (p *Pool) startSweeps() {
	if p.stopSweep == nil && !p.closed {
		p.stopSweep = p.timers.Every(sweepInterval, 0, p.sweep)
	}
}

// stopSweeps cancels the periodic sweep. The caller must hold p.mu.
func (p *Pool) stopSweeps() {
	if p.stopSweep != nil {
		p.stopSweep()
		p.stopSweep = nil
	}
}

// InFlight returns the number of attempts that have not ended.
func (p *Pool) InFlight() int {
	return len(p.running())
}

// running returns the attempts that have not ended.
func (p *Pool) running() []*run {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := make([]*run, 0, len(p.live))
	for _, r := range p.live {
		if r.Ended() == nil {
			running = append(running, r)
		}
	}
	return running
}

// Busy reports whether an attempt for the model is running on the endpoint.
func (p *Pool) Busy(id fleet.Endpoint, model fleet.Model) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.live {
		if r.endpoint == string(id) && r.request.Model == string(model) && r.Ended() == nil {
			return true
		}
	}
	return false
}

// QueueLoad returns the load of an endpoint's queue.
func (p *Pool) QueueLoad(ctx context.Context, id fleet.Endpoint) (Load, error) {
	reply := make(chan Load, 1)
	p.system.Root.Send(p.dispatcher(id), loadQuery{now: p.timers.Now(), reply: reply})
	select {
	case l := <-reply:
		return l, nil
	case <-ctx.Done():
		return Load{}, fmt.Errorf("load of endpoint %s: %w", id, ctx.Err())
	}
}

// StopUnlisted stops the dispatchers of endpoints that are no longer in the directory.
func (p *Pool) StopUnlisted() {
	p.mu.Lock()
	var gone []*actor.PID
	for id, pid := range p.dispatchers {
		if _, listed := p.endpoints.Get(id); !listed {
			gone = append(gone, pid)
			delete(p.dispatchers, id)
		}
	}
	p.mu.Unlock()
	for _, pid := range gone {
		p.system.Root.Stop(pid)
	}
}

func (p *Pool) dispatcher(id fleet.Endpoint) *actor.PID {
	p.mu.Lock()
	defer p.mu.Unlock()
	pid, ok := p.dispatchers[id]
	if !ok {
		entry, _ := p.endpoints.Get(id)
		opts := p.admission(entry.Service)
		props := actor.PropsFromProducer(func() actor.Actor { return newDispatcher(opts) })
		pid = p.system.Root.Spawn(props)
		p.dispatchers[id] = pid
	}
	return pid
}

// sweep expires queued requests, prunes attempts, and stops itself once nothing is left.
func (p *Pool) sweep(now time.Time) {
	if p.shutdown.leaving() {
		p.shutdown.endLate(now, p.running())
	}
	if p.waiting.Load() > 0 {
		p.tickAll(now)
	}
	p.prune(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting.Load()+int64(len(p.live)+len(p.ended)+len(p.reportedCrashes)) == 0 {
		p.stopSweeps()
	}
}

// tickAll has every dispatcher expire and start queued requests.
func (p *Pool) tickAll(now time.Time) {
	p.mu.Lock()
	pids := make([]*actor.PID, 0, len(p.dispatchers))
	for _, pid := range p.dispatchers {
		pids = append(pids, pid)
	}
	p.mu.Unlock()
	for _, pid := range pids {
		p.system.Root.Send(pid, tick{now: now})
	}
}

// noop is the default for the optional dependencies of a Pool. Without a claim store,
// requests with an idempotency key fail.
type noop struct{}

func (noop) Claim(context.Context, once.Key, once.Request) (once.Result, error) {
	return once.Result{}, fmt.Errorf("claim: %w", errNoClaims)
}

func (noop) Finish(context.Context, once.Key, string, once.Answer) error { return nil }
func (noop) Release(context.Context, once.Key, string) error             { return nil }
func (noop) Abandon(once.Key, string)                                    {}
func (noop) Check(uint64) (suspected, poison bool)                       { return false, false }
func (noop) RecordCrash(string, []suspect.Run)                           {}
func (noop) Finished(uint64)                                             {}
func (noop) Draining(fleet.Endpoint, fleet.Model) bool                   { return false }
func (noop) Worked(fleet.Model, time.Duration)                           {}
func (noop) Refused(fleet.Model)                                         {}
func (noop) Note(_, _, _, _ string)                                      {}
