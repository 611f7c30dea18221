package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/internal/core/transfer"
	"github.com/chiveramp/chiveramp/internal/drain"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/heap"
	"github.com/chiveramp/chiveramp/internal/ingress"
	"github.com/chiveramp/chiveramp/internal/loader"
	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/internal/telemetry"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	probeInterval        = 300 * time.Millisecond // reports are some hundred milliseconds old anyway
	probeTimeout         = 400 * time.Millisecond // two round trips between regions plus a short pause
	placementInterval    = 200 * time.Millisecond // determines how soon placement follows demand
	orderLeaseInterval   = 400 * time.Millisecond // several renewals per lease
	holdInterval         = 100 * time.Millisecond // how late a removal that is held back may take effect; also finds pauses
	cleanUpInterval      = 500 * time.Millisecond // limits how long an expired entry stays
	reloadInterval       = time.Second            // picks up changed settings also without a signal
	instanceListInterval = 3 * time.Second        // heartbeats of new instances usually arrive sooner
	headerTimeout        = 10 * time.Second       // for a client's header; exceeds the operators' limits
	writeTimeout         = 10 * time.Second       // for a write to a client that doesn't read, where the gateway sets none
	idleTimeout          = 75 * time.Second       // exceeds the time for which callers reuse connections
	maxHeaderBytes       = 64 << 10               // size of a client's header; exceeds the operators' limits
	drainPause           = 50 * time.Millisecond
	orderMargin          = 500 * time.Millisecond  // from the decision to send an order to its arrival
	handoverMargin       = 200 * time.Millisecond  // for orders in transit while the lease changes hands
	drainShare           = 0.9                     // of the grace period, for requests in flight
	closeShare           = 0.94                    // of the grace period, until connections are closed; the rest is for the exit
	maxEstimated         = 2800 * time.Millisecond // callers expect requests to be cut that they sent in the first 3 s of a stop
	addressCacheFactor   = 3                       // some callers cache addresses longer than they should
)

// The servers with their shares of the descriptors. Callers leave some memory to the others. What is left is for connections that the instance opens
// itself: to endpoints, peers and the store.
var (
	callersSide   = ingress.Side{Name: "callers", Share: 1.0 / 2, Reserve: 1.0 / 8}
	peersSide     = ingress.Side{Name: "peers", Share: 1.0 / 4}
	directorySide = ingress.Side{Name: "directory", Share: 1.0 / 16}
	readySide     = ingress.Side{Name: "ready", Share: 1.0 / 32}
	metricsSide   = ingress.Side{Name: "metrics", Share: 1.0 / 32}
)

var (
	errLeaving        = errors.New("leaving")
	errNoEndpointList = errors.New("no list of endpoints yet")
)

// Node is one instance of the gateway with its tasks and connections.
type Node struct {
	config            config.Gateway
	settings          *reload.Value[config.Gateway]
	logger            log.Logger
	group             *errgroup.Group
	registry          metrics.Registry
	timers            *timer.Service
	clock             func() time.Time
	state             *state
	store             *platform.Store
	endpoints         *platform.EndpointClient
	dialDirect        platform.EndpointDialer
	relayed           atomic.Int32 // connections carried for peers
	gossip            *gossip.Client
	orderLease        *orderLease
	loader            *loader.Loader
	streamRecords     *streamRecords
	verdictRecords    *verdictRecords
	gateway           *gateway.Gateway
	tasks             *timer.Tasks
	ingress           *ingress.Gate
	callers           drain.Connections // of callers' connections
	activity          shutdown.Activity
	registrationLease platform.Lease // store lease of this instance's registration
	// incomingCatalog is the configuration that a peer is sending. It belongs to the task
	// "catalog".
	incomingCatalog  transfer.Assembly
	outgoingCatalogs outgoingCatalogs
	// incomingList belongs to the task "follow".
	incomingList incomingList
}

// Option configures a Node.
type Option func(*Node)

