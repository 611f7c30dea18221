package copies

import (
	"math"
	"slices"
)

const (
	// levelRounds is how often the demand of all models is levelled in turn until it is spread.
	levelRounds = 4
	// freeShare is the share of an endpoint's capacity up to which its callers lose nothing. From
	// there on the loss of a further token rises, to a whole one at freeShare + fullShare.
	freeShare, fullShare = 0.75, 1.5
)

// spread is how the demand of models falls on their copies, where the models of one endpoint share
// its capacity: requests go where least is ahead of them, so each model's demand levels the load of
// its endpoints. Models and endpoints are numbered.
type spread struct {
	capacity float64   // of an endpoint
	demand   []float64 // by model
	copies   [][]int   // endpoints, by model
	share    [][]float64
	load     []float64 // by endpoint
}

func newSpread(demand []float64, endpoints int, capacity float64) *spread {
	return &spread{
		capacity: capacity, demand: demand, copies: make([][]int, len(demand)),
		share: make([][]float64, len(demand)), load: make([]float64, endpoints),
	}
}

// add gives a model a copy that takes none of its demand yet, remove takes one away.
func (s *spread) add(model, endpoint int) {
	if !slices.Contains(s.copies[model], endpoint) {
		s.copies[model], s.share[model] = append(s.copies[model], endpoint), append(s.share[model], 0)
	}
}

func (s *spread) remove(model, endpoint int) {
	i := slices.Index(s.copies[model], endpoint)
	if i < 0 {
		return
	}
	s.load[endpoint] -= s.share[model][i]
	s.copies[model] = slices.Delete(s.copies[model], i, i+1)
	s.share[model] = slices.Delete(s.share[model], i, i+1)
}

// levelAll spreads the demand of all models.
func (s *spread) levelAll() {
	for range levelRounds {
		for m := range s.demand {
			s.level(m)
		}
	}
}

// level spreads a model's demand over its copies, so that the endpoints which take part of it are
// loaded alike.
func (s *spread) level(model int) {
	endpoints, share := s.copies[model], s.share[model]
	if len(endpoints) == 0 {
		return
	}
	others := make([]float64, len(endpoints))
	for i, e := range endpoints {
		s.load[e] -= share[i]
		others[i] = s.load[e]
	}
	slices.Sort(others)
	level, sum := math.Inf(1), 0.0
	for i, o := range others {
		if o >= level {
			break
		}
		sum += o
		level = (s.demand[model] + sum) / float64(i+1)
	}
	for i, e := range endpoints {
		share[i] = max(0, level-s.load[e])
		s.load[e] += share[i]
	}
}

// shareAt returns how much of a model's demand an endpoint takes.
func (s *spread) shareAt(model, endpoint int) float64 {
	if i := slices.Index(s.copies[model], endpoint); i >= 0 {
		return s.share[model][i]
	}
	return 0
}

// cost returns what callers lose per second to the load of an endpoint: it grows with the square of
// what goes beyond the part of the capacity that is served without waiting.
func (s *spread) cost(load float64) float64 {
	over := max(0, load-freeShare*s.capacity)
	return over * over / (2 * fullShare * s.capacity)
}

// loss returns the part of that cost which falls on a model's demand.
func (s *spread) loss(model int) float64 {
	sum := 0.0
	for i, e := range s.copies[model] {
		if s.load[e] > 0 {
			sum += s.cost(s.load[e]) * s.share[model][i] / s.load[e]
		}
	}
	return sum
}

// levelOf returns the load of the endpoints that take a model's demand, and their number.
func (s *spread) levelOf(model int) (level float64, endpoints int) {
	for i, e := range s.copies[model] {
		if s.share[model][i] > 0 {
			level, endpoints = max(level, s.load[e]), endpoints+1
		}
	}
	return level, endpoints
}

// relief returns what a further copy of a model saves at an endpoint that has a load already.
func (s *spread) relief(model int, load float64) float64 {
	level, n := s.levelOf(model)
	if load >= level {
		return 0
	}
	after := (float64(n)*level + load) / float64(n+1)
	return float64(n)*s.cost(level) + s.cost(load) - float64(n+1)*s.cost(after)
}

// evictionCost returns what the loss of a model's copy at an endpoint costs: its demand goes to the
// other copies, and the endpoint has less load.
func (s *spread) evictionCost(model, endpoint int) float64 {
	share := s.shareAt(model, endpoint)
	if share == 0 {
		return 0
	}
	level, n := s.levelOf(model)
	if n < 2 {
		level, n = s.leastElsewhere(model, endpoint), 2
	}
	after := level + share/float64(n-1)
	return max(0, float64(n-1)*(s.cost(after)-s.cost(level))-s.cost(s.load[endpoint])+s.cost(s.load[endpoint]-share))
}

// leastElsewhere returns the least load of a model's other endpoints.
func (s *spread) leastElsewhere(model, endpoint int) float64 {
	least := math.Inf(1)
	for _, e := range s.copies[model] {
		if e != endpoint {
			least = min(least, s.load[e])
		}
	}
	return least
}
