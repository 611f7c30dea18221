// Package loader gives endpoints orders to load and unload base models and adapters. Only
// the instance that holds the order lease gives orders.
package loader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

const (
	// reportTimeout limits one request for a report, orderTimeout one order.
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// minHandover is shorter than any time between the orders of two holders of the lease.
	minHandover = 600 * time.Millisecond
	// reportLag is how old the state in an endpoint's report may be: some hundred milliseconds.
	reportLag = 350 * time.Millisecond
	// adapterReportLag is reportLag plus the time until a heartbeat brings the report here. If
	// a slot counted as free too early, the endpoint would get more adapters than it has slots.
	adapterReportLag = 1500 * time.Millisecond
	// moveReportLag is how long after a load order the report may still lack the model before
	// the load counts as failed.
	moveReportLag = time.Second
	// maxReportAge is the report age above which an endpoint with a move in progress is asked
	// for a new report.
	maxReportAge = 200 * time.Millisecond
	// drainDelay is how long instances have to stop sending requests for a model before it
	// is unloaded.
	drainDelay = 400 * time.Millisecond
	// adapterLoadTime is how long an adapter takes from the order until it can serve.
	adapterLoadTime = 12 * time.Millisecond
	// maxOrderDelay is how long after it was sent an unanswered order may still start.
	maxOrderDelay = 12 * time.Second
	// reservationTime is how long memory is reserved for the model for which another was
	// unloaded. It must be long because an unload waits for the running requests.
	reservationTime = 8 * time.Second
	// minServeTime is how long a copy serves before it may be evicted for demand elsewhere:
	// twice the time of a load from the weight store.
	minServeTime = 10 * time.Second
	// idleTime is how long nobody must have asked for a model before it may lose its last copy
	// to one that callers ask for: a few times what loading it again takes.
	idleTime = 20 * time.Second
	// maxRequestTime is how long a request may keep using an adapter after the order to unload
	// it: the longest specified time limit of a request.
	maxRequestTime = 15 * time.Second
	// stuckOrderAfter is how long an accepted order may take before it is dropped and its
	// endpoint is planned from scratch.
	stuckOrderAfter = 20 * time.Second
)

// Errors returned by Loader.Ensure.
var (
	// ErrNotLeaseHolder means that this instance may not give orders now.
	ErrNotLeaseHolder = errors.New("not the holder of the order lease")
	// ErrNoSlot means that all adapter slots are occupied and no adapter can be evicted.
	ErrNoSlot = errors.New("no adapter slot can be freed")
	// ErrUnavailable means that the endpoint can't take the order now.
	ErrUnavailable = errors.New("endpoint can't take the order now")
	// ErrBusy means that the endpoint is executing another order, or has accepted orders that
	// the order count doesn't include.
	ErrBusy = errors.New("endpoint is busy with another order")
	// ErrDenied means that the endpoint refuses the order.
	ErrDenied = errors.New("order denied by endpoint")
)

// Order is an order to an endpoint to load or unload a base model or an adapter.
type Order struct {
	Endpoint fleet.Endpoint
	Born     int64
	Address  string
	Unload   bool
	Model    fleet.Model
	Adapter  fleet.Adapter
	// Seq is the number of orders that the endpoint has accepted so far. The endpoint rejects
	// the order if its own count differs.
	Seq   int64
	Fence fleet.Fence
}

// Endpoints sends orders to endpoints and requests their reports.
type Endpoints interface {
	// Order sends an order. done reports that it is already complete; otherwise it has been
	// accepted and completes later. After errors other than ErrBusy and ErrDenied the order
	// may or may not be carried out, at once or later.
	Order(ctx context.Context, o Order) (done bool, err error)
	// Report requests an endpoint's report.
	Report(ctx context.Context, id fleet.Endpoint, born int64, address string) (roster.Report, error)
}

// OrderLease is the lease that permits an instance to give orders.
type OrderLease interface {
	// MayOrder returns the fence of the lease and reports whether an order may be sent now.
	MayOrder() (fleet.Fence, bool)
}

