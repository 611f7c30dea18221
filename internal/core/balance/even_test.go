package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/pace"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// chooser is a way to choose an endpoint.
type chooser string

const (
	bySums    chooser = "sums"    // the least of the sums of all instances' loads
	byReports chooser = "reports" // drawn by what owners report
	byTruth   chooser = "truth"   // the least of what is true at the moment
)

const (
	tick          = time.Millisecond
	played        = 8 * time.Second
	evenEndpoints = 90
	copies        = 15 // of a model
	evenTarget    = 800 * time.Millisecond
	admissionWay  = 5 * time.Millisecond
	evenTries     = 4
)

// load is a load on a fleet.
type load struct {
	instances int
	// age is how far apart the heartbeats are that one instance gets from another.
	age time.Duration
	// mean is the work in proportion to what the endpoints do, in the mean of a wave.
	mean float64
	// together is set if requests arrive in groups, all in one millisecond.
	together time.Duration
	// slower has a third of the endpoints 1.3 times slower, turning 17 in 100 of them 3.5 times
	// slower for 6 s. Noise is the deviation of the logarithm of how long a prompt takes.
	slower, turning bool
	noise           float64
}

// evenFigures are what a load has led to.
type evenFigures struct {
	inTime, asked, refused, refusedBesideIdle int
	variation, idle                           float64
	p50, p99                                  time.Duration
}

func (f evenFigures) inTimeShare() float64 { return float64(f.inTime) / float64(f.asked) }

func (f evenFigures) String() string {
	return fmt.Sprintf("in time %.3f, variation %.2f, idle %.2f, refused %.3f, beside idle %.3f, wait %d and %d ms", f.inTimeShare(),
		f.variation, f.idle, float64(f.refused)/float64(f.asked), float64(f.refusedBesideIdle)/float64(f.asked), f.p50.Milliseconds(), f.p99.Milliseconds())
}

// evenEngine is an endpoint that reads prompts one after the other.
type evenEngine struct {
	busyUntil time.Time
	schedule  pace.Schedule
	delay     backlog.Delay
	waiting   []time.Time // the ends of the prompts that wait or are read
}

// evenSent is a request on its way to the owner of an endpoint.
type evenSent struct {
	arrived, sent time.Time
	from, to      int
	request       *balance.Request
	tries         int
	prefill       time.Duration
	slowness      float64
	expected      time.Duration // from its admission to its answer
	delay         time.Duration // of the endpoint, at its admission
}

type evenInstance struct {
	balancer *balance.Balancer
	table    *backlog.Table
	slowness *balance.Slowness
}

// evenFleet plays a load.
type evenFleet struct {
	load
	chooser   chooser
	random    *rand.Rand
	now       time.Time
	endpoints []*roster.Endpoint
	index     map[fleet.Endpoint]int
	engines   []evenEngine
	instances []evenInstance
	loads     []balance.Load // of all instances
	sent      []evenSent
	ends      []func() bool
	reported  []func() bool // answers on their way to the owners
	figures   evenFigures
	waits     []time.Duration
	samples   int
}

func play(l load, c chooser, seed uint64) evenFigures {
	f := &evenFleet{load: l, chooser: c, random: rand.New(rand.NewPCG(seed, 7)), now: start, index: make(map[fleet.Endpoint]int)}
	for i := range evenEndpoints {
		e := endpoint(fleet.Endpoint(fmt.Sprintf("e%02d", i)), "a")
		e.Models[0].Model = fleet.Model(fmt.Sprint(i / copies))
		f.endpoints, f.index[e.ID] = append(f.endpoints, e), i
	}
	f.engines, f.loads = make([]evenEngine, evenEndpoints), make([]balance.Load, evenEndpoints)
	for range l.instances {
		f.instances = append(f.instances, evenInstance{balance.NewBalancer(), backlog.NewTable(), balance.NewSlowness()})
	}
	for ; f.now.Before(start.Add(played)); f.now = f.now.Add(tick) {
		f.step()
	}
	slices.Sort(f.waits)
	f.figures.p50, f.figures.p99 = f.waits[len(f.waits)/2], f.waits[len(f.waits)*99/100]
	f.figures.variation /= float64(f.samples)
	f.figures.idle /= float64(f.samples)
	return f.figures
}

