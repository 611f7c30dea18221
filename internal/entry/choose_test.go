package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

var (
	start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	home  = fleet.Place{Region: "south", DataCentre: "south-1"}
	kit   = []directory.AdapterKey{{Model: "a", Adapter: "kit"}}
)

// singleInstance is a fleet of one instance.
type singleInstance struct{ Members }

func (singleInstance) Self() member.Peer { return member.Peer{Instance: "s1", Place: home} }

// clock is a clock that tests set.
type clock struct{ now time.Time }

// newGateway returns a gateway for endpoints that serve model a.
func newGateway(c *clock, reports ...directory.Report) *Gateway {
	d := directory.New()
	rows := make([]directory.Registration, len(reports))
	for i, r := range reports {
		rows[i] = directory.Registration{Endpoint: r.Endpoint, Place: home}
	}
	d.ReplaceAll(1, rows)
	for _, r := range reports {
		r.Models = []fleet.Model{"a"}
		d.ApplyReport(c.now, r)
	}
	return New(singleInstance{}, d, nil, nil, nil, WithClock(func() time.Time { return c.now }))
}

func newPlan(tb testing.TB, adapter, prompt string) *plan {
	tb.Helper()
	body := fmt.Sprintf(`{"model":"a","messages":[{"role":"user","content":%q}]}`, prompt)
	p := &plan{request: peer.Request{
		Submit: &peerpb.Submit{Model: "a", Adapter: adapter},
		Body:   strings.NewReader(body),
	}}
	require.NoError(tb, p.readBody())
	return p
}

func TestChooseByAdapter(t *testing.T) {
	tests := []struct {
		name    string
		reports []directory.Report
		tried   []fleet.Endpoint
		want    fleet.Endpoint
	}{
		{
			name: "busier endpoint with the adapter", want: "e2",
			reports: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2", Running: 50, Adapters: kit}},
		},
		{
			name: "less busy endpoint with the adapter", want: "e3",
			reports: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2", Running: 50, Adapters: kit}, {Endpoint: "e3", Adapters: kit}},
		},
		{
			name: "endpoint with the adapter already tried", want: "e1", tried: []fleet.Endpoint{"e2"},
			reports: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2", Adapters: kit}},
		},
		{
			name: "endpoint with the adapter leaving", want: "e1",
			reports: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2", Leaving: true, Adapters: kit}},
		},
		{
			name: "no endpoint with the adapter: fewer loads in flight", want: "e1",
			reports: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2", AdapterLoads: 200}},
		},
		{
			name: "adapter of another model", want: "e1",
			reports: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2", Running: 50, Adapters: []directory.AdapterKey{{Model: "b", Adapter: "kit"}}}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlan(t, "kit", "glove")
			p.tried = tt.tried
			got, ok := newGateway(&clock{start}, tt.reports...).choose(p)
			require.True(t, ok)
			require.Equal(t, tt.want, got.Endpoint)
		})
	}
}

func TestChooseByPrefix(t *testing.T) {
	long := strings.Repeat("the catalogue of gloves and kits ", 200)
	idle := directory.Report{Incarnation: "1"}
	tests := []struct {
		name   string
		prompt string
		change directory.Report // of the endpoint that got the first prompt
		later  time.Duration
		stays  bool
	}{
		{name: "same prefix", prompt: long + "which fits?", change: idle, stays: true},
		{name: "same prefix, a little busier", prompt: long + "which fits?", change: directory.Report{Incarnation: "1", Running: 5}, stays: true},
		{name: "same prefix, much busier", prompt: long + "which fits?", change: directory.Report{Incarnation: "1", PredictedWait: time.Second}},
		{name: "expired", prompt: long + "which fits?", change: directory.Report{Incarnation: "1", Running: 5}, later: route.DefaultExpiry},
		{name: "endpoint restarted", prompt: long + "which fits?", change: directory.Report{Incarnation: "2", Running: 5}},
		{name: "another prefix", prompt: "New: " + long, change: directory.Report{Incarnation: "1", Running: 5}},
		{name: "short", prompt: "which fits?", change: directory.Report{Incarnation: "1", Running: 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &clock{start}
			g := newGateway(c, directory.Report{Endpoint: "e1", Incarnation: "1"}, directory.Report{Endpoint: "e2", Incarnation: "1"})
			first, ok := g.choose(newPlan(t, "", long+"which is warm?"))
			require.True(t, ok)
			c.now = c.now.Add(tt.later)
			for range 4 {
				for _, id := range []fleet.Endpoint{"e1", "e2"} {
					r := idle
					if id == first.Endpoint {
						r = tt.change
					}
					r.Endpoint, r.Models = id, []fleet.Model{"a"}
					g.directory.ApplyReport(c.now, r)
				}
				got, ok := g.choose(newPlan(t, "", tt.prompt))
				require.True(t, ok)
				require.Equal(t, tt.stays, got.Endpoint == first.Endpoint)
			}
		})
	}
}

