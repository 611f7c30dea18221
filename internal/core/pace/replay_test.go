package pace_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

// site is a service whose endpoints read prompts piece by piece, the most urgent first. Entries
// choose endpoints by waits that are 0.3 to 2.5 s old. A refused caller comes back once.
type site struct {
	random    *rand.Rand
	queues    bool
	endpoints []*endpoint
	asks      *calls
	id        uint64
	counts    counts
	surges    []surge
}

// surge is what happens for some time.
type surge struct {
	from, to time.Duration
	// times multiplies the requests of the first class.
	times float64
	// lost is set if a quarter of the endpoints is gone, repeats how often callers come again at
	// once when they are refused.
	lost    bool
	repeats int
	// ownerless is set if the owners of a quarter of the endpoints don't answer, and are replaced by
	// others in the end.
	ownerless bool
}

type endpoint struct {
	schedule  pace.Schedule
	engine    *calls
	free      time.Time
	lost      bool
	ownerless bool
	loads     [][3]time.Duration // prompts ahead of a level, in the past by steps of waitStep
}

type counts struct {
	asked, answered                                                                        [3]int // by rank
	requests, inTime, served, late, refused, heldInVain, questions, settled, settledInTime int
}

// demand is a class of requests.
type demand struct {
	level                  int
	work, target, patience time.Duration
	perSecond              float64
}

// call is one of a caller's requests.
type call struct {
	demand
	id                 uint64
	first, came, asked time.Time // its first request, this one, its next question
	priority, repeats  int
	left               time.Duration // of its prompt
	tried              []int
	reserved           int // where it waits, -1 for nowhere
	waits              int
	returned           bool
}

type calls struct {
	all  []*call
	less func(a, b *call) bool
}

func (c calls) Len() int           { return len(c.all) }
func (c calls) Less(i, j int) bool { return c.less(c.all[i], c.all[j]) }
func (c calls) Swap(i, j int)      { c.all[i], c.all[j] = c.all[j], c.all[i] }
func (c *calls) Push(x any)        { c.all = append(c.all, x.(*call)) }
func (c *calls) Pop() any {
	last := c.all[len(c.all)-1]
	c.all = c.all[:len(c.all)-1]
	return last
}

const (
	replayTime = 24 * time.Second
	waitStep   = 50 * time.Millisecond
	margin     = 60 * time.Millisecond // of a first event, beside wait and prefill
	chunk      = 27 * time.Millisecond // of a prompt that an endpoint reads in one step
	probe      = 250 * time.Millisecond
	siteSize   = 8
)

func replay(seed uint64, queues bool, surges []surge) counts {
	s := &site{random: rand.New(rand.NewPCG(seed, 7)), queues: queues, surges: surges}
	s.asks = &calls{less: func(a, b *call) bool { return a.asked.Before(b.asked) }}
	for range siteSize {
		s.endpoints = append(s.endpoints, &endpoint{free: start, engine: &calls{less: func(a, b *call) bool {
			return a.priority < b.priority || a.priority == b.priority && a.asked.Before(b.asked)
		}}})
	}
	for _, d := range []demand{
		{level: 0, work: 80 * time.Millisecond, target: 500 * time.Millisecond, patience: 3 * time.Second, perSecond: 6.5 * siteSize},
		{level: 2, work: 60 * time.Millisecond, target: 3 * time.Second, patience: 5 * time.Second, perSecond: 2 * siteSize},
	} {
		for at := time.Duration(0); at < replayTime; {
			rate := d.perSecond
			if u := s.surge(at); u != nil && u.times > 0 && d.level == 0 {
				rate *= u.times
			}
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			s.counts.requests++
			s.counts.asked[d.level]++
			s.add(&call{demand: d, first: start.Add(at)}, start.Add(at))
		}
	}
	now := start
	for s.asks.Len() > 0 {
		next := heap.Pop(s.asks).(*call)
		for ; now.Before(next.asked); now = now.Add(waitStep) {
			s.step(now)
		}
		s.ask(next.asked, next)
	}
	for _, e := range s.endpoints {
		s.serve(e, start.Add(time.Hour))
	}
	return s.counts
}

func (s *site) surge(at time.Duration) *surge {
	for i := range s.surges {
		if s.surges[i].from <= at && at < s.surges[i].to {
			return &s.surges[i]
		}
	}
	return nil
}

// add has a request come at a time.
func (s *site) add(c *call, at time.Time) {
	s.id++
	c.id, c.came, c.asked, c.left, c.tried, c.reserved, c.waits = s.id, at, at, c.work, nil, -1, 0
	heap.Push(s.asks, c)
}

