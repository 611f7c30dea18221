package measure

import (
	"container/heap"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Speed of an engine. One step generates one token for each decoding request and
// prefills one chunk of the first waiting prompt; each active model takes a forward pass.
const (
	modelPassTime      = 10 * time.Millisecond
	answerTokenTime    = time.Millisecond
	prefillChunkTime   = 16 * time.Millisecond
	prefillChunkTokens = 256
)

// Memory and capacity of an engine.
const (
	engineMemory      = 64 * gib
	kvMemory          = 16 * gib
	weightMemory      = engineMemory - kvMemory
	kvTokensPerGiB    = 2048
	prefixCacheTokens = 12000
	adapterSlots      = 12
	engineSlots       = 24
)

// Durations of loads, unloads and restarts, and the slowdown of an engine while it loads.
const (
	loadTimePerGiB  = 4 * time.Second
	unloadTime      = 500 * time.Millisecond
	adapterLoadTime = 8 * time.Millisecond
	restartTime     = 60 * time.Second
	loadingSlowdown = 1.1
)

// batchedWork returns the accelerator time of a request that runs in full batches, in seconds.
func batchedWork(prompt, tokens int) float64 {
	perAnswerToken := answerTokenTime.Seconds() + modelPassTime.Seconds()/engineSlots
	perPromptToken := prefillChunkTime.Seconds() / prefillChunkTokens
	return float64(tokens)*perAnswerToken + float64(prompt)*perPromptToken
}

// copyState is the state of a copy of a model on an engine.
type copyState string

const (
	copyAbsent   copyState = ""
	copyLoading  copyState = "loading"
	copyReady    copyState = "ready"
	copyDraining copyState = "draining"
)

// job is a call that an engine runs.
type job struct {
	call *call
	// prefillSteps is the number of steps left to prefill the prompt.
	prefillSteps float64
	// endStep is the step at which the answer is complete.
	endStep float64
	// kvTokens is the KV cache reserved for the job, in tokens.
	kvTokens int
}

// jobHeap is a heap of decoding jobs ordered by their end.
type jobHeap []*job

func (j jobHeap) Len() int           { return len(j) }
func (j jobHeap) Less(a, b int) bool { return j[a].endStep < j[b].endStep }
func (j jobHeap) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push implements heap.Interface.
func (j *jobHeap) Push(x any) { *j = append(*j, x.(*job)) }

// Pop implements heap.Interface.
func (j *jobHeap) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last] = nil
	*j = (*j)[:last]
	return x
}

// engine simulates an inference engine with continuous batching. It counts time
// in steps whose duration depends on the current load.
type engine struct {
	clock *clock
	index int
	name  fleet.Endpoint
	place fleet.Place
	// prioritizePrefill orders prefills by rank, the most urgent first.
	prioritizePrefill bool
	// perfectPrefixCache makes every prefix a cache hit, as if KV cache moved between
	// engines at no cost.
	perfectPrefixCache bool

	alive bool
	// crashedAt is the time of the last crash, copiesAtCrash the state of the copies then.
	crashedAt     time.Duration
	copiesAtCrash []copyState
	incarnation   int
	copies        []copyState
	usedBytes     int64
	pendingLoads  int
	prefills      []*job
	decoding      jobHeap
	// decodingByModel counts the decoding jobs of each model.
	decodingByModel []int
	// activeModels is the number of models with decoding jobs.
	activeModels int
	kvTokens     int
	// blocked holds calls that wait for KV cache memory.
	blocked     []*call
	steps       float64
	lastAdvance time.Duration
	// scheduleVersion invalidates events that were scheduled before a change.
	scheduleVersion int
	prefixCache     *lru
	adapters        *lru
	onFirstToken    func(*call)
	onComplete      func(*call)
}

func newEngine(c *clock, index int, place fleet.Place, models int) *engine {
	e := &engine{clock: c, index: index, place: place, alive: true}
	e.name = fleet.Endpoint(string(place.DataCentre) + "-e" + string(rune('a'+index)))
	e.copies = make([]copyState, models)
	e.decodingByModel = make([]int, models)
	e.prefixCache = newLRU(prefixCacheTokens)
	e.adapters = newLRU(adapterSlots)
	return e
}

// stepTime returns the duration of one step under the current load.
func (e *engine) stepTime() time.Duration {
	passes := max(e.activeModels, 1)
	step := time.Duration(passes)*modelPassTime + time.Duration(len(e.decoding))*answerTokenTime
	if len(e.prefills) > 0 {
		step += prefillChunkTime
	}
	if e.pendingLoads > 0 {
		step = time.Duration(float64(step) * loadingSlowdown)
	}
	return step
}

// advance accounts for the steps since the last advance. It has to be called
// before any change of the load, since that changes the duration of a step.
func (e *engine) advance() {
	passed := e.clock.now - e.lastAdvance
	e.lastAdvance = e.clock.now
	if passed <= 0 || len(e.prefills)+len(e.decoding) == 0 {
		return
	}
	steps := float64(passed) / float64(e.stepTime())
	e.steps += steps
	if len(e.prefills) > 0 {
		e.prefills[0].prefillSteps -= steps
	}
}

