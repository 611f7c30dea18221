package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/presence"
)

const (
	// defaultMaxBodyBytes limits a request's body unless the configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultRetryAfter is the retry delay sent to a refused caller if there is no better estimate.
	defaultRetryAfter = 500 * time.Millisecond
	// modelLoadRetryAfter is roughly how long a load from the weight store takes.
	// adapterLoadRetryAfter is half of it: an endpoint that is busy with such a load can't load
	// an adapter, and on average half of the load is still ahead.
	modelLoadRetryAfter   = 4 * time.Second
	adapterLoadRetryAfter = 2 * time.Second
	// maxRetryAfter limits a retry delay that is derived from a predicted wait.
	maxRetryAfter = 3 * time.Second
	// minRetryAfter is the least retry delay of a request beyond its workspace's allotment.
	minRetryAfter = 50 * time.Millisecond
	// noCatalogRetryAfter is the retry delay sent while the instance lacks a configuration.
	noCatalogRetryAfter = 300 * time.Millisecond
	// shareShift leaves as many bits of a hash as a float64 holds.
	shareShift = 11
)

// Timers schedules callbacks that run once.
type Timers interface {
	After(wait time.Duration, fn func(now time.Time)) (cancel func())
}

// Clock returns the current time.
type Clock func() time.Time

// Pacer is told of each request, to adjust the garbage collector to the load.
type Pacer interface{ Request() }

type noPacer struct{}

func (noPacer) Request() {}