// WithEndpointDialer sets how the instance connects to endpoints directly.
func WithEndpointDialer(dial platform.EndpointDialer) Option {
	return func(n *Node) { n.dialDirect = dial }
}

// New creates an instance from its settings. Its goroutines run in the group.
func New(settings *reload.Value[config.Gateway], logger log.Logger, group *errgroup.Group, options ...Option) *Node {
	c := settings.Get()
	clock := timer.System{}
	place := fleet.Place{Region: fleet.Region(c.Instance.Region), DataCentre: fleet.DataCentre(c.Instance.Datacentre)}
	self := member.Peer{
		Instance: fleet.Instance(c.Instance.Name), Incarnation: strconv.FormatInt(clock.Now().UnixNano(), 36),
		Place:   fleet.Place{Region: place.Region, DataCentre: allDataCentres},
		Address: c.Listen.Peer, Caller: c.Listen.Caller,
	}
	regions := make(map[fleet.DataCentre]fleet.Region)
	for dataCentre, region := range c.Regions() {
		regions[fleet.DataCentre(dataCentre)] = fleet.Region(region)
	}
	budget := balance.NewBudget(c.Retry.Share, c.Retry.Extra, c.Retry.Window, balance.WithStart(time.Now()))
	timers := timer.New(clock)
	n := &Node{
		config: c, settings: settings, logger: logger, group: group, registry: metrics.NewRegistry(),
		timers: timers, clock: clock.Now,
		state:      newState(self, place, regions, budget, c.Peer.Beat, clock.Now, logger),
		dialDirect: platform.DialEndpoint,
	}
	for _, o := range options {
		o(n)
	}
	n.gossip = n.newGossip()
	n.endpoints = platform.NewEndpointClient(platform.WithEndpointDialer(n.dialEndpoint), platform.WithOrderDialer(n.dialDirect))
	n.state.setRevocation(c.Workspaces.Strict, c.Workspaces.Revoke)
	n.state.loadFeatures.settings = c.Load
	n.store = n.newStore()
	n.state.revisionEra = func(revision int64) int64 { return n.store.RevisionEra(revision) }
	n.orderLease = newOrderLease(n.store, tenure.New(c.Orders.Lease, orderMargin, c.Orders.Apart+handoverMargin), c, logger)
	n.loader = loader.New(platform.NewOrderClient(n.endpoints, c.Instance.Name), n.orderLease, n.state, clock.Now, loader.Limits{
		Window: c.Orders.Window, Burst: c.Orders.Over, MaxMoves: maxMoves, MinGain: minMoveGain, MinDemand: minMoveDemand, StandbyCopies: standbyCopies, Follow: c.Load.Follow,
		Capacity: endpointCapacity, TrendLead: trendLead(),
	}, loader.WithLogger(logger), loader.WithGroup(group), loader.WithRegistry(n.registry))
	n.streamRecords = newStreamRecords(n.store, n.state, c.Instance.Name, c.Store.Timeout, n.registry, logger)
	n.verdictRecords = newVerdictRecords(n.store, n.state, c.Store.Timeout, logger)
	n.ingress = ingress.New(ingress.Limits{Memory: c.Limits.Heads, Head: maxHeaderBytes, HeadTime: headerTimeout, WriteTime: writeTimeout, Descriptors: c.Limits.Descriptors},
		ingress.WithLogger(logger), ingress.WithRegistry(n.registry), ingress.WithEcho(platform.HeaderID))
	counts := newStats(n.registry)
	n.state.counts = counts
	n.gateway = gateway.New(place, platform.CallerCodec{}, n.endpoints, gatewayFleet{n.state, n}, clock.Now,
		gateway.WithLogger(logger), gateway.WithStats(counts), gateway.WithTimers(n.timers),
		gateway.WithPacer(heap.New(n.timers)), gateway.WithAnswerLimits(n.config.Limits.Answer, n.config.Limits.Held),
		gateway.WithBodyMemory(n.config.Limits.Bodies), gateway.WithBodyTime(n.config.Limits.Upload))
	return n
}

