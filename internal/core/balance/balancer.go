// Package balance selects the endpoint of a request by the load that all instances have
// put on each endpoint, and limits how often requests are retried.
//
// It uses no clock and no goroutine: callers pass requests, loads and the time, and get
// decisions back. It is made for many models that share few accelerators, where one long
// prompt delays all other requests on the endpoint.
package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fairshare"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// PromptPart is a segment of a prompt. Requests may share it together with the segments before it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	Service catalog.Service
	Model   fleet.Model
	Adapter fleet.Adapter
	// Parts is the prompt in order; PromptTokens and OutputTokens are lengths in tokens.
	Parts        []PromptPart
	PromptTokens int
	OutputTokens int
	Level        int
	// Target is the maximum time to the first byte.
	Target time.Duration
	Place  fleet.Place
	// Patience is the longest predicted wait with which the request is sent if that is over its
	// target, Reserved the endpoint at which it waits for room, empty for none.
	Patience time.Duration
	Reserved fleet.Endpoint
	// Usage is how much the request's workspace sends through this instance, nil if it has none.
	Usage *fairshare.Usage
	// Exclude lists endpoints that were already tried.
	Exclude []fleet.Endpoint
	// Software is the version that began the request's stream, nil if no endpoint has.
	Software *fleet.Software
	// Uncached is how many prompt tokens the chosen endpoint is predicted to read.
	Uncached int
}

// rankCount is the number of ranks that are counted separately; less urgent ranks count
// as the last one.
const rankCount = 3

// Load is the load on an endpoint from requests in flight.
type Load struct {
	// Running counts requests without a complete answer.
	Running int
	// Pending is the prefill time of the requests without a first byte, by rank.
	Pending [rankCount]time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	l.Running += other.Running
	for i, d := range other.Pending {
		l.Pending[i] += d
	}
	return l
}

// Subtract returns the load without another one that was added before.
func (l Load) Subtract(other Load) Load {
	l.Running -= other.Running
	for i, d := range other.Pending {
		l.Pending[i] -= d
	}
	return l
}

// PrefillAhead returns the pending prefill time of all requests at least as urgent as level.
func (l Load) PrefillAhead(level int) time.Duration {
	var d time.Duration
	for i := range min(level, rankCount-1) + 1 {
		d += l.Pending[i]
	}
	return d
}

func pendingLoad(level int, d time.Duration) Load {
	var l Load
	l.Pending[min(level, rankCount-1)] = d
	return l
}

// Costs are the delays from which the wait of a request is predicted.
type Costs struct {
	// PromptToken is the prefill time of one prompt token.
	PromptToken time.Duration
	// RunningRequest is added for each running request.
	RunningRequest time.Duration
	// Region and DataCentre are added for an endpoint in another region or data centre.
	Region, DataCentre time.Duration
	// AdapterLoad is added when the endpoint must load the adapter first.
	AdapterLoad time.Duration
	// NoCapacity is added for an endpoint without room for the request.
	NoCapacity time.Duration
	// ModelLoad is added while an endpoint loads a model.
	ModelLoad time.Duration
}

// DefaultCosts returns the costs from the data sheets of the engines: 38 prompt tokens
// per millisecond, and about 20 ms between regions each way.
func DefaultCosts() Costs {
	return Costs{
		PromptToken: 26 * time.Microsecond, RunningRequest: 2 * time.Millisecond,
		Region: 60 * time.Millisecond, DataCentre: 4 * time.Millisecond,
		AdapterLoad: 60 * time.Millisecond, NoCapacity: time.Second, ModelLoad: 20 * time.Millisecond,
	}
}

// Balancer tracks the load on endpoints as one instance has recorded it, and selects
// endpoints by it. It is not safe for concurrent use.
type Balancer struct {
	costs          Costs
	ownLoads       map[fleet.Endpoint]Load
	ownUses        map[Use]int
	prefillFactors map[fleet.Model]float64
	prefillSamples map[fleet.Model]int // answers that updated a model's prefill factor
	remotes        map[fleet.Instance]remoteLoad
	// remoteTotals and remoteUses are sums over remotes: there are hundreds of instances, and
	// each choice reads the load of every endpoint that has the model.
	remoteTotals map[fleet.Endpoint]Load
	remoteUses   map[fleet.Endpoint]map[Use]int
	promptCaches map[fleet.Endpoint]*promptCache
	linkQueues   map[fleet.Region]time.Duration
}

// linkCrossings is how often a request waits on a link: on its way and for its answer.
const linkCrossings = 2

// SetLinkQueues sets how long what is sent to other regions waits on the way. It answers the load
// of a narrow link that carries the requests of callers whose own region has room.
func (b *Balancer) SetLinkQueues(queues map[fleet.Region]time.Duration) { b.linkQueues = queues }

