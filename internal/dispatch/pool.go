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

// Engine runs attempts on endpoints.
type Engine interface {
	Start(ctx context.Context, addr string, call endpoint.Call) (*endpoint.Stream, error)
	Resume(ctx context.Context, addr, attempt string, after uint64) (*endpoint.Stream, error)
	Cancel(ctx context.Context, addr, attempt string) (bool, error)
	Forward(ctx context.Context, addr string, call endpoint.ForwardCall) (*http.Response, error)
	State(ctx context.Context, addr string) (endpoint.State, error)
}

// Endpoints tells where endpoints are.
type Endpoints interface {
	Get(fleet.Endpoint) (directory.Entry, bool)
	MarkLeaving(fleet.Endpoint)
}

// Claims makes sure that a request with an idempotency key runs at most once.
type Claims interface {
	Claim(context.Context, once.Key, once.Request) (once.Result, error)
	Finish(ctx context.Context, key once.Key, claim string, a once.Answer) error
	Release(ctx context.Context, key once.Key, claim string) error
	// Abandon forgets a claim whose end was not seen.
	Abandon(key once.Key, claim string)
}

// Suspects remembers which requests were running when endpoints died.
type Suspects interface {
	// Check tells whether a request is suspected or convicted.
	Check(fingerprint uint64) (suspected, convicted bool)
	// Died reports the death of an endpoint's incarnation with all that it ran.
	Died(incarnation string, running []suspect.Run)
	// Finished reports a request that ended without a death.
	Finished(fingerprint uint64)
}

// Draining tells which models get nothing new on an endpoint.
type Draining interface {
	Draining(fleet.Endpoint, fleet.Model) bool
}

// Meter counts the work done and refused for each model.
type Meter interface {
	// Worked notes how long a request kept its place at an endpoint.
	Worked(model fleet.Model, busy time.Duration)
	// Refused notes a request that found no place.
	Refused(model fleet.Model)
}

// Trail records what was decided for a request.
type Trail interface {
	Note(request, step, peer, note string)
}

// Timers calls back at intervals.
type Timers interface {
	Now() time.Time
	Every(interval, jitter time.Duration, fn func(now time.Time)) (cancel func())
}

// Limits bound what a Pool keeps.
type Limits struct {
	// Body is the largest request body, bytes.
	Body int64
	// Replay is the most bytes of one answer kept.
	Replay int
	// Kept is the most bytes of ended answers kept over all attempts.
	Kept int
	// Resume is how long an answer without a reader is kept.
	Resume time.Duration
	// Idle is how long a reader may hold back an endpoint.
	Idle time.Duration
	// Silence is how long an endpoint may send nothing within an answer.
	Silence time.Duration
}

// DefaultLimits are the limits of a Pool that is given none.
func DefaultLimits() Limits {
	return Limits{
		Body:   8 << 20,
		Replay: 1 << 20,
		Kept:   4 << 20,
		Resume: 30 * time.Second,
		Idle:   30 * time.Second,

		Silence: 30 * time.Second,
	}
}

// The actor library keeps 1024 such maps, each of 32 shards by default: 4 MB of
// empty maps. One shard each is enough for the few actors of an instance.
func init() { cmap.SHARD_COUNT = 1 }

// sweep is the interval at which queues and attempts are looked over.
const sweep = 50 * time.Millisecond

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
	trail     Trail
	draining  Draining
	meter     Meter
	tracer    trace.Tracer
	limits    Limits
	admission func(service string) []admit.Option

	mu          sync.Mutex
	dispatchers map[fleet.Endpoint]*actor.PID
	attempts    map[string]*run
	live        map[string]*run      // the attempts that have not ended, or are still read
	ended       []ended              // the others, oldest first
	kept        int                  // bytes of the ended ones
	deaths      map[string]time.Time // by incarnation
	waiting     atomic.Int64         // requests in the queues of all dispatchers
	rest        func()               // ends the sweeps, nil while there are none
	closed      bool
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithLimits sets what the pool keeps.
func WithLimits(l Limits) Option { return func(p *Pool) { p.limits = l } }

// WithAdmission sets the options of the queue of each endpoint of a service.
func WithAdmission(opts func(service string) []admit.Option) Option {
	return func(p *Pool) { p.admission = opts }
}

