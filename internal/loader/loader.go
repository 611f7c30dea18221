// Package loader gives endpoints their orders: which base models and adapters
// they load. Only the instance that holds the lease for it gives orders.
package loader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

const (
	// reportTimeout bounds one question to an endpoint, orderWait one order.
	reportTimeout = 400 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond
	// reportLag is how late an endpoint's report may be: some hundred milliseconds.
	reportLag = 350 * time.Millisecond
	// adapterReportLag is that, and the time that a beat may take to bring the report here.
	// A place counted as free too early would let the endpoint run over.
	adapterReportLag = 1500 * time.Millisecond
	// moveReportLag is how long a move may take to show before it counts as failed.
	moveReportLag = time.Second
	// maxReportAge is the age above which an endpoint with a move under way is asked anew.
	maxReportAge = 200 * time.Millisecond
	// drainDelay is how long instances have to stop sending to a model that is unloaded.
	drainDelay = 400 * time.Millisecond
	// adapterLoadTime is how long an adapter takes until it serves, once ordered.
	adapterLoadTime = 12 * time.Millisecond
	// maxOrderDelay is how long an order without an answer may still begin.
	maxOrderDelay = 12 * time.Second
	// reservationTime is how long room is kept for the model that it was made for: an unload
	// waits for its runs.
	reservationTime = 8 * time.Second
	// minServeTime is how long a copy serves before it yields to demand elsewhere: twice the
	// time of a load from the weight store.
	minServeTime = 10 * time.Second
	// maxRequestTime is how long a request may keep an adapter that is unloaded: the longest
	// time limit of the sheets.
	maxRequestTime = 15 * time.Second
	// stuckOrderAfter is how long an accepted order may take before its endpoint is looked at anew.
	stuckOrderAfter = 20 * time.Second
)

// Errors of an Ensure.
var (
	// ErrNotLeaseHolder: this instance may not give orders now.
	ErrNotLeaseHolder = errors.New("not the holder of the right to give orders")
	// ErrNoSlot: no adapter there can yield.
	ErrNoSlot = errors.New("no place for a further adapter")
	// ErrUnavailable: the endpoint can't take the order now.
	ErrUnavailable = errors.New("endpoint can't take the order now")
	// ErrBusy: the endpoint has another order, or has taken orders that weren't counted.
	ErrBusy = errors.New("endpoint has another order")
	// ErrDenied: the endpoint won't take the order.
	ErrDenied = errors.New("order denied")
)

// Order is an order to an endpoint.
type Order struct {
	Endpoint fleet.Endpoint
	Born     int64
	Address  string
	Unload   bool
	Model    fleet.Model
	Adapter  fleet.Adapter
	// Seq is the count of accepted orders that it rests on; it has no effect at another.
	Seq   int64
	Fence fleet.Fence
}

// Endpoints takes orders and answers questions.
type Endpoints interface {
	// Order sends an order. Errors other than ErrBusy and ErrDenied leave open
	// whether it is carried out, at once or later.
	// Done says that it holds already, else it has been accepted and takes its time.
	Order(ctx context.Context, o Order) (done bool, err error)
	// Report asks an endpoint how it is.
	Report(ctx context.Context, id fleet.Endpoint, born int64, address string) (roster.Report, error)
}

// OrderLease says whether orders may leave now.
type OrderLease interface {
	Orders() (fleet.Fence, bool)
}

// ClusterState is what the instance knows of endpoints and demand.
type ClusterState interface {
	// Settled reports whether all endpoints are listed that run, as far as can be told.
	Settled() bool
	// Engines returns the services that are model engines.
	Engines() []*catalog.Group
	// Candidates returns copies of a service's endpoints that don't leave.
	Candidates(s catalog.Service) []Candidate
	// Demand returns tokens a second: by model, newest and over a longer time, and by adapter.
	Demand() (recent, longTerm map[fleet.Model]float64, adapters map[roster.Adapter]float64)
	// RecordReport takes a report, Learned what an order has shown.
	RecordReport(id fleet.Endpoint, r roster.Report)
	RecordPresence(id fleet.Endpoint, adapter roster.Adapter, present bool)
	// AnnounceRetirement tells all instances that a model is about to be unloaded.
	AnnounceRetirement(id fleet.Endpoint, model fleet.Model)
}

// Candidate is an endpoint that may get orders.
type Candidate struct {
	ID             fleet.Endpoint
	Born           int64
	Address        string
	Report         roster.Report
	CachedModels   []fleet.Model
	PendingPrefill time.Duration
	Suspect        bool
	// AdaptersInUse are adapters that requests in flight use.
	AdaptersInUse []roster.Adapter
}

