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

// fakeCluster fakes one endpoint with the models m and n, and what the instance has recorded
// about it. Reports may be late.
type fakeCluster struct {
	mu            sync.Mutex
	now           time.Time
	seq           int64
	adapters      []roster.Adapter
	slots         int
	peakAdapters  int
	orderCount    int
	lostAnswers   int // how many orders get no answer although they are carried out
	inUse         []roster.Adapter
	loading       []roster.Adapter // still loading; unloading one succeeds at once without effect
	unloading     []roster.Adapter // unloaded when their requests end; reports don't show them
	lastReport    roster.Report
	adaptersInUse []roster.Adapter
	fence         fleet.Fence
	beforeOrder   func() // called before an order is carried out
	listing       bool   // not all endpoints may be listed yet
	modelLost     bool   // the endpoint doesn't have the model n
	loaded        []fleet.Model
	spared        bool // the endpoint wants nothing from this instance
	staleReports  bool // the endpoint answers with lastReport instead of a new report
}

func newFakeCluster(slots int) *fakeCluster {
	f := &fakeCluster{now: time.Unix(1_000_000, 0), slots: slots, fence: 1}
	f.lastReport = f.report()
	return f
}

func (f *fakeCluster) report() roster.Report {
	m := roster.Holding{Model: "m"}
	for _, a := range f.adapters {
		if slices.Contains(f.loading, a) {
			continue
		}
		m.Adapters = append(m.Adapters, a.Adapter)
	}
	models := []roster.Holding{m, {Model: "n"}}
	if f.modelLost {
		models = models[:1]
	}
	return roster.Report{Models: models, Coming: f.loading, Seq: f.seq, Taken: f.now}
}

func (f *fakeCluster) Order(_ context.Context, o loader.Order) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beforeOrder != nil {
		f.beforeOrder()
	}
	if o.Seq != f.seq {
		return false, loader.ErrBusy
	}
	adapter := roster.Adapter{Model: o.Model, Adapter: o.Adapter}
	if o.Unload && slices.Contains(f.loading, adapter) {
		return true, nil
	}
	f.seq++
	f.orderCount++
	done := false
	switch {
	case o.Adapter == "":
		f.loaded = append(f.loaded, o.Model)
	case !o.Unload:
		f.adapters = append(f.adapters, adapter)
	case slices.Contains(f.inUse, adapter):
		f.unloading = append(f.unloading, adapter)
		f.adapters = slices.DeleteFunc(f.adapters, func(a roster.Adapter) bool { return a == adapter })
	default:
		done = true
		f.adapters = slices.DeleteFunc(f.adapters, func(a roster.Adapter) bool { return a == adapter })
	}
	f.peakAdapters = max(f.peakAdapters, len(f.adapters)+len(f.unloading))
	if f.lostAnswers > 0 {
		f.lostAnswers--
		return false, errNoAnswer
	}
	return done, nil
}

func (f *fakeCluster) Report(context.Context, fleet.Endpoint, int64, string) (roster.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleReports {
		return f.lastReport, nil
	}
	return f.report(), nil
}

func (f *fakeCluster) MayOrder() (fleet.Fence, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fence, f.fence != 0
}

func (f *fakeCluster) group() *catalog.Group {
	return &catalog.Group{Name: "s", Engine: &catalog.Engine{MemoryMB: 220, AdapterSlots: f.slots, MaxLoadsPerSecond: 2, Models: []catalog.Model{
		{Name: "m", MemoryMB: 70, Adapters: []fleet.Adapter{"a1", "a2", "a3", "a4"}}, {Name: "n", MemoryMB: 70},
	}}}
}

func (f *fakeCluster) Settled() bool { return !f.listing }

func (f *fakeCluster) Engines() []*catalog.Group { return []*catalog.Group{f.group()} }

func (f *fakeCluster) Candidates(catalog.Service) []loader.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []loader.Candidate{{ID: "p", Report: f.lastReport, AdaptersInUse: f.adaptersInUse, Spared: f.spared}}
}

func (f *fakeCluster) Candidate(s catalog.Service, _ fleet.Endpoint) (loader.Candidate, bool) {
	return f.Candidates(s)[0], true
}

