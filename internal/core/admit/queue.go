package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// rankCount is the number of ranks.
const rankCount = 3

// horizon orders requests without a deadline behind those that have one.
const horizon = 24 * time.Hour

// Queue decides for one endpoint. It is not safe for concurrent use: its
// dispatcher owns it.
type Queue struct {
	slots  int
	depth  int
	floors Shares
	cap    float64
	guard  float64
	jitter float64
	seed   uint64
	rule   WaitRule
	speed  Speed
	gap    time.Duration
	spare  int

	breaker  breaker
	random   *rand.Rand
	entries  map[string]*entry
	lanes    [rankCount][]*lane
	waiting  [rankCount]int
	running  [rankCount]int
	hold     [rankCount]average
	prefill  [rankCount]time.Time
	suspects int
	// models counts the running requests of each model.
	models map[fleet.Model]int
}

// New returns the queue of an idle endpoint.
func New(opts ...Option) *Queue {
	q := &Queue{
		slots:   DefaultSlots,
		depth:   DefaultDepth,
		floors:  DefaultFloors(),
		cap:     DefaultProfileCap,
		guard:   DefaultGuard,
		spare:   DefaultSpare,
		rule:    WaitLargest,
		jitter:  DefaultJitter,
		breaker: newBreaker(DefaultFailures, DefaultRest),
		entries: make(map[string]*entry),
		models:  make(map[fleet.Model]int),
	}
	for _, opt := range opts {
		opt(q)
	}
	q.random = rand.New(rand.NewPCG(q.seed, q.seed+1))
	return q
}

// Offer takes a request in or refuses it. After StateStart the request is
// running; after StateQueued it comes out of Next or Expired.
func (q *Queue) Offer(now time.Time, it Item) Verdict {
	if _, ok := q.entries[it.ID]; ok {
		return Verdict{State: StateRefused, Code: CodeDuplicate, RetryAfter: q.spread(q.meanHold())}
	}
	level := it.Rank.Level()
	e := q.newEntry(it)
	if code := q.refuse(now, e, level); code != "" {
		return q.refused(now, it, code)
	}
	q.enqueue(now, e)
	if q.pick(now) == e {
		q.start(now, e)
		return Verdict{State: StateStart}
	}
	return Verdict{State: StateQueued}
}

// Next starts a waiting request if one may start now. Call it until it
// reports false after every Offer, Done, Cancel and tick.
func (q *Queue) Next(now time.Time) (Item, bool) {
	e := q.pick(now)
	if e == nil {
		return Item{}, false
	}
	q.start(now, e)
	return e.item, true
}

// Done ends a running request. An unknown ID is ignored.
func (q *Queue) Done(now time.Time, id string, end End) {
	e, ok := q.entries[id]
	if !ok || !e.running {
		return
	}
	if end.State == EndWhole {
		q.hold[e.lane.level].add(now.Sub(e.started))
	}
	q.breaker.end(now, end)
	q.forget(e)
}

// Cancel drops a request and reports whether it was running.
func (q *Queue) Cancel(now time.Time, id string) (wasRunning bool) {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	if e.running {
		q.Done(now, id, End{State: EndCancelled})
		return true
	}
	q.forget(e)
	return false
}

// Expired gives up the waiting requests that can no longer meet their
// deadline. None of them was run.
func (q *Queue) Expired(now time.Time) []Refusal {
	var out []Refusal
	q.dropIdle(now)
	for level := range q.lanes {
		for i := len(q.lanes[level]) - 1; i >= 0; i-- {
			out = q.expire(now, q.lanes[level][i], out)
		}
	}
	return out
}

func (q *Queue) expire(now time.Time, l *lane, out []Refusal) []Refusal {
	for len(l.waiting) > 0 && l.waiting[0].latest.Before(now) {
		e := l.waiting[0]
		q.forget(e)
		out = append(out, Refusal{Item: e.item, Verdict: q.refused(now, e.item, CodeLate)})
	}
	return out
}

// Due returns when a waiting request next becomes too late, or when the
// breaker lets work through again; false when neither is pending.
func (q *Queue) Due(now time.Time) (time.Time, bool) {
	var due time.Time
	found := false
	for _, lanes := range q.lanes {
		for _, l := range lanes {
			if len(l.waiting) > 0 && (!found || l.waiting[0].latest.Before(due)) {
				due, found = l.waiting[0].latest, true
			}
		}
	}
	if rest := q.breaker.wait(now); found && rest > 0 && q.breaker.until.Before(due) {
		due = q.breaker.until
	}
	return due, found
}

// Running returns how many requests run.
func (q *Queue) Running() int {
	return q.running[0] + q.running[1] + q.running[2]
}

// Queued returns how many requests wait.
func (q *Queue) Queued() int {
	return q.waiting[0] + q.waiting[1] + q.waiting[2]
}

func (q *Queue) newEntry(it Item) *entry {
	latest := it.Arrived.Add(horizon)
	if !it.Deadline.IsZero() {
		latest = it.Deadline.Add(-q.speed.prefill(it.Prompt))
	}
	return &entry{item: it, latest: latest}
}

// refuse returns why a request cannot be taken in, empty when it can.
func (q *Queue) refuse(now time.Time, e *entry, level int) Code {
	if q.waiting[level] >= q.depth {
		return CodeFull
	}
	if rest := q.breaker.wait(now); rest > 0 && now.Add(rest).After(e.latest) {
		return CodeBreaker
	}
	if now.Add(q.waitFor(now, level, e)).After(e.latest) {
		return CodeLate
	}
	return ""
}

func (q *Queue) enqueue(now time.Time, e *entry) {
	level := e.item.Rank.Level()
	e.lane = q.laneOf(level, e.item.Profile)
	e.lane.cap = e.item.Cap
	e.lane.last = now
	e.lane.add(e)
	q.waiting[level]++
	q.entries[e.item.ID] = e
}

func (q *Queue) laneOf(level int, p fleet.Profile) *lane {
	for _, l := range q.lanes[level] {
		if l.profile == p {
			return l
		}
	}
	l := &lane{profile: p, level: level}
	q.lanes[level] = append(q.lanes[level], l)
	return l
}

func (q *Queue) start(now time.Time, e *entry) {
	e.lane.remove(e)
	e.lane.running++
	e.running = true
	e.started = now
	level := e.lane.level
	q.waiting[level]--
	q.running[level]++
	q.models[e.item.Model]++
	if e.item.Suspect {
		q.suspects++
	}
	q.notePrefill(now, level, e.item.Prompt)
	q.breaker.start()
}

func (q *Queue) forget(e *entry) {
	level := e.lane.level
	if e.running {
		e.lane.running--
		q.running[level]--
		q.leaveModel(e.item.Model)
		if e.item.Suspect {
			q.suspects--
		}
	} else {
		e.lane.remove(e)
		q.waiting[level]--
	}
	delete(q.entries, e.item.ID)
}

func (q *Queue) leaveModel(m fleet.Model) {
	q.models[m]--
	if q.models[m] == 0 {
		delete(q.models, m)
	}
}

// dropIdle forgets the profiles that have asked nothing for a while.
func (q *Queue) dropIdle(now time.Time) {
	for level := range q.lanes {
		q.lanes[level] = slices.DeleteFunc(q.lanes[level], func(l *lane) bool { return l.idle(now) })
	}
}
