// Package direct joins the parts of an instance that sends requests straight to
// endpoints: the gateway towards callers, the news of other instances and of the
// store, and the orders to endpoints.
package direct

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	// demandHalf is how fast demand is forgotten; it shifts within seconds.
	demandHalf = 2 * time.Second
	// steadyHalf is how fast it is forgotten for what a model keeps.
	steadyHalf = 6 * time.Second
	// sharedWeight and outputWeight turn parts of a request into the work of
	// reading a token: shared parts are mostly cached, output is made in batches.
	sharedWeight = 0.2
	outputWeight = 2
	// usualShare is the weight of one request in the usual work of its rank.
	usualShare = 0.02
	// leastUrgent is the level at which work counts least for copies.
	leastUrgent = 2
	// urgentWeight and bulkWeight weigh demand by rank.
	urgentWeight = 2.0
	bulkWeight   = 0.4
	// loadsKept is how long a peer's loads count after its last beat.
	loadsKept = 2 * time.Second
	// site stands for all data centres: every instance beats with every other.
	site fleet.DataCentre = "site"
)

// peer is the last beat of another instance.
type peer struct {
	beat gossip.Beat
	at   time.Time
	// ahead is the least difference seen between the own clock and its beats' times.
	ahead time.Duration
}

// state is what the instance knows. It is safe for concurrent use.
type state struct {
	logger  log.Logger
	place   fleet.Place
	regions map[fleet.DataCentre]fleet.Region
	clock   func() time.Time
	uptime  func() time.Duration

	mu      sync.Mutex
	catalog *catalog.Catalog
	listed  bool // whether a list of endpoints is known
	// listedAt is since when.
	listedAt time.Time
	roster   *roster.Roster
	board    *balance.Balancer
	budget   *balance.Budget
	view     *member.View
	peers    map[fleet.Instance]*peer
	demand   map[roster.Adapter]*meters
	works    map[int]float64 // usual work of a request, by level
	fresh    []gossip.Report
	failed   map[fleet.Endpoint]gossip.Incarnation
	broken   map[gossip.Incarnation][]run
	crashes  *suspect.CrashChains
	deaths   []told
	retired  []gossip.Incarnation
	leaving  bool
	orders   bool
	fence    fleet.Fence
	retire   []retirement
	// newest is the revision of the newest change of the list, lagging since when a
	// peer has known more.
	newest  int64
	lagging time.Time
	// stored is when the store last answered, watching whether this instance watches it.
	stored   time.Time
	watching bool
}

// retirement is a model that is about to be unloaded.
type retirement struct {
	endpoint fleet.Endpoint
	model    fleet.Model
	at       time.Time
}

func newState(self member.Peer, place fleet.Place, regions map[fleet.DataCentre]fleet.Region, budget *balance.Budget, beat time.Duration, clock func() time.Time, logger log.Logger) *state {
	return &state{
		logger: logger, place: place, regions: regions, clock: clock, uptime: uptime,
		roster: roster.New(), board: balance.NewBalancer(), budget: budget,
		view:   member.New(self, member.WithInterval(beat)),
		peers:  make(map[fleet.Instance]*peer),
		demand: make(map[roster.Adapter]*meters), works: make(map[int]float64),
		failed: make(map[fleet.Endpoint]gossip.Incarnation),
		broken: make(map[gossip.Incarnation][]run), crashes: suspect.NewCrashChains(),
	}
}

// Route returns the route of a request and the version that it stands in.
func (s *state) Route(host, path string) (*catalog.Route, int64, error) {
	s.mu.Lock()
	c := s.catalog
	s.mu.Unlock()
	if c == nil {
		return nil, 0, gateway.ErrNoCatalog
	}
	r, ok := c.Match(host, path)
	if !ok {
		return nil, c.Version, gateway.ErrNoRoute
	}
	return r, c.Version, nil
}

// Limits bound what callers may send.
func (s *state) Limits() catalog.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog == nil {
		return catalog.Limits{}
	}
	return s.catalog.Limits
}

// choose returns the best endpoint for a request.
func (s *state) choose(now time.Time, a *balance.Request) (balance.Choice, error) {
	if s.catalog == nil {
		return balance.Choice{}, gateway.ErrNoCatalog
	}
	group, ok := s.catalog.Group(a.Service)
	if !ok {
		group = &catalog.Group{Name: a.Service}
	}
	c, lack := s.board.Choose(now, a, group, s.roster.All(), s.regions)
	switch lack {
	case balance.MissingModel:
		return c, gateway.ErrNoEndpoint
	case balance.MissingAdapter:
		return c, gateway.ErrNoAdapter
	case balance.MissingNone:
	}
	if c.Wait > balance.MaxWait(a) {
		return c, gateway.ErrOverloaded
	}
	return c, nil
}

// HasAlternative reports whether an endpoint not yet tried would take a request, and has
// its adapter.
func (s *state) HasAlternative(a *balance.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c, err := s.choose(now, a)
	return err == nil && !c.LoadAdapter && !c.Endpoint.Suspect(now)
}

// Choose picks an endpoint and counts the request there until Ended.
func (s *state) Choose(a *balance.Request) (gateway.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c, err := s.choose(now, a)
	if err != nil {
		return gateway.Target{Wait: c.Wait}, err
	}
	t := gateway.Target{
		ID: c.Endpoint.ID, Born: c.Endpoint.Born, Address: c.Endpoint.Address, DataCentre: c.Endpoint.DataCentre,
		LoadAdapter: c.LoadAdapter, Wait: c.Wait,
	}
	if !c.Endpoint.Report.Taken.IsZero() {
		t.Age = now.Sub(c.Endpoint.Report.Taken)
	}
	t.Prefill = c.Prefill
	t.PendingPrefill = s.board.Started(t.ID, a)
	return t, nil
}

