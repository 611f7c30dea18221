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

// Part is a piece of a prompt that other requests may share, with the pieces before it.
type Part struct {
	ID     string
	Tokens int
}

// Ask is what a choice depends on.
type Ask struct {
	Service catalog.Service
	Model   fleet.Model
	Adapter fleet.Adapter
	// Parts is the prompt in order; Prompt and Output are lengths in tokens.
	Parts  []Part
	Prompt int
	Output int
	Level  int
	// Target is the time to the first byte that is in time.
	Target time.Duration
	Place  fleet.Place
	// Exclude lists endpoints that were tried before.
	Exclude []fleet.Endpoint
}

// levels is how many ranks are told apart; less urgent ones count as the last.
const levels = 3

// Load is what requests in flight ask of an endpoint.
type Load struct {
	// Running counts requests that have not been answered whole.
	Running int
	// Pending is the time to read the prompts of those that have not been answered
	// at all, by rank.
	Pending [levels]time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	l.Running += other.Running
	for i, d := range other.Pending {
		l.Pending[i] += d
	}
	return l
}

// Before returns the time to read all prompts that are at least as urgent.
func (l Load) Before(level int) time.Duration {
	var d time.Duration
	for i := range min(level, levels-1) + 1 {
		d += l.Pending[i]
	}
	return d
}

func pending(level int, d time.Duration) Load {
	var l Load
	l.Pending[min(level, levels-1)] = d
	return l
}

// Costs weigh what delays a request.
type Costs struct {
	// Token is the time to read one prompt token.
	Token time.Duration
	// Request is what each running request adds.
	Request time.Duration
	// Region and DataCentre are added for an endpoint in another one.
	Region, DataCentre time.Duration
	// Adapter is the time to load an adapter that the endpoint lacks.
	Adapter time.Duration
	// Full is added for an endpoint without room for the request.
	Full time.Duration
	// Load is added while an endpoint loads a model.
	Load time.Duration
}

// DefaultCosts follow the sheets of the engines: 38 prompt tokens a millisecond,
// and some 20 ms between regions each way.
func DefaultCosts() Costs {
	return Costs{
		Token: 26 * time.Microsecond, Request: 2 * time.Millisecond,
		Region: 60 * time.Millisecond, DataCentre: 4 * time.Millisecond,
		Adapter: 60 * time.Millisecond, Full: time.Second, Load: 20 * time.Millisecond,
	}
}

// Board is what an instance knows of the load of endpoints. It is not safe for concurrent use.
type Board struct {
	costs  Costs
	own    map[fleet.Endpoint]Load
	uses   map[Use]int
	paces  map[fleet.Model]float64
	told   map[fleet.Model]int // answers that told a model's pace
	others map[fleet.Instance]news
	seen   map[fleet.Endpoint]*prompts
}

// Use is an adapter that requests in flight need at an endpoint.
type Use struct {
	Endpoint fleet.Endpoint
	Model    fleet.Model
	Adapter  fleet.Adapter
}

// news is what another instance gives.
type news struct {
	loads map[fleet.Endpoint]Load
	uses  []Use
}

// NewBoard returns a board without load.
func NewBoard() *Board {
	return &Board{
		costs:  DefaultCosts(),
		own:    make(map[fleet.Endpoint]Load),
		uses:   make(map[Use]int),
		paces:  make(map[fleet.Model]float64),
		told:   make(map[fleet.Model]int),
		others: make(map[fleet.Instance]news),
		seen:   make(map[fleet.Endpoint]*prompts),
	}
}

// Started notes a request that was sent; its prompt counts until Answered.
func (b *Board) Started(id fleet.Endpoint, a *Ask) time.Duration {
	reading := b.reading(a, max(0, a.Prompt-b.cached(id, a)))
	l := pending(a.Level, reading)
	l.Running = 1
	b.own[id] = b.own[id].Add(l)
	b.remember(id, a)
	if a.Adapter != "" {
		b.uses[Use{id, a.Model, a.Adapter}]++
	}
	return reading
}

// Answered notes that a request's prompt counts no more.
func (b *Board) Answered(id fleet.Endpoint, level int, reading time.Duration) {
	b.own[id] = b.own[id].Add(pending(level, -reading))
}

// reading is the time that a model takes to read prompt tokens.
func (b *Board) reading(a *Ask, tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(b.costs.Token) * b.Pace(a.Model))
}

// Pace is a model's time for a prompt token as a part of the cost that is set.
func (b *Board) Pace(m fleet.Model) float64 {
	if p, ok := b.paces[m]; ok {
		return p
	}
	return 1
}

const (
	// paceShare is the weight of one answer in a model's pace; the first few count more.
	paceShare = 0.05
	// leastPace and mostPace bound it: models of one size differ by some factor.
	leastPace, mostPace = 0.15, 2.0
	// leastTold is the shortest predicted wait whose outcome tells a pace.
	leastTold = 30 * time.Millisecond
)

// Measured notes how long a request waited for its first byte, and what was
// predicted for it, without what doesn't depend on the model.
func (b *Board) Measured(m fleet.Model, predicted, took time.Duration) {
	if m == "" || predicted < leastTold {
		return
	}
	p := b.Pace(m)
	seen := p * min(max(float64(took)/float64(predicted), 0.25), 4)
	b.told[m]++
	b.paces[m] = min(max(p+(seen-p)*max(paceShare, 1/float64(b.told[m])), leastPace), mostPace)
}

// Ended notes the end of a request.
func (b *Board) Ended(id fleet.Endpoint, a *Ask) {
	use := Use{id, a.Model, a.Adapter}
	if b.uses[use]--; b.uses[use] <= 0 {
		delete(b.uses, use)
	}
	l := b.own[id].Add(Load{Running: -1})
	if l == (Load{}) {
		delete(b.own, id)
		return
	}
	b.own[id] = l
}