// start begins a call whose adapter is loaded; it blocks while KV cache memory is short.
func (e *engine) start(c *call) {
	e.advance()
	if !e.startPrefill(c) {
		e.blocked = append(e.blocked, c)
		return
	}
	e.schedule()
}

// startPrefill queues the prompt for prefill if its KV cache fits in memory.
// An engine without other jobs accepts any prompt.
func (e *engine) startPrefill(c *call) bool {
	kvTokens := c.req.promptTokens + c.req.answerTokens
	if e.kvTokens+kvTokens > e.kvTokenLimit() && e.kvTokens > 0 {
		return false
	}
	e.kvTokens += kvTokens
	prefillTokens := c.req.promptTokens + c.emittedTokens - e.cachedTokens(c.req)
	e.prefixCache.put(c.req.prefixGroup, c.req.prefixTokens)
	j := &job{call: c, prefillSteps: float64(max(prefillTokens, 1)) / prefillChunkTokens, kvTokens: kvTokens}
	c.job = j
	e.insertPrefill(j)
	return true
}

// cachedTokens returns the number of prompt tokens that need no prefill.
func (e *engine) cachedTokens(r *request) int {
	if e.perfectPrefixCache {
		return r.prefixTokens
	}
	return e.prefixCache.get(r.prefixGroup)
}

// kvTokenLimit returns how many tokens of KV cache fit in the memory that weights leave free.
func (e *engine) kvTokenLimit() int {
	return int((engineMemory - e.usedBytes) / gib * kvTokensPerGiB)
}

// insertPrefill queues a prompt behind those of the same or a more urgent rank.
func (e *engine) insertPrefill(j *job) {
	at := len(e.prefills)
	if e.prioritizePrefill {
		level := j.call.req.class.Rank.Level()
		for at > 0 && e.prefills[at-1].call.req.class.Rank.Level() > level {
			at--
		}
	}
	e.prefills = append(e.prefills, nil)
	copy(e.prefills[at+1:], e.prefills[at:])
	e.prefills[at] = j
}

// schedule sets the event for the next end of a prefill or an answer, in place of earlier ones.
func (e *engine) schedule() {
	e.scheduleVersion++
	version := e.scheduleVersion
	left := e.stepsToNextEvent()
	if left < 0 {
		return
	}
	wait := time.Duration(left * float64(e.stepTime()))
	e.clock.after(wait+1, func() {
		if version == e.scheduleVersion {
			e.processDueJobs()
		}
	})
}

// stepsToNextEvent returns the number of steps until the next prefill or answer
// ends, negative when nothing runs.
func (e *engine) stepsToNextEvent() float64 {
	left := -1.0
	if len(e.prefills) > 0 {
		left = max(e.prefills[0].prefillSteps, 0)
	}
	if len(e.decoding) > 0 {
		end := max(e.decoding[0].endStep-e.steps, 0)
		if left < 0 || end < left {
			left = end
		}
	}
	return left
}

// stepEpsilon absorbs rounding errors when steps are compared.
const stepEpsilon = 1e-6

// processDueJobs handles the prefill and the answers that end now.
func (e *engine) processDueJobs() {
	e.advance()
	if len(e.prefills) > 0 && e.prefills[0].prefillSteps <= stepEpsilon {
		e.startDecoding()
	}
	var done []*call
	for len(e.decoding) > 0 && e.decoding[0].endStep <= e.steps+stepEpsilon {
		j := heap.Pop(&e.decoding).(*job)
		e.releaseDecoding(j)
		done = append(done, j.call)
	}
	e.startBlocked()
	e.schedule()
	for _, c := range done {
		e.onComplete(c)
	}
}

func (e *engine) startDecoding() {
	j := e.prefills[0]
	e.prefills = e.prefills[1:]
	j.endStep = e.steps + float64(j.call.req.answerTokens-j.call.emittedTokens-1)
	e.adjustDecoding(j.call.req.model, 1)
	heap.Push(&e.decoding, j)
	e.onFirstToken(j.call)
}

func (e *engine) adjustDecoding(model, delta int) {
	before := e.decodingByModel[model] > 0
	e.decodingByModel[model] += delta
	after := e.decodingByModel[model] > 0
	if after && !before {
		e.activeModels++
	}
	if before && !after {
		e.activeModels--
	}
}

// busyModels fills a list with whether each model has decoding jobs.
func (e *engine) busyModels(list []bool) []bool {
	list = list[:0]
	for _, n := range e.decodingByModel {
		list = append(list, n > 0)
	}
	return list
}

func (e *engine) releaseDecoding(j *job) {
	e.kvTokens -= j.kvTokens
	e.adjustDecoding(j.call.req.model, -1)
}

func (e *engine) startBlocked() {
	for len(e.blocked) > 0 && e.startPrefill(e.blocked[0]) {
		e.blocked = e.blocked[1:]
	}
}
