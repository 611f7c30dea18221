package loader_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/loader"
)

const (
	coldTime, cachedTime, unloadTime = 1200 * time.Millisecond, 400 * time.Millisecond, 300 * time.Millisecond
	retireTime, longUnload           = 400 * time.Millisecond, 5 * time.Second
	stepTime, beatTime               = 200 * time.Millisecond, 300 * time.Millisecond
	siteLoads                        = 13.0 // a second from the weight store, for 90 endpoints
	siteCapacity                     = 24000.0
	// permittedDelay is what the copies may take beyond their loads.
	permittedDelay = 2 * time.Second
)

// fakeSite fakes a service's endpoints, with room for two models each, and what the holder of the
// order lease has recorded of them.
type fakeSite struct {
	mu        sync.Mutex
	engine    *catalog.Engine
	endpoints []*fakeEndpoint
	reports   map[fleet.Endpoint]roster.Report
	lost      float64 // share of orders without an answer; half of them are carried out late
	inUse     float64 // share of unloads that wait longUnload for requests
	fence     fleet.Fence
	demand    func(model int, at time.Duration) float64
	started   time.Time
	recent    map[fleet.Model]float64
	longTerm  map[fleet.Model]float64
	coldLoads []time.Time
	faults    []string // broken rules
	orders    int
	restarted bool // the holder of the lease is to start again
}

type fakeEndpoint struct {
	id       fleet.Endpoint
	models   []fleet.Model
	cached   []fleet.Model
	seq      int64
	busy     bool
	silent   bool
	inFlight int
	born     int64
	random   *rand.Rand // of its own, since tasks run in any order
}

func newFakeSite(endpoints, models int, seed uint64) *fakeSite {
	s := &fakeSite{
		engine: &catalog.Engine{MemoryMB: 200, MaxLoadsPerSecond: siteLoads * float64(endpoints) / 90}, fence: 1, started: time.Now(),
		reports: make(map[fleet.Endpoint]roster.Report), recent: make(map[fleet.Model]float64), longTerm: make(map[fleet.Model]float64),
	}
	for i := range models {
		s.engine.Models = append(s.engine.Models, catalog.Model{Name: fleet.Model(fmt.Sprintf("m%03d", i)), MemoryMB: 72})
	}
	for i := range endpoints {
		e := &fakeEndpoint{id: fleet.Endpoint(fmt.Sprintf("e%03d", i)), random: rand.New(rand.NewPCG(seed, uint64(i)))}
		e.models = []fleet.Model{s.engine.Models[2*i%models].Name, s.engine.Models[(2*i+1)%models].Name}
		e.cached = slices.Clone(e.models)
		s.endpoints = append(s.endpoints, e)
	}
	return s
}

func (s *fakeSite) get(id fleet.Endpoint) *fakeEndpoint {
	return s.endpoints[slices.IndexFunc(s.endpoints, func(e *fakeEndpoint) bool { return e.id == id })]
}

func (s *fakeSite) Order(ctx context.Context, o loader.Order) (bool, error) {
	s.mu.Lock()
	e := s.get(o.Endpoint)
	s.orders++
	if s.fence == 0 {
		s.faultf("an order without the lease")
	}
	if e.inFlight++; e.inFlight > 1 {
		s.faultf("two orders in flight")
	}
	defer func() {
		s.mu.Lock()
		e.inFlight--
		s.mu.Unlock()
	}()
	if e.silent || e.random.Float64() < s.lost {
		if e.random.IntN(2) == 0 {
			_ = s.carryOut(e, o)
		} else {
			late := 2*time.Second + time.Duration(e.random.Int64N(int64(10*time.Second)))
			time.AfterFunc(late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				_ = s.carryOut(e, o)
			})
		}
		s.mu.Unlock()
		<-ctx.Done()
		return false, errNoAnswer
	}
	defer s.mu.Unlock()
	return false, s.carryOut(e, o)
}

func (s *fakeSite) faultf(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// carryOut begins an order that has reached its endpoint.
func (s *fakeSite) carryOut(e *fakeEndpoint, o loader.Order) error {
	if e.silent || e.busy || o.Seq != e.seq || o.Born != e.born {
		return loader.ErrBusy
	}
	e.seq++
	e.busy = true
	born, took := e.born, unloadTime
	if o.Unload && e.random.Float64() < s.inUse {
		took = longUnload
	}
	if !o.Unload {
		if (len(e.models)+1)*72 > 200 || slices.Contains(e.models, o.Model) {
			s.faultf("%s with %v is ordered to load %s", e.id, e.models, o.Model)
		}
		took = cachedTime
		if !slices.Contains(e.cached, o.Model) {
			took = coldTime
			s.coldLoads = append(s.coldLoads, time.Now())
		}
	}
	time.AfterFunc(took, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e.born != born {
			return
		}
		e.busy = false
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(m fleet.Model) bool { return m == o.Model })
		if !o.Unload {
			e.models, e.cached = append(e.models, o.Model), append(e.cached, o.Model)
		}
	})
	return nil
}

