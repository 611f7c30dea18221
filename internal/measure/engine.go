package measure

import (
	"container/heap"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// How fast an engine works. One step gives each running answer one token and
// reads a chunk of a waiting prompt; each model at work adds its own pass.
const (
	passTime    = 10 * time.Millisecond
	answerTime  = time.Millisecond
	chunkTime   = 16 * time.Millisecond
	chunkTokens = 256
)

// Sizes of an engine.
const (
	engineMemory  = 64 * gib
	kvMemory      = 16 * gib
	weightMemory  = engineMemory - kvMemory
	tokensPerGiB  = 2048
	cacheTokens   = 12000
	adapterPlaces = 12
	engineSlots   = 24
)

// Times of changes at an engine.
const (
	loadTimePerGiB  = 4 * time.Second
	unloadTime      = 500 * time.Millisecond
	adapterTime     = 8 * time.Millisecond
	restartTime     = 60 * time.Second
	loadingSlowdown = 1.1
)

// workOf returns the accelerator time of a request in full batches, in seconds.
func workOf(prompt, tokens int) float64 {
	perToken := answerTime.Seconds() + passTime.Seconds()/engineSlots
	perPrompt := chunkTime.Seconds() / chunkTokens
	return float64(tokens)*perToken + float64(prompt)*perPrompt
}

// copyState says where a model stands at an engine.
type copyState string

const (
	copyAbsent   copyState = ""
	copyLoading  copyState = "loading"
	copyReady    copyState = "ready"
	copyDraining copyState = "draining"
)

// job is a call at an engine.
type job struct {
	call *call
	// left is the rest of the prompt to read, in steps.
	left float64
	// end is the step at which the answer ends.
	end float64
	kv  int
}

// jobs orders running answers by their end.
type jobs []*job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].end < j[b].end }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push implements heap.Interface.
func (j *jobs) Push(x any) { *j = append(*j, x.(*job)) }

// Pop implements heap.Interface.
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last] = nil
	*j = (*j)[:last]
	return x
}

// engine is a fake with continuous batching: time is counted in steps whose
// length depends on what runs.
type engine struct {
	clock *clock
	index int
	name  fleet.Endpoint
	place fleet.Place
	// priority makes prompts of urgent calls go first.
	priority bool
	// freeCache makes every prefix cached, as if it were moved for nothing.
	freeCache bool

	alive bool
	// died is when the engine last died, had what it held then.
	died     time.Duration
	had      []copyState
	life     int
	copies   []copyState
	used     int64
	loading  int
	reading  []*job
	running  jobs
	busy     []int
	models   int
	kv       int
	blocked  []*call
	steps    float64
	last     time.Duration
	version  int
	cache    *lru
	adapters *lru
	onFirst  func(*call)
	onDone   func(*call)
}

func newEngine(c *clock, index int, place fleet.Place, models int) *engine {
	e := &engine{clock: c, index: index, place: place, alive: true}
	e.name = fleet.Endpoint(string(place.DataCentre) + "-e" + string(rune('a'+index)))
	e.copies = make([]copyState, models)
	e.busy = make([]int, models)
	e.cache = newLRU(cacheTokens)
	e.adapters = newLRU(adapterPlaces)
	return e
}

// step returns the time of one step now.
func (e *engine) step() time.Duration {
	passes := max(e.models, 1)
	step := time.Duration(passes)*passTime + time.Duration(len(e.running))*answerTime
	if len(e.reading) > 0 {
		step += chunkTime
	}
	if e.loading > 0 {
		step = time.Duration(float64(step) * loadingSlowdown)
	}
	return step
}

// advance brings the engine to the present.
func (e *engine) advance() {
	passed := e.clock.now - e.last
	e.last = e.clock.now
	if passed <= 0 || len(e.reading)+len(e.running) == 0 {
		return
	}
	steps := float64(passed) / float64(e.step())
	e.steps += steps
	if len(e.reading) > 0 {
		e.reading[0].left -= steps
	}
}

