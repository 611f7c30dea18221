package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

func TestSlowness(t *testing.T) {
	const ms = time.Millisecond
	type answer struct {
		at    time.Duration
		ratio float64
	}
	tests := []struct {
		name    string
		answers []answer
		now     time.Duration
		want    float64
	}{
		{name: "nothing known", want: 1},
		{name: "one slow answer", answers: []answer{{0, 5}}, want: 1},
		{name: "one slow answer among others", answers: []answer{{0, 1}, {10 * ms, 5}, {20 * ms, 1}}, now: 20 * ms, want: 1},
		{name: "slow answers", answers: []answer{{0, 1}, {10 * ms, 3}, {20 * ms, 3.2}, {30 * ms, 3.4}}, now: 30 * ms, want: 3},
		{name: "most answers of several are slow", answers: []answer{{0, 1}, {10 * ms, 1}, {20 * ms, 3}, {30 * ms, 3}, {40 * ms, 3}}, now: 40 * ms, want: 1},
		{name: "they arrive in another order", answers: []answer{{30 * ms, 3.4}, {20 * ms, 3.2}, {10 * ms, 3}, {0, 1}}, now: 30 * ms, want: 3},
		{name: "an endpoint that fails answers fast", answers: []answer{{0, 0.1}, {10 * ms, 0.1}, {20 * ms, 0.1}}, now: 20 * ms, want: 1},
		{name: "it has recovered", answers: []answer{{0, 3}, {100 * ms, 3}, {500 * ms, 1}, {900 * ms, 1}, {1300 * ms, 1}}, now: 1300 * ms, want: 1},
		{name: "no answers for a while", answers: []answer{{0, 3}, {5 * ms, 3}, {10 * ms, 3}}, now: 1510 * ms, want: 2},
		{name: "none for longer", answers: []answer{{0, 3}, {5 * ms, 3}, {10 * ms, 3}}, now: 2010 * ms, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := balance.NewSlowness()
			for _, a := range tt.answers {
				s.Record("p", balance.Answer{Ratio: a.ratio, At: start.Add(a.at)})
			}
			assert.InDelta(t, tt.want, s.Of(start.Add(tt.now), "p"), 0.001)
			assert.InDelta(t, 1, s.Of(start.Add(tt.now), "q"), 0)
			s.Forget("p")
			assert.InDelta(t, 1, s.Of(start.Add(tt.now), "p"), 0, "a new start")
		})
	}
}

// What delays all answers of an instance, such as its own work, is no endpoint's slowness.
func TestAnswersAreComparedWithTheUsual(t *testing.T) {
	s := balance.NewSlowness()
	const expected = 100 * time.Millisecond
	for i := range 8 {
		a, ok := s.Measure(start, "s", 2*expected, expected, 1)
		assert.Equal(t, i >= 4, ok, "too few to compare with")
		assert.InDelta(t, 1, a.Ratio, 0.001)
		assert.Zero(t, a.Late)
		assert.False(t, a.Remarkable(1))
	}
	a, _ := s.Measure(start, "s", 6*expected, expected, 1)
	assert.InDelta(t, 3, a.Ratio, 0.001)
	assert.Equal(t, 4*expected, a.Late)
	assert.True(t, a.Remarkable(1))
	a, _ = s.Measure(start, "s", 6*expected, 3*expected, 3)
	assert.InDelta(t, 3, a.Ratio, 0.001, "of an endpoint that is known to be slow")
	assert.Zero(t, a.Late)
	assert.True(t, a.Remarkable(3), "it is still slow")
	a, _ = s.Measure(start, "s", 2*expected, 3*expected, 3)
	assert.InDelta(t, 1, a.Ratio, 0.001, "it has recovered")
	_, ok := s.Measure(start, "other", expected, expected, 1)
	assert.False(t, ok, "each service has its own")
}

// One of six endpoints turns three times slower for 4 s: it gets about a third of its requests, and
// its share back within 2 s after that.
func TestSlowPlainEndpointGetsWhatItCanDo(t *testing.T) {
	const (
		interval             = 10 * time.Millisecond
		slowFrom, slowUntil  = 2 * time.Second, 6 * time.Second
		detection, recovery  = time.Second, 2 * time.Second
		took                 = 60 * time.Millisecond
		third, whole, spread = 1.0 / 3, 1.0, 0.1
	)
	s, b, random := balance.NewSlowness(), balance.NewBalancer(), rand.New(rand.NewPCG(1, 2))
	var all []*roster.Endpoint
	for i := range 6 {
		e := endpoint(fleet.Endpoint(fmt.Sprint("p", i)), "b")
		if e.Slots = 6; i == 0 {
			e.DataCentre = "a"
		}
		all = append(all, e)
	}
	var sent, nearest [12]float64 // in each second
	for at := time.Duration(0); at < time.Duration(len(sent))*time.Second; at += interval {
		now := start.Add(at)
		c, ok := b.ChoosePlain(now, &balance.Request{Service: "s", Place: here}, all, regions, func(e *roster.Endpoint) float64 { return s.Of(now, e.ID) }, random.Float64())
		assert.True(t, ok)
		sent[at/time.Second]++
		d := time.Duration(float64(took) * (0.8 + 0.4*random.Float64()))
		if c.Endpoint == all[0] {
			nearest[at/time.Second]++
			if at >= slowFrom && at < slowUntil {
				d *= 3
			}
		}
		if a, ok := s.Measure(now, "s", d, took, 1); ok {
			s.Record(c.Endpoint.ID, a)
		}
	}
	share := func(from, until time.Duration) float64 {
		n, total := 0.0, 0.0
		for i := from / time.Second; i < until/time.Second; i++ {
			n, total = n+nearest[i], total+sent[i]
		}
		return n / total
	}
	assert.InDelta(t, whole, share(0, slowFrom), spread)
	assert.InDelta(t, third, share(slowFrom+detection, slowUntil), spread)
	assert.InDelta(t, whole, share(slowUntil+recovery, time.Duration(len(sent))*time.Second), spread)
}
