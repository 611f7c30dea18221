package loader_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/loader"
)

var errNoAnswer = errors.New("no answer")

// site is a fake of one endpoint with the models m and n, and of what the instance
// knows of it. Reports may be late.
type site struct {
	mu       sync.Mutex
	now      time.Time
	seq      int64
	adapters []roster.Adapter
	places   int
	peak     int
	orders   int
	lose     int // so many orders get no answer, though they are carried out
	inUse    []roster.Adapter
	coming   []roster.Adapter // not there yet; to unload one is done at once, and does nothing
	ending   []roster.Adapter // unloaded once their requests have ended; reports hide them
	known    roster.Report
	needed   []roster.Adapter
	fence    fleet.Fence
	during   func() // runs before an order is carried out
	starting bool   // other endpoints may not be listed yet
	lost     bool   // the endpoint has lost the model n
	loaded   []fleet.Model
	stale    bool // the endpoint answers with the report known already
}

func newSite(places int) *site {
	s := &site{now: time.Unix(1_000_000, 0), places: places, fence: 1}
	s.known = s.report()
	return s
}

func (s *site) report() roster.Report {
	m := roster.Holding{Model: "m"}
	for _, a := range s.adapters {
		if slices.Contains(s.coming, a) {
			continue
		}
		m.Adapters = append(m.Adapters, a.Adapter)
	}
	models := []roster.Holding{m, {Model: "n"}}
	if s.lost {
		models = models[:1]
	}
	return roster.Report{Models: models, Coming: s.coming, Seq: s.seq, Taken: s.now}
}

func (s *site) Order(_ context.Context, o loader.Order) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.during != nil {
		s.during()
	}
	if o.Seq != s.seq {
		return false, loader.ErrBusy
	}
	what := roster.Adapter{Model: o.Model, Adapter: o.Adapter}
	if o.Unload && slices.Contains(s.coming, what) {
		return true, nil
	}
	s.seq++
	s.orders++
	done := false
	switch {
	case o.Adapter == "":
		s.loaded = append(s.loaded, o.Model)
	case !o.Unload:
		s.adapters = append(s.adapters, what)
	case slices.Contains(s.inUse, what):
		s.ending = append(s.ending, what)
		s.adapters = slices.DeleteFunc(s.adapters, func(a roster.Adapter) bool { return a == what })
	default:
		done = true
		s.adapters = slices.DeleteFunc(s.adapters, func(a roster.Adapter) bool { return a == what })
	}
	s.peak = max(s.peak, len(s.adapters)+len(s.ending))
	if s.lose > 0 {
		s.lose--
		return false, errNoAnswer
	}
	return done, nil
}

func (s *site) Report(context.Context, fleet.Endpoint, int64, string) (roster.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale {
		return s.known, nil
	}
	return s.report(), nil
}

func (s *site) Orders() (fleet.Fence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence, s.fence != 0
}

func (s *site) group() *catalog.Group {
	return &catalog.Group{Name: "s", Engine: &catalog.Engine{MemoryMB: 220, AdapterSlots: s.places, MaxLoadsPerSecond: 2, Models: []catalog.Model{
		{Name: "m", MemoryMB: 70, Adapters: []fleet.Adapter{"a1", "a2", "a3", "a4"}}, {Name: "n", MemoryMB: 70},
	}}}
}

func (s *site) Settled() bool { return !s.starting }

func (s *site) Engines() []*catalog.Group { return []*catalog.Group{s.group()} }

func (s *site) Engine(catalog.Service) []loader.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []loader.Candidate{{ID: "p", Report: s.known, Needed: s.needed}}
}

func (s *site) Demand() (newest, steady map[fleet.Model]float64, adapters map[roster.Adapter]float64) {
	return nil, nil, nil
}

func (s *site) Reported(_ fleet.Endpoint, r roster.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = r
}

func (s *site) Learned(fleet.Endpoint, roster.Adapter, bool) {}
func (s *site) Retire(fleet.Endpoint, fleet.Model)           {}

