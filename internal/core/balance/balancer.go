// Package balance chooses the endpoint of a request by what each endpoint has
// been given, over all instances, and bounds how often requests are sent again.
//
// It has no clock and no goroutine: requests, loads and the time go in,
// decisions come out. It answers the load in which many models share few
// accelerators, so that one long prompt delays everything beside it.
package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// PromptPart is a piece of a prompt that other requests may share, with the pieces before it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is what a choice depends on.
type Request struct {
	Service catalog.Service
	Model   fleet.Model
	Adapter fleet.Adapter
	// Parts is the prompt in order; Prompt and Output are lengths in tokens.
	Parts        []PromptPart
	PromptTokens int
	OutputTokens int
	Level        int
	// Target is the time to the first byte that is in time.
	Target time.Duration
	Place  fleet.Place
	// Exclude lists endpoints that were tried before.
	Exclude []fleet.Endpoint
}

// rankCount is how many ranks are told apart; less urgent ones count as the last.
const rankCount = 3

// Load is what requests in flight ask of an endpoint.
type Load struct {
	// Running counts requests that have not been answered whole.
	Running int
	// Pending is the time to read the prompts of those that have not been answered
	// at all, by rank.
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

// PrefillAhead returns the time to read all prompts that are at least as urgent.
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

// Costs weigh what delays a request.
type Costs struct {
	// PromptToken is the time to read one prompt token.
	PromptToken time.Duration
	// RunningRequest is what each running request adds.
	RunningRequest time.Duration
	// Region and DataCentre are added for an endpoint in another one.
	Region, DataCentre time.Duration
	// AdapterLoad is the time to load an adapter that the endpoint lacks.
	AdapterLoad time.Duration
	// NoCapacity is added for an endpoint without room for the request.
	NoCapacity time.Duration
	// ModelLoad is added while an endpoint loads a model.
	ModelLoad time.Duration
}

// DefaultCosts follow the sheets of the engines: 38 prompt tokens a millisecond,
// and some 20 ms between regions each way.
func DefaultCosts() Costs {
	return Costs{
		PromptToken: 26 * time.Microsecond, RunningRequest: 2 * time.Millisecond,
		Region: 60 * time.Millisecond, DataCentre: 4 * time.Millisecond,
		AdapterLoad: 60 * time.Millisecond, NoCapacity: time.Second, ModelLoad: 20 * time.Millisecond,
	}
}

// Balancer is what an instance knows of the load of endpoints. It is not safe for concurrent use.
type Balancer struct {
	costs          Costs
	loads          map[fleet.Endpoint]Load
	ownUses        map[Use]int
	prefillFactors map[fleet.Model]float64
	prefillSamples map[fleet.Model]int // answers that told a model's pace
	remotes        map[fleet.Instance]remoteLoad
	promptCaches   map[fleet.Endpoint]*promptCache
}

// Use is an adapter that requests in flight need at an endpoint.
type Use struct {
	Endpoint fleet.Endpoint
	Model    fleet.Model
	Adapter  fleet.Adapter
}

// remoteLoad is what another instance gives.
type remoteLoad struct {
	loads map[fleet.Endpoint]Load
	uses  []Use
}

// NewBalancer returns a board without load.
func NewBalancer() *Balancer {
	return &Balancer{
		costs:          DefaultCosts(),
		loads:          make(map[fleet.Endpoint]Load),
		ownUses:        make(map[Use]int),
		prefillFactors: make(map[fleet.Model]float64),
		prefillSamples: make(map[fleet.Model]int),
		remotes:        make(map[fleet.Instance]remoteLoad),
		promptCaches:   make(map[fleet.Endpoint]*promptCache),
	}
}

// Started notes a request that was sent; its prompt counts until Answered.
func (b *Balancer) Started(id fleet.Endpoint, a *Request) time.Duration {
	prefill := b.prefillTime(a, max(0, a.PromptTokens-b.cachedTokens(id, a)))
	l := pendingLoad(a.Level, prefill)
	l.Running = 1
	b.loads[id] = b.loads[id].Add(l)
	b.recordPrompt(id, a)
	if a.Adapter != "" {
		b.ownUses[Use{id, a.Model, a.Adapter}]++
	}
	return prefill
}

// Answered notes that a request's prompt counts no more.
func (b *Balancer) Answered(id fleet.Endpoint, level int, prefill time.Duration) {
	b.loads[id] = b.loads[id].Add(pendingLoad(level, -prefill))
}

// prefillTime is the time that a model takes to read prompt tokens.
func (b *Balancer) prefillTime(a *Request, tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(b.costs.PromptToken) * b.PrefillFactor(a.Model))
}

// PrefillFactor is a model's time for a prompt token as a part of the cost that is set.
func (b *Balancer) PrefillFactor(m fleet.Model) float64 {
	if p, ok := b.prefillFactors[m]; ok {
		return p
	}
	return 1
}

const (
	// prefillFactorWeight is the weight of one answer in a model's pace; the first few count more.
	prefillFactorWeight = 0.05
	// minPrefillFactor and mostPace bound it: models of one size differ by some factor.
	minPrefillFactor, maxPrefillFactor = 0.15, 2.0
	// minPredictedWait is the shortest predicted wait whose outcome tells a pace.
	minPredictedWait = 30 * time.Millisecond
)