// Use is an adapter that requests in flight need at an endpoint.
type Use struct {
	Endpoint fleet.Endpoint
	Model    fleet.Model
	Adapter  fleet.Adapter
}

// remoteLoad is the load from another instance.
type remoteLoad struct {
	loads map[fleet.Endpoint]Load
	uses  []Use
}

// NewBalancer returns a balancer without recorded load.
func NewBalancer() *Balancer {
	return &Balancer{
		costs:          DefaultCosts(),
		ownLoads:       make(map[fleet.Endpoint]Load),
		ownUses:        make(map[Use]int),
		prefillFactors: make(map[fleet.Model]float64),
		prefillSamples: make(map[fleet.Model]int),
		remotes:        make(map[fleet.Instance]remoteLoad),
		remoteTotals:   make(map[fleet.Endpoint]Load),
		remoteUses:     make(map[fleet.Endpoint]map[Use]int),
		promptCaches:   make(map[fleet.Endpoint]*promptCache),
	}
}

// Started records a request that was sent and returns its predicted prefill time, which
// counts as pending until Answered.
func (b *Balancer) Started(id fleet.Endpoint, a *Request) time.Duration { return b.StartedAt(id, a, 1) }

// StartedAt does so for an endpoint that takes longer than the usual one by a factor.
func (b *Balancer) StartedAt(id fleet.Endpoint, a *Request, slowness float64) time.Duration {
	prefill := b.ownPrefill(id, a, slowness)
	a.Uncached = max(0, a.PromptTokens-b.cachedTokens(id, a))
	l := pendingLoad(a.Level, prefill)
	l.Running = 1
	b.ownLoads[id] = b.ownLoads[id].Add(l)
	b.recordPrompt(id, a)
	if a.Adapter != "" {
		b.ownUses[Use{id, a.Model, a.Adapter}]++
	}
	return prefill
}

// Answered records the first byte of a request: its prefill is no longer pending.
func (b *Balancer) Answered(id fleet.Endpoint, level int, prefill time.Duration) {
	b.ownLoads[id] = b.ownLoads[id].Add(pendingLoad(level, -prefill))
}

// prefillTime predicts how long the request's model takes to process prompt tokens.
func (b *Balancer) prefillTime(a *Request, tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(b.costs.PromptToken) * b.PrefillFactor(a.Model))
}

// ownPrefill predicts how long an endpoint takes for the part of a prompt that it hasn't cached.
func (b *Balancer) ownPrefill(id fleet.Endpoint, a *Request, slowness float64) time.Duration {
	return time.Duration(slowness * float64(b.prefillTime(a, max(0, a.PromptTokens-b.cachedTokens(id, a)))))
}

// PrefillFactor returns a model's prefill time per token relative to Costs.PromptToken.
func (b *Balancer) PrefillFactor(m fleet.Model) float64 {
	if p, ok := b.prefillFactors[m]; ok {
		return p
	}
	return 1
}

const (
	// prefillFactorWeight is the weight of one answer in a model's prefill factor; the
	// first few answers weigh more.
	prefillFactorWeight = 0.05
	// minPrefillFactor and maxPrefillFactor bound the factor, since models of one size
	// differ in speed only by some factor.
	minPrefillFactor, maxPrefillFactor = 0.15, 2.0
	// minPredictedWait is the shortest predicted wait that updates the prefill factor.
	minPredictedWait = 30 * time.Millisecond
)

// Measured updates the prefill factor of a model from the predicted and the actual time
// to first byte, both without the delays that don't depend on the model.
func (b *Balancer) Measured(m fleet.Model, predicted, took time.Duration) {
	if m == "" || predicted < minPredictedWait {
		return
	}
	p := b.PrefillFactor(m)
	observed := p * min(max(float64(took)/float64(predicted), 0.25), 4)
	b.prefillSamples[m]++
	b.prefillFactors[m] = min(max(p+(observed-p)*max(prefillFactorWeight, 1/float64(b.prefillSamples[m])), minPrefillFactor), maxPrefillFactor)
}

// Ended records the end of a request.
func (b *Balancer) Ended(id fleet.Endpoint, a *Request) {
	use := Use{id, a.Model, a.Adapter}
	if b.ownUses[use]--; b.ownUses[use] <= 0 {
		delete(b.ownUses, use)
	}
	l := b.ownLoads[id].Add(Load{Running: -1})
	if l == (Load{}) {
		delete(b.ownLoads, id)
		return
	}
	b.ownLoads[id] = l
}

// OwnLoads returns the load from this instance, by endpoint.
func (b *Balancer) OwnLoads() map[fleet.Endpoint]Load {
	loads := make(map[fleet.Endpoint]Load, len(b.ownLoads))
	for id, l := range b.ownLoads {
		loads[id] = l
	}
	return loads
}