func (s *fakeSite) Report(ctx context.Context, id fleet.Endpoint, _ int64, _ string) (roster.Report, error) {
	s.mu.Lock()
	e := s.get(id)
	if !e.silent {
		defer s.mu.Unlock()
		return e.report(), nil
	}
	s.mu.Unlock()
	<-ctx.Done()
	return roster.Report{}, errNoAnswer
}

func (e *fakeEndpoint) report() roster.Report {
	r := roster.Report{Seq: e.seq, Busy: e.busy, Born: e.born, AtHand: slices.Clone(e.cached), Taken: time.Now()}
	for _, m := range e.models {
		r.Models = append(r.Models, roster.Holding{Model: m})
	}
	return r
}

func (s *fakeSite) MayOrder() (fleet.Fence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence, s.fence != 0
}

func (s *fakeSite) Settled() bool { return true }
func (s *fakeSite) Engines() []*catalog.Group {
	return []*catalog.Group{{Name: "s", Engine: s.engine}}
}

func (s *fakeSite) Candidates(catalog.Service) []loader.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []loader.Candidate
	for _, e := range s.endpoints {
		all = append(all, s.candidate(e))
	}
	return all
}

func (s *fakeSite) Candidate(_ catalog.Service, id fleet.Endpoint) (loader.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidate(s.get(id)), true
}

func (s *fakeSite) candidate(e *fakeEndpoint) loader.Candidate {
	r := s.reports[e.id]
	return loader.Candidate{ID: e.id, Born: e.born, Report: r, CachedModels: r.AtHand, Suspect: time.Since(r.Taken) > time.Second}
}

func (s *fakeSite) Demand() (recent, longTerm map[fleet.Model]float64, adapters map[roster.Adapter]float64) {
	return s.recent, s.longTerm, nil
}

func (s *fakeSite) RecordReport(id fleet.Endpoint, r roster.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Taken.After(s.reports[id].Taken) {
		s.reports[id] = r
	}
}

func (s *fakeSite) RecordPresence(fleet.Endpoint, roster.Adapter, bool) {}
func (s *fakeSite) AnnounceRetirement(fleet.Endpoint, fleet.Model)      {}

// beat records the reports and the demand that a heartbeat brings.
func (s *fakeSite) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if !e.silent {
			s.reports[e.id] = e.report()
		}
	}
	s.recent, s.longTerm = s.meter(s.recent, 2), s.meter(s.longTerm, 6)
}

func (s *fakeSite) meter(rates map[fleet.Model]float64, halfLife float64) map[fleet.Model]float64 {
	keep := math.Exp2(-beatTime.Seconds() / halfLife)
	next := make(map[fleet.Model]float64, len(s.engine.Models))
	for i, m := range s.engine.Models {
		next[m.Name] = rates[m.Name]*keep + (1-keep)*s.demand(i, s.at()-beatTime)
	}
	return next
}

func (s *fakeSite) at() time.Duration { return time.Since(s.started) }

// crash restarts each endpoint of a share: it comes back after some time with nothing loaded.
func (s *fakeSite) crash(share int, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.endpoints {
		if i%share != 0 {
			continue
		}
		e.silent, e.busy, e.models, e.seq = true, false, nil, 0
		e.born++
		time.AfterFunc(down, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			e.silent = false
		})
	}
}

func (s *fakeSite) copiesOf(model int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.endpoints {
		if !e.silent && slices.Contains(e.models, s.engine.Models[model].Name) {
			n++
		}
	}
	return n
}

