package measure

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// callState is the state of a call.
type callState string

const (
	// callIdle calls are at no endpoint: not submitted yet, or waiting for a retry.
	callIdle callState = "away"
	// callInTransit calls are on their way to an endpoint.
	callInTransit callState = "sent"
	callQueued    callState = "queued"
	callRunning   callState = "running"
	callFinished  callState = "finished"
)

// call is the state of a request in one simulation.
type call struct {
	req    *request
	id     string
	state  callState
	engine *engine
	// incarnation is that of the engine when the call was sent to it.
	incarnation int
	// entry is the index of the entry that took the call.
	entry          int
	endpointsTried int
	retriesSpent   int
	// submittedAt is when the caller last sent the request.
	submittedAt time.Duration
	submissions int
	// emittedTokens is the number of answer tokens that were emitted before a preemption.
	emittedTokens int
	exclude       []fleet.Endpoint
	// minRetryAfter is the shortest retry delay among the refusals of the call.
	minRetryAfter time.Duration
	firstTokenAt  time.Duration
	job           *job
}

// simulation is the state of one scene under one policy.
type simulation struct {
	clock
	deployment *Deployment
	scene      *Scene
	policy     *Policy
	random     *rand.Rand

	engines []*engine
	queues  []queue
	// expiryChecks is the time of the next expiry check of each queue.
	expiryChecks []time.Duration
	calls        []*call
	byID         map[string]*call
	entries      []*entry
	reports      []endpointReport
	prefixes     *route.PrefixIndex
	cacheEvents  uint64
	retries      *retry.Budget
	placer       *placer
	score        *score
	link         regionLink
	adapterLoads int
	// suspects and poison are sets of request fingerprints.
	suspects map[int]bool
	poison   map[int]bool
}

// Intervals, lag and loss of control messages.
const (
	reportInterval        = 250 * time.Millisecond
	laggingReportInterval = time.Second
	cacheEventLag         = 2 * time.Second
	cacheEventLoss        = 0.1
)

// newSimulation prepares the simulation of a scene under a policy.
func newSimulation(d *Deployment, s *Scene, p *Policy, seed uint64) *simulation {
	r := &simulation{
		deployment: d, scene: s, policy: p,
		random:   rand.New(rand.NewPCG(seed, 99)),
		byID:     make(map[string]*call),
		prefixes: route.NewPrefixIndex(route.DefaultExpiry, route.DefaultBlocks),
		retries:  retry.New(retry.Seed(seed)),
		suspects: make(map[int]bool),
		poison:   make(map[int]bool),
		link:     regionLink{bytesPerSecond: d.LinkRate},
	}
	r.buildEngines(seed)
	r.buildEntries(seed)
	r.placer = newPlacer(r)
	return r
}

func (r *simulation) buildEngines(seed uint64) {
	for _, c := range r.deployment.Centres {
		for range c.Accelerators {
			i := len(r.engines)
			e := newEngine(&r.clock, i, c.Place, r.deployment.Models)
			e.prioritizePrefill = r.policy.Queue == QueueCore
			e.perfectPrefixCache = r.policy.PerfectPrefixCache
			e.onFirstToken, e.onComplete = r.firstToken, r.complete
			r.engines = append(r.engines, e)
			r.queues = append(r.queues, r.newQueue(seed+uint64(i)))
		}
	}
	r.expiryChecks = make([]time.Duration, len(r.engines))
	r.reports = make([]endpointReport, len(r.engines))
}

func (r *simulation) newQueue(seed uint64) queue {
	if r.policy.Queue == QueueFIFO {
		return newFIFO(engineSlots)
	}
	opts := []admit.Option{
		admit.Slots(engineSlots),
		admit.Seed(seed),
		admit.WithSpeed(engineSpeed()),
		admit.MaxTokenGap(urgentTokenGap),
	}
	return admit.New(append(opts, r.policy.AdmitOptions...)...)
}

// engineSpeed returns the speed of an engine as configured at its dispatcher.
func engineSpeed() admit.Speed {
	return admit.Speed{
		PrefillRate: prefillRate, BaseStep: modelPassTime, StepPerRequest: answerTokenTime, StepPerModel: modelPassTime, StepPerPrefill: prefillChunkTime / 2,
	}
}

// prefillRate is the prefill speed of an engine, in prompt tokens per second. Part
// of each prompt is a cache hit.
const prefillRate = 9000

// run simulates the complete scene with the given requests.
func (r *simulation) run(all []*request) *score {
	r.score = newScore(r.deployment, r.scene, all)
	r.calls = make([]*call, len(all))
	r.scheduleArrivals(all, 0)
	r.every(r.reportPeriod(), r.refreshReports)
	r.placer.start()
	for _, d := range r.scene.Crashes {
		r.at(d.At, func() { r.crashEngine(r.engines[d.Engine]) })
	}
	r.runUntil(r.scene.Length)
	r.score.moves = r.placer.moves
	r.score.linkBytes = r.link.totalBytes
	return r.score
}

// every calls a function immediately and then once per period.
func (r *simulation) every(period time.Duration, do func()) {
	do()
	r.after(period, func() { r.every(period, do) })
}