// Gateway is the HTTP handler for callers' requests. It is safe for concurrent use.
type Gateway struct {
	place  fleet.Place
	codec  Codec
	sender Sender
	fleet  Fleet
	clock  Clock
	logger log.Logger
	random func() float64
	tracer trace.Tracer
	stats  Stats
	timers Timers
	pacer  Pacer

	// consecutive has the services whose last complete stream was numbered without gaps.
	consecutive sync.Map // by catalog.Service

	maxAnswerBytes int64 // of an answer other than a stream
	held           *heldMemory
	bodies         *heldMemory
	bodyTime       time.Duration
	discardTime    time.Duration
	bodyLines      lineLimit
	waiting        waitingMemory
	active         activeRequests
	durations      shutdown.Durations // guarded by the lock of active
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithLogger sets the logger for decisions about requests.
func WithLogger(l log.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithStats sets what counts requests.
func WithStats(s Stats) Option { return func(g *Gateway) { g.stats = s } }

// WithTimers enables stall timeouts: an attempt at an endpoint that sends nothing is cancelled
// if another endpoint can take the request.
func WithTimers(t Timers) Option { return func(g *Gateway) { g.timers = t } }

// WithPacer sets what is told of each request.
func WithPacer(p Pacer) Option { return func(g *Gateway) { g.pacer = p } }

// WithAnswerLimits sets the size in bytes up to which an answer other than a stream is passed on,
// and the memory of all answers that are held at once until they are complete.
func WithAnswerLimits(answer, held int64) Option {
	return func(g *Gateway) { g.maxAnswerBytes, g.held.limit = answer, held }
}

// WithRandom sets the source of random numbers in [0, 1) that split traffic among services.
func WithRandom(random func() float64) Option { return func(g *Gateway) { g.random = random } }

// New returns a gateway for an instance in the given region and data centre.
func New(place fleet.Place, codec Codec, sender Sender, f Fleet, clock Clock, opts ...Option) *Gateway {
	g := &Gateway{
		place: place, codec: codec, sender: sender, fleet: f, clock: clock,
		logger: log.NewNopLogger(), random: rand.Float64, tracer: otel.Tracer("gateway"), stats: noStats{}, pacer: noPacer{},
		maxAnswerBytes: defaultMaxAnswerBytes, held: &heldMemory{limit: defaultHeldBytes}, bodies: &heldMemory{limit: defaultBodyBytes},
		active: activeRequests{clock: clock}, bodyTime: defaultBodyTime, discardTime: defaultDiscardTime,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := presence.Of(r.Context())
	arrived := g.clock().Add(-caller.Unread())
	g.pacer.Request()
	controller := http.NewResponseController(w)
	active := g.active.add(arrived, func() { _ = controller.SetReadDeadline(arrived) }) // it can't fail for a server's connection
	defer g.active.remove(active)
	defer g.watch(r.Context(), active)()
	closeIfLeaving(w, g.fleet.Leaving)
	memory := reservation{memory: g.bodies, request: active}
	defer memory.release()
	request, err := g.read(w, r, active, &memory)
	if err != nil {
		memory.release()
		g.active.releaseBody(active)
		g.refuseRead(w, r, request, err)
		return
	}
	read := g.clock()
	if g.hasLeft(caller) {
		g.refuseAbandoned(w, request, active)
		return
	}
	route, version, err := g.fleet.Route(request.Host, request.Path)
	if err != nil {
		g.refuseRoute(w, request, err)
		return
	}
	workspace, err := g.admitKey(w, request, route, version)
	if err != nil {
		return
	}
	charge, err := g.charge(r.Context(), w, request, workspace)
	if err != nil {
		return
	}
	ctx, span := g.tracer.Start(r.Context(), "gateway "+route.Name)
	defer span.End()
	timeout := route.Timeout
	if request.Wait > 0 && (timeout <= 0 || request.Wait < timeout) {
		timeout = request.Wait
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(timeout))
	defer cancel()
	j := &job{
		gateway: g, request: request, route: route, version: version, arrived: arrived, read: read, active: active, connection: connectionOf(r.Context()), caller: caller, end: end,
		service: route.Service(g.share(route, request)), identity: request.Identity(),
		delivery: &delivery{writer: w, controller: controller, codec: g.codec, clock: g.clock, arrived: arrived, leaving: g.fleet.Leaving, events: newSequence(request.After)},
		ended:    make(chan result, maxTries), silent: make(chan silence, maxTries), stopInsisting: func() {},
	}
	_, j.delivery.consecutive = g.consecutive.Load(j.service)
	j.query = balance.Request{
		Service: j.service, Model: request.Model, Adapter: request.Adapter, Parts: request.Parts,
		PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, Level: g.level(workspace, route), Target: route.Target, Place: g.place,
	}
	g.fleet.CountRequest(&j.query, request.Workspace)
	g.active.begin(active, j, func() { end(ErrShutdown) })
	j.beginQueueing()
	j.run(ctx)
	g.settle(j, workspace, charge)
	j.report(ctx)
	g.stats.Workspace(request.Workspace, j.delivery.status)
	if j.abortConnection {
		// Makes net/http close the connection, so that the answer doesn't look complete.
		panic(http.ErrAbortHandler)
	}
}

// share returns a number in [0, 1) that decides to which of the route's services a request goes: for
// the rest of a stream the same one as for its beginning, at any instance.
func (g *Gateway) share(route *catalog.Route, request *Request) float64 {
	if !route.Resumable {
		return g.random()
	}
	return float64(xxhash.Sum64String(request.streamID())>>shareShift) / (1 << (64 - shareShift))
}

// read decodes a request and reads its whole body, so that nothing of it stays on the
// connection and the request can be sent again.
func (g *Gateway) read(w http.ResponseWriter, r *http.Request, active *activeRequest, memory *reservation) (*Request, error) {
	request, err := g.codec.Decode(r)
	if err != nil {
		return request, err
	}
	g.active.decoded(active, request.ID)
	var deadline time.Time
	if r.ContentLength != 0 {
		deadline = g.limitBody(w, active.arrived, request.Wait) // before a stop may end the body by an earlier deadline
	}
	if g.active.hasEnded() {
		return request, ErrShutdown
	}
	limit := g.fleet.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return request, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return request, nil
	}
	active.body.source = http.MaxBytesReader(w, r.Body, int64(limit))
	request.Body, err = readBody(&active.body, r.ContentLength, int64(limit), memory)
	var tooLarge *http.MaxBytesError
	switch {
	case !active.body.settle():
		return request, errGaveWay
	case errors.As(err, &tooLarge):
		return request, ErrTooLarge
	case err != nil && r.Context().Err() != nil && !g.clock().Before(deadline) && !g.active.hasEnded():
		return request, errLateBody
	}
	return request, err
}

// refuse answers with a refusal of the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, r Refusal) {
	closeIfLeaving(w, g.fleet.Leaving)
	g.codec.Refuse(w, r)
}

func (g *Gateway) refuseRead(w http.ResponseWriter, r *http.Request, request *Request, err error) {
	refusal := Refusal{Status: http.StatusBadRequest, Reason: err.Error()}
	if request != nil {
		refusal.Request = request.ID
	}
	fault := bodyFault(err)
	switch {
	case fault == BodyTooLarge:
		refusal.Status = http.StatusRequestEntityTooLarge
	case fault == BodyLate:
		refusal.Status = http.StatusRequestTimeout
	case fault != "":
		refusal.Status, refusal.RetryAfter = http.StatusServiceUnavailable, defaultRetryAfter
	case errors.Is(err, ErrMalformed):
	case errors.Is(err, ErrShutdown), r.Context().Err() != nil && g.active.hasEnded(): // net/http has other errors for the end of a body
		refusal.Status, refusal.Reason, refusal.RetryAfter = http.StatusServiceUnavailable, ErrShutdown.Error(), shutdownRetryAfter
	case r.Context().Err() != nil: // the caller has disconnected, perhaps only its side for sending
		_ = g.logger.Log("step", "gone", "id", refusal.Request, "err", err)
		panic(http.ErrAbortHandler) // else net/http writes a success
	}
	if r.ContentLength != 0 && !g.active.hasEnded() {
		g.limitDiscard(w)
	}
	if fault != "" {
		g.refuseBody(w, r, refusal, fault, err)
		return
	}
	_ = g.logger.Log("step", "refuse", "id", refusal.Request, "status", refusal.Status, "err", err)
	g.refuse(w, refusal)
}

// refuseAbandoned ends a request whose caller has left. A caller that has closed only its side for sending learns
// that it has not run.
func (g *Gateway) refuseAbandoned(w http.ResponseWriter, request *Request, active *activeRequest) {
	g.left(active)
	_ = g.logger.Log("step", "gone", "id", request.ID, "err", ErrAbandoned)
	g.refuse(w, Refusal{Status: http.StatusServiceUnavailable, Reason: ErrAbandoned.Error(), RetryAfter: defaultRetryAfter, Request: request.ID})
}

func (g *Gateway) refuseRoute(w http.ResponseWriter, request *Request, err error) {
	refusal := Refusal{Status: http.StatusNotFound, Reason: err.Error(), Request: request.ID}
	if errors.Is(err, ErrNoCatalog) || errors.Is(err, ErrOutdated) || errors.Is(err, ErrMayBeOutdated) {
		refusal.Status, refusal.RetryAfter = http.StatusServiceUnavailable, noCatalogRetryAfter
	}
	_ = g.logger.Log("step", "refuse", "id", request.ID, "status", refusal.Status, "host", request.Host, "path", request.Path, "err", err)
	g.refuse(w, refusal)
}

// admitKey checks a request's key and returns its workspace, nil if the route needs no key. If
// it returns an error, it has refused the request.
func (g *Gateway) admitKey(w http.ResponseWriter, request *Request, route *catalog.Route, version int64) (*catalog.Workspace, error) {
	workspace, age, err := g.fleet.Workspace(route, version, request.Key)
	switch {
	case err == nil && workspace == nil:
		return nil, nil //nolint:nilnil // the route needs no key
	case err == nil:
		request.Workspace = workspace.Name
		return workspace, nil
	}
	name := ""
	if workspace != nil {
		name = workspace.Name
	}
	refusal := Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error(), Request: request.ID, RetryAfter: noCatalogRetryAfter}
	if errors.Is(err, ErrUnknownKey) {
		refusal.Status, refusal.RetryAfter = http.StatusUnauthorized, 0
	}
	_ = g.logger.Log("step", "refuse key", "id", request.ID, "status", refusal.Status, "route", route.Name, "version", version, "workspace", name, "confirmed", age, "given", !request.Key.IsZero(), "err", err)
	g.stats.KeyRefused(refusal.Status)
	g.refuse(w, refusal)
	return nil, err
}

