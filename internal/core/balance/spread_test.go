package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// knownBacklogs are backlogs that are all known since the same time.
type knownBacklogs struct {
	ahead    map[fleet.Endpoint]time.Duration
	slowness map[fleet.Endpoint]float64
	age      time.Duration
}

func (k knownBacklogs) Ahead(e *roster.Endpoint, _ int) (ahead, age time.Duration) {
	return k.ahead[e.ID], k.age
}

func (k knownBacklogs) Slowness(e *roster.Endpoint) float64 { return max(1, k.slowness[e.ID]) }

// spreadShares returns the shares of requests that endpoints get.
func spreadShares(t *testing.T, a *balance.Request, endpoints []*roster.Endpoint, known knownBacklogs) map[fleet.Endpoint]float64 {
	t.Helper()
	const n = 1000
	shares := make(map[fleet.Endpoint]float64)
	b := balance.NewBalancer()
	for i := range n {
		c, missing := b.Spread(start, a, engine, endpoints, regions, known, float64(i)/n)
		require.Equal(t, balance.MissingNone, missing)
		shares[c.Endpoint.ID] += 1.0 / n
	}
	return shares
}

func TestSpreadShares(t *testing.T) {
	const ms = time.Millisecond
	three := []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a"), endpoint("r", "a")}
	tests := []struct {
		name      string
		endpoints []*roster.Endpoint
		adapter   fleet.Adapter
		known     knownBacklogs
		want      map[fleet.Endpoint]float64
	}{
		{name: "idle alike", endpoints: three, known: knownBacklogs{age: 300 * ms}, want: map[fleet.Endpoint]float64{"p": 1. / 3, "q": 1. / 3, "r": 1. / 3}},
		{
			name: "the shorter backlog gets more", endpoints: three[:2], known: knownBacklogs{age: 400 * ms, ahead: map[fleet.Endpoint]time.Duration{"q": 200 * ms}},
			want: map[fleet.Endpoint]float64{"p": 0.75, "q": 0.25},
		},
		{
			name: "the newer what is known the more it counts", endpoints: three[:2], known: knownBacklogs{age: 20 * ms, ahead: map[fleet.Endpoint]time.Duration{"q": 50 * ms}},
			want: map[fleet.Endpoint]float64{"p": 1},
		},
		{
			name: "none with too long a wait beside others", endpoints: three[:2], known: knownBacklogs{age: 2500 * ms, ahead: map[fleet.Endpoint]time.Duration{"q": 700 * ms}},
			want: map[fleet.Endpoint]float64{"p": 1},
		},
		{
			name: "idle endpoints of the region first", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "b"), endpoint("r", "c")},
			known: knownBacklogs{age: 400 * ms}, want: map[fleet.Endpoint]float64{"p": 0.505, "q": 0.495},
		},
		{
			name: "another region before a long wait", endpoints: []*roster.Endpoint{endpoint("p", "a"), endpoint("r", "c")},
			known: knownBacklogs{age: 100 * ms, ahead: map[fleet.Endpoint]time.Duration{"p": 900 * ms}}, want: map[fleet.Endpoint]float64{"r": 1},
		},
		{
			name: "an adapter that is loaded", endpoints: []*roster.Endpoint{endpoint("p", "a", "x"), endpoint("q", "a")}, adapter: "x",
			known: knownBacklogs{age: 400 * ms}, want: map[fleet.Endpoint]float64{"p": 1},
		},
		{
			name: "a slow endpoint", endpoints: three[:2], known: knownBacklogs{age: 400 * ms, slowness: map[fleet.Endpoint]float64{"q": 3}},
			want: map[fleet.Endpoint]float64{"p": 0.76, "q": 0.24},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newRequest(0, tt.adapter)
			a.Parts, a.PromptTokens = nil, 4000
			shares := spreadShares(t, a, tt.endpoints, tt.known)
			for id, want := range tt.want {
				assert.InDelta(t, want, shares[id], 0.01, id)
			}
			assert.Len(t, shares, len(tt.want))
		})
	}
}

// The load of many prompts with one prefix: its endpoint gets them until its backlog costs more
// than reading the prefix again.
func TestSpreadKeepsPrefixesTogether(t *testing.T) {
	const age = 300 * time.Millisecond
	three := []*roster.Endpoint{endpoint("p", "a"), endpoint("q", "a"), endpoint("r", "a")}
	a := newRequest(0, "") // 6,300 of its tokens are shared: 164 ms
	shares := spreadShares(t, a, three, knownBacklogs{age: age})
	require.Len(t, shares, 1)
	var home fleet.Endpoint
	for id := range shares {
		home = id
	}
	shares = spreadShares(t, a, three, knownBacklogs{age: age, ahead: map[fleet.Endpoint]time.Duration{home: 150 * time.Millisecond}})
	assert.InDelta(t, 1, shares[home], 0.001, "it costs less than reading the prefix again")
	shares = spreadShares(t, a, three, knownBacklogs{age: age, ahead: map[fleet.Endpoint]time.Duration{home: 250 * time.Millisecond}})
	assert.Less(t, shares[home], 0.1, "it costs more")
}
