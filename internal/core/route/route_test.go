package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

var (
	start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	here  = fleet.Place{Region: "sask", DataCentre: "s1"}
	near  = fleet.Place{Region: "sask", DataCentre: "s2"}
	far   = fleet.Place{Region: "manitoba", DataCentre: "m1"}
)

func TestChoose(t *testing.T) {
	tests := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       int
		none       bool
	}{
		{name: "none", none: true},
		{name: "leaving, suspect, not loaded", none: true, candidates: []Candidate{
			{ModelLoaded: true, Leaving: true}, {ModelLoaded: true, Suspect: true}, {},
		}},
		{name: "excluded", request: Request{Exclude: []fleet.Endpoint{"a"}}, want: 1, candidates: []Candidate{
			{Endpoint: "a", ModelLoaded: true}, {Endpoint: "b", ModelLoaded: true, Wait: time.Second},
		}},
		{name: "unreported requests count in addition to the report", want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: here, ModelLoaded: true, Unreported: 10}, {Endpoint: "b", Place: here, ModelLoaded: true, Running: 5},
		}},
		{name: "same data centre", want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: far, ModelLoaded: true}, {Endpoint: "b", Place: here, ModelLoaded: true, Running: 3},
		}},
		{name: "another data centre is better than a long wait", want: 0, candidates: []Candidate{
			{Endpoint: "a", Place: near, ModelLoaded: true}, {Endpoint: "b", Place: here, ModelLoaded: true, Wait: time.Second},
		}},
		{name: "cached prefix", request: Request{PromptTokens: 1000}, want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: here, ModelLoaded: true}, {Endpoint: "b", Place: here, ModelLoaded: true, Running: 3, CachedTokens: 960},
		}},
		{name: "adapter present", request: Request{Adapter: "gloves"}, want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: here, ModelLoaded: true}, {Endpoint: "b", Place: here, ModelLoaded: true, Running: 2, AdapterLoaded: true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.request.Place = here
			got, ok := New().Choose(start, tt.request, tt.candidates)
			require.Equal(t, !tt.none, ok)
			require.Equal(t, tt.want, got)
		})
	}
}

func TestNearEqualCandidatesAreChosenAtRandom(t *testing.T) {
	r := New(WithSeed(7))
	candidates := make([]Candidate, 4)
	for i := range candidates {
		candidates[i] = Candidate{Endpoint: fleet.Endpoint(fmt.Sprint(i)), Place: here, ModelLoaded: true}
	}
	var counts [4]int
	for range 400 {
		i, ok := r.Choose(start, Request{Place: here}, candidates)
		require.True(t, ok)
		counts[i]++
	}
	for _, n := range counts {
		require.Greater(t, n, 50)
	}
}

func TestLinkBudgetByRank(t *testing.T) {
	candidates := []Candidate{{Endpoint: "a", Place: far, ModelLoaded: true}}
	bulk := Request{Rank: fleet.RankBulk, Place: here, PromptTokens: 1000, AnswerTokens: 100}
	urgent := bulk
	urgent.Rank = fleet.RankUrgent
	r := New(WithLink(LinkBudget{Urgent: 20000, Bulk: 20000, Burst: time.Second}))
	_, ok := r.Choose(start, bulk, candidates)
	require.True(t, ok)
	_, ok = r.Choose(start, bulk, candidates)
	require.False(t, ok, "bulk has used its share")
	_, ok = r.Choose(start, urgent, candidates)
	require.True(t, ok, "urgent has its own budget")
	_, ok = r.Choose(start.Add(time.Second), bulk, candidates)
	require.True(t, ok, "the budget is refilled")
	require.InDelta(t, 3*11000, r.LinkBytes(), 1)
}

func TestPrefixIndex(t *testing.T) {
	p := NewPrefixIndex(time.Minute, 100)
	p.RecordEvent(start, "a", 1, []Block{1, 2, 3}, nil)
	require.Equal(t, 3*BlockTokens, p.Match(start, "a", []Block{1, 2, 3, 4}))
	require.Zero(t, p.Match(start, "b", []Block{1}))
	p.RecordEvent(start, "a", 2, nil, []Block{2})
	require.Equal(t, BlockTokens, p.Match(start, "a", []Block{1, 2, 3}))
	later := start.Add(30 * time.Second)
	require.Equal(t, BlockTokens, p.Match(later, "a", []Block{1}))
	p.RecordEvent(later, "a", 5, nil, nil)
	require.Zero(t, p.Match(later, "a", []Block{1}), "a gap shortens the expiry of older entries")
	p.RecordSent(later, "a", []Block{9})
	require.Zero(t, p.Match(later.Add(time.Minute), "a", []Block{9}))
	p.Remove("a")
	require.Zero(t, p.Match(later, "a", []Block{9}))
}

