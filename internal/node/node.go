// Package node joins the parts of one chiverampd process.
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
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/entry"
	"github.com/chiveramp/chiveramp/internal/heap"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/placer"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	settlePause = 2 * time.Second
	claimShards = 4
	// warmUp is how long an instance waits for news of endpoints that give none.
	warmUp = 5 * time.Second
)

// Node is one instance.
type Node struct {
	config    config.Config
	logger    log.Logger
	registry  metrics.Registry
	group     *errgroup.Group
	timers    *timer.Service
	clock     func() time.Time
	started   time.Time
	store     platform.Store
	members   *members
	directory *directory.Directory
	list      list
	remote    *remote
	documents *document.Documents
	claims    *claim.Claims
	suspects  *suspects
	client    *peer.Client
	links     *links
	endpoints *endpoint.Client
	pool      *dispatch.Pool
	gateway   *entry.Gateway
	prober    *prober
	drains    *drains
	demand    *demand
	placer    *placer.Placer
	trail     *trail.DecisionLog

	attainment *attainment
	secrets    *secrets
	noted      noted

	// lifetime ends when the instance has drained.
	lifetime context.Context
	end      context.CancelFunc
	tasks    *timer.Tasks

	mu       sync.Mutex
	profiles profile.Document
	ready    bool
	wrong    map[string]sighting
	leave    context.CancelCauseFunc
}

// New builds an instance from its settings. Its goroutines run in the group.
func New(c config.Config, logger log.Logger, group *errgroup.Group) (*Node, error) {
	clock := timer.System{}
	n := &Node{
		config:    c,
		logger:    logger,
		registry:  metrics.NewRegistry(),
		group:     group,
		timers:    timer.New(clock),
		clock:     clock.Now,
		started:   clock.Now(),
		directory: directory.New(),
		endpoints: endpoint.New(),
		trail:     trail.New(clock.Now),
		wrong:     make(map[string]sighting),
	}
	n.lifetime, n.end = context.WithCancel(context.Background())
	n.tasks = timer.NewTasks(n.lifetime, n.timers, n.group)
	if err := n.connect(); err != nil {
		return nil, err
	}
	n.join()
	n.serve()
	return n, nil
}

// connect makes the clients towards the platform and the peers.
func (n *Node) connect() error {
	var err error
	if n.secrets, err = newSecrets(n.config); err != nil {
		return err
	}
	n.client = peer.NewClient(peer.WithCredentials(n.secrets.peer.PeerClient()))
	n.links = newLinks(n.client)
	n.store = bounded{
		Store: platform.NewHTTP(n.config.Platform.Address, platform.WithRegistry(n.registry)),
		limit: n.config.Platform.Timeout,
	}
	n.list = n.newList()
	return nil
}

// join makes the parts that keep the instance in step with the others.
func (n *Node) join() {
	self := n.self()
	n.members = newMembers(self, member.WithInterval(n.config.Peer.Beat))
	n.remote = newRemote(self)
	n.documents = document.New(n.store,
		document.WithWatcher(n.members.watches),
		document.WithPuller(puller{n}),
		document.WithSettled(n.members.settled),
		document.WithNear(n.members.near),
	)
	n.documents.Subscribe(n.take)
	n.claims = claim.New(n.store, claim.WithGroup(claimShards), claim.WithGather(n.gather, ends{n}),
		claim.WithShards(n.claimParts), claim.WithClock(n.clock))
	n.suspects = newSuspects(n.clock)
	n.suspects.told = func() {
		n.members.change((*member.View).BroadcastNextRound)
		n.background(func(ctx context.Context) { n.beat(ctx, n.clock()) })
	}
}