// ClusterState provides what this instance has recorded about endpoints and demand.
type ClusterState interface {
	// Settled reports whether all running endpoints have had time to be listed.
	Settled() bool
	// Engines returns the services that are model engines.
	Engines() []*catalog.Group
	// Candidates returns copies of the endpoints of a service that are not leaving.
	Candidates(s catalog.Service) []Candidate
	// Candidate returns a copy of one of them.
	Candidate(s catalog.Service, id fleet.Endpoint) (Candidate, bool)
	// Demand returns tokens per second: by model, recent and over a longer time, and by adapter.
	Demand() (recent, longTerm map[fleet.Model]float64, adapters map[roster.Adapter]float64)
	// RecordReport records an endpoint's report, RecordPresence whether an endpoint has a model
	// or adapter as an order has shown.
	RecordReport(id fleet.Endpoint, r roster.Report)
	RecordPresence(id fleet.Endpoint, adapter roster.Adapter, present bool)
	// AnnounceRetirement announces to all instances that a model is about to be unloaded.
	AnnounceRetirement(id fleet.Endpoint, model fleet.Model)
}

// Candidate is an endpoint that may receive orders.
type Candidate struct {
	ID             fleet.Endpoint
	Born           int64
	Address        string
	Report         roster.Report
	CachedModels   []fleet.Model
	PendingPrefill time.Duration
	// Suspect is set if it lately did not answer, Spared if it wants nothing from this instance
	// for now. Neither gets orders.
	Suspect, Spared bool
	// AdaptersInUse are the adapters that requests in flight use.
	AdaptersInUse []roster.Adapter
}

// avoided reports whether the endpoint gets no new orders for now.
func (c *Candidate) avoided() bool { return c.Suspect || c.Spared }

// Loader gives orders while the instance holds the order lease. It is safe for concurrent use.
type Loader struct {
	endpoints Endpoints
	lease     OrderLease
	cluster   ClusterState
	clock     func() time.Time
	logger    log.Logger
	limits    Limits
	registry  metrics.Registry
	group     *errgroup.Group // nil if each step waits for its orders

	mu          sync.Mutex
	orderStates map[fleet.Endpoint]*orderState
	// coldLoads are the times when loads from the weight store may have started.
	coldLoads []time.Time
	// unknownLoads is how many loads an earlier holder of the lease may have ordered within the
	// window.
	unknownLoads int
	fence        fleet.Fence
	fenceSince   time.Time
	// mayOrderAt is when this instance last could give orders, loadsKnown is set if no other has
	// given any between that and fenceSince.
	mayOrderAt time.Time
	loadsKnown bool
	// hadDemand are the models whose demand has reached Limits.MinDemand.
	hadDemand map[fleet.Model]bool
	// askedAt is when a model last had demand.
	askedAt map[fleet.Model]time.Time
	// loadTime is the mean time of a load from the weight store, 0 before the first.
	loadTime time.Duration
	// needsLoggedAt and shortages are used by the placement step only.
	needsLoggedAt time.Time
	shortages     map[catalog.Service]*copies.Shortage
}

// Limits are the configured limits on loads and moves.
type Limits struct {
	// Window is the time over which loads from the weight store are counted, Burst the factor
	// by which their configured rate may be exceeded within it.
	Window time.Duration
	Burst  float64
	// MaxMoves, MinGain and MinDemand limit the moves that follow demand, StandbyCopies those
	// made before demand arises; see copies.Limits.
	MaxMoves      int
	MinGain       float64
	MinDemand     float64
	StandbyCopies int
	// Follow is the number of loads a second that a service's weight store must allow for its
	// copies to follow rising demand, 0 for no service.
	Follow float64
	// Capacity and TrendLead are used for such services; see copies.Limits.
	Capacity, TrendLead float64
}

// Option configures a Loader.
type Option func(*Loader)

// WithLogger sets the logger for decisions.
func WithLogger(l log.Logger) Option { return func(s *Loader) { s.logger = l } }

// WithRegistry sets where the metrics go.
func WithRegistry(r metrics.Registry) Option { return func(l *Loader) { l.registry = r } }