func TestPrefixIndexStaysWithinLimit(t *testing.T) {
	p := NewPrefixIndex(time.Minute, 100)
	for i := range 1000 {
		p.RecordSent(start, "a", []Block{Block(i)})
	}
	require.LessOrEqual(t, len(p.caches["a"].blocks), 100)
}

func TestChooseDoesNotAllocate(t *testing.T) {
	r, req, candidates := benchmarkCase(600)
	r.Choose(start, req, candidates)
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Choose(start, req, candidates) }))
}

func benchmarkCase(n int) (*Router, Request, []Candidate) {
	candidates := make([]Candidate, n)
	places := []fleet.Place{here, near, far}
	for i := range candidates {
		candidates[i] = Candidate{
			Endpoint:    fleet.Endpoint(fmt.Sprintf("endpoint-%03d", i)),
			Place:       places[i%len(places)],
			Running:     i % 17,
			ModelLoaded: i%5 != 0,
		}
	}
	req := Request{Place: here, Adapter: "gloves", PromptTokens: 800, Exclude: []fleet.Endpoint{"endpoint-007"}}
	return New(WithLink(LinkBudget{Urgent: 1e9, Burst: time.Second})), req, candidates
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{60, 200, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, req, candidates := benchmarkCase(n)
			b.ReportAllocs()
			for b.Loop() {
				r.Choose(start, req, candidates)
			}
		})
	}
}

// referenceScore is a direct implementation of the prediction, to compare Router with.
func referenceScore(costs Costs, req Request, c Candidate) time.Duration {
	if c.Leaving || c.Suspect || !c.ModelLoaded || slices.Contains(req.Exclude, c.Endpoint) {
		return excluded
	}
	score := c.Wait + time.Duration(c.Unreported)*costs.Unreported + time.Duration(c.Running+c.Queued)*costs.Running + time.Duration(c.OtherModels)*costs.OtherModel
	switch {
	case req.Place.DataCentre == c.Place.DataCentre:
	case req.Place.Region == c.Place.Region:
		score += costs.DataCentre
	default:
		score += costs.Region
	}
	score += time.Duration(float64(max(req.PromptTokens-c.CachedTokens, 0)) / costs.Prefill * float64(time.Second))
	if req.Adapter != "" && !c.AdapterLoaded {
		score += costs.adapterLoad(c.AdapterLoads)
	}
	return score
}

func referenceChoose(r *rand.Rand, costs Costs, req Request, candidates []Candidate) (index int, ok bool) {
	best := excluded
	for _, c := range candidates {
		best = min(best, referenceScore(costs, req, c))
	}
	if best == excluded {
		return 0, false
	}
	count := 0
	for i, c := range candidates {
		if referenceScore(costs, req, c) <= best+max(costs.Tie, best/20) {
			if count++; count == 1 || r.IntN(count) == 0 {
				index = i
			}
		}
	}
	return index, true
}

func randomCandidate(r *rand.Rand, i int) Candidate {
	return Candidate{
		Endpoint: fleet.Endpoint(fmt.Sprint(i)), Place: []fleet.Place{here, near, far}[r.IntN(3)],
		Running: r.IntN(5), Queued: r.IntN(3), Wait: time.Duration(r.IntN(4)) * 10 * time.Millisecond,
		Unreported: r.IntN(3), OtherModels: r.IntN(2), AdapterLoaded: r.IntN(2) == 0, AdapterLoads: r.IntN(120), CachedTokens: r.IntN(3) * r.IntN(2000),
		Leaving: r.IntN(8) == 0, Suspect: r.IntN(8) == 0, ModelLoaded: r.IntN(8) != 0,
	}
}

func TestChooseMatchesReference(t *testing.T) {
	r, referenceRandom := rand.New(rand.NewPCG(3, 4)), rand.New(rand.NewPCG(9, 10))
	router, costs := New(WithSeed(9)), DefaultCosts()
	for range 3000 {
		candidates := make([]Candidate, r.IntN(20))
		req := Request{Place: here, PromptTokens: r.IntN(2000), Adapter: []fleet.Adapter{"", "gloves"}[r.IntN(2)]}
		for i := range candidates {
			candidates[i] = randomCandidate(r, i)
			if r.IntN(8) == 0 {
				req.Exclude = append(req.Exclude, candidates[i].Endpoint)
			}
		}
		want, found := referenceChoose(referenceRandom, costs, req, candidates)
		got, ok := router.Choose(start, req, candidates)
		require.Equal(t, found, ok)
		require.Equal(t, want, got)
	}
}
