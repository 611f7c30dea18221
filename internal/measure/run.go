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

// callState says where a call stands.
type callState string

const (
	callAway     callState = "away"
	callSent     callState = "sent"
	callQueued   callState = "queued"
	callRunning  callState = "running"
	callFinished callState = "finished"
)

// call is a request on its way through one run.
type call struct {
	req    *request
	id     string
	state  callState
	engine *engine
	life   int
	entry  int
	hops   int
	spent  int
	// asked is when the caller last sent the request.
	asked time.Duration
	tries int
	// given is how many tokens of the answer the caller has from before the stream was stopped.
	given    int
	exclude  []fleet.Endpoint
	shortest time.Duration
	first    time.Duration
	job      *job
}

// run is one scene under one policy.
type run struct {
	clock
	deployment *Deployment
	scene      *Scene
	policy     *Policy
	random     *rand.Rand

	engines  []*engine
	queues   []queue
	ticks    []time.Duration
	calls    []*call
	byID     map[string]*call
	entries  []*entry
	reports  []report
	prefixes *route.PrefixIndex
	events   uint64
	retries  *retry.Budget
	placer   *placer
	score    *score
	link     linkModel
	loading  int
	suspects map[int]bool
	convicts map[int]bool
}

// Times of the control traffic.
const (
	reportEvery    = 250 * time.Millisecond
	lagReportEvery = time.Second
	cacheEventLag  = 2 * time.Second
	cacheEventLoss = 0.1
)

// newRun prepares a scene under a policy.
func newRun(d *Deployment, s *Scene, p *Policy, seed uint64) *run {
	r := &run{
		deployment: d, scene: s, policy: p,
		random:   rand.New(rand.NewPCG(seed, 99)),
		byID:     make(map[string]*call),
		prefixes: route.NewPrefixIndex(route.DefaultExpiry, route.DefaultBlocks),
		retries:  retry.New(retry.Seed(seed)),
		suspects: make(map[int]bool),
		convicts: make(map[int]bool),
		link:     linkModel{rate: d.LinkRate},
	}
	r.buildEngines(seed)
	r.buildEntries(seed)
	r.placer = newPlacer(r)
	return r
}

func (r *run) buildEngines(seed uint64) {
	for _, c := range r.deployment.Centres {
		for range c.Accelerators {
			i := len(r.engines)
			e := newEngine(&r.clock, i, c.Place, r.deployment.Models)
			e.priority = r.policy.Queue == QueueCore
			e.freeCache = r.policy.FreeCache
			e.onFirst, e.onDone = r.first, r.done
			r.engines = append(r.engines, e)
			r.queues = append(r.queues, r.newQueue(seed+uint64(i)))
		}
	}
	r.ticks = make([]time.Duration, len(r.engines))
	r.reports = make([]report, len(r.engines))
}

func (r *run) newQueue(seed uint64) queue {
	if r.policy.Queue == QueueFIFO {
		return newFIFO(engineSlots)
	}
	opts := []admit.Option{
		admit.Slots(engineSlots),
		admit.Seed(seed),
		admit.WithSpeed(engineSpeed()),
		admit.MaxTokenGap(urgentGap),
	}
	return admit.New(append(opts, r.policy.Admit...)...)
}

// engineSpeed is what a dispatcher knows of the speed of an engine.
func engineSpeed() admit.Speed {
	return admit.Speed{
		PrefillRate: engineReading, BaseStep: passTime, StepPerRequest: answerTime, StepPerModel: passTime, StepPerPrefill: chunkTime / 2,
	}
}

// engineReading is how fast an engine reads prompts, in tokens a second; part of each is cached.
const engineReading = 9000

// play runs the whole scene.
func (r *run) play(all []*request) *score {
	r.score = newScore(r.deployment, r.scene, all)
	r.calls = make([]*call, len(all))
	r.feed(all, 0)
	r.every(r.reportTime(), r.report)
	r.placer.begin()
	for _, d := range r.scene.Deaths {
		r.at(d.At, func() { r.die(r.engines[d.Engine]) })
	}
	r.runUntil(r.scene.Length)
	r.score.moves = r.placer.moves
	r.score.linkBytes = r.link.bytes
	return r.score
}

func (r *run) every(period time.Duration, do func()) {
	do()
	r.after(period, func() { r.every(period, do) })
}

