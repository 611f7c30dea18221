package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

var (
	start   = time.Unix(1_000_000, 0)
	regions = map[fleet.DataCentre]fleet.Region{"a": "south", "b": "south", "c": "north"}
	here    = fleet.Place{Region: "south", DataCentre: "a"}
	engine  = &catalog.Group{Name: "s", Engine: &catalog.Engine{}}
)

func endpoint(id fleet.Endpoint, dc fleet.DataCentre, adapters ...fleet.Adapter) *roster.Endpoint {
	return &roster.Endpoint{Entry: roster.Entry{
		ID: id, Service: "s", DataCentre: dc, Slots: 64, Models: []roster.Holding{{Model: "m", Adapters: adapters}},
	}}
}

func newRequest(level int, adapter fleet.Adapter) *balance.Request {
	return &balance.Request{
		Service: "s", Model: "m", Adapter: adapter, PromptTokens: 9000, OutputTokens: 50, Level: level, Place: here, Target: 800 * time.Millisecond,
		Parts: []balance.PromptPart{{ID: "x", Tokens: 2500}, {ID: "y", Tokens: 3800}, {ID: "own", Tokens: 2700}},
	}
}

func TestChoose(t *testing.T) {
	leaving, lost := endpoint("leaving", "a"), endpoint("lost", "a")
	leaving.Leaving, lost.Lost = true, true
	busy := endpoint("busy", "a")
	busy.Report.Busy = true
	old, updated := endpoint("old", "c"), endpoint("updated", "a")
	old.Software, updated.Software = "1", "2"
	tests := []struct {
		name      string
		adapter   fleet.Adapter
		endpoints []*roster.Endpoint
		loads     map[fleet.Endpoint]balance.Load
		exclude   []fleet.Endpoint
		software  *fleet.Software
		want      fleet.Endpoint
		missing   balance.Missing
	}{
		{name: "own data centre first", endpoints: []*roster.Endpoint{endpoint("p", "c"), endpoint("q", "a")}, want: "q"},
		{
			name: "less loaded endpoint first", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a")},
			loads: map[fleet.Endpoint]balance.Load{"p": {Running: 9, Pending: [3]time.Duration{time.Second}}}, want: "q",
		},
		{
			name: "another region before a long wait", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "c")},
			loads: map[fleet.Endpoint]balance.Load{"p": {Running: 9, Pending: [3]time.Duration{time.Second}}}, want: "q",
		},
		{
			name: "less urgent requests don't count", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "c")},
			loads: map[fleet.Endpoint]balance.Load{"p": {Running: 1, Pending: [3]time.Duration{0, 0, time.Minute}}}, want: "p",
		},
		{name: "leaving and lost endpoints are skipped", endpoints: []*roster.Endpoint{leaving, lost}, missing: balance.MissingModel},
		{name: "endpoint that has the adapter", adapter: "x", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a", "x")}, want: "q"},
		{name: "no adapter load on a busy endpoint", adapter: "x", endpoints: []*roster.Endpoint{busy, endpoint("q", "c")}, want: "q"},
		{name: "no endpoint can load the adapter", adapter: "x", endpoints: []*roster.Endpoint{busy}, missing: balance.MissingAdapter},
		{name: "excluded endpoint is skipped", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "c")}, exclude: []fleet.Endpoint{"p"}, want: "q"},
		{name: "a new stream at any version", endpoints: []*roster.Endpoint{old, updated}, want: "updated"},
		{name: "the rest of a stream at its version", endpoints: []*roster.Endpoint{old, updated}, software: &old.Software, want: "old"},
		{name: "the rest of a stream, none of its version", endpoints: []*roster.Endpoint{updated}, software: &old.Software, missing: balance.MissingModel},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balance.NewBalancer()
			b.SetRemote("other", tt.loads, nil)
			a := newRequest(0, tt.adapter)
			a.Parts, a.Exclude, a.Software = nil, tt.exclude, tt.software
			c, missing := b.Choose(start, a, engine, tt.endpoints, regions)
			require.Equal(t, tt.missing, missing)
			if missing == balance.MissingNone {
				assert.Equal(t, tt.want, c.Endpoint.ID)
			}
		})
	}
}