func (f *evenFleet) step() {
	f.ends = slices.DeleteFunc(f.ends, func(ended func() bool) bool { return ended() })
	f.reported = slices.DeleteFunc(f.reported, func(told func() bool) bool { return told() })
	f.sendHeartbeats()
	for len(f.sent) > 0 && !f.now.Before(f.sent[0].sent.Add(admissionWay)) {
		s := f.sent[0]
		f.sent = f.sent[1:]
		f.admit(&s)
	}
	elapsed := f.now.Sub(start)
	if elapsed%max(f.together, tick) == 0 {
		wave := 1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/5)
		perSecond := f.mean * wave * evenEndpoints / meanPrefill.Seconds()
		for range f.poisson(perSecond * max(f.together, tick).Seconds()) {
			tokens := int(min(9000, float64(meanPrefill/(26*time.Microsecond))*math.Exp(0.6*f.random.NormFloat64()-0.18)))
			a := &balance.Request{Service: "s", Model: fleet.Model(fmt.Sprint(f.random.IntN(evenEndpoints / copies))), PromptTokens: tokens, Place: here, Target: evenTarget}
			f.figures.asked++
			f.send(&evenSent{arrived: f.now, from: f.random.IntN(len(f.instances)), request: a})
		}
	}
	if elapsed%(50*time.Millisecond) == 0 {
		f.sample()
	}
}

const meanPrefill = 120 * time.Millisecond

func (f *evenFleet) poisson(mean float64) int {
	n := 0
	for p := f.random.Float64(); p > math.Exp(-mean); p *= f.random.Float64() {
		n++
	}
	return n
}

// sendHeartbeats passes on what owners report, or the loads of all, each to an instance at its own time.
func (f *evenFleet) sendHeartbeats() {
	elapsed := f.now.Sub(start)
	for i := range f.instances {
		if f.chooser == bySums {
			if (elapsed+time.Duration(i)*f.age/time.Duration(f.instanceCount()))%f.age < tick {
				others := make(map[fleet.Endpoint]balance.Load)
				own := f.instances[i].balancer.OwnLoads()
				for j, l := range f.loads {
					id := f.endpoints[j].ID
					others[id] = l.Subtract(own[id])
				}
				f.instances[i].balancer.SetRemote("others", others, nil)
			}
			continue
		}
		for owner := range min(evenEndpoints, f.instanceCount()) {
			if (elapsed+time.Duration(i*37+owner*101)*time.Millisecond)%f.age < tick {
				f.instances[i].table.RecordOwner(ownerName(owner), f.now)
				for id, r := range f.reportsOf(owner) {
					f.instances[i].table.Record(id, r)
				}
			}
		}
	}
}

// reportToOwner passes on an answer to the owner of the endpoint, by its next heartbeat at the latest.
func (f *evenFleet) reportToOwner(to int, a balance.Answer, delay time.Duration) {
	due := f.now.Add(evenBeat)
	f.reported = append(f.reported, func() bool {
		if f.now.Before(due) {
			return false
		}
		f.instances[to%f.instanceCount()].slowness.Record(f.endpoints[to].ID, a)
		f.engines[to].schedule.Shift(f.engines[to].delay.Observe(a.Late, delay, f.instances[to%f.instanceCount()].slowness.IsSlow(f.now, f.endpoints[to].ID)))
		return true
	})
}

// evenBeat is how long what an answer shows takes to reach the owner.
const evenBeat = 100 * time.Millisecond

func (f *evenFleet) ownerSlowness(i int) float64 {
	return f.instances[i%f.instanceCount()].slowness.Of(f.now, f.endpoints[i].ID)
}

func (f *evenFleet) instanceCount() int { return len(f.instances) }

func ownerName(i int) fleet.Instance { return fleet.Instance(fmt.Sprint(i)) }

func (f *evenFleet) reportsOf(owner int) map[fleet.Endpoint]backlog.Report {
	all := make(map[fleet.Endpoint]backlog.Report)
	for i := owner; i < evenEndpoints; i += f.instanceCount() {
		if r := f.report(i, f.now.Add(-admissionWay)); r.Work != (backlog.Work{}) || r.Slowness > 1 {
			all[f.endpoints[i].ID] = r
		}
	}
	return all
}

func (f *evenFleet) report(i int, sent time.Time) backlog.Report {
	return backlog.Report{Work: backlog.Work(f.engines[i].schedule.Backlog(f.now)), At: f.now, Sent: sent, Slowness: f.ownerSlowness(i)}
}

// evenBacklogs is what an instance has recorded.
type evenBacklogs struct {
	*evenFleet
	from int
}

func (k evenBacklogs) Ahead(e *roster.Endpoint, level int) (ahead, age time.Duration) {
	i := k.index[e.ID]
	ahead, age, ok := k.instances[k.from].table.Ahead(k.now, e.ID, ownerName(i%k.instanceCount()), level)
	if !ok {
		age = time.Minute
	}
	return ahead, age
}