// OwnUses returns the adapters that requests from this instance need.
func (b *Balancer) OwnUses() []Use {
	all := make([]Use, 0, len(b.ownUses))
	for u := range b.ownUses {
		all = append(all, u)
	}
	return all
}

// AdaptersInUse returns the adapters that requests in flight from any instance need at an endpoint.
func (b *Balancer) AdaptersInUse(id fleet.Endpoint) []Use {
	all := slices.Collect(maps.Keys(b.remoteUses[id]))
	for u := range b.ownUses {
		if u.Endpoint == id && b.remoteUses[id][u] == 0 {
			all = append(all, u)
		}
	}
	return all
}

// SetRemote replaces the recorded load of another instance.
func (b *Balancer) SetRemote(from fleet.Instance, loads map[fleet.Endpoint]Load, uses []Use) {
	b.Forget(from)
	b.remotes[from] = remoteLoad{loads: loads, uses: uses}
	for id, l := range loads {
		b.remoteTotals[id] = b.remoteTotals[id].Add(l)
	}
	for _, u := range uses {
		counts := b.remoteUses[u.Endpoint]
		if counts == nil {
			counts = make(map[Use]int)
			b.remoteUses[u.Endpoint] = counts
		}
		counts[u]++
	}
}

// Forget removes the load of an instance that has left or failed.
func (b *Balancer) Forget(from fleet.Instance) {
	previous, ok := b.remotes[from]
	if !ok {
		return
	}
	delete(b.remotes, from)
	for id, l := range previous.loads {
		if total := b.remoteTotals[id].Subtract(l); total == (Load{}) {
			delete(b.remoteTotals, id)
		} else {
			b.remoteTotals[id] = total
		}
	}
	for _, u := range previous.uses {
		counts := b.remoteUses[u.Endpoint]
		if counts[u]--; counts[u] <= 0 {
			delete(counts, u)
		}
		if len(counts) == 0 {
			delete(b.remoteUses, u.Endpoint)
		}
	}
}

// Load returns the load of an endpoint over all instances.
func (b *Balancer) Load(id fleet.Endpoint) Load { return b.ownLoads[id].Add(b.remoteTotals[id]) }

// Choice is an endpoint for a request, with its predicted wait.
type Choice struct {
	Endpoint *roster.Endpoint
	// LoadAdapter is set when the request's adapter must be loaded first.
	LoadAdapter bool
	// Wait is the predicted time to the first byte; Prefill is the part of it that
	// depends on the model.
	Wait, Prefill time.Duration
	// Age is how old the knowledge of the endpoint's backlog is, 0 if it is the sum of all loads.
	Age time.Duration
	// Slowness is how much longer the endpoint takes than the usual one, 0 if the choice doesn't
	// depend on it.
	Slowness float64
}

// MaxWait returns the longest predicted wait with which a request is sent: its target.
// With a longer one, a lasting overload would make every answer late, and callers would
// time out before they receive it. The rest of a stream has no target, and few endpoints to go to.
func MaxWait(a *Request) time.Duration {
	if a.Model == "" || a.Target <= 0 || a.Software != nil {
		return math.MaxInt64
	}
	return a.Target
}

// Missing is what was missing when no endpoint was chosen.
type Missing string

// The values of Missing.
const (
	// MissingNone: an endpoint was chosen.
	MissingNone Missing = ""
	// MissingModel: no endpoint that may be tried has the model.
	MissingModel Missing = "model"
	// MissingAdapter: the endpoints with the model can't load the adapter now.
	MissingAdapter Missing = "adapter"
	// MissingRate: the endpoints that could serve the request take none from this instance now.
	MissingRate Missing = "rate"
)

// Choose returns the endpoint with the shortest predicted wait. Suspect endpoints are
// considered only when there is no other. If all that could serve the request take none from
// this instance now, the choice is the first of them that does, with the time until then.
func (b *Balancer) Choose(now time.Time, a *Request, group *catalog.Group, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region) (Choice, Missing) {
	best, found, missing := Choice{}, false, MissingModel
	preferred := preferredEndpoint(now, a, endpoints, regions)
	for pass := range 2 {
		for _, e := range endpoints {
			if !eligible(now, e, a) || pass == 0 && e.Suspect(now) {
				continue
			}
			c, ok := b.evaluate(now, e, a, group, regions)
			if !ok {
				missing = MissingAdapter
				continue
			}
			if e.ID == preferred {
				c.Wait -= b.sharedPrefillTime(a, e.ID)
			}
			if !found || c.Wait < best.Wait {
				best, found = c, true
			}
		}
		if found {
			return best, MissingNone
		}
	}
	if first := firstDeferred(now, a, endpoints); first != nil && missing == MissingModel {
		return Choice{Endpoint: first, Wait: first.DeferredFor(now)}, MissingRate
	}
	return best, missing
}

