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
	// group names what shares the prefix.
	group   int
	prompt  int
	prefix  int
	tokens  int
	arrived time.Duration
	place   fleet.Place
	// killer makes the engine die that runs it.
	killer bool
}

// due is when the first token is due.
func (r *request) due() time.Duration { return r.arrived + r.class.First }

// work is the accelerator time of the request in full batches, in seconds.
func (r *request) work() float64 {
	return workOf(r.prompt-r.prefix, r.tokens)
}

// ordinaryLoad is the part of the fleet's capacity that an ordinary day keeps busy.
const ordinaryLoad = 0.35

// baseRate returns the requests a second of an ordinary day.
func (d *Deployment) baseRate() float64 {
	return ordinaryLoad * float64(d.Accelerators()) / d.meanWork()
}

// arrivals draws all requests of a scene.
func arrivals(d *Deployment, s *Scene, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 77))
	var all []*request
	for now := time.Duration(0); now < s.Length; now += slice {
		model := newPicker(d, s, now)
		for i := range d.Classes {
			rate := d.baseRate() * d.Classes[i].Share * s.load(&d.Classes[i], now)
			count := poisson(random, rate*slice.Seconds())
			for range count {
				at := now + time.Duration(random.Int64N(int64(slice)))
				all = append(all, draw(random, d, &d.Classes[i], model, at))
			}
		}
	}
	if s.Killer {
		all = append(all, killers(random, d, s)...)
	}
	sortByArrival(all)
	for i, r := range all {
		r.id = i
	}
	return all
}

// slice is the time for which rates are taken as steady.
const slice = time.Second

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

// picker draws models by their popularity at a moment.
type picker struct {
	sums []float64
}

func newPicker(d *Deployment, s *Scene, now time.Duration) *picker {
	p := &picker{sums: make([]float64, d.Models)}
	sum := 0.0
	for i := range d.Models {
		sum += d.popularity(i) * s.shift(i, now)
		p.sums[i] = sum
	}
	return p
}

func (p *picker) draw(random *rand.Rand) int {
	x := random.Float64() * p.sums[len(p.sums)-1]
	for i, sum := range p.sums {
		if x < sum {
			return i
		}
	}
	return len(p.sums) - 1
}

func draw(random *rand.Rand, d *Deployment, c *Class, models *picker, at time.Duration) *request {
	model := models.draw(random)
	classOffset := int(c.Profile[0]) + int(c.Profile[len(c.Profile)-1])
	group := (classOffset*d.Models+model)*64 + random.IntN(c.Groups)
	own := max(c.Prompt-c.Prefix, 1)
	return &request{
		class:   c,
		model:   model,
		adapter: model*1000 + random.IntN(max(d.Adapters/d.Models, 1)+1),
		group:   group,
		prefix:  c.Prefix,
		prompt:  c.Prefix + length(random, own),
		tokens:  length(random, c.Tokens),
		arrived: at,
		place:   d.Centres[random.IntN(len(d.Centres))].Place,
	}
}

// length draws a length with the given mean and a long tail, within bounds.
func length(random *rand.Rand, mean int) int {
	const sigma = 0.5
	x := float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return min(max(int(x), 2), 4*mean+2)
}

// killerEvery is how often a caller sends the request that kills engines again.
const killerEvery = 20 * time.Second

func killers(random *rand.Rand, d *Deployment, s *Scene) []*request {
	var out []*request
	for at := s.Length / 4; at < s.Length*3/4; at += killerEvery {
		r := draw(random, d, &d.Classes[0], newPicker(d, s, at), at)
		r.model, r.killer, r.group = 0, true, -1
		out = append(out, r)
	}
	return out
}
