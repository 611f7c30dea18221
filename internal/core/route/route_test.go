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
			{Loaded: true, Leaving: true}, {Loaded: true, Suspect: true}, {},
		}},
		{name: "excluded", request: Request{Exclude: []fleet.Endpoint{"a"}}, want: 1, candidates: []Candidate{
			{Endpoint: "a", Loaded: true}, {Endpoint: "b", Loaded: true, Wait: time.Second},
		}},
		{name: "own in flight counts beside the report", want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: here, Loaded: true, Own: 10}, {Endpoint: "b", Place: here, Loaded: true, Running: 5},
		}},
		{name: "same data centre", want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: far, Loaded: true}, {Endpoint: "b", Place: here, Loaded: true, Running: 3},
		}},
		{name: "another data centre beats a wait", want: 0, candidates: []Candidate{
			{Endpoint: "a", Place: near, Loaded: true}, {Endpoint: "b", Place: here, Loaded: true, Wait: time.Second},
		}},
		{name: "cached prefix", request: Request{Prompt: 1000}, want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: here, Loaded: true}, {Endpoint: "b", Place: here, Loaded: true, Running: 3, Prefix: 960},
		}},
		{name: "adapter present", request: Request{Adapter: "gloves"}, want: 1, candidates: []Candidate{
			{Endpoint: "a", Place: here, Loaded: true}, {Endpoint: "b", Place: here, Loaded: true, Running: 2, Adapter: true},
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

func TestTiesAreSpread(t *testing.T) {
	r := New(Seed(7))
	candidates := make([]Candidate, 4)
	for i := range candidates {
		candidates[i] = Candidate{Endpoint: fleet.Endpoint(fmt.Sprint(i)), Place: here, Loaded: true}
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
	candidates := []Candidate{{Endpoint: "a", Place: far, Loaded: true}}
	bulk := Request{Rank: fleet.RankBulk, Place: here, Prompt: 1000, Tokens: 100}
	urgent := bulk
	urgent.Rank = fleet.RankUrgent
	r := New(WithLink(LinkBudget{Urgent: 20000, Bulk: 20000, Burst: time.Second}))
	_, ok := r.Choose(start, bulk, candidates)
	require.True(t, ok)
	_, ok = r.Choose(start, bulk, candidates)
	require.False(t, ok, "bulk has used its share")
	_, ok = r.Choose(start, urgent, candidates)
	require.True(t, ok, "urgent keeps its own")
	_, ok = r.Choose(start.Add(time.Second), bulk, candidates)
	require.True(t, ok, "the budget fills again")
	require.InDelta(t, 3*11000, r.LinkBytes(), 1)
}

func TestPrefixes(t *testing.T) {
	p := NewPrefixes(time.Minute, 100)
	p.Event(start, "a", 1, []Block{1, 2, 3}, nil)
	require.Equal(t, 3*BlockTokens, p.Match(start, "a", []Block{1, 2, 3, 4}))
	require.Zero(t, p.Match(start, "b", []Block{1}))
	p.Event(start, "a", 2, nil, []Block{2})
	require.Equal(t, BlockTokens, p.Match(start, "a", []Block{1, 2, 3}))
	later := start.Add(30 * time.Second)
	require.Equal(t, BlockTokens, p.Match(later, "a", []Block{1}))
	p.Event(later, "a", 5, nil, nil)
	require.Zero(t, p.Match(later, "a", []Block{1}), "a gap shortens the life of older entries")
	p.Sent(later, "a", []Block{9})
	require.Zero(t, p.Match(later.Add(time.Minute), "a", []Block{9}))
	p.Forget("a")
	require.Zero(t, p.Match(later, "a", []Block{9}))
}

func TestPrefixesStayWithinLimit(t *testing.T) {
	p := NewPrefixes(time.Minute, 100)
	for i := range 1000 {
		p.Sent(start, "a", []Block{Block(i)})
	}
	require.LessOrEqual(t, len(p.views["a"].blocks), 100)
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
			Endpoint: fleet.Endpoint(fmt.Sprintf("endpoint-%03d", i)),
			Place:    places[i%len(places)],
			Running:  i % 17,
			Loaded:   i%5 != 0,
		}
	}
	req := Request{Place: here, Adapter: "gloves", Prompt: 800, Exclude: []fleet.Endpoint{"endpoint-007"}}
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

// plainScore is the prediction written out, to compare the quick one with.
func plainScore(costs Costs, req Request, c Candidate) time.Duration {
	if c.Leaving || c.Suspect || !c.Loaded || slices.Contains(req.Exclude, c.Endpoint) {
		return never
	}
	score := c.Wait + time.Duration(c.Own)*costs.Own + time.Duration(c.Running+c.Queued)*costs.Running + time.Duration(c.Models)*costs.Model
	switch {
	case req.Place.DataCentre == c.Place.DataCentre:
	case req.Place.Region == c.Place.Region:
		score += costs.Centre
	default:
		score += costs.Region
	}
	score += time.Duration(float64(max(req.Prompt-c.Prefix, 0)) / costs.Prefill * float64(time.Second))
	if req.Adapter != "" && !c.Adapter {
		score += costs.adapter(c.Adapters)
	}
	return score
}

func plainChoose(r *rand.Rand, costs Costs, req Request, candidates []Candidate) (index int, ok bool) {
	best := never
	for _, c := range candidates {
		best = min(best, plainScore(costs, req, c))
	}
	if best == never {
		return 0, false
	}
	count := 0
	for i, c := range candidates {
		if plainScore(costs, req, c) <= best+max(costs.Tie, best/20) {
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
		Own: r.IntN(3), Models: r.IntN(2), Adapter: r.IntN(2) == 0, Adapters: r.IntN(120), Prefix: r.IntN(3) * r.IntN(2000),
		Leaving: r.IntN(8) == 0, Suspect: r.IntN(8) == 0, Loaded: r.IntN(8) != 0,
	}
}

func TestChoicesAreThoseOfThePlainPrediction(t *testing.T) {
	r, drawn := rand.New(rand.NewPCG(3, 4)), rand.New(rand.NewPCG(9, 10))
	router, costs := New(Seed(9)), DefaultCosts()
	for range 3000 {
		candidates := make([]Candidate, r.IntN(20))
		req := Request{Place: here, Prompt: r.IntN(2000), Adapter: []fleet.Adapter{"", "gloves"}[r.IntN(2)]}
		for i := range candidates {
			candidates[i] = randomCandidate(r, i)
			if r.IntN(8) == 0 {
				req.Exclude = append(req.Exclude, candidates[i].Endpoint)
			}
		}
		want, found := plainChoose(drawn, costs, req, candidates)
		got, ok := router.Choose(start, req, candidates)
		require.Equal(t, found, ok)
		require.Equal(t, want, got)
	}
}
