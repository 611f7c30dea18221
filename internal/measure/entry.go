package measure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// endpointReport is the state of an endpoint as last reported to the entries.
type endpointReport struct {
	running int
	queued  int
	wait    [3]time.Duration
	// activeModels says for each model whether it is decoding.
	activeModels []bool
	// nextRunning and nextQueued are published one report period later, when
	// reports lag.
	nextRunning int
	nextQueued  int
}

// otherActiveModels counts the active models other than the given one.
func (r *endpointReport) otherActiveModels(model int) int {
	count := 0
	for m, busy := range r.activeModels {
		if busy && m != model {
			count++
		}
	}
	return count
}

// entry is an instance that accepts requests from callers and routes them.
type entry struct {
	place  fleet.Place
	router *route.Router
	// unreported counts, by endpoint, the calls sent since the last report.
	unreported []int
	// roundRobin is the round-robin counter of each model.
	roundRobin []int
	// candidates and engines are buffers for one routing decision, index by index.
	candidates []route.Candidate
	engines    []*engine
}

func (r *simulation) buildEntries(seed uint64) {
	d := r.deployment
	for i := range d.Entries {
		opts := append([]route.Option{route.WithSeed(seed + uint64(i))}, r.policy.RouteOptions...)
		r.entries = append(r.entries, &entry{
			place:      d.Centres[i%len(d.Centres)].Place,
			router:     route.New(opts...),
			unreported: make([]int, len(r.engines)),
			roundRobin: make([]int, d.Models),
		})
	}
}

// pickEntry returns a random entry of the caller's data centre.
func (r *simulation) pickEntry(c *call) int {
	var near []int
	for i, e := range r.entries {
		if e.place == c.req.place {
			near = append(near, i)
		}
	}
	return near[r.random.IntN(len(near))]
}

func (r *simulation) reportPeriod() time.Duration {
	if r.reportsLag() {
		return laggingReportInterval
	}
	return reportInterval
}

// reportsLag reports whether entries see the state of endpoints one period late.
func (r *simulation) reportsLag() bool {
	return r.policy.Route == RouteLeastLoaded || r.policy.Disabled.FreshReports
}

// refreshReports publishes the state of all endpoints to the entries.
func (r *simulation) refreshReports() {
	now := r.wallTime()
	for i, q := range r.queues {
		rep := &r.reports[i]
		rep.running, rep.queued = q.Running(), q.Queued()
		if r.reportsLag() {
			rep.running, rep.nextRunning = rep.nextRunning, rep.running
			rep.queued, rep.nextQueued = rep.nextQueued, rep.queued
		}
		rep.activeModels = r.engines[i].busyModels(rep.activeModels)
		for level, rank := range fleet.Ranks() {
			rep.wait[level] = q.Wait(now, rank)
		}
	}
	for _, e := range r.entries {
		clear(e.unreported)
	}
}

// chooseEndpoint returns the engine for a call, nil when none can serve it.
func (r *simulation) chooseEndpoint(c *call) *engine {
	e := r.entries[c.entry]
	r.collectCandidates(e, c)
	if len(e.candidates) == 0 {
		return nil
	}
	index, ok := r.pickCandidate(e, c)
	if !ok {
		return nil
	}
	chosen := e.engines[index]
	e.unreported[chosen.index]++
	return chosen
}

func (r *simulation) pickCandidate(e *entry, c *call) (int, bool) {
	switch r.policy.Route {
	case RouteRoundRobin:
		e.roundRobin[c.req.model]++
		return e.roundRobin[c.req.model] % len(e.engines), true
	case RouteLeastLoaded:
		return r.leastLoaded(e), true
	default:
		return e.router.Choose(r.wallTime(), r.routeRequest(e, c), e.candidates)
	}
}

func (r *simulation) routeRequest(e *entry, c *call) route.Request {
	return route.Request{
		Model: modelName(c.req.model), Adapter: "any", Rank: c.req.class.Rank, Place: e.place,
		PromptTokens: c.req.promptTokens, AnswerTokens: c.req.answerTokens,
	}
}

