// Package direct assembles an instance that sends requests directly to endpoints: the
// gateway that serves callers, the exchange of state with other instances and the store,
// and the orders to endpoints.
package direct

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/build"
	"github.com/chiveramp/chiveramp/internal/core/backlog"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/link"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/path"
	"github.com/chiveramp/chiveramp/internal/core/recency"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// demandHalfLife is the half-life of the recent demand; demand shifts within seconds.
	demandHalfLife = 2 * time.Second
	// longTermHalfLife is the half-life of the longer-term demand, which decides how many
	// copies a model keeps.
	longTermHalfLife = 6 * time.Second
	// cachedPromptWeight and outputWeight convert parts of a request to the prefill work of
	// one prompt token: shared parts of the prompt are mostly cached, and output tokens are
	// generated in batches.
	cachedPromptWeight = 0.2
	outputWeight       = 2
	// meanWorkSmoothing is the weight of one request in the moving average of the work of
	// its rank.
	meanWorkSmoothing = 0.02
	// bulkLevel is the level from which on work has the lowest weight in placement.
	bulkLevel = 2
	// urgentWeight and bulkWeight scale demand by rank.
	urgentWeight = 2.0
	bulkWeight   = 0.4
	// peerLoadRetention is how long a peer's loads count after its last heartbeat.
	peerLoadRetention = 2 * time.Second
	// allDataCentres replaces the actual data centre in the membership view, so that every
	// instance exchanges heartbeats with every other.
	allDataCentres fleet.DataCentre = "site"
)

// peer holds the last heartbeat received from another instance.
type peer struct {
	heartbeat  gossip.Heartbeat
	receivedAt time.Time
	// clockOffset is the minimum difference seen between this instance's uptime at receipt
	// and the send time in the peer's heartbeats.
	clockOffset time.Duration
	build       string
}

// state holds the configuration, the endpoints, the peers and the load as this instance has
// recorded them. It is safe for concurrent use.
type state struct {
	logger  log.Logger
	place   fleet.Place
	regions map[fleet.DataCentre]fleet.Region
	clock   func() time.Time
	uptime  func() time.Duration
	// revisionEra returns the store's era in which a revision was given out.
	revisionEra func(revision int64) int64

	mu      sync.Mutex
	catalog *catalog.Catalog
	// previousCatalog was active before; peers may still have it.
	previousCatalog *catalog.Catalog
	// newestCatalog is the highest version that a peer has announced, outdatedSince the time
	// since which it is higher than the active one.
	newestCatalog int64
	outdatedSince time.Time
	listed        bool // whether a list of endpoints has been received
	// listedAt is when the first list was received.
	listedAt time.Time
	// instancesListedAt is when the list of instances was first read.
	instancesListedAt time.Time
	roster            *roster.Roster
	balancer          *balance.Balancer
	budget            *balance.Budget
	view              *member.View
	peers             map[fleet.Instance]*peer
	demand            map[roster.Adapter]*demandMeters
	meanWork          map[int]float64 // usual work of a request, by level
	newReports        []gossip.Report
	failedEndpoints   map[fleet.Endpoint]gossip.Incarnation
	// brokenEndpoints may have crashed, crashes is what is known of the parts of prompts and the
	// whole requests that crash endpoints.
	brokenEndpoints map[incarnation]*brokenEndpoint
	crashes         *suspect.CrashRecord
	reviews         map[suspect.Key]time.Time // when this instance last tried a convicted part
	loggedVerdicts  map[suspect.Key]bool
	origins         *origin.Table
	paths           *path.Table
	relayPeers      map[fleet.Instance]struct{} // peers that connections to endpoints have gone through
	leftEndpoints   []gossip.Incarnation
	// departures are the endpoints that heartbeats name, since the store has lately removed their entries
	// or their entries say that they leave. Each is named once, which departed records.
	departures  []departure
	departed    map[incarnation]bool
	leaving     bool
	shutdown    shutdown.Plan // while leaving
	mayOrder    bool
	fence       fleet.Fence
	retirements []retirement
	lastHolder  announcedHolder
	schedules   schedules
	limits      map[incarnation]*endpointLimit
	// dispatchers are the instances that probe the endpoints, as of a version of the view.
	dispatchers        map[fleet.Endpoint]member.Peer
	dispatchersVersion uint64
	listRounds         int                          // how often the list of instances was due in a small fleet
	admitterDownUntil  map[fleet.Instance]time.Time // instances that didn't answer when asked for a place
	// laggingSince is the time since which a peer has had a newer endpoint list.
	laggingSince time.Time
	// recency tells for how long the active configuration has been known to be the newest.
	recency recency.Tracker
	// keyedSince is since when the active configuration has workspaces, on the clock uptime.
	keyedSince time.Duration
	// strictRevocation makes requests with a key depend on it, within revocationTime.
	strictRevocation bool
	revocationTime   time.Duration
	allotments       *allotments
	service          fairshare.Tracker // of requests whose workspace has a rank of its own
	// storeAnsweredAt is when the store last answered; watching is set while this instance
	// watches the store.
	storeAnsweredAt time.Time
	watching        bool
	// contactSent is the answer of the store that heartbeats last told of, contactRounds how many did.
	contactSent   time.Time
	contactRounds int
	loadFeatures  loadFeatures
	build         string           // of this instance
	meters        fairshare.Meters // of the workspaces at this instance
	// shares are those of the services whose requests this instance admits.
	shares   map[catalog.Service]*fairshare.Shares
	reported *backlog.Table // backlogs of endpoints, as the instances that admit their requests have them
	random   func() float64 // in [0, 1), draws among endpoints
	// slowness is how much longer the endpoints take whose requests this instance admits, delays how
	// much later they have been than their schedules said.
	slowness *balance.Slowness
	delays   map[incarnation]*backlog.Delay
	// caches are what the endpoints keep of prompts whose requests this instance admits.
	caches map[incarnation]*endpointCache
	// expectations are what attempts without an answer are expected to take, unsentAnswers what
	// others have shown, by the address of the instance that gets it.
	expectations  map[*balance.Request]expectation
	unsentAnswers map[string][]gossip.Answer
	counts        counts
	links         *link.Tracker // from other regions
	roundTrips    *link.RoundTrips
	fullLinks     map[fleet.Region]time.Duration
}