// New returns a loader.
func New(endpoints Endpoints, lease OrderLease, cluster ClusterState, clock func() time.Time, limits Limits, opts ...Option) *Loader {
	l := &Loader{
		endpoints: endpoints, lease: lease, cluster: cluster, clock: clock, limits: limits,
		logger: log.NewNopLogger(), registry: metrics.NewRegistry(), orderStates: make(map[fleet.Endpoint]*orderState), hadDemand: make(map[fleet.Model]bool),
		askedAt: make(map[fleet.Model]time.Time), shortages: make(map[catalog.Service]*copies.Shortage),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// progress is how far the moves of base models at an endpoint are.
type progress struct {
	// movedAt is when an order for a base model was last accepted, or when any order got no
	// answer. Reports from before that time can't show its result.
	movedAt time.Time
	// orderedModel is the base model that is being loaded or unloaded, if any.
	orderedModel fleet.Model
	unload       bool
	orderedAt    time.Time
	cold         bool // whether it is loaded from the weight store
	// retiring is a model to be unloaded at unloadAt, when the instances have had time to stop
	// sending requests for it.
	retiring fleet.Model
	unloadAt time.Time
	// reservedFor is the model for which memory is reserved until reservedUntil.
	reservedFor   fleet.Model
	reservedUntil time.Time
	// evicted is the model that is unloaded for it. Unsettled is set if the last order, sent at
	// sentAt, got no answer or was refused, so that only a later report shows what the
	// endpoint has. All three are used by followMove only.
	evicted   fleet.Model
	unsettled bool
	sentAt    time.Time
	// silentSince is since when the endpoint has left questions of followMove unanswered.
	silentSince time.Time
	// loadedAt is when each model was loaded. It is replaced, not changed.
	loadedAt map[fleet.Model]time.Time
}

// orderState tracks the orders to one endpoint. It is locked while an order is being given.
type orderState struct {
	semaphore chan struct{}
	// mu guards published, the progress when the lock was last released, and task, which is set
	// while a task carries out moves or preloads an adapter.
	mu        sync.Mutex
	published progress
	task      bool
	born      int64
	// seq is the number of orders that the endpoint has accepted; valid if seqKnown is set.
	seq      int64
	seqKnown bool
	// minReportSeq is the order count of the newest report seen; older reports are ignored.
	minReportSeq int64
	progress
	// adapterChanges are accepted orders for adapters that reports may not show yet.
	adapterChanges map[roster.Adapter]adapterChange
	lastUsed       map[roster.Adapter]time.Time
	// unloading are the adapters that are unloaded when their requests end, with the time of
	// the order. They occupy their slots until then although reports no longer show them.
	unloading map[roster.Adapter]time.Time
}

type adapterChange struct {
	at      time.Time
	seq     int64 // the order count including this order
	present bool
}

// unreported reports whether the endpoint's report may not show the change yet.
func (a adapterChange) unreported(c *Candidate) bool {
	return c.Report.Seq < a.seq || c.Report.Taken.Sub(a.at) < adapterReportLag
}

func (l *Loader) orderState(c *Candidate) *orderState {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.orderStates[c.ID]
	if d == nil || d.born != c.Born {
		d = &orderState{
			semaphore: make(chan struct{}, 1), born: c.Born,
			adapterChanges: make(map[roster.Adapter]adapterChange), lastUsed: make(map[roster.Adapter]time.Time), unloading: make(map[roster.Adapter]time.Time),
		}
		l.orderStates[c.ID] = d
	}
	return d
}

// lock acquires the lock, or returns an error if the context ends first.
func (o *orderState) lock(ctx context.Context) error {
	select {
	case o.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *orderState) unlock() {
	o.mu.Lock()
	o.published = o.progress
	o.mu.Unlock()
	<-o.semaphore
}

// Step gives the orders that are due. It reports whether this instance may give orders.
func (l *Loader) Step(ctx context.Context) bool {
	fence, ok := l.lease.MayOrder()
	if fence != 0 {
		l.resetOnNewFence(fence)
	}
	if !ok {
		return false
	}
	now := l.clock()
	l.mu.Lock()
	l.mayOrderAt = now
	l.mu.Unlock()
	for _, g := range l.cluster.Engines() {
		if l.group != nil && l.follows(g.Engine) {
			l.followDemand(ctx, now, g)
			continue
		}
		l.placeModels(ctx, now, g)
		l.preload(ctx, g)
	}
	return true
}

// resetOnNewFence discards the state recorded under an earlier fence, because other
// instances may have given orders since.
func (l *Loader) resetOnNewFence(fence fleet.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence == l.fence {
		return
	}
	now := l.clock()
	l.fence, l.fenceSince = fence, now
	l.loadsKnown = !l.mayOrderAt.IsZero() && now.Sub(l.mayOrderAt) < minHandover
	l.orderStates = make(map[fleet.Endpoint]*orderState)
}

// tryLock acquires the lock if it is free, and reports whether it did.
func (o *orderState) tryLock() bool {
	select {
	case o.semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}