// scheduleArrivals schedules the arrival of request i, which in turn schedules the next.
func (r *simulation) scheduleArrivals(all []*request, i int) {
	if i == len(all) {
		return
	}
	r.at(all[i].arrived, func() {
		r.arrive(all[i])
		r.scheduleArrivals(all, i+1)
	})
}

func (r *simulation) arrive(req *request) {
	c := &call{req: req, id: strconv.Itoa(req.id), state: callIdle}
	r.calls[req.id] = c
	r.byID[c.id] = c
	r.placer.recordDemand(req)
	r.retries.Submitted(req.class.Profile)
	r.after(req.class.CallerTimeout, func() { r.abandon(c) })
	r.after(r.deployment.CallerDelay, func() { r.submit(c) })
}

// submit sends a request of a caller to an entry of its data centre.
func (r *simulation) submit(c *call) {
	if c.state == callFinished {
		return
	}
	c.submissions++
	c.submittedAt = r.now
	c.endpointsTried, c.exclude, c.minRetryAfter = 0, nil, 0
	c.entry = r.pickEntry(c)
	r.forward(c)
}

// forward routes a call from its entry to an endpoint. Known poison requests fail.
func (r *simulation) forward(c *call) {
	if r.poison[c.fingerprint()] {
		r.finish(c, outcomePoison)
		return
	}
	e := r.chooseEndpoint(c)
	if e == nil {
		r.refuse(c, noCopyRetryAfter)
		return
	}
	c.engine, c.incarnation, c.state = e, e.incarnation, callInTransit
	r.after(r.requestDelay(c, float64(c.req.promptTokens*linkBytesPerPromptToken)), func() { r.deliver(c) })
}

// noCopyRetryAfter is the retry delay for callers when no endpoint can serve the model.
const noCopyRetryAfter = 5 * time.Second

// fingerprint identifies requests with the same content, over all submissions.
// All poison requests have the same one.
func (c *call) fingerprint() int {
	if c.req.poison {
		return -1
	}
	return c.req.id
}

// deliver hands a call to the dispatcher of its endpoint.
func (r *simulation) deliver(c *call) {
	if c.state != callInTransit {
		return
	}
	e := c.engine
	if !e.alive || e.incarnation != c.incarnation || e.copies[c.req.model] != copyReady {
		r.tryNextEndpoint(c, 0)
		return
	}
	decision := r.offer(c)
	switch decision.State {
	case admit.StateStart:
		r.startCall(c)
	case admit.StateQueued:
		c.state = callQueued
		r.dispatchQueued(e)
	default:
		r.tryNextEndpoint(c, decision.RetryAfter)
	}
}

// item returns the queue item of a call. The deadline of a resubmitted urgent or
// standard request counts from its last submission.
func (r *simulation) item(c *call) admit.Item {
	due := c.req.firstTokenDeadline()
	if c.submissions > 1 && c.req.class.Rank != fleet.RankBulk {
		due = c.submittedAt + c.req.class.FirstTokenTarget
	}
	return admit.Item{
		ID: c.id, Rank: c.req.class.Rank, Profile: c.req.class.Profile,
		Model:   modelName(c.req.model),
		Arrived: r.wallTime(), Deadline: epoch.Add(due - r.responseDelay(c)),
		PromptTokens: c.req.promptTokens, MaxTokens: c.req.answerTokens, Suspect: r.suspects[c.fingerprint()],
	}
}

// dispatchQueued starts the queued calls of an endpoint that fit in its slots, after
// it has sent expired ones to other endpoints.
func (r *simulation) dispatchQueued(e *engine) {
	q := r.queues[e.index]
	for _, expired := range q.Expire(r.wallTime()) {
		r.tryNextEndpoint(r.byID[expired.Item.ID], expired.Decision.RetryAfter)
	}
	for {
		it, ok := q.Next(r.wallTime())
		if !ok {
			break
		}
		r.startCall(r.byID[it.ID])
	}
	r.scheduleExpiry(e)
}

// scheduleExpiry schedules the next check of a queue for expired calls.
func (r *simulation) scheduleExpiry(e *engine) {
	due, ok := r.queues[e.index].Due(r.wallTime())
	if !ok {
		return
	}
	at := due.Sub(epoch) + 1
	if pending := r.expiryChecks[e.index]; pending > r.now && pending <= at {
		return
	}
	r.expiryChecks[e.index] = at
	r.at(at, func() { r.dispatchQueued(e) })
}

// startCall starts a call on its engine, once its adapter is loaded.
func (r *simulation) startCall(c *call) {
	e := c.engine
	c.state = callRunning
	if e.adapters.has(c.req.adapter) {
		e.adapters.get(c.req.adapter)
		e.start(c)
		return
	}
	r.adapterLoads++
	incarnation := e.incarnation
	r.after(r.adapterLoadDuration(), func() {
		r.adapterLoads--
		if e.incarnation != incarnation || c.state != callRunning || c.engine != e {
			return
		}
		e.adapters.put(c.req.adapter, 1)
		e.start(c)
	})
}

// adapterLoadDuration returns the duration of an adapter load, which grows with the
// number of concurrent ones above the limit.
func (r *simulation) adapterLoadDuration() time.Duration {
	limit := r.deployment.FullSpeedAdapterLoads
	if r.adapterLoads <= limit {
		return adapterLoadTime
	}
	return adapterLoadTime * time.Duration(r.adapterLoads) / time.Duration(limit)
}
