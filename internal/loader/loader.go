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
	// reportWait bounds one question to an endpoint, orderWait one order.
	reportWait = 400 * time.Millisecond
	orderWait  = 600 * time.Millisecond
	// reportLag is how late an endpoint's report may be: some hundred milliseconds.
	reportLag = 350 * time.Millisecond
	// adapterLag is that, and the time that a beat may take to bring the report here.
	// A place counted as free too early would let the endpoint run over.
	adapterLag = 1500 * time.Millisecond
	// moveLag is how long a move may take to show before it counts as failed.
	moveLag = time.Second
	// reportFresh is the age above which an endpoint with a move under way is asked anew.
	reportFresh = 200 * time.Millisecond
	// drainWait is how long instances have to stop sending to a model that is unloaded.
	drainWait = 400 * time.Millisecond
	// adapterWait is how long an adapter takes until it serves, once ordered.
	adapterWait = 12 * time.Millisecond
	// lateOrders is how long an order without an answer may still begin.
	lateOrders = 12 * time.Second
	// reserveWait is how long room is kept for the model that it was made for: an unload
	// waits for its runs.
	reserveWait = 8 * time.Second
	// youngTime is how long a copy serves before it yields to demand elsewhere: twice the
	// time of a load from the weight store.
	youngTime = 10 * time.Second
	// endingWait is how long a request may keep an adapter that is unloaded: the longest
	// time limit of the sheets.
	endingWait = 15 * time.Second
	// stuck is how long an accepted order may take before its endpoint is looked at anew.
	stuck = 20 * time.Second
)

// Errors of an Ensure.
var (
	// ErrNoRight: this instance may not give orders now.
	ErrNoRight = errors.New("not the holder of the right to give orders")
	// ErrNoPlace: no adapter there can yield.
	ErrNoPlace = errors.New("no place for a further adapter")
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

// Right says whether orders may leave now.
type Right interface {
	Orders() (fleet.Fence, bool)
}

// Site is what the instance knows of endpoints and demand.
type Site interface {
	// Settled reports whether all endpoints are listed that run, as far as can be told.
	Settled() bool
	// Engines returns the services that are model engines.
	Engines() []*catalog.Group
	// Engine returns copies of a service's endpoints that don't leave.
	Engine(s catalog.Service) []Candidate
	// Demand returns tokens a second: by model, newest and over a longer time, and by adapter.
	Demand() (newest, steady map[fleet.Model]float64, adapters map[roster.Adapter]float64)
	// Reported takes a report, Learned what an order has shown.
	Reported(id fleet.Endpoint, r roster.Report)
	Learned(id fleet.Endpoint, what roster.Adapter, present bool)
	// Retire tells all instances that a model is about to be unloaded.
	Retire(id fleet.Endpoint, model fleet.Model)
}

// Candidate is an endpoint that may get orders.
type Candidate struct {
	ID      fleet.Endpoint
	Born    int64
	Address string
	Report  roster.Report
	AtHand  []fleet.Model
	Pending time.Duration
	Suspect bool
	// Needed are adapters that requests in flight use.
	Needed []roster.Adapter
}

// Loader gives orders while the instance holds the right to. It is safe for concurrent use.
type Loader struct {
	endpoints Endpoints
	right     Right
	site      Site
	clock     func() time.Time
	logger    log.Logger
	limits    Limits

	mu    sync.Mutex
	desks map[fleet.Endpoint]*desk
	// cold are when loads from the weight store may have begun.
	cold  []time.Time
	fence fleet.Fence
	began time.Time
	// proven are models that were in demand.
	proven map[fleet.Model]bool
}

// Limits are the site's.
type Limits struct {
	// Window is the time over which loads from the weight store are counted, Over
	// the factor by which their rate may be exceeded in it.
	Window time.Duration
	Over   float64
	// Swaps, Gain and Least bound moves that follow demand, Ahead those that go before
	// it; see copies.Limits.
	Swaps int
	Gain  float64
	Least float64
	Ahead int
}

// Option changes a Loader under construction.
type Option func(*Loader)

// WithLogger sets where decisions are logged.
func WithLogger(l log.Logger) Option { return func(s *Loader) { s.logger = l } }

// New returns a loader.
func New(endpoints Endpoints, right Right, site Site, clock func() time.Time, limits Limits, opts ...Option) *Loader {
	l := &Loader{
		endpoints: endpoints, right: right, site: site, clock: clock, limits: limits,
		logger: log.NewNopLogger(), desks: make(map[fleet.Endpoint]*desk), proven: make(map[fleet.Model]bool),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// desk is one endpoint's orders. Its turn is taken by whoever gives one.
type desk struct {
	turn chan struct{}
	born int64
	// seq counts the orders accepted, if that is known.
	seq   int64
	known bool
	// base is the count of the newest report seen: an older one tells too little.
	base int64
	// moved is when a base model's order was last accepted, or any order got no
	// answer: reports from before tell nothing of it.
	moved time.Time
	// model is the base model under order, if any.
	model  fleet.Model
	unload bool
	since  time.Time
	// retiring is a model that is unloaded once instances had time to notice.
	retiring fleet.Model
	due      time.Time
	// reserved is the model that room is made for, until a time.
	reserved fleet.Model
	until    time.Time
	// given is when models were loaded.
	given map[fleet.Model]time.Time
	// adapters are orders accepted that the reports may not show yet.
	adapters map[roster.Adapter]change
	used     map[roster.Adapter]time.Time
	// ending are adapters that are unloaded once their requests have ended. They take
	// their places till then, and reports no longer show them.
	ending map[roster.Adapter]time.Time
}

type change struct {
	at      time.Time
	seq     int64 // the count of orders with it
	present bool
}

// open reports whether the endpoint's report may miss the change.
func (a change) open(c *Candidate) bool {
	return c.Report.Seq < a.seq || c.Report.Taken.Sub(a.at) < adapterLag
}

func (l *Loader) desk(c *Candidate) *desk {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.desks[c.ID]
	if d == nil || d.born != c.Born {
		d = &desk{
			turn: make(chan struct{}, 1), born: c.Born,
			adapters: make(map[roster.Adapter]change), used: make(map[roster.Adapter]time.Time), given: make(map[fleet.Model]time.Time), ending: make(map[roster.Adapter]time.Time),
		}
		l.desks[c.ID] = d
	}
	return d
}

// enter waits for the desk's turn.
func (d *desk) enter(ctx context.Context) error {
	select {
	case d.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *desk) leave() { <-d.turn }

// Step gives the orders that are due. It returns whether orders may be given.
func (l *Loader) Step(ctx context.Context) bool {
	fence, ok := l.right.Orders()
	if !ok {
		return false
	}
	l.begin(fence)
	now := l.clock()
	for _, g := range l.site.Engines() {
		l.place(ctx, now, g)
		l.stock(ctx, g)
	}
	return true
}

// begin forgets what was known under an earlier fencing number: others may have
// given orders since.
func (l *Loader) begin(fence fleet.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence == l.fence {
		return
	}
	l.fence, l.began = fence, l.clock()
	l.desks = make(map[fleet.Endpoint]*desk)
	l.cold = nil
}

// try takes the desk's turn if nobody has it.
func (d *desk) try() bool {
	select {
	case d.turn <- struct{}{}:
		return true
	default:
		return false
	}
}