// newStore returns the client of the store.
func (n *Node) newStore(options ...platform.StoreOption) *platform.Store {
	return platform.NewStore(n.config.Store.Address, append([]platform.StoreOption{
		platform.WithStallTimeout(n.timers, n.config.Store.Timeout), platform.WithAllowance(n.state.storeAllowance), platform.WithNewEra(n.newEra),
	}, options...)...)
}

// newGossip returns the client of the peers.
func (n *Node) newGossip(options ...gossip.Option) *gossip.Client {
	return gossip.NewClient(append([]gossip.Option{gossip.WithAllowance(func(address string) time.Duration {
		allowance, _ := n.state.peerAllowance(address)
		return allowance
	})}, options...)...)
}

// newEra reacts to the store's return from an older copy: entries that it lacks may be written
// again, and the record of the order lease's holder may be lost.
func (n *Node) newEra(era int64, returned bool) {
	n.orderLease.newEra(returned)
	if !returned {
		return
	}
	_ = level.Warn(n.logger).Log("step", "store restored", "era", era)
	n.state.storeFailed()
	n.state.forgetHistory()
	n.streamRecords.notify()
	n.tasks.RunIfIdle("history", n.streamRecords.updateHistory)
	n.verdictRecords.forgetWritten()
}

const (
	// maxMoves, minMoveGain and minMoveDemand limit the moves that follow demand. Replacing a
	// model costs two orders, a load, and the KV cache built for the evicted model.
	maxMoves      = 6
	minMoveGain   = 2.0
	minMoveDemand = 12000.0 // tokens per second at prefill factor 1; about a third of an endpoint's prefill rate
	// standbyCopies is how many copies can serve a sudden rise in a model's demand until a
	// load from the weight store completes: as many as a model in demand uses.
	standbyCopies = 3
	// endpointCapacity is the demand that an endpoint serves within the targets of interactive
	// callers: two thirds of its prefill rate.
	endpointCapacity = 2 * minMoveDemand
)

// Run serves until the context ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n.timers.Start(lifetime, n.group)
	n.tasks = timer.NewTasks(lifetime, n.timers, n.group)
	peerServer := gossip.NewServer(n)
	n.group.Go(func() error { return serveError("peers", peerServer.Serve(n.ingress.Limit(listeners.peer, peersSide))) })
	callerServer := n.serveHTTP(callersSide, listeners.caller, n.gateway, func(s *http.Server) {
		s.ConnState, s.ConnContext = n.callers.Observe, gateway.ConnContext
	})
	directoryServer := n.serveHTTP(directorySide, listeners.directory, platform.Directory(n.addresses))
	readyServer := n.serveHTTP(readySide, listeners.ready, platform.Readiness(n.state.ready))
	metricsServer := n.serveHTTP(metricsSide, listeners.metrics, telemetry.MetricsHandler(n.registry))
	n.startTasks(lifetime)
	_ = level.Info(n.logger).Log("step", "start", "build", n.state.build, "features", fmt.Sprint(n.state.loadFeatures.announced), "caller", n.config.Listen.Caller, "peer", n.config.Listen.Peer)
	<-ctx.Done()
	n.drain(lifetime, listeners.caller, callerServer)
	end()
	peerServer.Stop()
	n.gossip.Close()
	for _, s := range []*http.Server{callerServer, directoryServer, readyServer, metricsServer} {
		_ = s.Close()
	}
	return nil
}

type sockets struct{ caller, directory, ready, peer, metrics net.Listener }

