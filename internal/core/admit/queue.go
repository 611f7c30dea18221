package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// rankCount is the number of ranks.
const rankCount = 3

// noDeadlineHorizon is the assumed deadline of requests without one, so that they sort
// behind those that have a deadline.
const noDeadlineHorizon = 24 * time.Hour

// Queue is the admission queue of one endpoint. It is not safe for concurrent use: only
// the dispatcher of the endpoint uses it.
type Queue struct {
	slots          int
	depth          int
	floors         Shares
	profileCap     float64
	reserve        float64
	jitter         float64
	seed           uint64
	retryAfterRule WaitRule
	speed          Speed
	maxTokenGap    time.Duration
	spareModels    int

	breaker     breaker
	random      *rand.Rand
	entries     map[string]*entry
	queues      [rankCount][]*profileQueue
	waiting     [rankCount]int
	running     [rankCount]int
	runTime     [rankCount]average
	prefillDone [rankCount]time.Time
	suspects    int
	// models counts the running requests of each model.
	models map[fleet.Model]int
}

// New returns the queue of an idle endpoint.
func New(opts ...Option) *Queue {
	q := &Queue{
		slots:          DefaultSlots,
		depth:          DefaultDepth,
		floors:         DefaultFloors(),
		profileCap:     DefaultProfileCap,
		reserve:        DefaultReserve,
		spareModels:    DefaultSpareModels,
		retryAfterRule: WaitLargest,
		jitter:         DefaultJitter,
		breaker:        newBreaker(DefaultFailureThreshold, DefaultCooldown),
		entries:        make(map[string]*entry),
		models:         make(map[fleet.Model]int),
	}
	for _, opt := range opts {
		opt(q)
	}
	q.random = rand.New(rand.NewPCG(q.seed, q.seed+1))
	return q
}

// Offer accepts or refuses a request. After StateStart the request is running; after
// StateQueued it is later returned by Next or Expire.
func (q *Queue) Offer(now time.Time, it Item) Decision {
	if _, ok := q.entries[it.ID]; ok {
		return Decision{State: StateRefused, Code: CodeDuplicate, RetryAfter: q.addJitter(q.meanRunTime())}
	}
	level := it.Rank.Level()
	e := q.newEntry(it)
	if code := q.refusalCode(now, e, level); code != "" {
		return q.refusal(now, it, code)
	}
	q.enqueue(now, e)
	if q.pick(now) == e {
		q.start(now, e)
		return Decision{State: StateStart}
	}
	return Decision{State: StateQueued}
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
	if end.State == EndComplete {
		q.runTime[e.queue.level].add(now.Sub(e.startedAt))
	}
	q.breaker.finish(now, end)
	q.remove(e)
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
	q.remove(e)
	return false
}

// Expire removes and returns the waiting requests that can no longer meet their
// deadline. None of them was run.
func (q *Queue) Expire(now time.Time) []Refusal {
	var out []Refusal
	q.dropIdleProfiles(now)
	for level := range q.queues {
		for i := len(q.queues[level]) - 1; i >= 0; i-- {
			out = q.expireProfile(now, q.queues[level][i], out)
		}
	}
	return out
}

func (q *Queue) expireProfile(now time.Time, l *profileQueue, out []Refusal) []Refusal {
	for len(l.waiting) > 0 && l.waiting[0].latestStart.Before(now) {
		e := l.waiting[0]
		q.remove(e)
		out = append(out, Refusal{Item: e.item, Decision: q.refusal(now, e.item, CodeLate)})
	}
	return out
}

// Due returns when a waiting request next becomes too late, or when the circuit breaker
// lets requests through again if that is earlier; false when no request waits.
func (q *Queue) Due(now time.Time) (time.Time, bool) {
	var due time.Time
	found := false
	for _, queues := range q.queues {
		for _, l := range queues {
			if len(l.waiting) > 0 && (!found || l.waiting[0].latestStart.Before(due)) {
				due, found = l.waiting[0].latestStart, true
			}
		}
	}
	if cooldown := q.breaker.remaining(now); found && cooldown > 0 && q.breaker.openUntil.Before(due) {
		due = q.breaker.openUntil
	}
	return due, found
}

// Running returns the number of running requests.
func (q *Queue) Running() int {
	return q.running[0] + q.running[1] + q.running[2]
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int {
	return q.waiting[0] + q.waiting[1] + q.waiting[2]
}

func (q *Queue) newEntry(it Item) *entry {
	latestStart := it.Arrived.Add(noDeadlineHorizon)
	if !it.Deadline.IsZero() {
		latestStart = it.Deadline.Add(-q.speed.prefillTime(it.PromptTokens))
	}
	return &entry{item: it, latestStart: latestStart}
}

// refusalCode returns why a request is refused, empty when it is accepted.
func (q *Queue) refusalCode(now time.Time, e *entry, level int) Code {
	if q.waiting[level] >= q.depth {
		return CodeFull
	}
	if cooldown := q.breaker.remaining(now); cooldown > 0 && now.Add(cooldown).After(e.latestStart) {
		return CodeBreaker
	}
	if now.Add(q.waitFor(now, level, e)).After(e.latestStart) {
		return CodeLate
	}
	return ""
}

func (q *Queue) enqueue(now time.Time, e *entry) {
	level := e.item.Rank.Level()
	e.queue = q.queueFor(level, e.item.Profile)
	e.queue.maxShare = e.item.MaxShare
	e.queue.lastOffer = now
	e.queue.add(e)
	q.waiting[level]++
	q.entries[e.item.ID] = e
}

func (q *Queue) queueFor(level int, p fleet.Profile) *profileQueue {
	for _, l := range q.queues[level] {
		if l.profile == p {
			return l
		}
	}
	l := &profileQueue{profile: p, level: level}
	q.queues[level] = append(q.queues[level], l)
	return l
}

func (q *Queue) start(now time.Time, e *entry) {
	e.queue.remove(e)
	e.queue.running++
	e.running = true
	e.startedAt = now
	level := e.queue.level
	q.waiting[level]--
	q.running[level]++
	q.models[e.item.Model]++
	if e.item.Suspect {
		q.suspects++
	}
	q.recordPrefill(now, level, e.item.PromptTokens)
	q.breaker.start()
}

func (q *Queue) remove(e *entry) {
	level := e.queue.level
	if e.running {
		e.queue.running--
		q.running[level]--
		q.releaseModel(e.item.Model)
		if e.item.Suspect {
			q.suspects--
		}
	} else {
		e.queue.remove(e)
		q.waiting[level]--
	}
	delete(q.entries, e.item.ID)
}

func (q *Queue) releaseModel(m fleet.Model) {
	q.models[m]--
	if q.models[m] == 0 {
		delete(q.models, m)
	}
}

// dropIdleProfiles removes the queues of idle profiles.
func (q *Queue) dropIdleProfiles(now time.Time) {
	for level := range q.queues {
		q.queues[level] = slices.DeleteFunc(q.queues[level], func(l *profileQueue) bool { return l.idle(now) })
	}
}