// Answered notes the first byte of an answer: the prompt has been read.
func (s *state) Answered(t gateway.Target, a *balance.Request, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Answered(t.ID, a.Level, t.PendingPrefill)
	s.board.Measured(a.Model, t.Prefill, took)
	s.roster.RecordSuccess(t.ID)
	delete(s.failed, t.ID)
}

// Ended gives a request's place back.
func (s *state) Ended(t gateway.Target, a *balance.Request, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !answered {
		s.board.Answered(t.ID, a.Level, t.PendingPrefill)
	}
	s.board.Ended(t.ID, a)
}

// Failed notes an attempt without an answer.
func (s *state) Failed(t gateway.Target) { s.lost(t.ID, t.Born) }

func (s *state) lost(id fleet.Endpoint, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordFailure(s.clock(), id, born)
	s.failed[id] = gossip.Incarnation{Endpoint: id, Born: born}
}

// Gone notes that another endpoint answers at the address.
func (s *state) Gone(t gateway.Target) { s.left(t.ID, t.Born) }

func (s *state) left(id fleet.Endpoint, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.MarkLeaving(id, born)
	s.retired = append(s.retired, gossip.Incarnation{Endpoint: id, Born: born})
}

// CountRequest counts a request and its demand for a model.
func (s *state) CountRequest(a *balance.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.budget.RecordRequest(now, a.Service)
	if a.Model == "" {
		return
	}
	work := s.usual(a) * s.board.PrefillFactor(a.Model)
	s.want(now, roster.Adapter{Model: a.Model}, work)
	if a.Adapter != "" {
		s.want(now, roster.Adapter{Model: a.Model, Adapter: a.Adapter}, work)
	}
}

// TakeRetry asks whether a request may be sent once more.
func (s *state) TakeRetry(service catalog.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetMembers(len(s.view.All()))
	return s.budget.TakeRetry(s.clock(), service)
}

// Missing notes that the endpoint lacks the adapter or, without one, the model.
func (s *state) Missing(t gateway.Target, m fleet.Model, a fleet.Adapter) {
	if m == "" {
		return
	}
	s.Learned(t.ID, roster.Adapter{Model: m, Adapter: a}, false)
}

// Learned takes what a send or an order has shown.
func (s *state) Learned(id fleet.Endpoint, what roster.Adapter, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordPresence(s.clock(), id, what, present)
}

// Leaving is set once the instance shuts down.
func (s *state) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// usual is the work that a request of its rank usually asks for: sizes differ so
// much that a few large requests would pass for a shift of demand.
func (s *state) usual(a *balance.Request) float64 {
	mean, ok := s.works[a.Level]
	work := workOf(a)
	if !ok {
		mean = work
	}
	mean += (work - mean) * usualShare
	s.works[a.Level] = mean
	return mean
}

// workOf weighs what a request asks of an engine, in prompt tokens to read.
func workOf(a *balance.Request) float64 {
	work := float64(outputWeight * a.OutputTokens)
	last := a.PromptTokens
	if n := len(a.Parts); n > 0 {
		last = a.Parts[n-1].Tokens
	}
	work += float64(last) + sharedWeight*float64(max(0, a.PromptTokens-last))
	switch {
	case a.Level == 0:
		return work * urgentWeight
	case a.Level >= leastUrgent:
		return work * bulkWeight
	default:
		return work
	}
}

// meters measure one demand over a short and a longer time.
type meters struct{ newest, steady *balance.Meter }

func (s *state) want(now time.Time, what roster.Adapter, work float64) {
	m := s.demand[what]
	if m == nil {
		m = &meters{newest: balance.NewMeter(demandHalf), steady: balance.NewMeter(steadyHalf)}
		s.demand[what] = m
	}
	m.newest.Add(now, work)
	m.steady.Add(now, work)
}

// addresses returns where callers of a place connect: instances that are ready,
// in the caller's region where there are some.
func (s *state) addresses(region fleet.Region, self string, ready bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, all []string
	add := func(address string, p fleet.Place) {
		all = append(all, address)
		if p.Region == region {
			near = append(near, address)
		}
	}
	if ready && !s.leaving {
		add(self, s.place)
	}
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		if p.beat.Ready && s.alive(name) {
			add(p.beat.Peer.Caller, p.beat.Place)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return all
}

// ready tells why the instance can't take requests, nil if it can.
func (s *state) ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readiness()
}

func (s *state) readiness() error {
	switch {
	case s.leaving:
		return errLeaving
	case s.catalog == nil:
		return gateway.ErrNoCatalog
	case !s.listed:
		return errNoList
	}
	return nil
}

// holder returns the instance that may give orders, as far as heard.
func (s *state) holder() (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *peer
	for name, p := range s.peers {
		if p.beat.Orders && s.alive(name) && (best == nil || p.beat.Fence > best.beat.Fence) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	return best.beat.Peer.Address, true
}

// vacant reports whether nobody is heard to hold the right to give orders.
func (s *state) vacant() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		if p.beat.Fence != 0 && s.alive(name) {
			return false
		}
	}
	return true
}

// turn is the position of this instance among those that live, by name.
func (s *state) turn() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []fleet.Instance{s.view.Self().Instance}
	for name := range s.peers {
		if s.alive(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Index(names, s.view.Self().Instance)
}

// take puts a configuration in force unless a newer one is. It returns whether it did.
func (s *state) take(c *catalog.Catalog) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog != nil && c.Version <= s.catalog.Version && !switches.Off(switches.Forward) {
		return false
	}
	s.catalog = c
	return true
}