func (n *Node) listen(ctx context.Context) (sockets, error) {
	var open sockets
	for _, l := range []struct {
		key, address string
		listener     *net.Listener
	}{
		{"caller", n.config.Listen.Caller, &open.caller},
		{"directory", n.config.Listen.Directory, &open.directory},
		{"ready", n.config.Listen.Ready, &open.ready},
		{"peer", n.config.Listen.Peer, &open.peer},
		{"metrics", n.config.Listen.Metrics, &open.metrics},
	} {
		if l.address == "" {
			continue
		}
		var lc net.ListenConfig
		var err error
		if *l.listener, err = lc.Listen(ctx, "tcp", l.address); err != nil {
			return open, fmt.Errorf("%s: [listen] %s: %w", n.config.File, l.key, err)
		}
	}
	return open, nil
}

func (n *Node) serveHTTP(side ingress.Side, l net.Listener, h http.Handler, options ...func(*http.Server)) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	for _, o := range options {
		o(s)
	}
	if l != nil {
		guarded := n.ingress.Guard(s, l, side)
		n.group.Go(func() error { return serveError(side.Name, s.Serve(guarded)) })
	}
	return s
}

func serveError(side string, err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", side, err)
}

// startTasks starts the store watches and the periodic tasks.
func (n *Node) startTasks(lifetime context.Context) {
	n.group.Go(func() error { return n.watchCatalog(lifetime) })
	n.group.Go(func() error { return n.watchRoster(lifetime) })
	n.group.Go(func() error { return n.streamRecords.run(lifetime) })
	every := func(name string, interval time.Duration, task func(context.Context)) {
		n.tasks.Every(name, interval, func(ctx context.Context, _ time.Time) { task(ctx) })
	}
	every("beat", n.config.Peer.Beat, n.sendHeartbeats)
	every("portions", allotment.AskInterval, n.refillPortions)
	every("probe", probeInterval, n.probeEndpoints)
	every("right", orderLeaseInterval, n.maintainOrderLease)
	every("place", placementInterval, n.placeModels)
	every("tidy", cleanUpInterval, n.cleanUp)
	every("held", holdInterval, func(ctx context.Context) {
		n.recordActivity()
		n.endHolds(ctx)
	})
	every("list", instanceListInterval, n.refreshInstances)
	every("history", historyInterval, n.streamRecords.updateHistory)
	every("verdicts", verdictInterval, n.verdictRecords.update)
	every("paths", pathCheckInterval, n.checkPaths)
	every("reload", reloadInterval, func(context.Context) { n.Reload("look") })
}

// recordActivity records that the process runs, and logs for how long it didn't.
func (n *Node) recordActivity() {
	if stall := n.activity.Record(uptime()); stall > 0 {
		n.state.counts.Stalled(stall)
		_ = level.Warn(n.logger).Log("step", "stall", "for", stall)
	}
}

// Reload applies changed settings that can change at run time: the limits on retries and
// orders, how soon revoked keys stop, and the limits of the graceful shutdown.
func (n *Node) Reload(cause string) {
	changed, err := n.settings.Check()
	if err != nil {
		_ = level.Error(n.logger).Log("step", "reload", "cause", cause, "err", err)
		return
	}
	if !changed {
		return
	}
	c := n.settings.Get()
	n.state.setRetryLimits(c.Retry.Share, c.Retry.Extra)
	n.state.setRevocation(c.Workspaces.Strict, c.Workspaces.Revoke)
	_ = level.Info(n.logger).Log("step", "reload", "cause", cause)
}

// maintainOrderLease keeps or claims the order lease, unless another instance must give the orders
// because this one is cut off from the endpoints.
func (n *Node) maintainOrderLease(ctx context.Context) {
	if n.state.cutOff() {
		n.orderLease.giveUp(ctx, false)
		return
	}
	n.orderLease.maintain(ctx, n.state)
}

// placeModels gives the orders that are due, if this instance may give any.
func (n *Node) placeModels(ctx context.Context) {
	mayOrder := n.loader.Step(ctx)
	n.state.setOrderLease(mayOrder, n.orderLease.heldFence())
}