// step advances the endpoints, and records how long prompts wait there.
func (s *site) step(now time.Time) {
	u := s.surge(now.Sub(start))
	for i, e := range s.endpoints {
		s.serve(e, now)
		lost := u != nil && u.lost && i < siteSize/4
		if lost && !e.lost {
			for _, c := range e.engine.all {
				s.add(c, now)
			}
			e.engine.all, e.schedule = nil, pace.Schedule{}
		}
		e.lost = lost
		ownerless := u != nil && u.ownerless && i < siteSize/4
		if e.ownerless && !ownerless {
			e.schedule = pace.Schedule{}
		}
		e.ownerless = ownerless
		var ahead [3]time.Duration
		for _, c := range e.engine.all {
			for level := c.level; level < len(ahead); level++ {
				ahead[level] += c.left
			}
		}
		e.loads = append(e.loads, ahead)
	}
}

func (s *site) serve(e *endpoint, until time.Time) {
	for e.engine.Len() > 0 && e.free.Before(until) {
		c := heap.Pop(e.engine).(*call)
		if e.free.Before(c.asked) {
			e.free = c.asked
		}
		piece := min(c.left, chunk)
		e.free = e.free.Add(piece)
		if c.left -= piece; c.left > 0 {
			heap.Push(e.engine, c)
			continue
		}
		inTime := e.free.Sub(c.came) <= c.target
		switch {
		case inTime:
			s.counts.inTime++
			s.counts.served++
			s.counts.answered[c.level]++
		case e.free.Sub(c.first) <= c.patience+c.work:
			s.counts.served++
			s.counts.answered[c.level]++
		default:
			s.counts.late++
		}
		s.settle(c, inTime)
	}
}

// settle counts the requests that come when a surge has been over for two seconds.
func (s *site) settle(c *call, inTime bool) {
	at := c.first.Sub(start)
	for _, u := range s.surges {
		if u.from <= at && at < u.to+2*time.Second {
			return
		}
	}
	s.counts.settled++
	if inTime {
		s.counts.settledInTime++
	}
}

// choose returns the endpoint with the shortest known wait that has not been tried, -1 for none.
func (s *site) choose(c *call) (best int, wait time.Duration) {
	best = -1
	lag := 300*time.Millisecond + time.Duration(s.random.Float64()*float64(2200*time.Millisecond))
	for i, e := range s.endpoints {
		known := time.Duration(0)
		if n := len(e.loads) - 1 - int(lag/waitStep); n >= 0 {
			known = e.loads[n][c.level]
		}
		tried := false
		for _, t := range c.tried {
			tried = tried || t == i
		}
		if !e.lost && !tried && (best < 0 || known < wait) {
			best, wait = i, known
		}
	}
	return best, wait + c.work
}

// ask has a request ask one endpoint after another, in the way of the gateway.
func (s *site) ask(now time.Time, c *call) {
	c.tried = nil
	back, tooLate := 500*time.Millisecond, false // tooLate: its turn comes too late
	for len(c.tried) < 4 && (!s.queues || len(c.tried) < 3) {
		i, predicted := s.choose(c)
		late := s.queues && predicted > c.target
		if late && c.reserved >= 0 && !s.endpoints[c.reserved].lost {
			i = c.reserved
		}
		if i < 0 || (!s.queues || tooLate) && predicted > c.target {
			break
		}
		c.tried = append(c.tried, i)
		_, other := s.choose(c)
		late = !tooLate && (late || s.queues && (c.reserved >= 0 || other > c.target || len(c.tried) > 1))
		e := s.endpoints[i]
		s.counts.questions++
		if e.ownerless && predicted <= c.target {
			s.send(e, c, 3*c.level)
			return
		} else if e.ownerless {
			continue
		}
		limit := max(0, c.target-now.Sub(c.came)-c.work-margin)
		if !s.queues || (!late || limit > 0) && e.schedule.Displaced(now, c.level) <= limit {
			if wait, ok := e.schedule.Reserve(now, c.level, c.work, limit); ok {
				s.send(e, c, 3*c.level)
				return
			} else if !s.queues {
				back = max(back, wait)
			}
		}
		if !late {
			continue
		}
		patience := c.patience - now.Sub(c.first) - margin
		if c.reserved >= 0 && c.reserved != i {
			patience = min(patience, probe)
		}
		p := e.schedule.Queue(now, pace.Late{ID: c.id, Level: c.level, Work: c.work, Waited: now.Sub(c.came), Patience: patience, Asked: c.waits > 0, Last: c.waits >= 5}, 0)
		switch {
		case p.Admitted:
			s.send(e, c, 3*c.level+2)
			return
		case p.AskAgain > 0:
			c.waits, c.reserved, c.asked = c.waits+1, i, now.Add(p.AskAgain)
			heap.Push(s.asks, c)
			return
		case c.reserved < 0 || c.reserved == i:
			tooLate, back = true, p.Return
		}
	}
	s.refuse(now, c, back)
}

