// Package loader gives endpoints their orders: which base models and adapters
// they load. Only the instance that holds the lease for it gives orders.
package loader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
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
}

// Limits are the site's.
type Limits struct {
	// Window is the time over which loads from the weight store are counted, Over
	// the factor by which their rate may be exceeded in it.
	Window time.Duration
	Over   float64
	// Swaps, Gain and Least bound moves that follow demand; see copies.Limits.
	Swaps int
	Gain  float64
	Least float64
}

// Option changes a Loader under construction.
type Option func(*Loader)

// WithLogger sets where decisions are logged.
func WithLogger(l log.Logger) Option { return func(s *Loader) { s.logger = l } }

// New returns a loader.
func New(endpoints Endpoints, right Right, site Site, clock func() time.Time, limits Limits, opts ...Option) *Loader {
	l := &Loader{
		endpoints: endpoints, right: right, site: site, clock: clock, limits: limits,
		logger: log.NewNopLogger(), desks: make(map[fleet.Endpoint]*desk),
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

// place follows the orders under way in a service and gives the next ones.
func (l *Loader) place(ctx context.Context, now time.Time, g *catalog.Group) {
	candidates := l.site.Engine(g.Name)
	plan := make([]copies.Endpoint, len(candidates))
	var following errgroup.Group
	byID := make(map[fleet.Endpoint]*Candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		byID[c.ID] = c
		following.Go(func() error {
			d := l.desk(c)
			if d.try() {
				l.follow(ctx, now, d, c)
				plan[i] = l.planned(now, d, c)
				d.leave()
			} else {
				plan[i] = l.occupied(c)
			}
			return nil
		})
	}
	_ = following.Wait() // what failed is looked at again in the next step
	demand, steady, _ := l.site.Demand()
	limits := copies.Limits{Cold: l.allowed(now, g.Engine, plan), Swaps: l.limits.Swaps, Gain: l.limits.Gain, Least: l.limits.Least}
	var group errgroup.Group
	for _, m := range copies.Plan(g.Engine, plan, demand, steady, limits) {
		group.Go(func() error {
			l.move(ctx, now, byID[m.Endpoint], m)
			return nil
		})
	}
	_ = group.Wait() // a move that wasn't made is planned again
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

// follow compares what was ordered with the endpoint's reports.
func (l *Loader) follow(ctx context.Context, now time.Time, d *desk, c *Candidate) {
	if d.model != "" && (d.unload || now.Sub(d.since) > reportLag) && now.Sub(c.Report.Taken) > reportFresh {
		if err := l.refresh(ctx, d, c); err != nil {
			_ = l.logger.Log("step", "follow", "endpoint", c.ID, "model", d.model, "err", err)
		}
	}
	if d.model != "" && d.shows(c) {
		_ = l.logger.Log("step", "moved", "endpoint", c.ID, "model", d.model, "unload", d.unload,
			"holds", roster.Holds(c.Report.Models, d.model, ""), "took", now.Sub(d.since))
		if !d.unload {
			d.given[d.model] = now
			d.reserved = ""
		}
		d.model = ""
	}
	if d.model != "" && d.unload {
		l.site.Retire(c.ID, d.model)
	}
	if d.model != "" && now.Sub(d.since) > stuck {
		d.model = ""
	}
	if d.retiring != "" && !now.Before(d.due) {
		model := d.retiring
		d.retiring = ""
		err := l.order(ctx, d, c, Order{Unload: true, Model: model})
		_ = l.logger.Log("step", "unload", "endpoint", c.ID, "model", model, "seq", d.seq, "err", err)
	}
}

// shows reports whether the endpoint's report tells the end of the move under way.
func (d *desk) shows(c *Candidate) bool {
	after := c.Report.Taken.Sub(d.moved)
	if c.Report.Busy || after < reportLag || c.Report.Seq < d.seq {
		return false
	}
	return roster.Holds(c.Report.Models, d.model, "") != d.unload || after > moveLag && !d.unload
}

// occupied is an endpoint that is being given an order.
func (l *Loader) occupied(c *Candidate) copies.Endpoint {
	e := copies.Endpoint{ID: c.ID, AtHand: c.AtHand, Pending: c.Pending, Busy: true}
	for _, h := range c.Report.Models {
		e.Holds = append(e.Holds, h.Model)
	}
	return e
}

func (l *Loader) planned(now time.Time, d *desk, c *Candidate) copies.Endpoint {
	e := copies.Endpoint{ID: c.ID, AtHand: c.AtHand, Pending: c.Pending}
	for _, h := range c.Report.Models {
		e.Holds = append(e.Holds, h.Model)
	}
	if d.retiring != "" {
		e.Retiring = append(e.Retiring, d.retiring)
	}
	if d.model != "" {
		if d.unload {
			e.Retiring = append(e.Retiring, d.model)
		} else {
			e.Loading = d.model
		}
	}
	if d.reserved != "" && now.Before(d.until) {
		e.Reserved = d.reserved
	}
	for m, at := range d.given {
		if now.Sub(at) < youngTime {
			e.Young = append(e.Young, m)
		}
	}
	e.Moving = d.model != "" || d.retiring != ""
	fresh := now.Sub(c.Report.Taken) < time.Second
	e.Busy = d.model != "" || d.retiring != "" || c.Report.Busy || !fresh || c.Suspect ||
		c.Report.Taken.Sub(d.moved) < reportLag
	return e
}

// allowed returns how many loads from the weight store may begin now. Orders
// without an answer may begin late, so they count twice: when sent and after.
func (l *Loader) allowed(now time.Time, engine *catalog.Engine, plan []copies.Endpoint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.cold[:0]
	recent := 0
	for _, at := range l.cold {
		if now.Sub(at) > l.limits.Window {
			continue
		}
		kept = append(kept, at)
		recent++
	}
	l.cold = kept
	if now.Sub(l.began) < l.limits.Window {
		for i := range plan {
			if plan[i].Busy && plan[i].Loading == "" {
				recent++ // perhaps a load of the holder before
			}
		}
	}
	// Steps aside from the stated bound: the places that the rule adds are kept for late orders.
	return int(engine.Rate*l.limits.Window.Seconds()*l.limits.Over) - recent
}

// move begins a planned move.
func (l *Loader) move(ctx context.Context, now time.Time, c *Candidate, m copies.Move) {
	d := l.desk(c)
	if !d.try() {
		return
	}
	defer d.leave()
	if m.Unload {
		d.retiring, d.due = m.Model, now.Add(drainWait)
		d.reserved, d.until = m.For, now.Add(reserveWait)
		l.site.Retire(c.ID, m.Model)
		_ = l.logger.Log("step", "retire", "endpoint", c.ID, "model", m.Model)
		return
	}
	if m.Cold {
		l.mu.Lock()
		l.cold = append(l.cold, now)
		l.mu.Unlock()
	}
	err := l.order(ctx, d, c, Order{Model: m.Model})
	_ = l.logger.Log("step", "load", "endpoint", c.ID, "model", m.Model, "cold", m.Cold, "seq", d.seq, "err", err)
	if m.Cold && err != nil && !errors.Is(err, ErrBusy) && !errors.Is(err, ErrDenied) {
		l.mu.Lock()
		l.cold = append(l.cold, now.Add(lateOrders/2))
		l.mu.Unlock()
	}
}

// order sends an order for a base model on the newest count of orders.
func (l *Loader) order(ctx context.Context, d *desk, c *Candidate, o Order) error {
	if c.Report.Seq < d.base {
		return fmt.Errorf("%w: the plan rests on an older report", ErrUnavailable)
	}
	if !d.known || c.Report.Seq > d.seq {
		d.seq, d.known = c.Report.Seq, true
	}
	d.base = max(d.base, c.Report.Seq)
	done, err := l.send(ctx, d, c, o)
	if err != nil || done {
		return err
	}
	d.model, d.unload, d.since = o.Model, o.Unload, l.clock()
	if o.Unload {
		l.site.Learned(c.ID, roster.Adapter{Model: o.Model}, false)
	}
	return nil
}

// send sends one order. The right is looked at right before.
func (l *Loader) send(ctx context.Context, d *desk, c *Candidate, o Order) (done bool, err error) {
	fence, ok := l.right.Orders()
	if !ok {
		return false, ErrNoRight
	}
	o.Endpoint, o.Born, o.Address, o.Seq, o.Fence = c.ID, c.Born, c.Address, d.seq, fence
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	done, err = l.endpoints.Order(ctx, o)
	switch {
	case err == nil && done && !o.Unload:
		// It held before, so nothing was accepted.
	case err == nil:
		d.seq++
		if o.Adapter == "" {
			d.moved = l.clock()
		}
	case errors.Is(err, ErrBusy):
		d.known = false
	case errors.Is(err, ErrDenied):
	default:
		d.known = false
		d.moved = l.clock() // it may have been accepted
	}
	return done, err
}

// count makes sure that the endpoint's count of orders is known.
func (l *Loader) count(ctx context.Context, d *desk, c *Candidate) error {
	if d.known && c.Report.Seq >= d.base {
		return nil
	}
	return l.refresh(ctx, d, c)
}

// refresh asks the endpoint for its newest count of orders.
func (l *Loader) refresh(ctx context.Context, d *desk, c *Candidate) error {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	asked := l.clock() // what the report tells may be as old as the question
	report, err := l.endpoints.Report(ctx, c.ID, c.Born, c.Address)
	if err != nil {
		return err
	}
	if report.Born != c.Born {
		return fmt.Errorf("%w: it has started again", ErrUnavailable)
	}
	report.Taken = asked
	l.site.Reported(c.ID, report)
	c.Report = report
	if report.Seq < d.base {
		return fmt.Errorf("%w: its report is late", ErrUnavailable)
	}
	d.base = report.Seq
	if !d.known || report.Seq > d.seq {
		d.seq, d.known = report.Seq, true
	}
	return nil
}