// level returns the rank with which a request waits. A workspace's own rank is raised while
// those of other workspaces starve it.
func (g *Gateway) level(w *catalog.Workspace, route *catalog.Route) int {
	if w == nil || !w.HasLevel {
		return route.Level
	}
	return g.fleet.FairLevel(w.Level)
}

// charge takes a request's cost from the allotment of its workspace. If it returns an error, it
// has refused the request.
func (g *Gateway) charge(ctx context.Context, w http.ResponseWriter, request *Request, workspace *catalog.Workspace) (allotment.Receipt, error) {
	if !workspace.Limited() {
		return allotment.Receipt{}, nil
	}
	cost := workspace.Cost(request.PromptTokens+request.OutputTokens, request.TokensStated)
	charge, wait, err := g.fleet.Charge(ctx, workspace, cost)
	if err == nil {
		return charge, nil
	}
	refusal := Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error(), Request: request.ID, RetryAfter: wait}
	if errors.Is(err, ErrOverAllotment) {
		refusal.Status, refusal.RetryAfter = http.StatusTooManyRequests, max(minRetryAfter, wait)
	}
	_ = g.logger.Log("step", "refuse allotment", "id", request.ID, "status", refusal.Status, "workspace", workspace.Name, "cost", cost, "wait", refusal.RetryAfter, "err", err)
	g.stats.Workspace(workspace.Name, refusal.Status)
	g.refuse(w, refusal)
	return charge, err
}