// WithClaims sets where requests with a key are claimed.
func WithClaims(c Claims) Option { return func(p *Pool) { p.claims = c } }

// WithSuspects sets the memory of requests that kill endpoints.
func WithSuspects(s Suspects) Option { return func(p *Pool) { p.suspects = s } }

// WithTrail sets where decisions are recorded.
func WithTrail(t Trail) Option { return func(p *Pool) { p.trail = t } }

// WithDraining sets which models get nothing new on an endpoint.
func WithDraining(d Draining) Option { return func(p *Pool) { p.draining = d } }

// WithMeter sets who counts the work for each model.
func WithMeter(m Meter) Option { return func(p *Pool) { p.meter = m } }

// New returns a pool for an instance. Its goroutines run in the group.
func New(self fleet.Instance, group *errgroup.Group, timers Timers, engine Engine, endpoints Endpoints, opts ...Option) *Pool {
	p := &Pool{
		self:        self,
		system:      actor.NewActorSystem(actor.WithLoggerFactory(silentLogger)),
		group:       group,
		timers:      timers,
		engine:      engine,
		endpoints:   endpoints,
		claims:      nobody{},
		suspects:    nobody{},
		admission:   func(string) []admit.Option { return nil },
		trail:       nobody{},
		draining:    nobody{},
		meter:       nobody{},
		tracer:      otel.Tracer("github.com/chiveramp/chiveramp/internal/dispatch"),
		limits:      DefaultLimits(),
		dispatchers: make(map[fleet.Endpoint]*actor.PID),
		attempts:    make(map[string]*run),
		live:        make(map[string]*run),
		deaths:      make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// silentLogger drops the actor library's own log; the instance logs through go-kit.
func silentLogger(*actor.ActorSystem) *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

// Close stops the dispatchers. Attempts end by themselves.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.idle()
	p.mu.Unlock()
	p.system.Shutdown()
}

// work begins the sweeps, if there are none. An instance without requests is
// not woken for them. The lock must be held.
func (p *Pool) work() {
	if p.rest == nil && !p.closed {
		p.rest = p.timers.Every(sweep, 0, p.sweep)
	}
}

// idle ends the sweeps. The lock must be held.
func (p *Pool) idle() {
	if p.rest != nil {
		p.rest()
		p.rest = nil
	}
}

// InFlight returns how many attempts have not ended.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := 0
	for _, r := range p.live {
		if r.Ended() == nil {
			running++
		}
	}
	return running
}

// Busy tells whether an attempt for the model runs on the endpoint.
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

// Loads returns the load of every endpoint dispatched here lately.
func (p *Pool) Loads(ctx context.Context, id fleet.Endpoint) (Load, error) {
	reply := make(chan Load, 1)
	p.system.Root.Send(p.dispatcher(id), load{now: p.timers.Now(), reply: reply})
	select {
	case l := <-reply:
		return l, nil
	case <-ctx.Done():
		return Load{}, fmt.Errorf("load of endpoint %s: %w", id, ctx.Err())
	}
}

// Retain stops the dispatchers of endpoints that are no longer listed.
func (p *Pool) Retain() {
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

func (p *Pool) sweep(now time.Time) {
	if p.waiting.Load() > 0 {
		p.tickAll(now)
	}
	p.prune(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting.Load()+int64(len(p.live)+len(p.ended)+len(p.deaths)) == 0 {
		p.idle()
	}
}

// tickAll lets every dispatcher look over its queue.
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

// nobody stands in for the optional parts.
type nobody struct{}

func (nobody) Claim(context.Context, once.Key, once.Request) (once.Result, error) {
	return once.Result{}, fmt.Errorf("claim: %w", errNoClaims)
}

func (nobody) Finish(context.Context, once.Key, string, once.Answer) error { return nil }
func (nobody) Release(context.Context, once.Key, string) error             { return nil }
func (nobody) Abandon(once.Key, string)                                    {}
func (nobody) Check(uint64) (suspected, convicted bool)                    { return false, false }
func (nobody) Died(string, []suspect.Run)                                  {}
func (nobody) Finished(uint64)                                             {}
func (nobody) Draining(fleet.Endpoint, fleet.Model) bool                   { return false }
func (nobody) Worked(fleet.Model, time.Duration)                           {}
func (nobody) Refused(fleet.Model)                                         {}
func (nobody) Note(_, _, _, _ string)                                      {}