// start takes a call; its adapter, if it has to be loaded, is there already.
func (e *engine) start(c *call) {
	e.advance()
	if !e.admit(c) {
		e.blocked = append(e.blocked, c)
		return
	}
	e.schedule()
}

// admit begins to read a prompt if there is memory for its keys and values.
func (e *engine) admit(c *call) bool {
	kv := c.req.prompt + c.req.tokens
	if e.kv+kv > e.kvLimit() && e.kv > 0 {
		return false
	}
	e.kv += kv
	prompt := c.req.prompt + c.given - e.cached(c.req)
	e.cache.put(c.req.group, c.req.prefix)
	j := &job{call: c, left: float64(max(prompt, 1)) / chunkTokens, kv: kv}
	c.job = j
	e.insert(j)
	return true
}

// cached returns how much of a prompt need not be read.
func (e *engine) cached(r *request) int {
	if e.freeCache {
		return r.prefix
	}
	return e.cache.get(r.group)
}

func (e *engine) kvLimit() int {
	return int((engineMemory - e.used) / gib * tokensPerGiB)
}

// insert queues a prompt behind those of the same or a more urgent rank.
func (e *engine) insert(j *job) {
	at := len(e.reading)
	if e.priority {
		level := j.call.req.class.Rank.Level()
		for at > 0 && e.reading[at-1].call.req.class.Rank.Level() > level {
			at--
		}
	}
	e.reading = append(e.reading, nil)
	copy(e.reading[at+1:], e.reading[at:])
	e.reading[at] = j
}

// schedule plans the next change of the engine.
func (e *engine) schedule() {
	e.version++
	version := e.version
	left := e.untilNext()
	if left < 0 {
		return
	}
	wait := time.Duration(left * float64(e.step()))
	e.clock.after(wait+1, func() {
		if version == e.version {
			e.progress()
		}
	})
}

// untilNext returns the steps to the next change, negative when nothing runs.
func (e *engine) untilNext() float64 {
	left := -1.0
	if len(e.reading) > 0 {
		left = max(e.reading[0].left, 0)
	}
	if len(e.running) > 0 {
		end := max(e.running[0].end-e.steps, 0)
		if left < 0 || end < left {
			left = end
		}
	}
	return left
}

// smallStep hides rounding.
const smallStep = 1e-6

func (e *engine) progress() {
	e.advance()
	if len(e.reading) > 0 && e.reading[0].left <= smallStep {
		e.beginAnswer()
	}
	var done []*call
	for len(e.running) > 0 && e.running[0].end <= e.steps+smallStep {
		j := heap.Pop(&e.running).(*job)
		e.release(j)
		done = append(done, j.call)
	}
	e.unblock()
	e.schedule()
	for _, c := range done {
		e.onDone(c)
	}
}

func (e *engine) beginAnswer() {
	j := e.reading[0]
	e.reading = e.reading[1:]
	j.end = e.steps + float64(j.call.req.tokens-j.call.given-1)
	e.occupy(j.call.req.model, 1)
	heap.Push(&e.running, j)
	e.onFirst(j.call)
}

func (e *engine) occupy(model, by int) {
	before := e.busy[model] > 0
	e.busy[model] += by
	after := e.busy[model] > 0
	if after && !before {
		e.models++
	}
	if before && !after {
		e.models--
	}
}

// busyModels fills a list that tells for each model whether it is at work.
func (e *engine) busyModels(list []bool) []bool {
	list = list[:0]
	for _, n := range e.busy {
		list = append(list, n > 0)
	}
	return list
}

func (e *engine) release(j *job) {
	e.kv -= j.kv
	e.occupy(j.call.req.model, -1)
}

func (e *engine) unblock() {
	for len(e.blocked) > 0 && e.admit(e.blocked[0]) {
		e.blocked = e.blocked[1:]
	}
}