// Measured notes how long a request waited for its first byte, and what was
// predicted for it, without what doesn't depend on the model.
func (b *Balancer) Measured(m fleet.Model, predicted, took time.Duration) {
	if m == "" || predicted < minPredictedWait {
		return
	}
	p := b.PrefillFactor(m)
	observed := p * min(max(float64(took)/float64(predicted), 0.25), 4)
	b.prefillSamples[m]++
	b.prefillFactors[m] = min(max(p+(observed-p)*max(prefillFactorWeight, 1/float64(b.prefillSamples[m])), minPrefillFactor), maxPrefillFactor)
}

// Ended notes the end of a request.
func (b *Balancer) Ended(id fleet.Endpoint, a *Request) {
	use := Use{id, a.Model, a.Adapter}
	if b.ownUses[use]--; b.ownUses[use] <= 0 {
		delete(b.ownUses, use)
	}
	l := b.loads[id].Add(Load{Running: -1})
	if l == (Load{}) {
		delete(b.loads, id)
		return
	}
	b.loads[id] = l
}

// OwnLoads returns the load that this instance gives, by endpoint.
func (b *Balancer) OwnLoads() map[fleet.Endpoint]Load {
	loads := make(map[fleet.Endpoint]Load, len(b.loads))
	for id, l := range b.loads {
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

// AdaptersInUse returns the adapters that requests in flight need at an endpoint.
func (b *Balancer) AdaptersInUse(id fleet.Endpoint) []Use {
	var all []Use
	add := func(uses []Use) {
		for _, u := range uses {
			if u.Endpoint == id {
				all = append(all, u)
			}
		}
	}
	add(b.OwnUses())
	for _, n := range b.remotes {
		add(n.uses)
	}
	return all
}

// SetRemote replaces what another instance gives.
func (b *Balancer) SetRemote(from fleet.Instance, loads map[fleet.Endpoint]Load, uses []Use) {
	b.remotes[from] = remoteLoad{loads: loads, uses: uses}
}

// Forget drops an instance that is gone.
func (b *Balancer) Forget(from fleet.Instance) { delete(b.remotes, from) }

// Load returns the load of an endpoint over all instances.
func (b *Balancer) Load(id fleet.Endpoint) Load {
	l := b.loads[id]
	for _, other := range b.remotes {
		l = l.Add(other.loads[id])
	}
	return l
}

// Choice is an endpoint that a request may go to.
type Choice struct {
	Endpoint *roster.Endpoint
	// LoadAdapter is set when the request's adapter must be loaded first.
	LoadAdapter bool
	// Wait is the predicted time to the first byte, Reading the part of it that
	// depends on the model.
	Wait, Prefill time.Duration
}

// MaxWait is the longest predicted wait with which a request is sent: its target. With
// more, a lasting flood makes all answers late, and callers leave before theirs.
func MaxWait(a *Request) time.Duration {
	if a.Model == "" || a.Target <= 0 {
		return math.MaxInt64
	}
	return a.Target
}

// Missing says why no endpoint was chosen.
type Missing string

// The reasons.
const (
	// MissingNone: one was chosen.
	MissingNone Missing = ""
	// MissingModel: none that may be tried has the model.
	MissingModel Missing = "model"
	// MissingAdapter: those that have the model can't be given the adapter now.
	MissingAdapter Missing = "adapter"
)

// Choose returns the endpoint with the shortest predicted wait.
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
	return best, missing
}

// eligible reports whether an endpoint can take the request now or after its adapter was loaded.
func eligible(now time.Time, e *roster.Endpoint, a *Request) bool {
	if e.Service != a.Service || e.Leaving || e.Lost {
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
	c := Choice{Endpoint: e}
	c.Prefill = load.PrefillAhead(a.Level) + b.prefillTime(a, max(0, a.PromptTokens-b.cachedTokens(e.ID, a)))
	c.Wait = time.Duration(load.Running)*b.costs.RunningRequest + c.Prefill
	switch {
	case e.DataCentre == a.Place.DataCentre:
	case regions[e.DataCentre] == a.Place.Region:
		c.Wait += b.costs.DataCentre
	default:
		c.Wait += b.costs.Region
	}
	if load.Running >= e.Slots || e.Report.Total > 0 && e.Report.Used+a.PromptTokens > e.Report.Total {
		c.Wait += b.costs.NoCapacity
	}
	if a.Adapter != "" && !e.Serves(now, a.Model, a.Adapter) {
		if e.Report.Busy || group.Engine == nil {
			return c, false
		}
		c.LoadAdapter = true
		c.Wait += b.costs.AdapterLoad
	}
	return c, true
}

// preferredEndpoint is the endpoint at which all instances of a region expect the shared start of a
// prompt: the one with the highest hash among those that hold the model, in the region
// if there are some, for bytes between regions are dear.
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

// sharedPrefillTime is the time that the shared start of a prompt takes to read where it
// isn't known to be cached.
func (b *Balancer) sharedPrefillTime(a *Request, id fleet.Endpoint) time.Duration {
	tokens := 0
	for _, p := range a.Parts[:len(a.Parts)-1] {
		tokens += p.Tokens
	}
	return b.prefillTime(a, max(0, tokens-b.cachedTokens(id, a)))
}
