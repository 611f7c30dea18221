package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/loader"
	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/internal/telemetry"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	probePause  = 300 * time.Millisecond // an endpoint's report is some hundred milliseconds old anyway
	probeWait   = 400 * time.Millisecond // two round trips between regions and room for a pause
	placePause  = 200 * time.Millisecond // decides how soon a shift of demand is followed
	rightPause  = 400 * time.Millisecond // several renewals within a lease
	tidyPause   = 500 * time.Millisecond // bounds how long a lapsed entry is kept too long
	reloadPause = time.Second            // settings may change without a signal
	listPause   = 3 * time.Second        // new instances are found through their own beats before
	headerWait  = 10 * time.Second       // a caller's header; longer than the operators' limits
	idleWait    = 75 * time.Second       // a caller's idle connection; longer than callers reuse them
	mostHeader  = 64 << 10               // bytes of a caller's header
	drainPause  = 50 * time.Millisecond
	orderMargin = 500 * time.Millisecond // from the decision to order to its arrival
	apartMargin = 200 * time.Millisecond // orders on their way as the right passes on
	finishPart  = 0.85                   // of the grace, for requests in flight
	keepFactor  = 3                      // some callers keep an answer longer than told
)

var (
	errLeaving = errors.New("leaving")
	errNoList  = errors.New("no list of endpoints yet")
)

// Node is one instance.
type Node struct {
	config    config.Gateway
	settings  *reload.Value[config.Gateway]
	logger    log.Logger
	group     *errgroup.Group
	registry  metrics.Registry
	timers    *timer.Service
	clock     func() time.Time
	state     *state
	store     *platform.Store
	endpoints *platform.EndpointClient
	gossip    *gossip.Client
	right     *right
	loader    *loader.Loader
	gateway   *gateway.Gateway
	tasks     *timer.Tasks
	lease     int64 // of the instance's own registration
}

// New builds an instance from its settings. Its goroutines run in the group.
func New(settings *reload.Value[config.Gateway], logger log.Logger, group *errgroup.Group) *Node {
	c := settings.Get()
	clock := timer.System{}
	place := fleet.Place{Region: fleet.Region(c.Instance.Region), DataCentre: fleet.DataCentre(c.Instance.Datacentre)}
	self := member.Peer{
		Instance: fleet.Instance(c.Instance.Name), Incarnation: strconv.FormatInt(clock.Now().UnixNano(), 36),
		Place:   fleet.Place{Region: place.Region, DataCentre: site},
		Address: c.Listen.Peer, Caller: c.Listen.Caller,
	}
	regions := make(map[fleet.DataCentre]fleet.Region)
	for dataCentre, region := range c.Regions() {
		regions[fleet.DataCentre(dataCentre)] = fleet.Region(region)
	}
	budget := balance.NewBudget(c.Retry.Share, float64(c.Retry.Extra), c.Retry.Window, balance.WithStart(time.Now()))
	n := &Node{
		config: c, settings: settings, logger: logger, group: group, registry: metrics.NewRegistry(),
		timers: timer.New(clock), clock: clock.Now,
		state:     newState(self, place, regions, budget, c.Peer.Beat, clock.Now, logger),
		store:     platform.NewStore(c.Store.Address),
		endpoints: platform.NewEndpointClient(),
		gossip:    gossip.NewClient(),
	}
	n.right = newRight(n.store, tenure.New(c.Orders.Lease, orderMargin, c.Orders.Apart+apartMargin), c, logger)
	n.loader = loader.New(platform.NewOrderClient(n.endpoints, c.Instance.Name), n.right, n.state, clock.Now, loader.Limits{
		Window: c.Orders.Window, Over: c.Orders.Over, Swaps: swaps, Gain: swapGain, Least: swapLeast, Ahead: swapAhead,
	}, loader.WithLogger(logger))
	n.gateway = gateway.New(place, platform.CallerCodec{}, n.endpoints, routes{n.state, n}, clock.Now,
		gateway.WithLogger(logger), gateway.WithStats(newStats(n.registry)), gateway.WithTimers(n.timers))
	return n
}

