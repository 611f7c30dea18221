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

func (s *simulation) buildEntries(seed uint64) {
	d := s.deployment
	for i := range d.Entries {
		opts := append([]route.Option{route.WithSeed(seed + uint64(i))}, s.policy.RouteOptions...)
		s.entries = append(s.entries, &entry{
			place:      d.Centres[i%len(d.Centres)].Place,
			router:     route.New(opts...),
			unreported: make([]int, len(s.engines)),
			roundRobin: make([]int, d.Models),
		})
	}
}

// pickEntry returns a random entry of the caller's data centre.
func (s *simulation) pickEntry(c *call) int {
	var near []int
	for i, e := range s.entries {
		if e.place == c.req.place {
			near = append(near, i)
		}
	}
	return near[s.random.IntN(len(near))]
}

func (s *simulation) reportPeriod() time.Duration {
	if s.reportsLag() {
		return laggingReportInterval
	}
	return reportInterval
}

// reportsLag reports whether entries see the state of endpoints one period late.
func (s *simulation) reportsLag() bool {
	return s.policy.Route == RouteLeastLoaded || s.policy.Disabled.FreshReports
}

// refreshReports publishes the state of all endpoints to the entries.
func (s *simulation) refreshReports() {
	now := s.wallTime()
	for i, q := range s.queues {
		rep := &s.reports[i]
		rep.running, rep.queued = q.Running(), q.Queued()
		if s.reportsLag() {
			rep.running, rep.nextRunning = rep.nextRunning, rep.running
			rep.queued, rep.nextQueued = rep.nextQueued, rep.queued
		}
		rep.activeModels = s.engines[i].busyModels(rep.activeModels)
		for level, rank := range fleet.Ranks() {
			rep.wait[level] = q.Wait(now, rank)
		}
	}
	for _, e := range s.entries {
		clear(e.unreported)
	}
}

// chooseEndpoint returns the engine for a call, nil when none can serve it.
func (s *simulation) chooseEndpoint(c *call) *engine {
	e := s.entries[c.entry]
	s.collectCandidates(e, c)
	if len(e.candidates) == 0 {
		return nil
	}
	index, ok := s.pickCandidate(e, c)
	if !ok {
		return nil
	}
	chosen := e.engines[index]
	e.unreported[chosen.index]++
	return chosen
}

func (s *simulation) pickCandidate(e *entry, c *call) (int, bool) {
	switch s.policy.Route {
	case RouteRoundRobin:
		e.roundRobin[c.req.model]++
		return e.roundRobin[c.req.model] % len(e.engines), true
	case RouteLeastLoaded:
		return s.leastLoaded(e), true
	default:
		return e.router.Choose(s.wallTime(), s.routeRequest(e, c), e.candidates)
	}
}

func (s *simulation) routeRequest(e *entry, c *call) route.Request {
	return route.Request{
		Model: modelName(c.req.model), Adapter: "any", Rank: c.req.class.Rank, Place: e.place,
		PromptTokens: c.req.promptTokens, AnswerTokens: c.req.answerTokens,
	}
}

// leastLoaded returns the candidate with the lowest reported load; ties are broken at random.
func (s *simulation) leastLoaded(e *entry) int {
	best, count := 0, 0
	minLoad := 0
	for i, c := range e.candidates {
		load := c.Running + c.Queued
		switch {
		case i == 0 || load < minLoad:
			best, minLoad, count = i, load, 1
		case load == minLoad:
			count++
			if s.random.IntN(count) == 0 {
				best = i
			}
		}
	}
	return best
}

// collectCandidates lists the endpoints that have the model loaded and were not tried yet.
func (s *simulation) collectCandidates(e *entry, c *call) {
	e.candidates, e.engines = e.candidates[:0], e.engines[:0]
	for _, en := range s.engines {
		if en.alive && en.copies[c.req.model] == copyReady && !tried(c, en) {
			e.candidates = append(e.candidates, s.candidate(e, c, en))
			e.engines = append(e.engines, en)
		}
	}
}

func (s *simulation) candidate(e *entry, c *call, en *engine) route.Candidate {
	rep := &s.reports[en.index]
	disabled := s.policy.Disabled
	candidate := route.Candidate{
		Endpoint: en.name, Place: en.place, ModelLoaded: true,
		Running: rep.running, Queued: rep.queued,
		Wait:          rep.wait[c.req.class.Rank.Level()],
		AdapterLoaded: disabled.AdapterAffinity || en.adapters.has(c.req.adapter), AdapterLoads: s.adapterLoads,
	}
	candidate.OtherModels = rep.otherActiveModels(c.req.model)
	if !disabled.OwnAccounting {
		candidate.Unreported = e.unreported[en.index]
	}
	if !disabled.PrefixAffinity {
		block := []route.Block{route.Block(c.req.prefixGroup)}
		if s.prefixes.Match(s.wallTime(), en.name, block) > 0 {
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
func (s *simulation) hasUntriedEndpoint(c *call) bool {
	for _, en := range s.engines {
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
func (s *simulation) requestDelay(c *call, bytes float64) time.Duration {
	wait := s.hopDelay(c)
	if s.entries[c.entry].place.Region != c.engine.place.Region {
		wait += s.link.send(s.now, bytes)
	}
	return wait
}

// hopDelay returns the one-way latency between the entry and the endpoint of a call.
func (s *simulation) hopDelay(c *call) time.Duration {
	from, to := s.entries[c.entry].place, c.engine.place
	switch {
	case from == to:
		return 0
	case from.Region == to.Region:
		return s.deployment.CentreDelay
	default:
		return s.deployment.RegionDelay
	}
}

// responseDelay returns the one-way latency from the endpoint to the caller.
func (s *simulation) responseDelay(c *call) time.Duration {
	return s.hopDelay(c) + s.deployment.CallerDelay
}