// claimParts is how many shards the claims of the next period get.
func (n *Node) claimParts() int {
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

// serve makes the parts that requests pass through.
func (n *Node) serve() {
	n.drains = newDrains(n.clock, n.members, n.directory, func() *dispatch.Pool { return n.pool })
	n.demand = newDemand(n.clock, n.config.Endpoint.Slots)
	answers := newNews(n.endpoints, n.clock)
	n.pool = dispatch.New(n.members.Self().Instance, n.group, n.timers, answers, n.directory,
		dispatch.WithLimits(n.limits()),
		dispatch.WithAdmission(n.admission),
		dispatch.WithClaims(n.claims),
		dispatch.WithSuspects(n.suspects),
		dispatch.WithTrail(n.trail),
		dispatch.WithDraining(n.drains),
		dispatch.WithMeter(n.demand),
	)
	n.attainment = newAttainment(n.clock, newObserver(n.registry))
	n.prober = &prober{
		members: n.members, directory: n.directory, pool: n.pool, client: n.endpoints,
		news: answers, start: n.group.Go, plain: n.plain, drained: n.drains.drained, clock: n.clock, seen: make(map[fleet.Endpoint]*probed),
	}
	n.gateway = entry.New(n.members, n.directory, n.pool, n.client, n,
		entry.WithBudget(retry.New(retry.Limit(n.config.Limits.Retries))),
		entry.WithRemote(n.remote),
		entry.WithTrail(n.trail),
		entry.WithDraining(n.drains),
		entry.WithSuspects(n.suspects),
		entry.WithObserver(n.attainment),
		entry.WithClock(n.clock),
		entry.WithPacer(heap.New(n.timers)),
	)
	n.placer = n.newPlacer()
}

// admission returns how the endpoints of a service are loaded: engines by the
// time between tokens as well, plain services by their number of slots only.
func (n *Node) admission(service string) []admit.Option {
	c := n.config.Endpoint
	options := []admit.Option{admit.Slots(c.Slots)}
	if n.plain(service) {
		return options
	}
	speed := admit.Speed{PrefillRate: c.Prefill, BaseStep: c.Pass, StepPerRequest: c.Each, StepPerModel: c.Pass}
	return append(options, admit.WithSpeed(speed), admit.MaxTokenGap(c.Gap))
}

func (n *Node) limits() dispatch.Limits {
	l := dispatch.DefaultLimits()
	l.Body = n.config.Caller.Body
	l.Replay = int(n.config.Limits.Replay)
	l.Resume = n.config.Limits.Resume
	l.Idle = n.config.Caller.Idle
	l.Silence = n.config.Endpoint.Timeout
	return l
}

// take puts a new document in force.
func (n *Node) take(d revision.Document) {
	parsed, err := profile.Parse(document.Key, d.Text)
	if err != nil {
		_ = level.Error(n.logger).Log("step", "document", "revision", d.Revision, "err", err)
		return
	}
	n.mu.Lock()
	n.profiles, n.ready = parsed, true
	n.mu.Unlock()
	n.members.change(func(v *member.View) { v.SetRevision(d.Revision) })
	_ = level.Info(n.logger).Log("step", "document", "revision", d.Revision, "msg", "in force")
}

// Profiles implements entry.Documents.
func (n *Node) Profiles() (profile.Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.profiles, n.ready
}

// plain tells whether a service of the platform's list is no model engine.
func (n *Node) plain(service string) bool {
	document, _ := n.Profiles()
	_, ok := document.Service(service)
	return ok
}

// Ready tells why the instance can't serve callers yet, nil when it can.
func (n *Node) Ready() error {
	if _, ok := n.Profiles(); !ok {
		return fmt.Errorf("ready: no profile document in force")
	}
	if n.list.StateHash() == 0 {
		return fmt.Errorf("ready: the list of endpoints is not known")
	}
	return n.warm()
}

// warm tells of which endpoint to wait for news, for a while after the start only.
func (n *Node) warm() error {
	if n.clock().Sub(n.started) >= warmUp {
		return nil
	}
	if waiting := n.unheard(); waiting != "" {
		return fmt.Errorf("ready: endpoint %s was not heard of yet", waiting)
	}
	return nil
}

// unheard returns an endpoint of which no dispatcher has told yet.
func (n *Node) unheard() fleet.Endpoint {
	for _, e := range n.directory.All() {
		if e.LastReported.IsZero() {
			return e.Endpoint
		}
	}
	return ""
}

// background runs a short task in the group; one that is running is not started twice.
func (n *Node) background(task func(context.Context)) {
	n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(n.lifetime, n.config.Platform.Timeout)
		defer cancel()
		task(ctx)
		return nil
	})
}
