// Package node assembles the components of one chiverampd process and runs them.
package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/claim"
	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/core/trail"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/document"
	"github.com/chiveramp/chiveramp/internal/drain"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/entry"
	"github.com/chiveramp/chiveramp/internal/heap"
	"github.com/chiveramp/chiveramp/internal/ingress"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/placer"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	settleInterval    = 2 * time.Second
	groupCommitShards = 4
	// warmUp is how long after the start an instance that has no report on some endpoint
	// stays unready.
	warmUp = 5 * time.Second
)

// Node is one instance.
type Node struct {
	config    config.Config
	logger    log.Logger
	registry  metrics.Registry
	group     *errgroup.Group
	timers    *timer.Service
	callers   drain.Connections
	ingress   *ingress.Gate
	clock     func() time.Time
	started   time.Time
	store     platform.Store
	members   *members
	directory *directory.Directory
	list      platformList
	remote    *remoteTotals
	documents *document.Documents
	claims    *claim.Claims
	suspects  *suspects
	client    *peer.Client
	links     *links
	endpoints *endpoint.Client
	pool      *dispatch.Pool
	gateway   *entry.Gateway
	guard     *shutdownGuard
	prober    *prober
	drains    *drainTracker
	demand    *demand
	placer    *placer.Placer
	decisions *trail.DecisionLog

	attainment   *attainment
	credentials  *credentials
	readVersions readVersions

	// lifetime ends when the instance has drained.
	lifetime    context.Context
	endLifetime context.CancelFunc
	tasks       *timer.Tasks

	mu           sync.Mutex
	profiles     profile.Document
	ready        bool
	degradations map[string]seenTimes
	shutdown     context.CancelCauseFunc
}

// New builds an instance from its settings. Its goroutines run in the given group.
func New(c config.Config, logger log.Logger, group *errgroup.Group) (*Node, error) {
	clock := timer.System{}
	n := &Node{
		config:       c,
		logger:       logger,
		registry:     metrics.NewRegistry(),
		group:        group,
		timers:       timer.New(clock),
		clock:        clock.Now,
		started:      clock.Now(),
		directory:    directory.New(),
		endpoints:    endpoint.New(),
		decisions:    trail.New(clock.Now),
		degradations: make(map[string]seenTimes),
	}
	n.ingress = ingress.New(ingress.Limits{Memory: c.Limits.Heads, Head: int(c.Caller.Header), HeadTime: headerTimeout, WriteTime: c.Caller.Idle},
		ingress.WithLogger(logger), ingress.WithRegistry(n.registry), ingress.WithEcho(caller.HeaderRequest))
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	n.tasks = timer.NewTasks(n.lifetime, n.timers, n.group)
	if err := n.initClients(); err != nil {
		return nil, err
	}
	n.initMembership()
	n.initServing()
	return n, nil
}

// initClients creates the clients of the platform and the peers.
func (n *Node) initClients() error {
	var err error
	if n.credentials, err = newCredentials(n.config); err != nil {
		return err
	}
	n.client = peer.NewClient(peer.WithCredentials(n.credentials.peer.PeerClient()))
	n.links = newLinks(n.client)
	n.store = timeoutStore{
		Store:   platform.NewHTTP(n.config.Platform.Address, platform.WithRegistry(n.registry)),
		timeout: n.config.Platform.Timeout,
	}
	n.list = n.newPlatformList()
	return nil
}

// initMembership creates the components that synchronise state with the other instances.
func (n *Node) initMembership() {
	self := n.self()
	n.members = newMembers(self, member.WithInterval(n.config.Peer.Beat))
	n.remote = newRemoteTotals(self)
	n.documents = document.New(n.store,
		document.WithWatcher(n.members.isWatcher),
		document.WithPuller(documentPuller{n}),
		document.WithSettled(n.members.settled),
		document.WithSameDataCentre(n.members.inOwnDataCentre),
	)
	n.documents.Subscribe(n.applyDocument)
	n.claims = claim.New(n.store, claim.WithGroupCommit(groupCommitShards), claim.WithBatching(n.claimEndDelay, claimEnds{n}),
		claim.WithShards(n.claimShardCount), claim.WithClock(n.clock))
	n.suspects = newSuspects(n.clock)
	n.suspects.onCrash = func() {
		n.members.update((*member.View).BroadcastNextRound)
		n.background(func(ctx context.Context) { n.sendHeartbeats(ctx, n.clock()) })
	}
}

// claimShardCount returns the number of shards for the claims of the next period.
func (n *Node) claimShardCount() int {
	return once.ShardsFor(len(n.list.Peers()))
}

func (n *Node) self() member.Peer {
	c := n.config
	incarnation := c.Instance.Incarnation
	if incarnation == "" {
		incarnation = uuid.NewString()
	}
	return member.Peer{
		Instance:    fleet.Instance(c.Instance.Name),
		Place:       fleet.Place{Region: fleet.Region(c.Instance.Region), DataCentre: fleet.DataCentre(c.Instance.Datacentre)},
		Incarnation: incarnation,
		Address:     c.Peer.Advertise,
		Caller:      c.Caller.Advertise,
	}
}

