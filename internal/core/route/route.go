// Package route chooses the endpoint that a request is sent to.
//
// It has no clock and no goroutine: the time and the candidates are passed in, and the
// index of the chosen candidate is returned.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Candidate is the recorded state of an endpoint that could serve a request.
type Candidate struct {
	Endpoint fleet.Endpoint
	Place    fleet.Place
	// Running and Queued come from the newest report.
	Running int
	Queued  int
	// Wait is the reported queueing time before a request starts.
	Wait time.Duration
	// Unreported counts the requests sent there that the report does not yet contain.
	Unreported int
	// OtherModels counts the other active models there; each slows all answers.
	OtherModels int
	// AdapterLoaded is set when the endpoint has the adapter loaded.
	AdapterLoaded bool
	// AdapterLoads counts the adapter loads in flight.
	AdapterLoads int
	// CachedTokens is the approximate length of the prompt's prefix that the endpoint has cached.
	CachedTokens int
	// Leaving and Suspect endpoints get no new requests.
	Leaving bool
	Suspect bool
	// ModelLoaded is set when the endpoint has the model loaded.
	ModelLoaded bool
}

// Request has the properties of a request that a choice depends on.
type Request struct {
	Model   fleet.Model
	Adapter fleet.Adapter
	Rank    fleet.Rank
	// Place is where the request was received.
	Place fleet.Place
	// PromptTokens and AnswerTokens are the lengths of the prompt and the expected answer.
	PromptTokens int
	AnswerTokens int
	// Exclude lists endpoints that have been tried already.
	Exclude []fleet.Endpoint
}

// Router chooses endpoints. It is not safe for concurrent use.
type Router struct {
	costs  Costs
	link   link
	seed   uint64
	random *rand.Rand

	// State of the current choice.
	now                time.Time
	request            Request
	crossRegionAllowed bool
	fullPrefill        time.Duration // for the complete prompt
	best               time.Duration
	scores             []time.Duration
}

// excluded is the score of a candidate that must not be chosen.
const excluded = time.Duration(1<<63 - 1)

// New returns a Router.
func New(opts ...Option) *Router {
	r := &Router{costs: DefaultCosts()}
	for _, opt := range opts {
		opt(r)
	}
	r.random = rand.New(rand.NewPCG(r.seed, r.seed+1))
	return r
}

// Choose returns the index of the candidate with the shortest predicted time to
// first token, at random among near-equal ones. It returns false when no candidate
// is eligible.
func (r *Router) Choose(now time.Time, req Request, candidates []Candidate) (index int, ok bool) {
	r.Begin(now, &req)
	for i := range candidates {
		r.Add(&candidates[i])
	}
	index, ok = r.Pick()
	if ok {
		r.ChargeLink(candidates[index].Place)
	}
	return index, ok
}

// Begin starts a choice whose candidates are added one by one, so that the caller
// need not collect them in a slice.
func (r *Router) Begin(now time.Time, req *Request) {
	r.now, r.request = now, *req
	r.crossRegionAllowed = r.link.allows(now, req)
	r.fullPrefill = r.costs.prefill(req.PromptTokens)
	r.best = excluded
	r.scores = r.scores[:0]
}

// Add adds a candidate to the current choice.
func (r *Router) Add(c *Candidate) {
	score := r.score(c)
	r.scores = append(r.scores, score)
	r.best = min(r.best, score)
}

// SetCached sets the number of cached prompt tokens of the candidate at an index,
// which was added with none.
func (r *Router) SetCached(index, tokens int) {
	if r.scores[index] == excluded {
		return
	}
	r.scores[index] += r.prefillTime(tokens) - r.fullPrefill
	r.best = min(r.best, r.scores[index])
}

// Pick ends the current choice. The index counts the candidates in the order in
// which they were added.
func (r *Router) Pick() (index int, ok bool) {
	if r.best == excluded {
		return 0, false
	}
	return r.pickUpTo(r.best + max(r.costs.Tie, r.best/tieDivisor)), true
}

// ChargeLink charges the request of the last choice to the budget of the link between
// regions, if the place is in another region.
func (r *Router) ChargeLink(to fleet.Place) {
	r.link.charge(r.now, &r.request, to)
}

// tieDivisor divides the best score to give the margin within which candidates count as equal.
const tieDivisor = 20

// pickUpTo returns a uniformly random one of the candidates whose score is at most limit.
func (r *Router) pickUpTo(limit time.Duration) int {
	index, count := 0, 0
	for i, score := range r.scores {
		if score > limit {
			continue
		}
		count++
		if count == 1 || r.random.IntN(count) == 0 {
			index = i
		}
	}
	return index
}

// score predicts the time to first token on a candidate.
func (r *Router) score(c *Candidate) time.Duration {
	if c.Leaving || c.Suspect || !c.ModelLoaded {
		return excluded
	}
	if len(r.request.Exclude) > 0 && slices.Contains(r.request.Exclude, c.Endpoint) {
		return excluded
	}
	delay, crossRegion := r.roundTrip(&r.request.Place, &c.Place)
	if crossRegion && !r.crossRegionAllowed {
		return excluded
	}
	score := delay + c.Wait
	score += time.Duration(c.Unreported) * r.costs.Unreported
	score += time.Duration(c.Running+c.Queued) * r.costs.Running
	score += time.Duration(c.OtherModels) * r.costs.OtherModel
	score += r.prefillTime(c.CachedTokens)
	if r.request.Adapter != "" && !c.AdapterLoaded {
		score += r.costs.adapterLoad(c.AdapterLoads)
	}
	return score
}

// prefillTime predicts the prefill time of the part of the prompt that is not cached.
func (r *Router) prefillTime(cached int) time.Duration {
	if cached == 0 {
		return r.fullPrefill
	}
	return r.costs.prefill(max(r.request.PromptTokens-cached, 0))
}

// roundTrip returns the round-trip time to a place, and whether it is in another region.
func (r *Router) roundTrip(from, to *fleet.Place) (delay time.Duration, crossRegion bool) {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0, false
	case from.Region == to.Region:
		return r.costs.DataCentre, false
	default:
		return r.costs.Region, true
	}
}