func (s *site) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *site) pass(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

func newLoader(s *site) *loader.Loader {
	return loader.New(s, s, s, s.clock, loader.Limits{Window: 5 * time.Second, Over: 1.1, Swaps: 4, Gain: 2, Least: 100})
}

func ensure(t *testing.T, l *loader.Loader, names ...fleet.Adapter) error {
	t.Helper()
	var err error
	for _, n := range names {
		err = l.Ensure(t.Context(), "p", 0, roster.Adapter{Model: "m", Adapter: n})
	}
	return err
}

func TestAdaptersYieldToLaterOnes(t *testing.T) {
	s := newSite(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1", "a2"))
	assert.Equal(t, 2, s.orders)
	require.NoError(t, ensure(t, l, "a1"))
	assert.Equal(t, 2, s.orders, "it is there")
	s.pass(time.Second)
	s.Reported("p", s.report())
	require.NoError(t, ensure(t, l, "a2", "a3"))
	assert.Equal(t, []roster.Adapter{{Model: "m", Adapter: "a2"}, {Model: "m", Adapter: "a3"}}, s.adapters, "the one used longest ago yields")
	assert.LessOrEqual(t, s.peak, s.places)
}

// Reports from before an order don't make its place look free.
func TestLateReportsFreeNoPlace(t *testing.T) {
	s := newSite(2)
	l := newLoader(s)
	old := s.known
	require.NoError(t, ensure(t, l, "a1", "a2"))
	s.pass(300 * time.Millisecond)
	old.Taken = s.clock()
	s.Reported("p", old)
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoPlace, "neither is known to be there")
	s.pass(time.Second)
	s.Reported("p", s.report())
	require.NoError(t, ensure(t, l, "a3"))
	assert.LessOrEqual(t, s.peak, s.places)
}

// Requests that wait for their turn look at what was ordered meanwhile.
func TestRequestsAtOnceKeepThePlaces(t *testing.T) {
	s := newSite(2)
	l := newLoader(s)
	var wait sync.WaitGroup
	for _, name := range []fleet.Adapter{"a1", "a2", "a3", "a4"} {
		wait.Go(func() { _ = l.Ensure(context.Background(), "p", 0, roster.Adapter{Model: "m", Adapter: name}) })
	}
	wait.Wait()
	assert.LessOrEqual(t, s.peak, s.places)
}

// A new holder, or the same one after a restart, knows nothing of orders before: it
// asks for the count, and forgets no order of its own when its first step comes.
func TestANewHolderAsksForTheCount(t *testing.T) {
	s := newSite(2)
	require.NoError(t, ensure(t, newLoader(s), "a1", "a2"))
	old := s.known
	s.pass(5 * time.Second)
	s.Reported("p", s.report())
	l := newLoader(s)
	s.fence = 2
	require.NoError(t, ensure(t, l, "a3"))
	s.pass(100 * time.Millisecond)
	l.Step(t.Context())
	old.Taken = s.clock()
	s.Reported("p", old)
	require.NoError(t, ensure(t, l, "a4"))
	assert.LessOrEqual(t, s.peak, s.places)
}

// An order without an answer may have been carried out.
func TestAnOrderWithoutAnswerKeepsItsPlace(t *testing.T) {
	s := newSite(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1"))
	s.pass(2 * time.Second)
	s.Reported("p", s.report())
	s.lose = 1
	require.ErrorIs(t, ensure(t, l, "a2"), errNoAnswer)
	// The count is known, but the list of adapters is from before.
	s.known.Seq, s.known.Taken, s.stale = s.seq, s.now, true
	_ = ensure(t, l, "a3", "a4")
	assert.LessOrEqual(t, s.peak, s.places)
}

// What requests in flight use doesn't yield; what ends keeps its place till then,
// though reports no longer show it.
func TestAdaptersInUse(t *testing.T) {
	s := newSite(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1", "a2"))
	s.needed = []roster.Adapter{{Model: "m", Adapter: "a1"}, {Model: "m", Adapter: "a2"}}
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoPlace)
	assert.Equal(t, 2, s.orders)
	// An instance that hasn't told of its request yet uses one of them.
	s.needed, s.inUse = nil, []roster.Adapter{{Model: "m", Adapter: "a1"}, {Model: "m", Adapter: "a2"}}
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoPlace)
	s.pass(3 * time.Second)
	s.Reported("p", s.report())
	_ = ensure(t, l, "a3", "a4")
	assert.LessOrEqual(t, s.peak, s.places)
}

// An adapter on its way is no place that can be freed.
func TestAdaptersOnTheirWayDontYield(t *testing.T) {
	s := newSite(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1"))
	s.pass(2 * time.Second)
	s.coming = []roster.Adapter{{Model: "m", Adapter: "a2"}}
	require.NoError(t, ensure(t, l, "a2"))
	s.needed = []roster.Adapter{{Model: "m", Adapter: "a1"}}
	s.pass(200 * time.Millisecond)
	s.Reported("p", s.report())
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoPlace)
	s.pass(2 * time.Second)
	s.Reported("p", s.report())
	_ = ensure(t, l, "a4")
	assert.LessOrEqual(t, s.peak, s.places)
}

func TestNoOrderWithoutTheRight(t *testing.T) {
	s := newSite(2)
	s.fence = 0
	l := newLoader(s)
	require.ErrorIs(t, ensure(t, l, "a1"), loader.ErrNoRight)
	assert.False(t, l.Step(t.Context()))
	s.fence = 1
	s.during = func() { s.fence = 0 } // lost while the order is on its way
	_ = ensure(t, l, "a1", "a2")
	assert.Equal(t, 1, s.orders)
}

// An order that was carried out late is seen with the count: the place that an older
// report shows as free is not filled on the newer count.
func TestStockingLooksAtTheReportOfItsCount(t *testing.T) {
	s := newSite(2)
	s.adapters = []roster.Adapter{{Model: "m", Adapter: "a1"}}
	s.seq = 1
	s.Reported("p", s.report())
	s.adapters = append(s.adapters, roster.Adapter{Model: "m", Adapter: "a2"})
	s.seq = 2
	newLoader(s).Step(t.Context())
	assert.LessOrEqual(t, max(s.peak, len(s.adapters)), s.places)
}

// While endpoints are still being listed, a model that none of them has isn't lost.
func TestModelsOfEndpointsToComeAreNotLost(t *testing.T) {
	s := newSite(1)
	s.lost, s.starting = true, true
	s.Reported("p", s.report())
	l := newLoader(s)
	l.Step(t.Context())
	assert.Empty(t, s.loaded)
	s.starting = false
	l.Step(t.Context())
	assert.Equal(t, []fleet.Model{"n"}, s.loaded)
}

func TestFreePlacesAreFilledAhead(t *testing.T) {
	s := newSite(3)
	l := newLoader(s)
	for range 5 {
		l.Step(t.Context())
		s.pass(2 * time.Second)
		s.Reported("p", s.report())
	}
	assert.Len(t, s.adapters, 3)
	assert.Equal(t, 3, s.peak)
}