// coldLoadsWithin returns the most loads from the weight store within the window.
func (s *fakeSite) coldLoadsWithin(window time.Duration) int {
	most := 0
	for i, from := range s.coldLoads {
		n := 0
		for _, at := range s.coldLoads[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// risingModel is the load of a model that rises from 5 to 30 in 100 of the demand of all from the
// 15th second on, and falls again from the 27th, when five others fall silent and five rise to 8 in 100
// each. Eighteen have most of the rest.
func risingModel(endpoints, models int) func(int, time.Duration) float64 {
	total := 0.4 * siteCapacity * float64(endpoints)
	ramp := func(at time.Duration, from, length float64) float64 {
		return min(max((at.Seconds()-from)/length, 0), 1)
	}
	return func(i int, at time.Duration) float64 {
		background := 0.05 * total / float64(models)
		switch {
		case i == 7:
			return background + total*(0.05+0.25*ramp(at, 15, 6)-0.28*ramp(at, 27, 6))
		case i >= 8 && i < 13:
			return background + total*(0.9-0.25*ramp(at, 15, 6))/18*(1-ramp(at, 27, 6))
		case i >= 30 && i < 35:
			return background + total*0.08*ramp(at, 27, 6)
		case i < 19:
			return background + total*(0.9-0.25*ramp(at, 15, 6))/18
		default:
			return background
		}
	}
}

// play runs a loader for 40 s, and calls each after every step.
func (s *fakeSite) play(t *testing.T, each func(at time.Duration)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group := new(errgroup.Group)
	limits := loader.Limits{
		Window: 5 * time.Second, Burst: 1.1, MaxMoves: 6, MinGain: 2, MinDemand: siteCapacity / 2, StandbyCopies: 3,
		Follow: 12, Capacity: siteCapacity, TrendLead: 1,
	}
	l := loader.New(s, s, s, time.Now, limits, loader.WithGroup(group))
	for s.at() < 40*time.Second {
		if s.restarted {
			l, s.restarted = loader.New(s, s, s, time.Now, limits, loader.WithGroup(group)), false
		}
		if s.at()%beatTime == 0 {
			s.beat()
		}
		before := time.Now()
		if s.at()%stepTime == 0 {
			l.Step(ctx)
		}
		assert.Equal(t, before, time.Now(), "a step waits for nothing")
		each(s.at())
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	require.NoError(t, group.Wait())
	time.Sleep(15 * time.Second) // late orders
}

// A model whose demand rises has the copies that it needs permittedDelay after the loads alone would
// have given them, whatever becomes of orders and endpoints; others get them when it has fallen. No
// step waits, memory and the weight store's rate are kept, and each endpoint has one order in flight.
func TestCopiesFollowDemandThroughFaults(t *testing.T) {
	tests := []struct {
		name      string
		endpoints int
		lost      float64
		inUse     float64
		fault     func(s *fakeSite, at time.Duration)
	}{
		{name: "no fault", endpoints: 90},
		{name: "300 endpoints", endpoints: 300, lost: 0.3},
		{name: "three in ten orders unanswered or late", endpoints: 90, lost: 0.3},
		{name: "a quarter of the unloads wait for requests", endpoints: 90, inUse: 0.25},
		{name: "a quarter crashes while it rises", endpoints: 90, lost: 0.3, fault: func(s *fakeSite, at time.Duration) {
			if at == 17*time.Second {
				s.crash(4, 2*time.Second)
			}
		}},
		{name: "one is frozen", endpoints: 90, lost: 0.3, fault: func(s *fakeSite, at time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endpoints[3].silent = at > 14*time.Second && at < 22*time.Second
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				models := tt.endpoints * 7 / 5
				s := newFakeSite(tt.endpoints, models, 6)
				s.lost, s.inUse, s.demand = tt.lost, tt.inUse, risingModel(tt.endpoints, models)
				peak := 0
				s.play(t, func(at time.Duration) {
					if tt.fault != nil {
						tt.fault(s, at)
					}
					peak = max(peak, s.copiesOf(7))
					needed := func(i int) int {
						return int(s.demand(i, at-retireTime-unloadTime-coldTime-permittedDelay) / siteCapacity)
					}
					if at > 15*time.Second && at < 27*time.Second {
						require.GreaterOrEqual(t, s.copiesOf(7), needed(7), "at %s", at)
					}
					for i := 30; i < 35 && at > 27*time.Second; i++ {
						require.GreaterOrEqual(t, s.copiesOf(i), needed(i), "model %d at %s", i, at)
					}
				})
				assert.Less(t, s.copiesOf(7), peak, "copies are given up")
				assert.Empty(t, s.faults)
				assert.LessOrEqual(t, s.coldLoadsWithin(5*time.Second), int(s.engine.MaxLoadsPerSecond*5*1.1)+3)
				t.Log("peak", peak, "orders", s.orders, "cold loads", len(s.coldLoads))
			})
		})
	}
}

// Once the lease is lost nothing more is sent, also of moves that have begun; under a new one all
// goes on.
func TestLeaseLostWhileCopiesMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite(90, 126, 7)
		s.lost, s.demand = 0.3, risingModel(90, 126)
		lostAt, ordersAtLoss := 18*time.Second, 0
		s.play(t, func(at time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch at {
			case lostAt:
				ordersAtLoss, s.fence = s.orders, 0
			case lostAt + 4*time.Second:
				assert.Equal(t, ordersAtLoss, s.orders)
				s.fence = 2
			}
		})
		assert.Empty(t, s.faults)
		assert.Greater(t, s.orders, ordersAtLoss)
	})
}

// The loads that a holder of the lease has ordered count against the weight store's rate once another, the
// same one under a new fence, or its next start gives the orders.
func TestLoadsOfAnEarlierHolderExceedTheRate(t *testing.T) {
	for _, next := range []string{"none", "new fence", "restart"} {
		for _, ms := range []int{3500, 4000, 4500, 18000, 29000} {
			t.Run(fmt.Sprint(next, "/", ms), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFakeSite(90, 126, 8)
					s.engine.MaxLoadsPerSecond, s.demand = 3, risingModel(90, 126)
					s.play(t, func(at time.Duration) {
						s.mu.Lock()
						defer s.mu.Unlock()
						if at == time.Duration(ms)*time.Millisecond && next != "none" {
							s.fence, s.restarted = 2, next == "restart"
						}
					})
					assert.Empty(t, s.faults)
					assert.LessOrEqual(t, s.coldLoadsWithin(5*time.Second), int(s.engine.MaxLoadsPerSecond*5*1.1)+3)
				})
			})
		}
	}
}