func TestSuspectEndpointsAreChosenLast(t *testing.T) {
	r := roster.New()
	for _, id := range []fleet.Endpoint{"p", "q"} {
		e := endpoint(id, "a").Entry
		r.Apply(start, []roster.Record{{ID: id, Entry: e}}, 1)
	}
	r.RecordFailure(start, "p", 0)
	b := balance.NewBalancer()
	b.SetRemote("other", map[fleet.Endpoint]balance.Load{"q": {Running: 9, Pending: [3]time.Duration{time.Second}}}, nil)
	c, missing := b.Choose(start, newRequest(0, ""), engine, r.All(), regions)
	require.Equal(t, balance.MissingNone, missing)
	assert.Equal(t, fleet.Endpoint("q"), c.Endpoint.ID)
	r.RecordFailure(start, "q", 0)
	_, missing = b.Choose(start, newRequest(0, ""), engine, r.All(), regions)
	assert.Equal(t, balance.MissingNone, missing, "a suspect endpoint is used when there is no other")
}

// Instances that share no state must send prompts with a common prefix to one endpoint.
func TestInstancesPreferSameEndpointForSharedPrefix(t *testing.T) {
	endpoints := []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a"), endpoint("r", "a")}
	one, _ := balance.NewBalancer().Choose(start, newRequest(0, ""), engine, endpoints, regions)
	two, _ := balance.NewBalancer().Choose(start, newRequest(1, ""), engine, endpoints, regions)
	assert.Equal(t, one.Endpoint.ID, two.Endpoint.ID)
}

func TestCachedPromptShortensPredictedWait(t *testing.T) {
	b := balance.NewBalancer()
	e := []*roster.Endpoint{endpoint("p", "a")}
	cold, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
	prefill := b.Started("p", newRequest(0, ""))
	b.Answered("p", 0, prefill)
	b.Ended("p", newRequest(0, ""))
	warm, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
	assert.Less(t, warm.Wait, cold.Wait)
	assert.Empty(t, b.OwnLoads(), "an ended request leaves no load")
	b.ClearPrompts("p")
	again, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
	assert.Equal(t, cold.Wait, again.Wait, "a restart clears the cached prompts")
}

func TestPrefillFactorConverges(t *testing.T) {
	b := balance.NewBalancer()
	e := []*roster.Endpoint{endpoint("p", "a")}
	first, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
	for range 200 {
		c, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
		b.Measured("m", c.Prefill, first.Prefill/3)
	}
	c, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
	assert.InEpsilon(t, float64(first.Prefill)/3, float64(c.Prefill), 0.1)
}

// The prefill factor of a newly requested model must converge within a few answers: until
// then, a fast model's prefill is overestimated, so it seems to delay other requests.
func TestPrefillFactorConvergesWithinThreeRequests(t *testing.T) {
	b := balance.NewBalancer()
	e := []*roster.Endpoint{endpoint("p", "a")}
	first, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
	for range 3 {
		c, _ := b.Choose(start, newRequest(0, ""), engine, e, regions)
		b.Measured("m", c.Prefill, first.Prefill/3)
	}
	assert.InEpsilon(t, 1.0/3, b.PrefillFactor("m"), 0.1)
	b.Measured("m", first.Prefill, first.Prefill) // an outlier
	assert.Less(t, b.PrefillFactor("m"), 0.55)
}

func TestMaxWait(t *testing.T) {
	assert.Equal(t, newRequest(0, "").Target, balance.MaxWait(newRequest(0, "")))
	a := newRequest(0, "")
	a.Model = ""
	assert.Greater(t, balance.MaxWait(a), time.Hour, "the wait of plain services is not limited")
	rest := newRequest(0, "")
	rest.Software = new(fleet.Software)
	assert.Greater(t, balance.MaxWait(rest), time.Hour, "nor that of the rest of a stream")
}