// settle gives back what was charged for a request that has not run, and counts how often ranks
// of workspaces are served.
func (g *Gateway) settle(j *job, workspace *catalog.Workspace, charge allotment.Receipt) {
	notRun := !j.delivery.begun() && !j.mayHaveRun
	if notRun {
		g.fleet.Refund(charge)
	}
	if workspace != nil && workspace.HasLevel {
		g.fleet.RecordService(workspace.Level, !notRun)
	}
}

// Stats counts requests and their results.
type Stats interface {
	// Done records the end of a request to a route: how many attempts were sent, the time to
	// the first byte and the total time.
	Done(route *catalog.Route, status int, attempts int, firstByte, total time.Duration)
	// Waited records the end of a request that has waited for room.
	Waited(route *catalog.Route, status int, waited time.Duration)
	// Workspace records the end of a request of a workspace, empty for none.
	Workspace(name string, status int)
	// KeyRefused records a request refused for its key.
	KeyRefused(status int)
	// BodyRefused records a request refused for its body.
	BodyRefused(fault BodyFault)
	// Abandoned records that a caller has left before the answer to its request was complete.
	Abandoned(in Phase)
	// EventRejected records a part of a stream that was not passed on.
	EventRejected(fault EventFault)
}

type noStats struct{}

func (noStats) Done(*catalog.Route, int, int, time.Duration, time.Duration) {}
func (noStats) Waited(*catalog.Route, int, time.Duration)                   {}
func (noStats) Workspace(string, int)                                       {}
func (noStats) KeyRefused(int)                                              {}
func (noStats) BodyRefused(BodyFault)                                       {}
func (noStats) Abandoned(Phase)                                             {}
func (noStats) EventRejected(EventFault)                                    {}