// Own returns the load that this instance gives, by endpoint.
func (b *Board) Own() map[fleet.Endpoint]Load {
	own := make(map[fleet.Endpoint]Load, len(b.own))
	for id, l := range b.own {
		own[id] = l
	}
	return own
}

// Uses returns the adapters that requests from this instance need.
func (b *Board) Uses() []Use {
	all := make([]Use, 0, len(b.uses))
	for u := range b.uses {
		all = append(all, u)
	}
	return all
}

// Needed returns the adapters that requests in flight need at an endpoint.
func (b *Board) Needed(id fleet.Endpoint) []Use {
	var all []Use
	add := func(uses []Use) {
		for _, u := range uses {
			if u.Endpoint == id {
				all = append(all, u)
			}
		}
	}
	add(b.Uses())
	for _, n := range b.others {
		add(n.uses)
	}
	return all
}

// Told replaces what another instance gives.
func (b *Board) Told(from fleet.Instance, loads map[fleet.Endpoint]Load, uses []Use) {
	b.others[from] = news{loads: loads, uses: uses}
}

// Forget drops an instance that is gone.
func (b *Board) Forget(from fleet.Instance) { delete(b.others, from) }

// Load returns the load of an endpoint over all instances.
func (b *Board) Load(id fleet.Endpoint) Load {
	l := b.own[id]
	for _, other := range b.others {
		l = l.Add(other.loads[id])
	}
	return l
}

// Choice is an endpoint that a request may go to.
type Choice struct {
	Endpoint *roster.Endpoint
	// Adapter is set when the request's adapter must be loaded first.
	Adapter bool
	// Wait is the predicted time to the first byte, Reading the part of it that
	// depends on the model.
	Wait, Reading time.Duration
}

// Patience is the longest predicted wait with which a request is sent: its target. With
// more, a lasting flood makes all answers late, and callers leave before theirs.
func Patience(a *Ask) time.Duration {
	if a.Model == "" || a.Target <= 0 {
		return math.MaxInt64
	}
	return a.Target
}

// Lack says why no endpoint was chosen.
type Lack string

// The reasons.
const (
	// LackNone: one was chosen.
	LackNone Lack = ""
	// LackModel: none that may be tried has the model.
	LackModel Lack = "model"
	// LackAdapter: those that have the model can't be given the adapter now.
	LackAdapter Lack = "adapter"
)

// Choose returns the endpoint with the shortest predicted wait.
func (b *Board) Choose(now time.Time, a *Ask, group *catalog.Group, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region) (Choice, Lack) {
	best, found, lack := Choice{}, false, LackModel
	home := home(now, a, endpoints, regions)
	for pass := range 2 {
		for _, e := range endpoints {
			if !serves(now, e, a) || pass == 0 && e.Suspect(now) {
				continue
			}
			c, ok := b.weigh(now, e, a, group, regions)
			if !ok {
				lack = LackAdapter
				continue
			}
			if e.ID == home {
				c.Wait -= b.shared(a, e.ID)
			}
			if !found || c.Wait < best.Wait {
				best, found = c, true
			}
		}
		if found {
			return best, LackNone
		}
	}
	return best, lack
}

// serves reports whether an endpoint can take the request now or after its adapter was loaded.
func serves(now time.Time, e *roster.Endpoint, a *Ask) bool {
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

func (b *Board) weigh(now time.Time, e *roster.Endpoint, a *Ask, group *catalog.Group, regions map[fleet.DataCentre]fleet.Region) (Choice, bool) {
	load := b.Load(e.ID)
	c := Choice{Endpoint: e}
	c.Reading = load.Before(a.Level) + b.reading(a, max(0, a.Prompt-b.cached(e.ID, a)))
	c.Wait = time.Duration(load.Running)*b.costs.Request + c.Reading
	switch {
	case e.DataCentre == a.Place.DataCentre:
	case regions[e.DataCentre] == a.Place.Region:
		c.Wait += b.costs.DataCentre
	default:
		c.Wait += b.costs.Region
	}
	if load.Running >= e.Slots || e.Report.Total > 0 && e.Report.Used+a.Prompt > e.Report.Total {
		c.Wait += b.costs.Full
	}
	if a.Adapter != "" && !e.Serves(now, a.Model, a.Adapter) {
		if e.Report.Busy || group.Engine == nil {
			return c, false
		}
		c.Adapter = true
		c.Wait += b.costs.Adapter
	}
	return c, true
}

// home is the endpoint at which all instances of a region expect the shared start of a
// prompt: the one with the highest hash among those that hold the model, in the region
// if there are some, for bytes between regions are dear.
func home(now time.Time, a *Ask, endpoints []*roster.Endpoint, regions map[fleet.DataCentre]fleet.Region) fleet.Endpoint {
	if len(a.Parts) < 2 {
		return ""
	}
	start := string(a.Model) + "/" + string(a.Adapter) + "/" + a.Parts[len(a.Parts)-2].ID
	var best fleet.Endpoint
	var most uint64
	near := false
	for _, e := range endpoints {
		if !serves(now, e, a) {
			continue
		}
		here := regions[e.DataCentre] == a.Place.Region
		h := xxhash.Sum64String(start + "/" + string(e.ID))
		if best == "" || here && !near || here == near && h > most {
			best, most, near = e.ID, h, here
		}
	}
	return best
}

// shared is the time that the shared start of a prompt takes to read where it
// isn't known to be cached.
func (b *Board) shared(a *Ask, id fleet.Endpoint) time.Duration {
	tokens := 0
	for _, p := range a.Parts[:len(a.Parts)-1] {
		tokens += p.Tokens
	}
	return b.reading(a, max(0, tokens-b.cached(id, a)))
}