func (k evenBacklogs) Slowness(e *roster.Endpoint) float64 {
	return k.instances[k.from].table.Slowness(k.now, e.ID, ownerName(k.index[e.ID]%k.instanceCount()))
}

func (f *evenFleet) send(s *evenSent) {
	n := f.instances[s.from]
	if f.chooser == byTruth {
		s.to = -1
		for i := range f.endpoints {
			if f.endpoints[i].Models[0].Model == s.request.Model && (s.to < 0 || f.trueWait(i, s.request) < f.trueWait(s.to, s.request)) {
				s.to = i
			}
		}
		if f.trueWait(s.to, s.request) > evenTarget {
			f.refuse(s)
			return
		}
		f.run(s)
		return
	}
	var c balance.Choice
	var missing balance.Missing
	if f.chooser == bySums {
		c, missing = n.balancer.Choose(f.now, s.request, evenGroup, f.endpoints, regions)
	} else {
		c, missing = n.balancer.Spread(f.now, s.request, evenGroup, f.endpoints, regions, evenBacklogs{f, s.from}, f.random.Float64())
	}
	if missing != balance.MissingNone || c.Wait > balance.MaxWait(s.request) {
		f.refuse(s)
		return
	}
	s.to, s.sent = f.index[c.Endpoint.ID], f.now
	s.slowness = max(1, c.Slowness) // Choose takes endpoints for equal
	s.prefill = n.balancer.StartedAt(c.Endpoint.ID, s.request, s.slowness)
	n.table.Send(f.now, c.Endpoint.ID, 0, s.prefill)
	f.loads[s.to] = f.loads[s.to].Add(balance.Load{Running: 1, Pending: [3]time.Duration{s.prefill}})
	f.sent = append(f.sent, *s)
}

var evenGroup = &catalog.Group{Name: "s", Engine: &catalog.Engine{}}

// admit decides at the owner of the endpoint.
func (f *evenFleet) admit(s *evenSent) {
	e, n, id := &f.engines[s.to], f.instances[s.from], f.endpoints[s.to].ID
	slowness, work := s.slowness, s.prefill
	if f.chooser == byReports {
		slowness = f.ownerSlowness(s.to)
		work = time.Duration(float64(work) * slowness / s.slowness)
	}
	limit := max(0, evenTarget-f.now.Sub(s.arrived)-work)
	wait, ok := e.schedule.Reserve(f.now, 0, work, limit)
	n.table.Record(id, f.report(s.to, s.sent))
	if ok {
		s.expected, s.slowness, s.delay = wait+work, slowness, e.delay.Total()
		f.run(s)
		return
	}
	f.end(s)
	if s.tries++; s.tries >= evenTries {
		f.refuse(s)
		return
	}
	s.request.Exclude = append(s.request.Exclude, id)
	f.send(s)
}

func (f *evenFleet) end(s *evenSent) {
	n, id := f.instances[s.from], f.endpoints[s.to].ID
	n.balancer.Answered(id, 0, s.prefill)
	n.balancer.Ended(id, s.request)
	f.loads[s.to] = f.loads[s.to].Subtract(balance.Load{Running: 1, Pending: [3]time.Duration{s.prefill}})
}

// speed is how much longer an endpoint takes now.
func (f *evenFleet) speed(i int) float64 {
	elapsed := f.now.Sub(start)
	switch {
	case f.turning && i%6 == 1 && elapsed > time.Second && elapsed < 7*time.Second:
		return 3.5
	case f.slower && i%3 == 0:
		return 1.3
	default:
		return 1
	}
}

func (f *evenFleet) trueWait(i int, a *balance.Request) time.Duration {
	return max(0, f.engines[i].busyUntil.Sub(f.now)) + time.Duration(f.speed(i)*float64(a.PromptTokens)*26)*time.Microsecond
}

// run has an endpoint read the prompt after those before it.
func (f *evenFleet) run(s *evenSent) {
	e := &f.engines[s.to]
	if e.busyUntil.Before(f.now) {
		e.busyUntil = f.now
	}
	took := f.speed(s.to) * math.Exp(f.noise*f.random.NormFloat64()-f.noise*f.noise/2)
	e.busyUntil = e.busyUntil.Add(time.Duration(took*float64(s.request.PromptTokens)*26) * time.Microsecond)
	e.waiting = append(e.waiting, e.busyUntil)
	until, done, sent := e.busyUntil, *s, f.now
	if f.chooser != byTruth {
		f.ends = append(f.ends, func() bool {
			if f.now.Before(until) {
				return false
			}
			f.end(&done)
			if f.chooser == byReports {
				a, ok := f.instances[done.from].slowness.Measure(f.now, "s", until.Sub(sent), done.expected, done.slowness)
				if ok && a.Remarkable(done.slowness) {
					f.reportToOwner(done.to, a, done.delay)
				}
			}
			return true
		})
	}
	wait := until.Sub(s.arrived)
	if f.waits = append(f.waits, wait); wait <= evenTarget {
		f.figures.inTime++
	}
}