func (f *fakeCluster) Demand() (recent, longTerm map[fleet.Model]float64, adapters map[roster.Adapter]float64) {
	return nil, nil, nil
}

func (f *fakeCluster) RecordReport(_ fleet.Endpoint, r roster.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReport = r
}

func (f *fakeCluster) RecordPresence(fleet.Endpoint, roster.Adapter, bool) {}
func (f *fakeCluster) AnnounceRetirement(fleet.Endpoint, fleet.Model)      {}

func (f *fakeCluster) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeCluster) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func newLoader(s *fakeCluster) *loader.Loader {
	return loader.New(s, s, s, s.clock, loader.Limits{Window: 5 * time.Second, Burst: 1.1, MaxMoves: 4, MinGain: 2, MinDemand: 100})
}

func ensure(t *testing.T, l *loader.Loader, names ...fleet.Adapter) error {
	t.Helper()
	var err error
	for _, n := range names {
		err = l.Ensure(t.Context(), "p", 0, roster.Adapter{Model: "m", Adapter: n})
	}
	return err
}

func TestLeastRecentlyUsedAdapterIsEvicted(t *testing.T) {
	s := newFakeCluster(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1", "a2"))
	assert.Equal(t, 2, s.orderCount)
	require.NoError(t, ensure(t, l, "a1"))
	assert.Equal(t, 2, s.orderCount, "the adapter is already loaded")
	s.advance(time.Second)
	s.RecordReport("p", s.report())
	require.NoError(t, ensure(t, l, "a2", "a3"))
	assert.Equal(t, []roster.Adapter{{Model: "m", Adapter: "a2"}, {Model: "m", Adapter: "a3"}}, s.adapters, "the least recently used one is evicted")
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

// A report from before an order doesn't make the order's slot look free.
func TestLateReportsFreeNoSlot(t *testing.T) {
	s := newFakeCluster(2)
	l := newLoader(s)
	old := s.lastReport
	require.NoError(t, ensure(t, l, "a1", "a2"))
	s.advance(300 * time.Millisecond)
	old.Taken = s.clock()
	s.RecordReport("p", old)
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoSlot, "no report shows either of them as loaded")
	s.advance(time.Second)
	s.RecordReport("p", s.report())
	require.NoError(t, ensure(t, l, "a3"))
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

// Requests that wait for the endpoint's lock take into account what was ordered meanwhile.
func TestConcurrentRequestsRespectTheSlotLimit(t *testing.T) {
	s := newFakeCluster(2)
	l := newLoader(s)
	var wait sync.WaitGroup
	for _, name := range []fleet.Adapter{"a1", "a2", "a3", "a4"} {
		wait.Go(func() { _ = l.Ensure(context.Background(), "p", 0, roster.Adapter{Model: "m", Adapter: name}) })
	}
	wait.Wait()
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

// A new lease holder, or the same one after a restart, has no record of earlier orders. It
// has to request the order count, and must not discard its own orders at its first step.
func TestNewHolderFetchesTheOrderCount(t *testing.T) {
	s := newFakeCluster(2)
	require.NoError(t, ensure(t, newLoader(s), "a1", "a2"))
	old := s.lastReport
	s.advance(5 * time.Second)
	s.RecordReport("p", s.report())
	l := newLoader(s)
	s.fence = 2
	require.NoError(t, ensure(t, l, "a3"))
	s.advance(100 * time.Millisecond)
	l.Step(t.Context())
	old.Taken = s.clock()
	s.RecordReport("p", old)
	require.NoError(t, ensure(t, l, "a4"))
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

// An order without an answer may have been carried out, so its slot counts as occupied.
func TestUnansweredOrderKeepsItsSlot(t *testing.T) {
	s := newFakeCluster(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1"))
	s.advance(2 * time.Second)
	s.RecordReport("p", s.report())
	s.lostAnswers = 1
	require.ErrorIs(t, ensure(t, l, "a2"), errNoAnswer)
	// The report has the newest count, but its adapters are from before the order.
	s.lastReport.Seq, s.lastReport.Taken, s.staleReports = s.seq, s.now, true
	_ = ensure(t, l, "a3", "a4")
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

// Adapters that requests in flight use are not evicted. An adapter whose unload waits for its
// requests occupies its slot until they end, though reports no longer show it.
func TestAdaptersInUseAreNotEvicted(t *testing.T) {
	s := newFakeCluster(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1", "a2"))
	s.adaptersInUse = []roster.Adapter{{Model: "m", Adapter: "a1"}, {Model: "m", Adapter: "a2"}}
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoSlot)
	assert.Equal(t, 2, s.orderCount)
	// Another instance uses the adapters but has not announced its requests yet.
	s.adaptersInUse, s.inUse = nil, []roster.Adapter{{Model: "m", Adapter: "a1"}, {Model: "m", Adapter: "a2"}}
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoSlot)
	s.advance(3 * time.Second)
	s.RecordReport("p", s.report())
	_ = ensure(t, l, "a3", "a4")
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

// An adapter that is still loading can't be unloaded to free its slot.
func TestLoadingAdaptersAreNotEvicted(t *testing.T) {
	s := newFakeCluster(2)
	l := newLoader(s)
	require.NoError(t, ensure(t, l, "a1"))
	s.advance(2 * time.Second)
	s.loading = []roster.Adapter{{Model: "m", Adapter: "a2"}}
	require.NoError(t, ensure(t, l, "a2"))
	s.adaptersInUse = []roster.Adapter{{Model: "m", Adapter: "a1"}}
	s.advance(200 * time.Millisecond)
	s.RecordReport("p", s.report())
	require.ErrorIs(t, ensure(t, l, "a3"), loader.ErrNoSlot)
	s.advance(2 * time.Second)
	s.RecordReport("p", s.report())
	_ = ensure(t, l, "a4")
	assert.LessOrEqual(t, s.peakAdapters, s.slots)
}

func TestNoOrdersWithoutTheLease(t *testing.T) {
	s := newFakeCluster(2)
	s.fence = 0
	l := newLoader(s)
	require.ErrorIs(t, ensure(t, l, "a1"), loader.ErrNotLeaseHolder)
	assert.False(t, l.Step(t.Context()))
	s.fence = 1
	s.beforeOrder = func() { s.fence = 0 } // the lease is lost while the order is in transit
	_ = ensure(t, l, "a1", "a2")
	assert.Equal(t, 1, s.orderCount)
}

// A late order shows in the order count. A slot that only an older report shows as free must
// not be filled with the newer count.
func TestPreloadUsesTheReportOfItsOrderCount(t *testing.T) {
	s := newFakeCluster(2)
	s.adapters = []roster.Adapter{{Model: "m", Adapter: "a1"}}
	s.seq = 1
	s.RecordReport("p", s.report())
	s.adapters = append(s.adapters, roster.Adapter{Model: "m", Adapter: "a2"})
	s.seq = 2
	newLoader(s).Step(t.Context())
	assert.LessOrEqual(t, max(s.peakAdapters, len(s.adapters)), s.slots)
}

// While endpoints are still being listed, a model that none of them has must not be loaded: an
// endpoint that has it may not be listed yet.
func TestNoModelLoadsBeforeTheEndpointListSettles(t *testing.T) {
	s := newFakeCluster(1)
	s.modelLost, s.listing = true, true
	s.RecordReport("p", s.report())
	l := newLoader(s)
	l.Step(t.Context())
	assert.Empty(t, s.loaded)
	s.listing = false
	l.Step(t.Context())
	assert.Equal(t, []fleet.Model{"n"}, s.loaded)
}

func TestSparedEndpointGetsNoOrders(t *testing.T) {
	s := newFakeCluster(2)
	s.modelLost, s.spared = true, true
	s.RecordReport("p", s.report())
	l := newLoader(s)
	l.Step(t.Context())
	require.ErrorIs(t, ensure(t, l, "a1"), loader.ErrUnavailable)
	assert.Zero(t, s.orderCount)
	s.spared = false
	require.NoError(t, ensure(t, l, "a1"))
}

func TestFreeSlotsArePreloaded(t *testing.T) {
	s := newFakeCluster(3)
	l := newLoader(s)
	for range 5 {
		l.Step(t.Context())
		s.advance(2 * time.Second)
		s.RecordReport("p", s.report())
	}
	assert.Len(t, s.adapters, 3)
	assert.Equal(t, 3, s.peakAdapters)
}
