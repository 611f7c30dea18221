package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// request is one request of a caller. All simulations share it, so it is
// read-only once generated.
type request struct {
	id      int
	class   *Class
	model   int
	adapter int
	// prefixGroup identifies the requests that share a prompt prefix.
	prefixGroup  int
	promptTokens int
	prefixTokens int
	answerTokens int
	arrived      time.Duration
	place        fleet.Place
	// poison makes each engine that runs the request crash.
	poison bool
}

// firstTokenDeadline returns when the first token is due.
func (r *request) firstTokenDeadline() time.Duration { return r.arrived + r.class.FirstTokenTarget }

// work returns the accelerator time of the request in full batches, in seconds.
func (r *request) work() float64 {
	return batchedWork(r.promptTokens-r.prefixTokens, r.answerTokens)
}

// ordinaryUtilization is the share of the fleet's capacity that is used on an ordinary day.
const ordinaryUtilization = 0.35

// baseRate returns the request rate of an ordinary day, in requests per second.
func (d *Deployment) baseRate() float64 {
	return ordinaryUtilization * float64(d.Accelerators()) / d.meanWork()
}

// arrivals generates all requests of a scene as a Poisson process, sorted by arrival.
func arrivals(d *Deployment, s *Scene, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 77))
	var all []*request
	for now := time.Duration(0); now < s.Length; now += rateInterval {
		models := newModelPicker(d, s, now)
		for i := range d.Classes {
			rate := d.baseRate() * d.Classes[i].Share * s.rateFactor(&d.Classes[i], now)
			count := poisson(random, rate*rateInterval.Seconds())
			for range count {
				at := now + time.Duration(random.Int64N(int64(rateInterval)))
				all = append(all, newRequest(random, d, &d.Classes[i], models, at))
			}
		}
	}
	if s.PoisonRequest {
		all = append(all, poisonRequests(random, d, s)...)
	}
	sortByArrival(all)
	for i, r := range all {
		r.id = i
	}
	return all
}

// rateInterval is the interval within which arrival rates are treated as constant.
const rateInterval = time.Second

// poisson draws from a Poisson distribution, by a normal approximation for means above 50.
func poisson(random *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(int(mean+math.Sqrt(mean)*random.NormFloat64()+0.5), 0)
	}
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

// modelPicker draws models at random, weighted by their popularity at one time.
type modelPicker struct {
	cumulative []float64
}

func newModelPicker(d *Deployment, s *Scene, now time.Duration) *modelPicker {
	p := &modelPicker{cumulative: make([]float64, d.Models)}
	sum := 0.0
	for i := range d.Models {
		sum += d.popularity(i) * s.modelFactor(i, now)
		p.cumulative[i] = sum
	}
	return p
}

func (p *modelPicker) pick(random *rand.Rand) int {
	x := random.Float64() * p.cumulative[len(p.cumulative)-1]
	for i, sum := range p.cumulative {
		if x < sum {
			return i
		}
	}
	return len(p.cumulative) - 1
}

func newRequest(random *rand.Rand, d *Deployment, c *Class, models *modelPicker, at time.Duration) *request {
	model := models.pick(random)
	classOffset := int(c.Profile[0]) + int(c.Profile[len(c.Profile)-1])
	prefixGroup := (classOffset*d.Models+model)*64 + random.IntN(c.Groups)
	uniqueTokens := max(c.Prompt-c.Prefix, 1)
	return &request{
		class:        c,
		model:        model,
		adapter:      model*1000 + random.IntN(max(d.Adapters/d.Models, 1)+1),
		prefixGroup:  prefixGroup,
		prefixTokens: c.Prefix,
		promptTokens: c.Prefix + randomLength(random, uniqueTokens),
		answerTokens: randomLength(random, c.Tokens),
		arrived:      at,
		place:        d.Centres[random.IntN(len(d.Centres))].Place,
	}
}

// randomLength draws a length from a log-normal distribution with the given
// mean, clamped to between 2 and 4*mean+2.
func randomLength(random *rand.Rand, mean int) int {
	const sigma = 0.5
	x := float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return min(max(int(x), 2), 4*mean+2)
}

// poisonInterval is the interval at which a caller sends the poison request again.
const poisonInterval = 20 * time.Second

// poisonRequests generates the poison requests of a scene. They share one
// fingerprint and arrive in its middle half.
func poisonRequests(random *rand.Rand, d *Deployment, s *Scene) []*request {
	var out []*request
	for at := s.Length / 4; at < s.Length*3/4; at += poisonInterval {
		r := newRequest(random, d, &d.Classes[0], newModelPicker(d, s, at), at)
		r.model, r.poison, r.prefixGroup = 0, true, -1
		out = append(out, r)
	}
	return out
}