// Loader gives orders while the instance holds the right to. It is safe for concurrent use.
type Loader struct {
	endpoints Endpoints
	lease     OrderLease
	cluster   ClusterState
	clock     func() time.Time
	logger    log.Logger
	limits    Limits

	mu          sync.Mutex
	orderStates map[fleet.Endpoint]*orderState
	// coldLoads are when loads from the weight store may have begun.
	coldLoads  []time.Time
	fence      fleet.Fence
	fenceSince time.Time
	// hadDemand are models that were in demand.
	hadDemand map[fleet.Model]bool
}

// Limits are the site's.
type Limits struct {
	// Window is the time over which loads from the weight store are counted, Over
	// the factor by which their rate may be exceeded in it.
	Window time.Duration
	Burst  float64
	// MaxMoves, Gain and Least bound moves that follow demand, Ahead those that go before
	// it; see copies.Limits.
	MaxMoves      int
	MinGain       float64
	MinDemand     float64
	StandbyCopies int
}

// Option changes a Loader under construction.
type Option func(*Loader)

// WithLogger sets where decisions are logged.
func WithLogger(l log.Logger) Option { return func(s *Loader) { s.logger = l } }

// New returns a loader.
func New(endpoints Endpoints, lease OrderLease, cluster ClusterState, clock func() time.Time, limits Limits, opts ...Option) *Loader {
	l := &Loader{
		endpoints: endpoints, lease: lease, cluster: cluster, clock: clock, limits: limits,
		logger: log.NewNopLogger(), orderStates: make(map[fleet.Endpoint]*orderState), hadDemand: make(map[fleet.Model]bool),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// orderState is one endpoint's orders. Its turn is taken by whoever gives one.
type orderState struct {
	semaphore chan struct{}
	born      int64
	// seq counts the orders accepted, if that is known.
	seq      int64
	seqKnown bool
	// minReportSeq is the count of the newest report seen: an older one tells too little.
	minReportSeq int64
	// movedAt is when a base model's order was last accepted, or any order got no
	// answer: reports from before tell nothing of it.
	movedAt time.Time
	// orderedModel is the base model under order, if any.
	orderedModel fleet.Model
	unload       bool
	orderedAt    time.Time
	// retiring is a model that is unloaded once instances had time to notice.
	retiring fleet.Model
	unloadAt time.Time
	// reservedFor is the model that room is made for, until a time.
	reservedFor   fleet.Model
	reservedUntil time.Time
	// loadedAt is when models were loaded.
	loadedAt map[fleet.Model]time.Time
	// adapterChanges are orders accepted that the reports may not show yet.
	adapterChanges map[roster.Adapter]adapterChange
	lastUsed       map[roster.Adapter]time.Time
	// unloading are adapters that are unloaded once their requests have ended. They take
	// their places till then, and reports no longer show them.
	unloading map[roster.Adapter]time.Time
}

type adapterChange struct {
	at      time.Time
	seq     int64 // the count of orders with it
	present bool
}

// unreported reports whether the endpoint's report may miss the change.
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
			adapterChanges: make(map[roster.Adapter]adapterChange), lastUsed: make(map[roster.Adapter]time.Time), loadedAt: make(map[fleet.Model]time.Time), unloading: make(map[roster.Adapter]time.Time),
		}
		l.orderStates[c.ID] = d
	}
	return d
}

// lock waits for the desk's turn.
func (d *orderState) lock(ctx context.Context) error {
	select {
	case d.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *orderState) unlock() { <-d.semaphore }

// Step gives the orders that are due. It returns whether orders may be given.
func (l *Loader) Step(ctx context.Context) bool {
	fence, ok := l.lease.Orders()
	if !ok {
		return false
	}
	l.resetOnNewFence(fence)
	now := l.clock()
	for _, g := range l.cluster.Engines() {
		l.placeModels(ctx, now, g)
		l.preload(ctx, g)
	}
	return true
}

// resetOnNewFence forgets what was known under an earlier fencing number: others may have
// given orders since.
func (l *Loader) resetOnNewFence(fence fleet.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence == l.fence {
		return
	}
	l.fence, l.fenceSince = fence, l.clock()
	l.orderStates = make(map[fleet.Endpoint]*orderState)
	l.coldLoads = nil
}

// tryLock takes the desk's turn if nobody has it.
func (d *orderState) tryLock() bool {
	select {
	case d.semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}