// cleanUp garbage-collects expired state, and connections to endpoints that are gone.
func (n *Node) cleanUp(context.Context) {
	n.endpoints.CloseExcept(n.state.cleanUp())
	n.countBuilds()
	if n.state.hasUnnamedStreams() {
		n.tasks.RunIfIdle("origins", n.nameStreams)
	}
	if n.state.hasStreamsToStore() {
		n.streamRecords.notify()
	}
	if n.state.hasEndpointsToAsk() {
		n.tasks.RunIfIdle("broken", n.checkBroken)
	}
}

// addresses returns where callers at a place may connect, and how long they may cache it.
func (n *Node) addresses(region fleet.Region, dataCentre fleet.DataCentre) ([]string, time.Duration) {
	return n.state.addresses(fleet.Place{Region: region, DataCentre: dataCentre}, n.config.Listen.Caller, n.state.ready() == nil), n.settings.Get().Drain.Keep
}

// drain shuts down gracefully: it announces to peers that this instance leaves, releases the
// order lease, keeps serving callers that use cached addresses, and lets requests in flight
// finish. After a pause the grace period counts from when this process last ran, since the signal may have
// been sent then.
func (n *Node) drain(ctx context.Context, listener net.Listener, callers *http.Server) {
	limits, lag := n.settings.Get().Drain, n.activity.Lag(uptime())
	started := n.clock().Add(-lag)
	_ = level.Info(n.logger).Log("step", "drain", "grace", limits.Grace, "lag", lag)
	finish := time.Duration(float64(limits.Grace) * drainShare)
	n.logDrain("announcing")
	expired := started.Add(min(addressCacheFactor*limits.Keep, finish/2))
	estimated := started.Add(min(expired.Sub(started), maxEstimated))
	n.state.leave(shutdown.Plan{Estimated: estimated, Closes: started.Add(finish)})
	announcing, announced := context.WithDeadline(ctx, expired)
	defer announced()
	n.sendHeartbeats(announcing)
	n.handOverAllotments(announcing)
	n.orderLease.release(announcing)
	<-announcing.Done()
	closes := time.Duration(float64(limits.Grace) * closeShare)
	ctx, cancel := context.WithTimeout(ctx, max(closes-n.clock().Sub(started), closes-finish)) // the last answers take some time to write
	defer cancel()
	serving, end := context.WithDeadline(ctx, started.Add(finish))
	defer end()
	n.logDrain("closing listener")
	lastAnswers := func() {
		n.gateway.EndUnanswered()
		n.logDrain("answered the rest")
	}
	if err := drain.Stop(serving, ctx, listener, callers, &n.callers, n.gateway.RefuseNew, lastAnswers); err != nil {
		_ = level.Warn(n.logger).Log("step", "drain", "err", err)
	}
	n.logDrain("closing connections")
	n.reportCut()
	for n.relayed.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPause) // peers close the idle connections through this instance
	}
	_ = level.Info(n.logger).Log("step", "stop", "took", n.clock().Sub(started))
}

// logDrain logs what a planned stop does now, how many requests have ended by then, and how many have not,
// by their phase. Connections that are busy beyond those are about to send a request.
func (n *Node) logDrain(now string) {
	active, phases := n.gateway.Active(), make(map[gateway.Phase]int)
	for _, r := range active {
		phases[r.Phase]++
	}
	_ = level.Info(n.logger).Log("step", "drain", "now", now, "ended", n.gateway.Ended(), "active", len(active),
		"reading", phases[gateway.PhaseReading], "waiting", phases[gateway.PhaseWaiting], "sent", phases[gateway.PhaseSent],
		"answering", phases[gateway.PhaseAnswering], "busy", n.callers.Count(n.clock()))
}

// reportCut logs and counts the requests whose connections are closed before they have ended.
func (n *Node) reportCut() {
	for _, r := range n.gateway.Active() {
		_ = level.Warn(n.logger).Log("step", "cut", "id", r.ID, "route", r.Route, "phase", string(r.Phase), "endpoint", r.Endpoint, "age", r.Age)
		metrics.GetOrRegisterCounter("cut_requests;phase="+string(r.Phase), n.registry).Inc(1)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
