package balance_test

import (
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

func ask(level int, adapter fleet.Adapter) *balance.Ask {
	return &balance.Ask{
		Service: "s", Model: "m", Adapter: adapter, Prompt: 9000, Output: 50, Level: level, Place: here, Target: 800 * time.Millisecond,
		Parts: []balance.Part{{ID: "x", Tokens: 2500}, {ID: "y", Tokens: 3800}, {ID: "own", Tokens: 2700}},
	}
}

func TestChoose(t *testing.T) {
	leaving, lost := endpoint("leaving", "a"), endpoint("lost", "a")
	leaving.Leaving, lost.Lost = true, true
	busy := endpoint("busy", "a")
	busy.Report.Busy = true
	tests := []struct {
		name      string
		adapter   fleet.Adapter
		endpoints []*roster.Endpoint
		loads     map[fleet.Endpoint]balance.Load
		exclude   []fleet.Endpoint
		want      fleet.Endpoint
		lack      balance.Lack
	}{
		{name: "own data centre first", endpoints: []*roster.Endpoint{endpoint("p", "c"), endpoint("q", "a")}, want: "q"},
		{
			name: "not the busiest", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a")},
			loads: map[fleet.Endpoint]balance.Load{"p": {Running: 9, Pending: [3]time.Duration{time.Second}}}, want: "q",
		},
		{
			name: "another region before a long wait", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "c")},
			loads: map[fleet.Endpoint]balance.Load{"p": {Running: 9, Pending: [3]time.Duration{time.Second}}}, want: "q",
		},
		{
			name: "less urgent work doesn't count", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "c")},
			loads: map[fleet.Endpoint]balance.Load{"p": {Running: 1, Pending: [3]time.Duration{0, 0, time.Minute}}}, want: "p",
		},
		{name: "leaving and lost get nothing", endpoints: []*roster.Endpoint{leaving, lost}, lack: balance.LackModel},
		{name: "an adapter that is there", adapter: "x", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a", "x")}, want: "q"},
		{name: "no adapter onto an endpoint that loads", adapter: "x", endpoints: []*roster.Endpoint{busy, endpoint("q", "c")}, want: "q"},
		{name: "none that can be given the adapter", adapter: "x", endpoints: []*roster.Endpoint{busy}, lack: balance.LackAdapter},
		{name: "not again", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "c")}, exclude: []fleet.Endpoint{"p"}, want: "q"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balance.NewBoard()
			b.Told("other", tt.loads, nil)
			a := ask(0, tt.adapter)
			a.Parts, a.Exclude = nil, tt.exclude
			c, lack := b.Choose(start, a, engine, tt.endpoints, regions)
			require.Equal(t, tt.lack, lack)
			if lack == balance.LackNone {
				assert.Equal(t, tt.want, c.Endpoint.ID)
			}
		})
	}
}

func TestSuspectsAreTheLastResort(t *testing.T) {
	r := roster.New()
	for _, id := range []fleet.Endpoint{"p", "q"} {
		e := endpoint(id, "a").Entry
		r.Apply(start, []roster.Record{{ID: id, Entry: e}}, 1)
	}
	r.RecordFailure(start, "p", 0)
	b := balance.NewBoard()
	b.Told("other", map[fleet.Endpoint]balance.Load{"q": {Running: 9, Pending: [3]time.Duration{time.Second}}}, nil)
	c, lack := b.Choose(start, ask(0, ""), engine, r.All(), regions)
	require.Equal(t, balance.LackNone, lack)
	assert.Equal(t, fleet.Endpoint("q"), c.Endpoint.ID)
	r.RecordFailure(start, "q", 0)
	_, lack = b.Choose(start, ask(0, ""), engine, r.All(), regions)
	assert.Equal(t, balance.LackNone, lack, "better a suspect than none")
}

// Instances that know nothing of each other send a shared start to one endpoint.
func TestInstancesAgreeOnAHomeOfSharedPrompts(t *testing.T) {
	endpoints := []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a"), endpoint("r", "a")}
	one, _ := balance.NewBoard().Choose(start, ask(0, ""), engine, endpoints, regions)
	two, _ := balance.NewBoard().Choose(start, ask(1, ""), engine, endpoints, regions)
	assert.Equal(t, one.Endpoint.ID, two.Endpoint.ID)
}