// leastLoaded returns the candidate with the lowest reported load; ties are broken at random.
func (r *simulation) leastLoaded(e *entry) int {
	best, count := 0, 0
	minLoad := 0
	for i, c := range e.candidates {
		load := c.Running + c.Queued
		switch {
		case i == 0 || load < minLoad:
			best, minLoad, count = i, load, 1
		case load == minLoad:
			count++
			if r.random.IntN(count) == 0 {
				best = i
			}
		}
	}
	return best
}

// collectCandidates lists the endpoints that have the model loaded and were not tried yet.
func (r *simulation) collectCandidates(e *entry, c *call) {
	e.candidates, e.engines = e.candidates[:0], e.engines[:0]
	for _, en := range r.engines {
		if en.alive && en.copies[c.req.model] == copyReady && !tried(c, en) {
			e.candidates = append(e.candidates, r.candidate(e, c, en))
			e.engines = append(e.engines, en)
		}
	}
}

func (r *simulation) candidate(e *entry, c *call, en *engine) route.Candidate {
	rep := &r.reports[en.index]
	disabled := r.policy.Disabled
	candidate := route.Candidate{
		Endpoint: en.name, Place: en.place, ModelLoaded: true,
		Running: rep.running, Queued: rep.queued,
		Wait:          rep.wait[c.req.class.Rank.Level()],
		AdapterLoaded: disabled.AdapterAffinity || en.adapters.has(c.req.adapter), AdapterLoads: r.adapterLoads,
	}
	candidate.OtherModels = rep.otherActiveModels(c.req.model)
	if !disabled.OwnAccounting {
		candidate.Unreported = e.unreported[en.index]
	}
	if !disabled.PrefixAffinity {
		block := []route.Block{route.Block(c.req.prefixGroup)}
		if r.prefixes.Match(r.wallTime(), en.name, block) > 0 {
			candidate.CachedTokens = c.req.prefixTokens
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

// hasUntriedEndpoint reports whether an endpoint with the model was not tried yet.
func (r *simulation) hasUntriedEndpoint(c *call) bool {
	for _, en := range r.engines {
		if en.alive && en.copies[c.req.model] == copyReady && !tried(c, en) {
			return true
		}
	}
	return false
}

// Sizes on the link between regions, in bytes per token.
const (
	linkBytesPerPromptToken = 5
	linkBytesPerAnswerToken = 60
)

// regionLink simulates the bandwidth-limited link between regions.
type regionLink struct {
	bytesPerSecond float64
	totalBytes     float64
	busyUntil      time.Duration
}

// send queues bytes on the link and returns the time until they are transmitted.
func (l *regionLink) send(now time.Duration, bytes float64) time.Duration {
	l.totalBytes += bytes
	l.busyUntil = max(l.busyUntil, now) + time.Duration(bytes/l.bytesPerSecond*float64(time.Second))
	return l.busyUntil - now
}

// countAnswer adds the bytes of an answer that crossed the link. Answers take no link time.
func (l *regionLink) countAnswer(r *simulation, c *call) {
	if r.entries[c.entry].place.Region != c.engine.place.Region {
		l.totalBytes += float64(c.req.answerTokens * linkBytesPerAnswerToken)
	}
}

// requestDelay returns the time to send a call from its entry to its endpoint.
func (r *simulation) requestDelay(c *call, bytes float64) time.Duration {
	wait := r.hopDelay(c)
	if r.entries[c.entry].place.Region != c.engine.place.Region {
		wait += r.link.send(r.now, bytes)
	}
	return wait
}

// hopDelay returns the one-way latency between the entry and the endpoint of a call.
func (r *simulation) hopDelay(c *call) time.Duration {
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

// responseDelay returns the one-way latency from the endpoint to the caller.
func (r *simulation) responseDelay(c *call) time.Duration {
	return r.hopDelay(c) + r.deployment.CallerDelay
}