// initServing creates the components on the request path, and the placer.
func (n *Node) initServing() {
	n.drains = newDrainTracker(n.clock, n.members, n.directory, func() *dispatch.Pool { return n.pool })
	n.demand = newDemand(n.clock, n.config.Endpoint.Slots)
	recorder := newAnswerRecorder(n.endpoints, n.clock)
	n.pool = dispatch.New(n.members.Self().Instance, n.group, n.timers, recorder, n.directory,
		dispatch.WithLimits(n.limits()),
		dispatch.WithAdmission(n.admission),
		dispatch.WithClaims(n.claims),
		dispatch.WithSuspects(n.suspects),
		dispatch.WithDecisionLog(n.decisions),
		dispatch.WithDraining(n.drains),
		dispatch.WithMeter(n.demand),
	)
	n.attainment = newAttainment(n.clock, newObserver(n.registry))
	n.prober = &prober{
		members: n.members, directory: n.directory, pool: n.pool, client: n.endpoints,
		answers: recorder, start: n.group.Go, isPlainService: n.isPlainService, drainedModels: n.drains.drained, clock: n.clock, probes: make(map[fleet.Endpoint]*probeState),
	}
	n.gateway = entry.New(n.members, n.directory, n.pool, n.client, n,
		entry.WithBudget(retry.New(retry.Limit(n.config.Limits.Retries))),
		entry.WithRemote(n.remote),
		entry.WithDecisionLog(n.decisions),
		entry.WithDraining(n.drains),
		entry.WithSuspects(n.suspects),
		entry.WithObserver(n.attainment),
		entry.WithClock(n.clock),
		entry.WithPacer(heap.New(n.timers)),
		entry.WithShutdown(n.pool),
	)
	n.guard = newShutdownGuard(n.gateway, n.clock)
	n.placer = n.newPlacer()
}

// admission returns the admission limits for the endpoints of a service: slots for all, and
// for model engines also the gap between tokens.
func (n *Node) admission(service string) []admit.Option {
	c := n.config.Endpoint
	options := []admit.Option{admit.Slots(c.Slots)}
	if n.isPlainService(service) {
		return options
	}
	speed := admit.Speed{PrefillRate: c.Prefill, BaseStep: c.Pass, StepPerRequest: c.Each, StepPerModel: c.Pass}
	return append(options, admit.WithSpeed(speed), admit.MaxTokenGap(c.Gap))
}

func (n *Node) limits() dispatch.Limits {
	l := dispatch.DefaultLimits()
	l.BodyBytes = n.config.Caller.Body
	l.ReplayBytes = int(n.config.Limits.Replay)
	l.ResumeWindow = n.config.Limits.Resume
	l.ReaderStall = n.config.Caller.Idle
	l.EndpointStall = n.config.Endpoint.Timeout
	return l
}

// applyDocument parses a new document and puts it in force.
func (n *Node) applyDocument(d revision.Document) {
	parsed, err := profile.Parse(document.Key, d.Text)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "document", "revision", d.Revision, "err", err)
		return
	}
	n.mu.Lock()
	n.profiles, n.ready = parsed, true
	n.mu.Unlock()
	n.members.update(func(v *member.View) { v.SetRevision(d.Revision) })
	_ = level.Info(n.logger).Log("step", "document", "revision", d.Revision, "msg", "in force")
}

// Profiles implements entry.Documents.
func (n *Node) Profiles() (profile.Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.profiles, n.ready
}

// isPlainService reports whether a service of the platform's list is a plain service, not a
// model engine.
func (n *Node) isPlainService(service string) bool {
	document, _ := n.Profiles()
	_, ok := document.Service(service)
	return ok
}

// Ready returns the reason why the instance can't serve callers yet, or nil if it can.
func (n *Node) Ready() error {
	if _, ok := n.Profiles(); !ok {
		return fmt.Errorf("ready: no profile document in force")
	}
	if n.list.StateHash() == 0 {
		return fmt.Errorf("ready: the list of endpoints has not been received")
	}
	return n.checkEndpointReports()
}

// checkEndpointReports returns an error if some endpoint has no report yet. After the warm-up
// time it always returns nil.
func (n *Node) checkEndpointReports() error {
	if n.clock().Sub(n.started) >= warmUp {
		return nil
	}
	if waiting := n.unreportedEndpoint(); waiting != "" {
		return fmt.Errorf("ready: no report on endpoint %s received yet", waiting)
	}
	return nil
}

// unreportedEndpoint returns an endpoint that no dispatcher has reported on yet, or "".
func (n *Node) unreportedEndpoint() fleet.Endpoint {
	for _, e := range n.directory.All() {
		if e.LastReported.IsZero() {
			return e.Endpoint
		}
	}
	return ""
}

// background runs a short task in the group, limited by the platform timeout.
func (n *Node) background(task func(context.Context)) {
	n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(n.lifetime, n.config.Platform.Timeout)
		defer cancel()
		task(ctx)
		return nil
	})
}
