package pace_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

func late(id uint64, level int, waited, patience time.Duration) pace.Late {
	return pace.Late{ID: id, Level: level, Work: 100 * time.Millisecond, Waited: waited, Patience: patience}
}

// A late request waits behind its rank, goes before less urgent ones and takes nothing from those
// that can be in time. Its place lapses if it doesn't ask again, and ends if it is withdrawn.
func TestQueue(t *testing.T) {
	const ms = time.Millisecond
	var s pace.Schedule
	for range 10 {
		_, ok := s.Reserve(start, 0, 100*ms, time.Second)
		assert.True(t, ok)
	}
	first := s.Queue(start, late(1, 0, 0, time.Hour), 0)
	assert.False(t, first.Admitted)
	assert.Greater(t, first.Turn, time.Second, "more requests that can be in time will come")
	assert.Equal(t, time.Second, first.AskAgain)
	assert.Zero(t, s.Queue(start, late(9, 0, 0, time.Second), 0).AskAgain, "its turn comes too late")
	assert.Equal(t, 1, s.Queue(start, late(2, 1, time.Second, time.Hour), 0).Ahead, "a less urgent one, though it came first")
	assert.Equal(t, 2, s.Queue(start, late(3, 1, 0, time.Hour), 0).Ahead)
	assert.Equal(t, 1, s.Queue(start, late(3, 1, 2*time.Second, time.Hour), 0).Ahead, "asking again takes no second place")
	wait, ok := s.Reserve(start, 0, 100*ms, time.Second)
	assert.True(t, ok)
	assert.Equal(t, time.Second, wait, "no late request is before one in time")
	s.Withdraw(1)
	assert.Equal(t, 0, s.Queue(start, late(3, 1, 2*time.Second, time.Hour), 0).Ahead)

	now := start.Add(1300 * ms)
	assert.False(t, s.Idle(start.Add(1100*ms)))
	assert.Equal(t, pace.Place{Admitted: true}, s.Queue(now, late(4, 2, 0, time.Hour), 0), "the others have not asked again")
	assert.Equal(t, 800*ms, s.Queue(now, late(5, 2, 0, time.Hour), 800*ms).Turn, "all slots are taken")
	wait, _ = s.Reserve(now, 0, 100*ms, time.Second)
	assert.Zero(t, wait, "an admitted late request gives way")
	assert.True(t, s.Queue(now, pace.Late{ID: 5, Work: 100 * ms, Asked: true, Patience: time.Second, Last: true}, 800*ms).Admitted, "it can't ask again")
	assert.True(t, s.Idle(now.Add(time.Minute)))
}

// The number of requests that wait at an endpoint is bounded.
func TestQueueIsBounded(t *testing.T) {
	var s pace.Schedule
	waiting := 0
	for id := range uint64(1000) {
		if s.Queue(start, late(id, 0, 0, time.Hour), time.Second).AskAgain > 0 {
			waiting++
		}
	}
	assert.Equal(t, 256, waiting)
}

// The load of a burst of several times the usual requests of one class for some seconds, whose
// callers come back once if they are refused.
func TestLateRequestsAreServedAfterABurst(t *testing.T) {
	for _, times := range []float64{2, 3, 4} {
		t.Run(fmt.Sprintf("%v times", times), func(t *testing.T) {
			var refusing, queueing counts
			for seed := range uint64(20) {
				refusing.add(replay(seed, times, false))
				queueing.add(replay(seed, times, true))
			}
			t.Logf("refusing %+v, queueing %+v", refusing, queueing)
			assert.GreaterOrEqual(t, queueing.inTime, refusing.inTime*98/100, "requests in time")
			assert.Less(t, queueing.refused+queueing.heldInVain, refusing.refused, "refusals")
			assert.Greater(t, queueing.served, refusing.served)
			assert.LessOrEqual(t, queueing.heldInVain, queueing.requests/100, "requests that waited and were refused")
			assert.LessOrEqual(t, queueing.tooLate, queueing.requests/200, "answers after the caller has left")
			assert.LessOrEqual(t, queueing.questions, refusing.questions*11/10, "questions")
		})
	}
}

// demand is a class of requests.
type demand struct {
	level        int
	work, target time.Duration
	patience     time.Duration
	perSecond    float64
	bursts       bool
}