func (f *evenFleet) refuse(s *evenSent) {
	f.figures.refused++
	for i := range f.endpoints {
		if f.endpoints[i].Models[0].Model == s.request.Model && !f.engines[i].busyUntil.After(f.now) {
			f.figures.refusedBesideIdle++
			return
		}
	}
}

// sample adds how unevenly prompts wait: their variation, and how many endpoints have none while
// one has four or more.
func (f *evenFleet) sample() {
	sum, squares, idle, most := 0.0, 0.0, 0.0, 0
	for i := range f.engines {
		e := &f.engines[i]
		e.waiting = slices.DeleteFunc(e.waiting, func(t time.Time) bool { return !t.After(f.now) })
		n := float64(len(e.waiting))
		sum, squares, most = sum+n, squares+n*n, max(most, len(e.waiting))
		if n == 0 {
			idle++
		}
	}
	f.samples++
	if mean := sum / evenEndpoints; mean > 0 {
		f.figures.variation += math.Sqrt(max(0, squares/evenEndpoints-mean*mean)) / mean
	}
	if most >= 4 {
		f.figures.idle += idle / evenEndpoints
	}
}

// The load of many instances that choose in the same millisecond by knowledge of any age, at
// endpoints with room for all: what they serve in time must come near to perfect knowledge.
func TestSpreadServesNearlyWhatPerfectKnowledgeServes(t *testing.T) {
	const (
		minOfPerfect     = 0.9
		maxRefusedIdle   = 0.01 // requests refused while a copy was idle
		groups, evenLoad = 100 * time.Millisecond, 0.6
	)
	for _, instances := range []int{9, 79, 142, 295} {
		for _, age := range []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d instances, %s", instances, age), func(t *testing.T) {
				l := load{instances: instances, age: age, mean: evenLoad, together: groups}
				before, after, limit := play(l, bySums, 1), play(l, byReports, 1), play(l, byTruth, 1)
				t.Log(before)
				t.Log(after)
				t.Log(limit)
				assert.GreaterOrEqual(t, after.inTimeShare(), minOfPerfect*limit.inTimeShare())
				assert.GreaterOrEqual(t, after.inTimeShare(), before.inTimeShare()-0.005)
				assert.Less(t, float64(after.refusedBesideIdle)/float64(after.asked), maxRefusedIdle)
				assert.Less(t, after.idle, before.idle, "idle endpoints beside full ones")
				assert.Less(t, after.p50, before.p50)
			})
		}
	}
}

// The load of endpoints that differ: a third is 1.3 times slower, 17 in 100 turn 3.5 times slower
// for 6 s, and answers are noisy.
func TestSpreadBesideSlowEndpoints(t *testing.T) {
	const minOfPerfect, manyInstances = 0.9, 79
	for _, instances := range []int{9, 79, 142, 295} {
		for _, age := range []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d instances, %s", instances, age), func(t *testing.T) {
				l := load{instances: instances, age: age, mean: 0.5, together: 100 * time.Millisecond, slower: true, turning: true, noise: 0.3}
				before, after, limit := play(l, bySums, 1), play(l, byReports, 1), play(l, byTruth, 1)
				t.Log(before)
				t.Log(after)
				t.Log(limit)
				assert.GreaterOrEqual(t, after.inTimeShare(), minOfPerfect*limit.inTimeShare())
				if instances >= manyInstances {
					assert.Greater(t, after.inTimeShare(), before.inTimeShare())
				}
			})
		}
	}
}

// The load of prompts whose time is hard to predict: that alone must not make an endpoint count as slow.
func TestNoiseIsNoSlowness(t *testing.T) {
	const minOfPerfect = 0.9
	l := load{instances: 79, age: time.Second, mean: 0.35, together: 100 * time.Millisecond, noise: 0.8}
	before, after, limit := play(l, bySums, 1), play(l, byReports, 1), play(l, byTruth, 1)
	t.Log(before)
	t.Log(after)
	t.Log(limit)
	assert.GreaterOrEqual(t, after.inTimeShare(), minOfPerfect*limit.inTimeShare())
	assert.GreaterOrEqual(t, after.inTimeShare(), before.inTimeShare())
}