// The retries of all instances together must stay within the budget, whatever each
// instance has recorded of the others.
func TestRetryBudgetHoldsAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, allowance, window = 0.2, 58.0, 10 * time.Second
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*balance.Budget, n)
		for i := range budgets {
			budgets[i] = balance.NewBudget(ratio, allowance, window)
			budgets[i].SetMembers(n)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 800).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			b.RecordRequest(now, "s")
			events = append(events, event{at: now})
			if b.TakeRetry(now, "s") {
				events = append(events, event{at: now, retry: true})
			}
		}
		for _, last := range events {
			requests, retries := 0, 0
			for _, e := range events {
				if d := last.at.Sub(e.at); d < 0 || d >= window {
					continue
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			if float64(retries) > ratio*float64(requests)+allowance {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
	})
}

func TestRetryBudgetRecovers(t *testing.T) {
	b := balance.NewBudget(0, 10, 10*time.Second)
	taken := 0
	for b.TakeRetry(start, "s") {
		taken++
	}
	assert.Equal(t, 6, taken)
	assert.False(t, b.TakeRetry(start.Add(8*time.Second), "s"))
	assert.True(t, b.TakeRetry(start.Add(12*time.Second), "s"))
	b.SetMembers(9)
	b.SetMembers(2)
	assert.False(t, b.TakeRetry(start.Add(60*time.Second), "s"), "the share must not grow when the member count falls")
}

// A restarted instance must not use its share of the fixed allowance twice.
func TestRestartGivesNoSecondAllowance(t *testing.T) {
	const window = 10 * time.Second
	b := balance.NewBudget(0.2, 10, window, balance.WithStart(start))
	assert.False(t, b.TakeRetry(start, "s"))
	for range 50 {
		b.RecordRequest(start, "s")
	}
	assert.True(t, b.TakeRetry(start, "s"), "a ratio of its own requests may be retried")
	b = balance.NewBudget(0.2, 10, window, balance.WithStart(start))
	assert.False(t, b.TakeRetry(start.Add(window-time.Millisecond), "s"))
	assert.True(t, b.TakeRetry(start.Add(window), "s"))
}

func TestMeterDecays(t *testing.T) {
	m := balance.NewMeter(2 * time.Second)
	for i := range 200 {
		m.Add(start.Add(time.Duration(i)*100*time.Millisecond), 50)
	}
	end := start.Add(20 * time.Second)
	assert.InEpsilon(t, 500, m.Rate(end), 0.05)
	assert.InEpsilon(t, 250, m.Rate(end.Add(2*time.Second)), 0.05)
}

// The load of an endpoint is the sum over all instances, however often they report, leave
// and return.
func TestLoadSumsAllInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	b := balance.NewBalancer()
	current := make(map[fleet.Instance]map[fleet.Endpoint]balance.Load)
	uses := make(map[fleet.Instance][]balance.Use)
	for range 5000 {
		name := fleet.Instance(fmt.Sprint(random.IntN(60)))
		if random.IntN(10) == 0 {
			b.Forget(name)
			delete(current, name)
			delete(uses, name)
			continue
		}
		loads := make(map[fleet.Endpoint]balance.Load)
		var used []balance.Use
		for range random.IntN(6) {
			id := fleet.Endpoint(fmt.Sprint(random.IntN(20)))
			loads[id] = balance.Load{Running: 1 + random.IntN(5), Pending: [3]time.Duration{time.Duration(random.IntN(9))}}
			used = append(used, balance.Use{Endpoint: id, Model: "m", Adapter: "a"})
		}
		b.SetRemote(name, loads, used)
		current[name], uses[name] = loads, used
	}
	for i := range 20 {
		id := fleet.Endpoint(fmt.Sprint(i))
		var want balance.Load
		inUse := false
		for name, loads := range current {
			want = want.Add(loads[id])
			inUse = inUse || slices.Contains(uses[name], balance.Use{Endpoint: id, Model: "m", Adapter: "a"})
		}
		assert.Equal(t, want, b.Load(id))
		assert.Equal(t, inUse, len(b.AdaptersInUse(id)) == 1)
	}
}