type counts struct{ requests, inTime, served, refused, heldInVain, tooLate, questions int }

func (c *counts) add(other counts) {
	c.requests += other.requests
	c.inTime += other.inTime
	c.served += other.served
	c.refused += other.refused
	c.heldInVain += other.heldInVain
	c.tooLate += other.tooLate
	c.questions += other.questions
}

// call is a request in the replay.
type call struct {
	demand
	id       uint64
	at       time.Time // first
	cameAt   time.Time // the last time
	asksAt   time.Time
	priority int
	left     time.Duration // of its prompt
	waits    int
	returned bool
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

// replay sends a burst of 1.5 s to one endpoint that reads the most urgent prompt first, piece by
// piece. A refused caller comes back once.
func replay(seed uint64, times float64, queues bool) counts {
	const (
		margin = 60 * time.Millisecond // of a first event, beside wait and prefill
		chunk  = 27 * time.Millisecond // of a prompt that an engine reads in one step
	)
	random := rand.New(rand.NewPCG(seed, 7))
	demands := []demand{
		{level: 0, work: 80 * time.Millisecond, target: 500 * time.Millisecond, patience: 3 * time.Second, perSecond: 7, bursts: true},
		{level: 2, work: 60 * time.Millisecond, target: 3 * time.Second, patience: 5 * time.Second, perSecond: 2},
	}
	asks := &calls{less: func(a, b *call) bool { return a.asksAt.Before(b.asksAt) }}
	var total counts
	for _, d := range demands {
		for at := time.Duration(0); at < 12*time.Second; {
			rate := d.perSecond
			if d.bursts && at > 2*time.Second && at < 3500*time.Millisecond {
				rate *= times
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			total.requests++
			asks.all = append(asks.all, &call{demand: d, id: uint64(total.requests), at: start.Add(at), cameAt: start.Add(at), left: d.work, asksAt: start.Add(at)})
		}
	}
	heap.Init(asks)
	var s pace.Schedule
	engine := &calls{less: func(a, b *call) bool {
		return a.priority < b.priority || a.priority == b.priority && a.asksAt.Before(b.asksAt)
	}}
	free := start
	serve := func(until time.Time) {
		for engine.Len() > 0 && free.Before(until) {
			c := heap.Pop(engine).(*call)
			if free.Before(c.asksAt) {
				free = c.asksAt
			}
			piece := min(c.left, chunk)
			free = free.Add(piece)
			if c.left -= piece; c.left > 0 {
				heap.Push(engine, c)
				continue
			}
			switch {
			case free.Sub(c.cameAt) <= c.target:
				total.inTime++
				total.served++
			case free.Sub(c.at) <= c.patience+c.work:
				total.served++
			default:
				total.tooLate++
			}
		}
	}
	for asks.Len() > 0 {
		c := heap.Pop(asks).(*call)
		now := c.asksAt
		serve(now)
		total.questions++
		waited := now.Sub(c.at)
		limit := max(0, c.target-now.Sub(c.cameAt)-c.work-margin)
		wait, ok := time.Duration(0), false
		if !queues || limit > 0 {
			wait, ok = s.Reserve(now, c.level, c.work, limit)
		}
		c.priority = 3 * c.level
		if !ok && queues {
			p := s.Queue(now, pace.Late{ID: c.id, Level: c.level, Work: c.work, Waited: now.Sub(c.cameAt), Patience: c.patience - waited, Asked: c.waits > 0, Last: c.waits >= 5}, 0)
			if p.AskAgain > 0 {
				c.waits++
				c.asksAt = now.Add(p.AskAgain)
				heap.Push(asks, c)
				continue
			}
			wait, ok, c.priority = p.Turn, p.Admitted, 3*c.level+2
		}
		switch {
		case ok:
			heap.Push(engine, c)
		case c.waits > 0:
			total.heldInVain++
		case c.returned:
			total.refused++
		default:
			c.returned = true
			c.asksAt = now.Add(min(wait+500*time.Millisecond, (c.patience-waited)/3))
			c.cameAt = c.asksAt
			heap.Push(asks, c)
		}
	}
	serve(start.Add(time.Hour))
	return total
}
