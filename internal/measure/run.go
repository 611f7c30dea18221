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

func (s *simulation) buildEngines(seed uint64) {
	for _, c := range s.deployment.Centres {
		for range c.Accelerators {
			i := len(s.engines)
			e := newEngine(&s.clock, i, c.Place, s.deployment.Models)
			e.prioritizePrefill = s.policy.Queue == QueueCore
			e.perfectPrefixCache = s.policy.PerfectPrefixCache
			e.onFirstToken, e.onComplete = s.firstToken, s.complete
			s.engines = append(s.engines, e)
			s.queues = append(s.queues, s.newQueue(seed+uint64(i)))
		}
	}
	s.expiryChecks = make([]time.Duration, len(s.engines))
	s.reports = make([]endpointReport, len(s.engines))
}

func (s *simulation) newQueue(seed uint64) queue {
	if s.policy.Queue == QueueFIFO {
		return newFIFO(engineSlots)
	}
	opts := []admit.Option{
		admit.Slots(engineSlots),
		admit.Seed(seed),
		admit.WithSpeed(engineSpeed()),
		admit.MaxTokenGap(urgentTokenGap),
	}
	return admit.New(append(opts, s.policy.AdmitOptions...)...)
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
func (s *simulation) run(all []*request) *score {
	s.score = newScore(s.deployment, s.scene, all)
	s.calls = make([]*call, len(all))
	s.scheduleArrivals(all, 0)
	s.every(s.reportPeriod(), s.refreshReports)
	s.placer.start()
	for _, d := range s.scene.Crashes {
		s.at(d.At, func() { s.crashEngine(s.engines[d.Engine]) })
	}
	s.runUntil(s.scene.Length)
	s.score.moves = s.placer.moves
	s.score.linkBytes = s.link.totalBytes
	return s.score
}

// every calls a function immediately and then once per period.
func (s *simulation) every(period time.Duration, do func()) {
	do()
	s.after(period, func() { s.every(period, do) })
}

// scheduleArrivals schedules the arrival of request i, which in turn schedules the next.
func (s *simulation) scheduleArrivals(all []*request, i int) {
	if i == len(all) {
		return
	}
	s.at(all[i].arrived, func() {
		s.arrive(all[i])
		s.scheduleArrivals(all, i+1)
	})
}

func (s *simulation) arrive(req *request) {
	c := &call{req: req, id: strconv.Itoa(req.id), state: callIdle}
	s.calls[req.id] = c
	s.byID[c.id] = c
	s.placer.recordDemand(req)
	s.retries.Submitted(req.class.Profile)
	s.after(req.class.CallerTimeout, func() { s.abandon(c) })
	s.after(s.deployment.CallerDelay, func() { s.submit(c) })
}

// submit sends a request of a caller to an entry of its data centre.
func (s *simulation) submit(c *call) {
	if c.state == callFinished {
		return
	}
	c.submissions++
	c.submittedAt = s.now
	c.endpointsTried, c.exclude, c.minRetryAfter = 0, nil, 0
	c.entry = s.pickEntry(c)
	s.forward(c)
}

// forward routes a call from its entry to an endpoint. Known poison requests fail.
func (s *simulation) forward(c *call) {
	if s.poison[c.fingerprint()] {
		s.finish(c, outcomePoison)
		return
	}
	e := s.chooseEndpoint(c)
	if e == nil {
		s.refuse(c, noCopyRetryAfter)
		return
	}
	c.engine, c.incarnation, c.state = e, e.incarnation, callInTransit
	s.after(s.requestDelay(c, float64(c.req.promptTokens*linkBytesPerPromptToken)), func() { s.deliver(c) })
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
func (s *simulation) deliver(c *call) {
	if c.state != callInTransit {
		return
	}
	e := c.engine
	if !e.alive || e.incarnation != c.incarnation || e.copies[c.req.model] != copyReady {
		s.tryNextEndpoint(c, 0)
		return
	}
	decision := s.offer(c)
	switch decision.State {
	case admit.StateStart:
		s.startCall(c)
	case admit.StateQueued:
		c.state = callQueued
		s.dispatchQueued(e)
	default:
		s.tryNextEndpoint(c, decision.RetryAfter)
	}
}

// item returns the queue item of a call. The deadline of a resubmitted urgent or
// standard request counts from its last submission.
func (s *simulation) item(c *call) admit.Item {
	due := c.req.firstTokenDeadline()
	if c.submissions > 1 && c.req.class.Rank != fleet.RankBulk {
		due = c.submittedAt + c.req.class.FirstTokenTarget
	}
	return admit.Item{
		ID: c.id, Rank: c.req.class.Rank, Profile: c.req.class.Profile,
		Model:   modelName(c.req.model),
		Arrived: s.wallTime(), Deadline: epoch.Add(due - s.responseDelay(c)),
		PromptTokens: c.req.promptTokens, MaxTokens: c.req.answerTokens, Suspect: s.suspects[c.fingerprint()],
	}
}

// dispatchQueued starts the queued calls of an endpoint that fit in its slots, after
// it has sent expired ones to other endpoints.
func (s *simulation) dispatchQueued(e *engine) {
	q := s.queues[e.index]
	for _, expired := range q.Expire(s.wallTime()) {
		s.tryNextEndpoint(s.byID[expired.Item.ID], expired.Decision.RetryAfter)
	}
	for {
		it, ok := q.Next(s.wallTime())
		if !ok {
			break
		}
		s.startCall(s.byID[it.ID])
	}
	s.scheduleExpiry(e)
}

// scheduleExpiry schedules the next check of a queue for expired calls.
func (s *simulation) scheduleExpiry(e *engine) {
	due, ok := s.queues[e.index].Due(s.wallTime())
	if !ok {
		return
	}
	at := due.Sub(epoch) + 1
	if pending := s.expiryChecks[e.index]; pending > s.now && pending <= at {
		return
	}
	s.expiryChecks[e.index] = at
	s.at(at, func() { s.dispatchQueued(e) })
}

// startCall starts a call on its engine, once its adapter is loaded.
func (s *simulation) startCall(c *call) {
	e := c.engine
	c.state = callRunning
	if e.adapters.has(c.req.adapter) {
		e.adapters.get(c.req.adapter)
		e.start(c)
		return
	}
	s.adapterLoads++
	incarnation := e.incarnation
	s.after(s.adapterLoadDuration(), func() {
		s.adapterLoads--
		if e.incarnation != incarnation || c.state != callRunning || c.engine != e {
			return
		}
		e.adapters.put(c.req.adapter, 1)
		e.start(c)
	})
}

// adapterLoadDuration returns the duration of an adapter load, which grows with the
// number of concurrent ones above the limit.
func (s *simulation) adapterLoadDuration() time.Duration {
	limit := s.deployment.FullSpeedAdapterLoads
	if s.adapterLoads <= limit {
		return adapterLoadTime
	}
	return adapterLoadTime * time.Duration(s.adapterLoads) / time.Duration(limit)
}