func TestPromptHistoryIsBounded(t *testing.T) {
	s := newPromptHistory()
	for i := range 4 * maxPrefixes {
		s.record(start, fleet.Endpoint(fmt.Sprint(i%100)), "", []route.Block{route.Block(i)})
	}
	require.LessOrEqual(t, len(s.prefixes), maxPrefixes)
	require.Len(t, s.lastSent, 100)
	s.record(start.Add(route.DefaultExpiry), "last", "", []route.Block{1})
	require.Len(t, s.lastSent, 1, "endpoints without recent prompts are dropped")
}

func TestHashBlocks(t *testing.T) {
	long := strings.Repeat("x", 10*blockBytes)
	a, b := newPlan(t, "", long+"a").blocks, newPlan(t, "", long+"b").blocks
	require.Equal(t, a[:10], b[:10])
	require.NotEqual(t, a[0], newPlan(t, "kit", long).blocks[0], "adapters don't share cached prefixes")
	require.Empty(t, newPlan(t, "", "short").blocks)
	require.Len(t, newPlan(t, "", strings.Repeat(long, 100)).blocks, maxPromptBlocks)
}

func TestSetModelName(t *testing.T) {
	const versions = "[profile \"chat\"]\nclass = chat\nrank = urgent\nmodels = *\n[model \"a\"]\nservice = matcher\nbytes = 1GiB\nversions = 1, 2\nadapters = kit\n[model \"b\"]\nservice = matcher\nbytes = 1GiB\n"
	document, err := profile.Parse("test", []byte(versions))
	require.NoError(t, err)
	tests := []struct{ asked, want string }{
		{"b", "b"},
		{"a", "a@2"},
		{"a@1", "a@1"},
		{"a/kit", "a@2:kit"},
		{"a@1/kit", "a@1:kit"},
	}
	for _, tt := range tests {
		t.Run(tt.asked, func(t *testing.T) {
			target, ok := document.Resolve(tt.asked)
			require.True(t, ok)
			body, err := setModelName([]byte(`{"Model":"x","model":"`+tt.asked+`","seed":12345678901234567890,"messages":[]}`), engineName(target))
			require.NoError(t, err)
			require.JSONEq(t, `{"model":"`+tt.want+`","seed":12345678901234567890,"messages":[]}`, string(body))
			require.Contains(t, string(body), "12345678901234567890")
		})
	}
}

// newLargeGateway returns a gateway for n endpoints, and a plan whose prompt has been sent to
// endpointsPerPrefix of them.
func newLargeGateway(tb testing.TB, n int, adapter string) (*Gateway, *plan) {
	tb.Helper()
	reports := make([]directory.Report, n)
	for i := range reports {
		reports[i] = directory.Report{Endpoint: fleet.Endpoint(fmt.Sprintf("endpoint-%03d", i)), Running: i % 17}
		for a := range 100 {
			reports[i].Adapters = append(reports[i].Adapters, directory.AdapterKey{Model: "a", Adapter: fleet.Adapter(fmt.Sprintf("kit-%02d", a))})
		}
	}
	g := newGateway(&clock{start}, reports...)
	p := newPlan(tb, adapter, strings.Repeat("the catalogue of gloves and kits ", 1000))
	for i := range endpointsPerPrefix {
		g.recordPrompt(start, p, reports[i].Endpoint)
	}
	return g, p
}

func TestChooseDoesNotAllocate(t *testing.T) {
	g, p := newLargeGateway(t, 600, "kit-50")
	require.Zero(t, testing.AllocsPerRun(200, func() { g.choose(p) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, adapter := range []string{"", "kit-50"} {
		b.Run("adapter="+adapter, func(b *testing.B) {
			g, p := newLargeGateway(b, 600, adapter)
			b.ReportAllocs()
			for b.Loop() {
				g.choose(p)
			}
		})
	}
}
