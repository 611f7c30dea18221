package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// request is one request of a caller. It is shared by all runs and never changed.
type request struct {
	id      int
	class   *Class
	model   int
	adapter int
	// prefixGroup names what shares the prefix.
	prefixGroup  int
	promptTokens int
	prefixTokens int
	answerTokens int
	arrived      time.Duration
	place        fleet.Place
	// poison makes the engine die that runs it.
	poison bool
}

// firstTokenDeadline is when the first token is due.
func (r *request) firstTokenDeadline() time.Duration { return r.arrived + r.class.FirstTokenTarget }

// work is the accelerator time of the request in full batches, in seconds.
func (r *request) work() float64 {
	return batchedWork(r.promptTokens-r.prefixTokens, r.answerTokens)
}

// ordinaryUtilization is the part of the fleet's capacity that an ordinary day keeps busy.
const ordinaryUtilization = 0.35

// baseRate returns the requests a second of an ordinary day.
func (d *Deployment) baseRate() float64 {
	return ordinaryUtilization * float64(d.Accelerators()) / d.meanWork()
}

// arrivals draws all requests of a scene.
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

// rateInterval is the time for which rates are taken as steady.
const rateInterval = time.Second

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

// modelPicker draws models by their popularity at a moment.
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

// randomLength draws a length with the given mean and a long tail, within bounds.
func randomLength(random *rand.Rand, mean int) int {
	const sigma = 0.5
	x := float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return min(max(int(x), 2), 4*mean+2)
}

// poisonInterval is how often a caller sends the request that kills engines again.
const poisonInterval = 20 * time.Second

func poisonRequests(random *rand.Rand, d *Deployment, s *Scene) []*request {
	var out []*request
	for at := s.Length / 4; at < s.Length*3/4; at += poisonInterval {
		r := newRequest(random, d, &d.Classes[0], newModelPicker(d, s, at), at)
		r.model, r.poison, r.prefixGroup = 0, true, -1
		out = append(out, r)
	}
	return out
}