// counts are what the state counts beside requests.
type counts interface {
	Spread(age, predicted, took time.Duration)
	RemovalHeld()
	RemovalInForce(held time.Duration)
	CatalogActivated(behind time.Duration)
	Stalled(d time.Duration)
}

// departure is an endpoint whose entry the store has removed, or has with the word that it leaves.
type departure struct {
	gossip.Incarnation
	since time.Time
}

// retirement is a model that is about to be unloaded from an endpoint.
type retirement struct {
	endpoint fleet.Endpoint
	model    fleet.Model
	since    time.Time
}

func newState(self member.Peer, place fleet.Place, regions map[fleet.DataCentre]fleet.Region, budget *balance.Budget, interval time.Duration, clock func() time.Time, logger log.Logger) *state {
	return &state{
		logger: logger, place: place, regions: regions, clock: clock, uptime: uptime, revisionEra: new(platform.Store).RevisionEra,
		roster: roster.New(), balancer: balance.NewBalancer(), budget: budget,
		view:   member.New(self, member.WithInterval(interval)),
		peers:  make(map[fleet.Instance]*peer),
		demand: make(map[roster.Adapter]*demandMeters), meanWork: make(map[int]float64),
		failedEndpoints: make(map[fleet.Endpoint]gossip.Incarnation),
		departed:        make(map[incarnation]bool), brokenEndpoints: make(map[incarnation]*brokenEndpoint), crashes: suspect.NewCrashRecord(settleBeats * interval), reviews: make(map[suspect.Key]time.Time),
		origins: origin.NewTable(), paths: path.NewTable(), relayPeers: make(map[fleet.Instance]struct{}), schedules: make(schedules), shares: make(map[catalog.Service]*fairshare.Shares), limits: make(map[incarnation]*endpointLimit), admitterDownUntil: make(map[fleet.Instance]time.Time),
		revocationTime: defaultRevocationTime, allotments: newAllotments(uptime(), self), links: link.NewTracker(place.Region), roundTrips: link.NewRoundTrips(),
		loadFeatures: loadFeatures{announced: feature.Announced()}, build: build.Version(),
		reported: backlog.NewTable(), random: rand.Float64, slowness: balance.NewSlowness(), delays: make(map[incarnation]*backlog.Delay), caches: make(map[incarnation]*endpointCache),
		expectations: make(map[*balance.Request]expectation), unsentAnswers: make(map[string][]gossip.Answer), counts: newStats(metrics.NewRegistry()),
	}
}

