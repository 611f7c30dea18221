package balance

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// slownessRetention is how long an answer counts. An endpoint's speed changes within seconds.
	slownessRetention = 2 * time.Second
	// slownessFade is the age from which on the newest answer counts less and less.
	slownessFade = time.Second
	// recentAnswers is how many of the newest answers of an endpoint count; minAnswers is how many
	// it takes, since any single one may be slow.
	recentAnswers, minAnswers = 5, 3
	// typicalAnswer is the position of the one that counts among these, the fastest first. The time
	// of a prompt is hard to predict, by its cached parts and the batch it comes into; where nearly all
	// answers are slow it is the endpoint.
	typicalAnswer = 1
	// minDeviation and minLate are how far an answer must be off to be sent to other instances.
	minDeviation, minLate = 0.2, 50 * time.Millisecond
	// maxSlowness bounds the factor: an endpoint that takes longer is one that fails.
	maxSlowness = 6.0
	// usualAnswers is how many answers of this instance define the usual speed of a service,
	// minUsualAnswers how many it takes. They are at least usualInterval apart, for an endpoint that
	// gets most requests of an instance must not define what is usual once it turns slow.
	usualAnswers, minUsualAnswers = 71, 5
	usualInterval                 = 100 * time.Millisecond
)

// Answer is what an answer shows of its endpoint.
type Answer struct {
	// Ratio is how long it took in proportion to the usual endpoint, Late how much longer than
	// expected of this one, negative if it came early.
	Ratio float64
	Late  time.Duration
	At    time.Time
}

// Slowness measures how much longer endpoints take than the usual one. It answers endpoints that
// differ in speed or turn slow for seconds. Each instance of hundreds sees few answers of one
// endpoint, so they are recorded together by the instance that admits its requests.
//
// Single slow answers change nothing: the second fastest of the last few counts. Ratios are relative to
// what an instance sees at all endpoints, so its own delays don't count. An endpoint never counts as
// faster than usual: one that answers fast may fail. It is not safe for concurrent use.
type Slowness struct {
	usual   map[catalog.Service]*usual
	answers map[fleet.Endpoint][]Answer
}

// NewSlowness returns the state before any answer: all endpoints are alike.
func NewSlowness() *Slowness {
	return &Slowness{usual: make(map[catalog.Service]*usual), answers: make(map[fleet.Endpoint][]Answer)}
}

// Measure returns what an answer shows that this instance got after a time, where another was
// expected of an endpoint with some slowness. ok is false while too few answers of the service are
// known to compare it with.
func (s *Slowness) Measure(now time.Time, service catalog.Service, took, expected time.Duration, slowness float64) (a Answer, ok bool) {
	u := s.usual[service]
	if u == nil {
		u = new(usual)
		s.usual[service] = u
	}
	ratio := slowness * float64(took) / float64(expected)
	u.add(now, ratio)
	median := median(u.ratios)
	a = Answer{Ratio: min(ratio/median, maxSlowness), Late: took - time.Duration(median*float64(expected)), At: now}
	return a, len(u.ratios) >= minUsualAnswers
}

// usual are the ratios of a service's answers.
type usual struct {
	ratios  []float64
	addedAt time.Time
}

func (u *usual) add(now time.Time, ratio float64) {
	if len(u.ratios) >= minUsualAnswers && now.Sub(u.addedAt) < usualInterval {
		return
	}
	u.ratios, u.addedAt = append(u.ratios, ratio), now
	u.ratios = u.ratios[max(0, len(u.ratios)-usualAnswers):]
}

// Remarkable reports whether an answer of an endpoint with some slowness shows anything new.
func (a Answer) Remarkable(slowness float64) bool {
	return a.Ratio > 1+minDeviation || slowness > 1+minDeviation || a.Late > minLate || a.Late < -minLate
}

// Record records an answer of an endpoint.
func (s *Slowness) Record(id fleet.Endpoint, a Answer) {
	answers := append(slices.Clone(s.answers[id]), a)
	slices.SortStableFunc(answers, func(x, y Answer) int { return x.At.Compare(y.At) })
	s.answers[id] = answers[max(0, len(answers)-recentAnswers):]
}

// Of returns how much longer an endpoint takes than the usual one, 1 if that is not known.
func (s *Slowness) Of(now time.Time, id fleet.Endpoint) float64 {
	var ratios []float64
	newest := slownessRetention
	for _, a := range s.answers[id] {
		if age := now.Sub(a.At); age < slownessRetention {
			ratios, newest = append(ratios, a.Ratio), age
		}
	}
	if len(ratios) < minAnswers {
		return 1
	}
	faded := float64(max(0, newest-slownessFade)) / float64(slownessRetention-slownessFade)
	slices.Sort(ratios)
	return 1 + max(0, ratios[min(len(ratios)-1, typicalAnswer)]-1)*(1-faded)
}

// IsSlow reports whether an endpoint takes much longer than the usual one.
func (s *Slowness) IsSlow(now time.Time, id fleet.Endpoint) bool {
	return s.Of(now, id) > 1+minDeviation
}

// Slow returns the endpoints whose slowness is above a minimum.
func (s *Slowness) Slow(now time.Time, minimum float64) []fleet.Endpoint {
	var slow []fleet.Endpoint
	for id := range s.answers {
		if s.Of(now, id) > minimum {
			slow = append(slow, id)
		}
	}
	return slow
}

// Forget drops the answers of an endpoint, for example after its restart.
func (s *Slowness) Forget(id fleet.Endpoint) { delete(s.answers, id) }

// Expire drops the answers that don't count any more.
func (s *Slowness) Expire(now time.Time) {
	for id, answers := range s.answers {
		if now.Sub(answers[len(answers)-1].At) >= slownessRetention {
			delete(s.answers, id)
		}
	}
}

// median returns the median of values, the lower of two.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