const (
	// swaps, swapGain and swapLeast bound moves that follow demand: a swap costs two
	// orders, a load and what the endpoint had read for the model that yields.
	swaps     = 6
	swapGain  = 2.0
	swapLeast = 12000.0 // tokens a second of a model with pace 1, about a third of what an endpoint reads
	// swapAhead is how many copies serve a model whose demand jumps until a load from
	// the weight store is done: as many as a model in demand uses.
	swapAhead = 3
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
	peers := gossip.NewServer(n)
	n.group.Go(func() error { return served("peers", peers.Serve(listeners.peer)) })
	callers := n.serveHTTP("callers", listeners.caller, n.gateway)
	directory := n.serveHTTP("directory", listeners.directory, platform.Directory(n.addresses))
	ready := n.serveHTTP("ready", listeners.ready, platform.Readiness(n.state.ready))
	observers := n.serveHTTP("metrics", listeners.metrics, telemetry.MetricsHandler(n.registry))
	n.start(lifetime)
	_ = level.Info(n.logger).Log("step", "start", "caller", n.config.Listen.Caller, "peer", n.config.Listen.Peer)
	<-ctx.Done()
	n.drain(lifetime, callers)
	end()
	peers.Stop()
	n.gossip.Close()
	for _, s := range []*http.Server{callers, directory, ready, observers} {
		_ = s.Close()
	}
	return nil
}

type sockets struct{ caller, directory, ready, peer, metrics net.Listener }

func (n *Node) listen(ctx context.Context) (sockets, error) {
	var open sockets
	for _, l := range []struct {
		key, address string
		to           *net.Listener
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
		if *l.to, err = lc.Listen(ctx, "tcp", l.address); err != nil {
			return open, fmt.Errorf("%s: [listen] %s: %w", n.config.File, l.key, err)
		}
	}
	return open, nil
}

func (n *Node) serveHTTP(side string, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: mostHeader}
	if l != nil {
		n.group.Go(func() error { return served(side, s.Serve(l)) })
	}
	return s
}

func served(side string, err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", side, err)
}

// start begins the recurring tasks.
func (n *Node) start(lifetime context.Context) {
	n.group.Go(func() error { return n.followCatalog(lifetime) })
	n.group.Go(func() error { return n.followRoster(lifetime) })
	every := func(name string, interval time.Duration, task func(context.Context)) {
		n.tasks.Every(name, interval, func(ctx context.Context, _ time.Time) { task(ctx) })
	}
	every("beat", n.config.Peer.Beat, n.beat)
	every("probe", probePause, n.probe)
	every("right", rightPause, func(ctx context.Context) { n.right.keep(ctx, n.state) })
	every("place", placePause, n.placeModels)
	every("tidy", tidyPause, n.tidy)
	every("list", listPause, n.list)
	every("reload", reloadPause, func(context.Context) { n.Reload("look") })
}

// Reload takes changed settings into use, those that can change while the process
// runs: the bounds of retries and orders, and how it shuts down.
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
	n.state.rebudget(c.Retry.Share, float64(c.Retry.Extra))
	_ = level.Info(n.logger).Log("step", "reload", "cause", cause)
}

// placeModels gives the orders that are due, if this instance may.
func (n *Node) placeModels(ctx context.Context) {
	orders := n.loader.Step(ctx)
	n.state.holding(orders, n.right.fence())
}

// tidy drops what is no longer true.
func (n *Node) tidy(context.Context) {
	n.endpoints.CloseExcept(n.state.tidy())
}

// addresses answers a caller that asks where to connect.
func (n *Node) addresses(region fleet.Region, _ fleet.DataCentre) ([]string, time.Duration) {
	return n.state.addresses(region, n.config.Listen.Caller, n.state.ready() == nil), n.settings.Get().Drain.Keep
}

// drain leaves gracefully: everybody is told, callers that still come are served,
// and requests in flight end.
func (n *Node) drain(ctx context.Context, callers *http.Server) {
	started, limits := n.clock(), n.settings.Get().Drain
	_ = level.Info(n.logger).Log("step", "drain", "grace", limits.Grace)
	n.state.leave()
	n.beat(ctx)
	n.right.release(ctx)
	finish := time.Duration(float64(limits.Grace) * finishPart)
	wait(ctx, min(keepFactor*limits.Keep, finish/2))
	ctx, cancel := context.WithDeadline(ctx, started.Add(finish))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = level.Warn(n.logger).Log("step", "drain", "err", err)
	}
	_ = level.Info(n.logger).Log("step", "stop", "took", n.clock().Sub(started))
}

func wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