// firstDeferred returns the first of the endpoints that could serve the request to take one from
// this instance, nil if none could.
func firstDeferred(now time.Time, a *Request, endpoints []*roster.Endpoint) *roster.Endpoint {
	var first *roster.Endpoint
	for _, e := range endpoints {
		if couldServe(now, e, a) && (first == nil || e.DeferredFor(now) < first.DeferredFor(now)) {
			first = e
		}
	}
	return first
}

// eligible reports whether an endpoint takes the request now, maybe after loading its adapter.
func eligible(now time.Time, e *roster.Endpoint, a *Request) bool {
	return e.DeferredFor(now) == 0 && couldServe(now, e, a)
}

// couldServe reports whether an endpoint can serve the request once it takes it.
func couldServe(now time.Time, e *roster.Endpoint, a *Request) bool {
	if e.Service != a.Service || e.Leaving || e.Lost || a.Software != nil && e.Software != *a.Software {
		return false
	}
	for _, id := range a.Exclude {
		if id == e.ID {
			return false
		}
	}
	return a.Model == "" || e.Serves(now, a.Model, "")
}

func (b *Balancer) evaluate(now time.Time, e *roster.Endpoint, a *Request, group *catalog.Group, regions map[fleet.DataCentre]fleet.Region) (Choice, bool) {
	load := b.Load(e.ID)
	c, ok := b.predict(now, e, a, group, regions, expected{ahead: load.PrefillAhead(a.Level), running: load.Running, slowness: 1})
	c.Slowness = 0
	return c, ok
}

// expected is what a request meets at an endpoint: the prefill ahead of it, the running requests, and
// how much longer the endpoint takes than the usual one.
type expected struct {
	ahead    time.Duration
	running  int
	slowness float64
}

// predict returns the choice of an endpoint. ok is false if it can't load the request's adapter.
func (b *Balancer) predict(now time.Time, e *roster.Endpoint, a *Request, group *catalog.Group, regions map[fleet.DataCentre]fleet.Region, x expected) (c Choice, ok bool) {
	c = Choice{Endpoint: e, Slowness: x.slowness}
	c.Prefill = x.ahead + b.ownPrefill(e.ID, a, x.slowness)
	c.Wait = time.Duration(x.running)*b.costs.RunningRequest + c.Prefill
	switch {
	case e.DataCentre == a.Place.DataCentre:
	case regions[e.DataCentre] == a.Place.Region:
		c.Wait += b.costs.DataCentre
	default:
		c.Wait += b.costs.Region
		if a.Model != "" { // services without models have few endpoints, which would be full at home
			c.Wait += linkCrossings * b.linkQueues[regions[e.DataCentre]]
		}
	}
	if x.running >= e.Slots || e.Occupied(now, a.PromptTokens) {
		c.Wait += b.costs.NoCapacity
	}
	if a.Adapter != "" && !e.Serves(now, a.Model, a.Adapter) {
		if e.Busy(now) || group.Engine == nil {
			return c, false
		}
		c.LoadAdapter = true
		c.Wait += b.costs.AdapterLoad
	}
	return c, true
}

// preferredEndpoint returns the endpoint to which all instances of a region send prompts
// with the same prefix, so that its KV cache is reused: by rendezvous hashing, the one with
// the highest hash among those that have the model. Endpoints in the region go first,
// since traffic between regions is expensive.
func preferredEndpoint(now time.Time, a *Request, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region) fleet.Endpoint {
	if len(a.Parts) < 2 {
		return ""
	}
	prefix := string(a.Model) + "/" + string(a.Adapter) + "/" + a.Parts[len(a.Parts)-2].ID
	var best fleet.Endpoint
	var highest uint64
	bestIsLocal := false
	for _, e := range endpoints {
		if !eligible(now, e, a) {
			continue
		}
		local := regions[e.DataCentre] == a.Place.Region
		h := xxhash.Sum64String(prefix + "/" + string(e.ID))
		if best == "" || local && !bestIsLocal || local == bestIsLocal && h > highest {
			best, highest, bestIsLocal = e.ID, h, local
		}
	}
	return best
}

// sharedPrefillTime returns the prefill time of the shared prefix of a prompt, without
// the part that is recorded as cached.
func (b *Balancer) sharedPrefillTime(a *Request, id fleet.Endpoint) time.Duration {
	tokens := 0
	for _, p := range a.Parts[:len(a.Parts)-1] {
		tokens += p.Tokens
	}
	return b.prefillTime(a, max(0, tokens-b.cachedTokens(id, a)))
}
