package measure

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
)

// endpointReport is what the entries know of an endpoint.
type endpointReport struct {
	running int
	queued  int
	wait    [3]time.Duration
	// activeModels lists the models at work.
	activeModels []bool
	// next is what the endpoint will report after its lag.
	nextRunning int
	nextQueued  int
}

// otherActiveModels counts the models at work beside one.
func (r *endpointReport) otherActiveModels(model int) int {
	count := 0
	for m, busy := range r.activeModels {
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
	unreported []int
	roundRobin []int
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

// pickEntry returns an entry of the caller's data centre.
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

func (r *simulation) reportsLag() bool {
	return r.policy.Route == RouteLeastLoaded || r.policy.Disabled.FreshReports
}

// refreshReports renews what the entries know of all endpoints.
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

// chooseEndpoint returns the endpoint for a call, nil when none can serve.
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

// leastLoaded returns the candidate with least in the newest report, ties at random.
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

// collectCandidates lists the endpoints that have the model and were not tried.
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
	w := r.policy.Disabled
	candidate := route.Candidate{
		Endpoint: en.name, Place: en.place, ModelLoaded: true,
		Running: rep.running, Queued: rep.queued,
		Wait:          rep.wait[c.req.class.Rank.Level()],
		AdapterLoaded: w.AdapterAffinity || en.adapters.has(c.req.adapter), AdapterLoads: r.adapterLoads,
	}
	candidate.OtherModels = rep.otherActiveModels(c.req.model)
	if !w.OwnAccounting {
		candidate.Unreported = e.unreported[en.index]
	}
	if !w.PrefixAffinity {
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

// hasUntriedEndpoint reports whether an endpoint is left that was not tried.
func (r *simulation) hasUntriedEndpoint(c *call) bool {
	for _, en := range r.engines {
		if en.alive && en.copies[c.req.model] == copyReady && !tried(c, en) {
			return true
		}
	}
	return false
}

// Sizes on the link between regions, in bytes for each token.
const (
	linkBytesPerPromptToken = 5
	linkBytesPerAnswerToken = 60
)

// regionLink is the narrow link between regions.
type regionLink struct {
	bytesPerSecond float64
	totalBytes     float64
	busyUntil      time.Duration
}

// send adds bytes to the link and returns the time until they are through.
func (l *regionLink) send(now time.Duration, bytes float64) time.Duration {
	l.totalBytes += bytes
	l.busyUntil = max(l.busyUntil, now) + time.Duration(bytes/l.bytesPerSecond*float64(time.Second))
	return l.busyUntil - now
}

// countAnswer counts the bytes of an answer that went over the link.
func (l *regionLink) countAnswer(r *simulation, c *call) {
	if r.entries[c.entry].place.Region != c.engine.place.Region {
		l.totalBytes += float64(c.req.answerTokens * linkBytesPerAnswerToken)
	}
}

// requestDelay returns the time from the entry to the endpoint of a call.
func (r *simulation) requestDelay(c *call, bytes float64) time.Duration {
	wait := r.hopDelay(c)
	if r.entries[c.entry].place.Region != c.engine.place.Region {
		wait += r.link.send(r.now, bytes)
	}
	return wait
}

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

// responseDelay returns the time from the endpoint to the caller.
func (r *simulation) responseDelay(c *call) time.Duration {
	return r.hopDelay(c) + r.deployment.CallerDelay
}
