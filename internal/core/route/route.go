// Package route chooses the endpoint that a request goes to.
//
// It has no clock and no goroutine: candidates go in, an index comes out.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Candidate is what is known of an endpoint that could serve a request.
type Candidate struct {
	Endpoint fleet.Endpoint
	Place    fleet.Place
	// Running and Queued come from the newest report.
	Running int
	Queued  int
	// Wait is the reported wait before a request starts.
	Wait time.Duration
	// Own counts the requests sent here that the report does not yet contain.
	Own int
	// Models counts the other models at work there; each slows all answers.
	Models int
	// Adapter is set when the endpoint has the adapter loaded.
	Adapter bool
	// Adapters counts the adapter loads in flight.
	Adapters int
	// Prefix is the length of the prompt that the endpoint has cached, in tokens, approximately.
	Prefix int
	// Leaving and Suspect endpoints get nothing new.
	Leaving bool
	Suspect bool
	// Loaded is set when the endpoint serves the model.
	Loaded bool
}

// Request is what a choice depends on.
type Request struct {
	Model   fleet.Model
	Adapter fleet.Adapter
	Rank    fleet.Rank
	// Place is where the request entered.
	Place fleet.Place
	// Prompt and Tokens are lengths in tokens.
	Prompt int
	Tokens int
	// Exclude lists endpoints that were tried before.
	Exclude []fleet.Endpoint
}

// Router chooses endpoints. It is not safe for concurrent use.
type Router struct {
	costs  Costs
	link   link
	seed   uint64
	random *rand.Rand
	scores []time.Duration
}

// never is the score of a candidate that must not be chosen.
const never = time.Duration(1<<63 - 1)

// New returns a Router.
func New(opts ...Option) *Router {
	r := &Router{costs: DefaultCosts()}
	for _, opt := range opts {
		opt(r)
	}
	r.random = rand.New(rand.NewPCG(r.seed, r.seed+1))
	return r
}

// Choose returns the index of the candidate with the shortest predicted time
// to first token, one of the near-equal ones at random; false when none may serve.
func (r *Router) Choose(now time.Time, req Request, candidates []Candidate) (index int, ok bool) {
	best := r.scoreAll(now, &req, candidates)
	if best == never {
		return 0, false
	}
	index = r.draw(best + max(r.costs.Tie, best/tieShare))
	r.link.charge(now, &req, candidates[index].Place)
	return index, true
}

// tieShare divides the best score to give the spread within which candidates count as equal.
const tieShare = 20

func (r *Router) scoreAll(now time.Time, req *Request, candidates []Candidate) time.Duration {
	r.scores = r.scores[:0]
	best := never
	cross := r.link.allows(now, req)
	for i := range candidates {
		score := r.score(req, &candidates[i], cross)
		r.scores = append(r.scores, score)
		best = min(best, score)
	}
	return best
}

// draw returns one of the candidates that score at most limit, each equally likely.
func (r *Router) draw(limit time.Duration) int {
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
func (r *Router) score(req *Request, c *Candidate, cross bool) time.Duration {
	if c.Leaving || c.Suspect || !c.Loaded || excluded(req.Exclude, c.Endpoint) {
		return never
	}
	hop, far := r.hop(req.Place, c.Place)
	if far && !cross {
		return never
	}
	score := hop + c.Wait
	score += time.Duration(c.Own) * r.costs.Own
	score += time.Duration(c.Running+c.Queued) * r.costs.Running
	score += time.Duration(c.Models) * r.costs.Model
	score += r.costs.prefill(max(req.Prompt-c.Prefix, 0))
	if req.Adapter != "" && !c.Adapter {
		score += r.costs.adapter(c.Adapters)
	}
	return score
}

// hop returns the time to a place and back, and whether the way crosses regions.
func (r *Router) hop(from, to fleet.Place) (delay time.Duration, far bool) {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0, false
	case from.Region == to.Region:
		return r.costs.Centre, false
	default:
		return r.costs.Region, true
	}
}

func excluded(list []fleet.Endpoint, e fleet.Endpoint) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}
