package measure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// report is what the entries know of an endpoint.
type report struct {
	running int
	queued  int
	wait    [3]time.Duration
	// busy lists the models at work.
	busy []bool
	// next is what the endpoint will report after its lag.
	nextRunning int
	nextQueued  int
}

// others counts the models at work beside one.
func (r *report) others(model int) int {
	count := 0
	for m, busy := range r.busy {
		if busy && m != model {
			count++
		}
	}
	return count
}

// entry is one instance that takes requests in.
type entry struct {
	place      fleet.Place
	router     *route.Router
	own        []int
	turn       []int
	candidates []route.Candidate
	engines    []*engine
}

func (r *run) buildEntries(seed uint64) {
	d := r.deployment
	for i := range d.Entries {
		opts := append([]route.Option{route.WithSeed(seed + uint64(i))}, r.policy.Choose...)
		r.entries = append(r.entries, &entry{
			place:  d.Centres[i%len(d.Centres)].Place,
			router: route.New(opts...),
			own:    make([]int, len(r.engines)),
			turn:   make([]int, d.Models),
		})
	}
}

// entryOf returns an entry of the caller's data centre.
func (r *run) entryOf(c *call) int {
	var near []int
	for i, e := range r.entries {
		if e.place == c.req.place {
			near = append(near, i)
		}
	}
	return near[r.random.IntN(len(near))]
}

func (r *run) reportTime() time.Duration {
	if r.lagging() {
		return lagReportEvery
	}
	return reportEvery
}

func (r *run) lagging() bool {
	return r.policy.Route == RouteLeastLoaded || r.policy.Without.FreshReports
}

// report renews what the entries know of all endpoints.
func (r *run) report() {
	now := r.time()
	for i, q := range r.queues {
		rep := &r.reports[i]
		rep.running, rep.queued = q.Running(), q.Queued()
		if r.lagging() {
			rep.running, rep.nextRunning = rep.nextRunning, rep.running
			rep.queued, rep.nextQueued = rep.nextQueued, rep.queued
		}
		rep.busy = r.engines[i].busyModels(rep.busy)
		for level, rank := range fleet.Ranks() {
			rep.wait[level] = q.Wait(now, rank)
		}
	}
	for _, e := range r.entries {
		clear(e.own)
	}
}

// choose returns the endpoint for a call, nil when none can serve.
func (r *run) choose(c *call) *engine {
	e := r.entries[c.entry]
	r.collect(e, c)
	if len(e.candidates) == 0 {
		return nil
	}
	index, ok := r.pick(e, c)
	if !ok {
		return nil
	}
	chosen := e.engines[index]
	e.own[chosen.index]++
	return chosen
}

func (r *run) pick(e *entry, c *call) (int, bool) {
	switch r.policy.Route {
	case RouteRoundRobin:
		e.turn[c.req.model]++
		return e.turn[c.req.model] % len(e.engines), true
	case RouteLeastLoaded:
		return r.leastLoaded(e), true
	default:
		return e.router.Choose(r.time(), r.routeRequest(e, c), e.candidates)
	}
}

func (r *run) routeRequest(e *entry, c *call) route.Request {
	return route.Request{
		Model: modelName(c.req.model), Adapter: "any", Rank: c.req.class.Rank, Place: e.place,
		PromptTokens: c.req.prompt, AnswerTokens: c.req.tokens,
	}
}

// leastLoaded returns the candidate with least in the newest report, ties at random.
func (r *run) leastLoaded(e *entry) int {
	best, count := 0, 0
	least := 0
	for i, c := range e.candidates {
		load := c.Running + c.Queued
		switch {
		case i == 0 || load < least:
			best, least, count = i, load, 1
		case load == least:
			count++
			if r.random.IntN(count) == 0 {
				best = i
			}
		}
	}
	return best
}

// collect lists the endpoints that have the model and were not tried.
func (r *run) collect(e *entry, c *call) {
	e.candidates, e.engines = e.candidates[:0], e.engines[:0]
	for _, en := range r.engines {
		if en.alive && en.copies[c.req.model] == copyReady && !tried(c, en) {
			e.candidates = append(e.candidates, r.candidate(e, c, en))
			e.engines = append(e.engines, en)
		}
	}
}

func (r *run) candidate(e *entry, c *call, en *engine) route.Candidate {
	rep := &r.reports[en.index]
	w := r.policy.Without
	candidate := route.Candidate{
		Endpoint: en.name, Place: en.place, ModelLoaded: true,
		Running: rep.running, Queued: rep.queued,
		Wait:          rep.wait[c.req.class.Rank.Level()],
		AdapterLoaded: w.Adapter || en.adapters.has(c.req.adapter), AdapterLoads: r.loading,
	}
	candidate.OtherModels = rep.others(c.req.model)
	if !w.OwnAccounting {
		candidate.Unreported = e.own[en.index]
	}
	if !w.Prefix {
		block := []route.Block{route.Block(c.req.group)}
		if r.prefixes.Match(r.time(), en.name, block) > 0 {
			candidate.CachedTokens = c.req.prefix
		}
	}
	return candidate
}

func tried(c *call, e *engine) bool {
	for _, name := range c.exclude {
		if name == e.name {
			return true
		}
	}
	return false
}

// hasChoice reports whether an endpoint is left that was not tried.
func (r *run) hasChoice(c *call) bool {
	for _, en := range r.engines {
		if en.alive && en.copies[c.req.model] == copyReady && !tried(c, en) {
			return true
		}
	}
	return false
}

// Sizes on the link between regions, in bytes for each token.
const (
	promptBytes = 5
	answerBytes = 60
)

// linkModel is the narrow link between regions.
type linkModel struct {
	rate  float64
	bytes float64
	busy  time.Duration
}

// send adds bytes to the link and returns the time until they are through.
func (l *linkModel) send(now time.Duration, bytes float64) time.Duration {
	l.bytes += bytes
	l.busy = max(l.busy, now) + time.Duration(bytes/l.rate*float64(time.Second))
	return l.busy - now
}

// answer counts the bytes of an answer that went over the link.
func (l *linkModel) answer(r *run, c *call) {
	if r.entries[c.entry].place.Region != c.engine.place.Region {
		l.bytes += float64(c.req.tokens * answerBytes)
	}
}

// delay returns the time from the entry to the endpoint of a call.
func (r *run) delay(c *call, bytes float64) time.Duration {
	wait := r.hop(c)
	if r.entries[c.entry].place.Region != c.engine.place.Region {
		wait += r.link.send(r.now, bytes)
	}
	return wait
}

func (r *run) hop(c *call) time.Duration {
	from, to := r.entries[c.entry].place, c.engine.place
	switch {
	case from == to:
		return 0
	case from.Region == to.Region:
		return r.deployment.CentreDelay
	default:
		return r.deployment.RegionDelay
	}
}

// back returns the time from the endpoint to the caller.
func (r *run) back(c *call) time.Duration {
	return r.hop(c) + r.deployment.CallerDelay
}