func (s *site) send(e *endpoint, c *call, priority int) {
	c.priority = priority
	heap.Push(e.engine, c)
}

func (s *site) refuse(now time.Time, c *call, back time.Duration) {
	u := s.surge(now.Sub(start))
	if c.waits > 0 {
		s.counts.heldInVain++
	}
	switch {
	case u != nil && c.repeats < u.repeats && c.id%3 == 0:
		c.repeats++
		s.add(c, now.Add(5*time.Millisecond))
	case c.returned:
		s.counts.refused++
		s.settle(c, false)
	default:
		c.returned = true
		s.add(c, now.Add(min(back, (c.patience-now.Sub(c.first))/3)))
	}
}

// Each load is replayed with requests that wait and with requests that don't.
func TestRequestsThatWaitUnderLoad(t *testing.T) {
	const sec = time.Second
	burst := func(times float64) surge { return surge{from: 4 * sec, to: 6 * sec, times: times} }
	tests := []struct {
		name   string
		surges []surge
	}{
		{"a burst of 2 times of one class", []surge{burst(2)}},
		{"a burst of 3 times of one class", []surge{burst(3)}},
		{"a burst of 4 times of one class", []surge{burst(4)}},
		{"a quarter of the endpoints is lost for 2 s", []surge{{from: 4 * sec, to: 6 * sec, lost: true, times: 1.2}}},
		{"callers repeat three times at once", []surge{{from: 4 * sec, to: 7 * sec, times: 2, repeats: 3}}},
		{"the owners of a quarter of the endpoints don't answer in a burst", []surge{{from: 4 * sec, to: 6 * sec, times: 2, ownerless: true}}},
		{"the owners of a quarter of the endpoints are replaced in a burst", []surge{{from: 4 * sec, to: 4100 * time.Millisecond, ownerless: true}, {from: 4100 * time.Millisecond, to: 6 * sec, times: 3}}},
		{"a lasting overload of one class", []surge{{from: 4 * sec, to: 20 * sec, times: 2.5}}},
		{"all in sequence", []surge{burst(3), {from: 9 * sec, to: 11 * sec, lost: true, times: 1.2}, {from: 14 * sec, to: 17 * sec, times: 2, repeats: 3}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var refusing, queueing counts
			for seed := range uint64(6) {
				refusing.add(replay(seed, false, tt.surges))
				queueing.add(replay(seed, true, tt.surges))
			}
			t.Logf("refusing %+v", refusing)
			t.Logf("queueing %+v", queueing)
			assert.Greater(t, queueing.inTime, refusing.inTime)
			assert.Greater(t, queueing.served, refusing.served)
			all, urgent, bulk := part(queueing.served, queueing.requests), part(queueing.answered[0], queueing.asked[0]), part(queueing.answered[2], queueing.asked[2])
			assert.LessOrEqual(t, bulk, urgent+0.05, "the less urgent class isn't served more")
			assert.GreaterOrEqual(t, bulk, all/4, "nor starved")
			assert.Less(t, queueing.late, refusing.late, "answers after the caller has left")
			assert.LessOrEqual(t, queueing.heldInVain, queueing.requests/100, "requests that waited and were refused")
			assert.LessOrEqual(t, queueing.questions, max(2*queueing.requests, refusing.questions))
			assert.GreaterOrEqual(t, queueing.settledInTime, refusing.settledInTime, "two seconds after a surge")
		})
	}
}

func part(n, of int) float64 { return float64(n) / float64(of) }

func (c *counts) add(other counts) {
	for i := range c.asked {
		c.asked[i] += other.asked[i]
		c.answered[i] += other.answered[i]
	}
	c.requests += other.requests
	c.inTime += other.inTime
	c.served += other.served
	c.late += other.late
	c.refused += other.refused
	c.heldInVain += other.heldInVain
	c.questions += other.questions
	c.settled += other.settled
	c.settledInTime += other.settledInTime
}