// Route returns the route that matches a request, and the version of the configuration that
// contains it.
func (s *state) Route(host, path string) (*catalog.Route, int64, error) {
	s.mu.Lock()
	c := s.catalog
	s.mu.Unlock()
	if c == nil {
		return nil, 0, gateway.ErrNoCatalog
	}
	if r, ok := c.Match(host, path); ok {
		return r, c.Version, nil
	}
	return nil, c.Version, s.unmatched()
}

// unmatched returns why no route matches. A route that may have been added without this instance's
// knowledge isn't known to be absent.
func (s *state) unmatched() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch age, ok := s.confirmedAge(); {
	case !s.outdatedSince.IsZero():
		return gateway.ErrOutdated
	case (!ok || age > routeConfirmedTime) && s.peersConfirm():
		return gateway.ErrMayBeOutdated
	default:
		return gateway.ErrNoRoute
	}
}

// Limits returns the configured limits on callers' requests.
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
	c, missing := s.chooseEndpoint(now, a, group)
	if a.Reserved != "" && (missing != balance.MissingNone || c.Wait > balance.MaxWait(a)) {
		c, missing = s.chooseReserved(now, a, group, c, missing)
	}
	switch missing {
	case balance.MissingModel:
		return c, gateway.ErrNoEndpoint
	case balance.MissingAdapter:
		return c, gateway.ErrNoAdapter
	case balance.MissingRate:
		return c, deferralError(now, c.Endpoint)
	case balance.MissingNone:
	}
	if c.Wait > max(balance.MaxWait(a), a.Patience) {
		return c, gateway.ErrOverloaded
	}
	return c, nil
}

// chooseReserved returns the endpoint at which a request waits for room, the other choice if that
// one can't serve it any more.
func (s *state) chooseReserved(now time.Time, a *balance.Request, group *catalog.Group, other balance.Choice, missing balance.Missing) (balance.Choice, balance.Missing) {
	e := s.roster.Get(a.Reserved)
	if e == nil {
		return other, missing
	}
	c, without := s.balancer.Choose(now, a, group, []*roster.Endpoint{e}, s.regions)
	if without != balance.MissingNone {
		return other, missing
	}
	c.Wait = min(c.Wait, a.Patience) // what its admitting instance has said goes first
	return c, without
}

// deferralError tells why the endpoint that would be the first to take a request takes none now.
func deferralError(now time.Time, e *roster.Endpoint) error {
	if e.Spared(now) {
		return fmt.Errorf("endpoint %s: %w: it has asked to be spared", e.ID, gateway.ErrOverloaded)
	}
	return fmt.Errorf("endpoint %s: %w: its limit leaves no room", e.ID, gateway.ErrOverloaded)
}

// HasAlternative reports whether an endpoint that was not tried yet could take a request and
// already has its adapter loaded.
func (s *state) HasAlternative(a *balance.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c, err := s.choose(now, a)
	return err == nil && !c.LoadAdapter && !c.Endpoint.Suspect(now)
}

// Choose selects an endpoint and counts the request as running there until Ended is called.
func (s *state) Choose(a *balance.Request) (gateway.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c, err := s.choose(now, a)
	if err != nil {
		return gateway.Target{Wait: c.Wait}, err
	}
	t := gateway.Target{
		ID: c.Endpoint.ID, Born: c.Endpoint.Born, Address: c.Endpoint.Address, DataCentre: c.Endpoint.DataCentre, Software: c.Endpoint.Software,
		LoadAdapter: c.LoadAdapter, Wait: c.Wait,
	}
	if !c.Endpoint.Report.Taken.IsZero() {
		t.Age = now.Sub(c.Endpoint.Report.Taken)
	}
	t.Prefill, t.Limited = c.Prefill, s.limit(incarnation{t.ID, t.Born}) != nil
	if c.Slowness == 0 {
		t.PendingPrefill = s.balancer.Started(t.ID, a)
		return t, nil
	}
	t.PendingPrefill = s.balancer.StartedAt(t.ID, a, c.Slowness)
	s.expect(now, &t, a, c)
	return t, nil
}

