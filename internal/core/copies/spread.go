package copies

import (
	"math"
	"slices"
)

// levelRounds is how often the demand of all models is levelled in turn until it is spread.
const levelRounds = 4

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

// excess returns how much of a model's demand is beyond the capacity of the endpoints that have it.
func (s *spread) excess(model int) float64 {
	sum := 0.0
	for i, e := range s.copies[model] {
		if s.load[e] > s.capacity {
			sum += s.share[model][i] * (1 - s.capacity/s.load[e])
		}
	}
	return sum
}

// room returns the capacity that is left at an endpoint.
func (s *spread) room(endpoint int) float64 { return max(0, s.capacity-s.load[endpoint]) }

// roomElsewhere returns the capacity that is left at a model's other endpoints.
func (s *spread) roomElsewhere(model, endpoint int) float64 {
	sum := 0.0
	for _, e := range s.copies[model] {
		if e != endpoint {
			sum += s.room(e)
		}
	}
	return sum
}