func TestAPromptThatWasReadIsCheap(t *testing.T) {
	b := balance.NewBoard()
	e := []*roster.Endpoint{endpoint("p", "a")}
	cold, _ := b.Choose(start, ask(0, ""), engine, e, regions)
	reading := b.Started("p", ask(0, ""))
	b.Answered("p", 0, reading)
	b.Ended("p", ask(0, ""))
	warm, _ := b.Choose(start, ask(0, ""), engine, e, regions)
	assert.Less(t, warm.Wait, cold.Wait)
	assert.Empty(t, b.Own(), "nothing is left of the request")
	b.Emptied("p")
	again, _ := b.Choose(start, ask(0, ""), engine, e, regions)
	assert.Equal(t, cold.Wait, again.Wait, "a restart forgets")
}

func TestPaceIsLearned(t *testing.T) {
	b := balance.NewBoard()
	e := []*roster.Endpoint{endpoint("p", "a")}
	first, _ := b.Choose(start, ask(0, ""), engine, e, regions)
	for range 200 {
		c, _ := b.Choose(start, ask(0, ""), engine, e, regions)
		b.Measured("m", c.Reading, first.Reading/3)
	}
	c, _ := b.Choose(start, ask(0, ""), engine, e, regions)
	assert.InEpsilon(t, float64(first.Reading)/3, float64(c.Reading), 0.1)
}

// A model that is new in demand is known after a few answers: until then a fast one
// looks as if it made others wait.
func TestPaceIsLearnedWithinAFewAnswers(t *testing.T) {
	b := balance.NewBoard()
	e := []*roster.Endpoint{endpoint("p", "a")}
	first, _ := b.Choose(start, ask(0, ""), engine, e, regions)
	for range 3 {
		c, _ := b.Choose(start, ask(0, ""), engine, e, regions)
		b.Measured("m", c.Reading, first.Reading/3)
	}
	assert.InEpsilon(t, 1.0/3, b.Pace("m"), 0.1)
	b.Measured("m", first.Reading, first.Reading) // one that stands out
	assert.Less(t, b.Pace("m"), 0.55)
}

func TestPatience(t *testing.T) {
	assert.Equal(t, ask(0, "").Target, balance.Patience(ask(0, "")))
	a := ask(0, "")
	a.Model = ""
	assert.Greater(t, balance.Patience(a), time.Hour, "plain services aren't predicted")
}

// The sum of all instances' repeats keeps the bound, whatever each of them knows.
func TestBudgetHoldsOverAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra, window = 0.2, 58.0, 10 * time.Second
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*balance.Budget, n)
		for i := range budgets {
			budgets[i] = balance.NewBudget(ratio, extra, window)
			budgets[i].Members(n)
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 800).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			b.Asked(now, "s")
			events = append(events, event{at: now})
			if b.Take(now, "s") {
				events = append(events, event{at: now, repeat: true})
			}
		}
		for _, last := range events {
			asked, repeated := 0, 0
			for _, e := range events {
				if d := last.at.Sub(e.at); d < 0 || d >= window {
					continue
				}
				if e.repeat {
					repeated++
				} else {
					asked++
				}
			}
			if float64(repeated) > ratio*float64(asked)+extra {
				t.Fatalf("%d repeats of %d requests", repeated, asked)
			}
		}
	})
}

func TestBudgetRecovers(t *testing.T) {
	b := balance.NewBudget(0, 10, 10*time.Second)
	taken := 0
	for b.Take(start, "s") {
		taken++
	}
	assert.Equal(t, 6, taken)
	assert.False(t, b.Take(start.Add(8*time.Second), "s"))
	assert.True(t, b.Take(start.Add(12*time.Second), "s"))
	b.Members(9)
	b.Members(2)
	assert.False(t, b.Take(start.Add(60*time.Second), "s"), "a share never grows as others fall silent")
}

// An instance that is started again doesn't use its share of the fixed allowance twice.
func TestARestartGivesNoFurtherShare(t *testing.T) {
	const window = 10 * time.Second
	b := balance.NewBudget(0.2, 10, window, balance.WithStart(start))
	assert.False(t, b.Take(start, "s"))
	for range 50 {
		b.Asked(start, "s")
	}
	assert.True(t, b.Take(start, "s"), "a part of its own requests may be repeated")
	b = balance.NewBudget(0.2, 10, window, balance.WithStart(start))
	assert.False(t, b.Take(start.Add(window-time.Millisecond), "s"))
	assert.True(t, b.Take(start.Add(window), "s"))
}

func TestMeterForgets(t *testing.T) {
	m := balance.NewMeter(2 * time.Second)
	for i := range 200 {
		m.Add(start.Add(time.Duration(i)*100*time.Millisecond), 50)
	}
	end := start.Add(20 * time.Second)
	assert.InEpsilon(t, 500, m.Rate(end), 0.05)
	assert.InEpsilon(t, 250, m.Rate(end.Add(2*time.Second)), 0.05)
}