// CheckTarget returns an error if a request must not be sent to the endpoint that was chosen for it
// some time ago.
func (s *state) CheckTarget(t gateway.Target, m fleet.Model) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	switch e := s.roster.Get(t.ID); {
	case e == nil || e.Born != t.Born || e.Lost:
		return fmt.Errorf("%w: it is gone", gateway.ErrTargetLost)
	case e.Leaving:
		return fmt.Errorf("%w: it leaves", gateway.ErrTargetLost)
	case e.Spared(now):
		return fmt.Errorf("%w: it has asked to be spared", gateway.ErrTargetLost)
	case m != "" && !e.Serves(now, m, ""):
		return fmt.Errorf("%w: its model was unloaded", gateway.ErrTargetLost)
	}
	return nil
}

// Answered records the first byte of an answer, which shows that prefill is done.
func (s *state) Answered(t gateway.Target, a *balance.Request, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Answered(t.ID, a.Level, t.PendingPrefill)
	switch x, ok := s.expectations[a]; {
	case !ok:
		s.balancer.Measured(a.Model, t.Prefill, took)
	case a.Model == "":
		s.measurePlain(t, a, x, took)
	default:
		s.measure(t, a, x, took)
	}
	s.roster.RecordSuccess(t.ID)
	s.paths.Answered(s.clock(), t.ID)
	delete(s.failedEndpoints, t.ID)
}

// Ended releases the load that Choose counted for a request.
func (s *state) Ended(t gateway.Target, a *balance.Request, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !answered {
		s.balancer.Answered(t.ID, a.Level, t.PendingPrefill)
	}
	s.balancer.Ended(t.ID, a)
	delete(s.expectations, a)
}

// Failed records an attempt that got no answer.
func (s *state) Failed(t gateway.Target) { s.recordFailure(t.ID, t.Born) }

func (s *state) recordFailure(id fleet.Endpoint, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordFailure(s.clock(), id, born)
	s.failedEndpoints[id] = gossip.Incarnation{Endpoint: id, Born: born}
}

// Gone records that another endpoint or incarnation now answers at the address, or that the
// endpoint says that it leaves.
func (s *state) Gone(t gateway.Target) { s.recordLeft(t.ID, t.Born) }

// Spare records that an endpoint wants nothing from this instance for a while.
func (s *state) Spare(t gateway.Target, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.logger.Log("step", "spare", "endpoint", t.ID, "born", t.Born, "for", wait)
	s.roster.Spare(t.ID, t.Born, s.clock().Add(wait))
}

func (s *state) recordLeft(id fleet.Endpoint, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := gossip.Incarnation{Endpoint: id, Born: born}
	if e := s.roster.Get(id); e != nil && e.Born == born && !e.Leaving {
		s.logLeaving(left, "answer")
	}
	s.roster.MarkLeaving(id, born)
	if !slices.Contains(s.leftEndpoints, left) { // its answers repeat it
		s.leftEndpoints = append(s.leftEndpoints, left)
	}
}

// receiveLeaving records a peer's report that an endpoint leaves.
func (s *state) receiveLeaving(now time.Time, left gossip.Incarnation, from string) {
	e := s.roster.Get(left.Endpoint)
	known := e == nil || e.Leaving
	s.roster.ReportLeaving(now, left.Endpoint, left.Born)
	if !known && e.Leaving {
		s.logLeaving(left, from)
	}
}

func (s *state) logLeaving(left gossip.Incarnation, from string) {
	_ = s.logger.Log("step", "endpoint", "endpoint", left.Endpoint, "born", left.Born, "now", "leaving", "from", from)
}

// observeReport records a report of an endpoint. From is who got it.
func (s *state) observeReport(id fleet.Endpoint, r roster.Report, from string) {
	e := s.roster.Get(id)
	known := e == nil || e.Leaving
	s.roster.RecordReport(id, r)
	if !known && e.Leaving {
		s.logLeaving(gossip.Incarnation{Endpoint: id, Born: e.Born}, from)
	}
}