// feed lets requests arrive one after the other.
func (r *run) feed(all []*request, i int) {
	if i == len(all) {
		return
	}
	r.at(all[i].arrived, func() {
		r.arrive(all[i])
		r.feed(all, i+1)
	})
}

func (r *run) arrive(req *request) {
	c := &call{req: req, id: strconv.Itoa(req.id), state: callAway}
	r.calls[req.id] = c
	r.byID[c.id] = c
	r.placer.observe(req)
	r.retries.Submitted(req.class.Profile)
	r.after(req.class.Patience, func() { r.giveUp(c) })
	r.after(r.deployment.CallerDelay, func() { r.submit(c) })
}

// submit begins a try of the caller at an entry instance of its data centre.
func (r *run) submit(c *call) {
	if c.state == callFinished {
		return
	}
	c.tries++
	c.asked = r.now
	c.hops, c.exclude, c.shortest = 0, nil, 0
	c.entry = r.entryOf(c)
	r.forward(c)
}

// forward sends a call to an endpoint.
func (r *run) forward(c *call) {
	if r.convicts[c.fingerprint()] {
		r.finish(c, outcomeConvicted)
		return
	}
	e := r.choose(c)
	if e == nil {
		r.refuse(c, noCopyWait)
		return
	}
	c.engine, c.life, c.state = e, e.life, callSent
	r.after(r.delay(c, float64(c.req.prompt*promptBytes)), func() { r.deliver(c) })
}

// noCopyWait is the time to come back when no copy of a model can serve.
const noCopyWait = 5 * time.Second

// fingerprint tells equal requests of all tries.
func (c *call) fingerprint() int {
	if c.req.killer {
		return -1
	}
	return c.req.id
}

// deliver offers a call to the dispatcher of its endpoint.
func (r *run) deliver(c *call) {
	if c.state != callSent {
		return
	}
	e := c.engine
	if !e.alive || e.life != c.life || e.copies[c.req.model] != copyReady {
		r.elsewhere(c, 0)
		return
	}
	v := r.offer(c)
	switch v.State {
	case admit.StateStart:
		r.start(c)
	case admit.StateQueued:
		c.state = callQueued
		r.pump(e)
	default:
		r.elsewhere(c, v.RetryAfter)
	}
}

func (r *run) item(c *call) admit.Item {
	due := c.req.due()
	if c.tries > 1 && c.req.class.Rank != fleet.RankBulk {
		due = c.asked + c.req.class.First
	}
	return admit.Item{
		ID: c.id, Rank: c.req.class.Rank, Profile: c.req.class.Profile,
		Model:   modelName(c.req.model),
		Arrived: r.time(), Deadline: epoch.Add(due - r.back(c)),
		PromptTokens: c.req.prompt, MaxTokens: c.req.tokens, Suspect: r.suspects[c.fingerprint()],
	}
}

// pump starts what may start at an endpoint and gives up what is too late.
func (r *run) pump(e *engine) {
	q := r.queues[e.index]
	for _, gone := range q.Expire(r.time()) {
		r.elsewhere(r.byID[gone.Item.ID], gone.Decision.RetryAfter)
	}
	for {
		it, ok := q.Next(r.time())
		if !ok {
			break
		}
		r.start(r.byID[it.ID])
	}
	r.tick(e)
}

// tick wakes the queue when something in it becomes too late.
func (r *run) tick(e *engine) {
	due, ok := r.queues[e.index].Due(r.time())
	if !ok {
		return
	}
	at := due.Sub(epoch) + 1
	if pending := r.ticks[e.index]; pending > r.now && pending <= at {
		return
	}
	r.ticks[e.index] = at
	r.at(at, func() { r.pump(e) })
}

// start hands a call to its engine, after its adapter was loaded.
func (r *run) start(c *call) {
	e := c.engine
	c.state = callRunning
	if e.adapters.has(c.req.adapter) {
		e.adapters.get(c.req.adapter)
		e.start(c)
		return
	}
	r.loading++
	life := e.life
	r.after(r.adapterLoad(), func() {
		r.loading--
		if e.life != life || c.state != callRunning || c.engine != e {
			return
		}
		e.adapters.put(c.req.adapter, 1)
		e.start(c)
	})
}

func (r *run) adapterLoad() time.Duration {
	limit := r.deployment.AdaptersAtOnce
	if r.loading <= limit {
		return adapterTime
	}
	return adapterTime * time.Duration(r.loading) / time.Duration(limit)
}