// CountRequest counts a request in the retry budget and adds its demand for a model, and its
// workspace's usage to the request.
func (s *state) CountRequest(a *balance.Request, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.budget.RecordRequest(now, a.Service)
	if a.Model == "" {
		return
	}
	if workspace != "" && s.queues(a.Service) {
		u := s.meters.Count(s.uptime(), xxhash.Sum64String(workspace))
		a.Usage = &u
	}
	work := s.updateMeanWork(a) * s.demandFactor(a)
	s.addDemand(now, roster.Adapter{Model: a.Model}, work)
	if a.Adapter != "" {
		s.addDemand(now, roster.Adapter{Model: a.Model, Adapter: a.Adapter}, work)
	}
}

// demandFactor returns the work of a request for its model relative to others. Where copies follow
// demand, a model whose copies are overloaded must not count as slow for that: its answers come late,
// which raises its prefill factor.
func (s *state) demandFactor(a *balance.Request) float64 {
	factor := s.balancer.PrefillFactor(a.Model)
	if s.follows(a.Service) {
		return min(factor, 1)
	}
	return factor
}

// TakeRetry takes a retry from the budget and reports whether one was left.
func (s *state) TakeRetry(service catalog.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.budget.SetMembers(len(s.view.All()))
	if s.instancesListedAt.IsZero() || now.Sub(s.instancesListedAt) < 2*instanceListInterval {
		s.budget.HoldAllowance(now) // others may not have registered yet
	}
	return s.budget.TakeRetry(now, service)
}

// Missing records that an endpoint lacks the adapter or, if a is empty, the model.
func (s *state) Missing(t gateway.Target, m fleet.Model, a fleet.Adapter) {
	if m == "" {
		return
	}
	s.RecordPresence(t.ID, roster.Adapter{Model: m, Adapter: a}, false)
}

// RecordPresence records whether an endpoint has a model or adapter, as a request or an
// order has shown.
func (s *state) RecordPresence(id fleet.Endpoint, adapter roster.Adapter, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordPresence(s.clock(), id, adapter, present)
}

// Leaving reports whether this instance is shutting down, and its plan for that.
func (s *state) Leaving() (plan shutdown.Plan, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shutdown, s.leaving
}

// updateMeanWork adds a request to the moving average of the work of its rank and returns
// the average. Demand uses the average because request sizes differ so much that a few
// large requests would look like a shift in demand.
func (s *state) updateMeanWork(a *balance.Request) float64 {
	mean, ok := s.meanWork[a.Level]
	work := requestWork(a)
	if !ok {
		mean = work
	}
	mean += (work - mean) * meanWorkSmoothing
	s.meanWork[a.Level] = mean
	return mean
}

// requestWork estimates the work of a request for an engine, in prompt tokens to prefill,
// weighted by the rank of the request.
func requestWork(a *balance.Request) float64 {
	work := float64(outputWeight * a.OutputTokens)
	lastPart := a.PromptTokens
	if n := len(a.Parts); n > 0 {
		lastPart = a.Parts[n-1].Tokens
	}
	work += float64(lastPart) + cachedPromptWeight*float64(max(0, a.PromptTokens-lastPart))
	switch {
	case a.Level == 0:
		return work * urgentWeight
	case a.Level >= bulkLevel:
		return work * bulkWeight
	default:
		return work
	}
}

// demandMeters measure the demand for a model or adapter over a short and a longer time.
type demandMeters struct{ recent, longTerm *balance.Meter }

func (s *state) addDemand(now time.Time, adapter roster.Adapter, work float64) {
	m := s.demand[adapter]
	if m == nil {
		m = &demandMeters{recent: balance.NewMeter(demandHalfLife), longTerm: balance.NewMeter(longTermHalfLife)}
		s.demand[adapter] = m
	}
	m.recent.Add(now, work)
	m.longTerm.Add(now, work)
}

// ready returns the reason why this instance can't take requests, or nil if it can.
func (s *state) ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readinessError()
}

func (s *state) readinessError() error {
	switch {
	case s.leaving:
		return errLeaving
	case s.catalog == nil:
		return gateway.ErrNoCatalog
	case !s.listed:
		return errNoEndpointList
	}
	return nil
}

// position returns the position of this instance among the live ones, sorted by name.
func (s *state) position() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []fleet.Instance{s.view.Self().Instance}
	for name := range s.peers {
		if s.isLive(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Index(names, s.view.Self().Instance)
}
