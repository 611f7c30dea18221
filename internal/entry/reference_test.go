package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

// conditions sets the draining endpoints and whether requests are suspects.
type conditions struct {
	drained   []fleet.Endpoint
	suspected bool
}

func (c *conditions) Drains(fleet.Model) []fleet.Endpoint   { return c.drained }
func (c *conditions) Check(uint64) (suspected, poison bool) { return c.suspected, false }
func (c *conditions) isDraining(e fleet.Endpoint) bool      { return slices.Contains(c.drained, e) }

func (c *conditions) excludes(e *directory.Entry) bool {
	return e.Leaving || e.Report.Down || c.isDraining(e.Endpoint)
}

func (c *conditions) trialEndpoint(p *plan, all []route.Candidate) (fleet.Endpoint, bool) {
	var usable []fleet.Endpoint
	for _, o := range all {
		if !o.Leaving {
			usable = append(usable, o.Endpoint)
		}
	}
	return suspect.TrialEndpoint(suspect.Fingerprint(p.request.Fingerprint), usable), c.suspected
}

// referenceChoice is the former, slower way to choose: it collects all candidates first, then
// lets the router choose among those with the adapter, then among the others.
func referenceChoice(g *Gateway, r *route.Router, c *conditions, p *plan) (fleet.Endpoint, bool) {
	var all []route.Candidate
	g.directory.EachWithAdapter("a", fleet.Adapter(p.request.Adapter), "", func(e *directory.Entry, has bool) {
		all = append(all, route.Candidate{
			Endpoint: e.Endpoint, Place: e.Place, Running: e.Report.Running, Queued: e.Report.Queued,
			Wait: e.Report.PredictedWait, Unreported: e.Candidate.Unreported, AdapterLoads: e.Report.AdapterLoads, AdapterLoaded: has, Leaving: c.excludes(e),
		})
	})
	if trial, suspected := c.trialEndpoint(p, all); suspected {
		for i := range all {
			all[i].Suspect = all[i].Endpoint != trial
		}
	}
	for _, h := range g.matchPrefix(nil, g.clock(), p) {
		for i := range all {
			if all[i].Endpoint == h.endpoint {
				all[i].CachedTokens = h.tokens
			}
		}
	}
	for _, adapter := range []bool{true, false} {
		for i := range all {
			all[i].ModelLoaded = all[i].AdapterLoaded == adapter
		}
		if index, ok := r.Choose(g.clock(), g.routeRequest(p), all); ok {
			return all[index].Endpoint, true
		}
	}
	return "", false
}

func randomReport(r *rand.Rand, i int) directory.Report {
	report := directory.Report{
		Endpoint: fleet.Endpoint(fmt.Sprintf("endpoint-%02d", i)),
		Running:  r.IntN(4), Queued: r.IntN(2),
		PredictedWait: time.Duration(r.IntN(3)) * 10 * time.Millisecond,
		AdapterLoads:  r.IntN(2) * r.IntN(120),
		Down:          r.IntN(6) == 0, Leaving: r.IntN(6) == 0,
	}
	if r.IntN(4) == 0 {
		report.Adapters = kit
	}
	return report
}

// Choosing without collecting the candidates gives the same endpoints as collecting them.
func TestChooseMatchesReference(t *testing.T) {
	const rounds, endpoints, requests = 200, 12, 20
	r := rand.New(rand.NewPCG(1, 2))
	prompts := []string{"which fits?", strings.Repeat("the catalogue of gloves and kits ", 40), strings.Repeat("who keeps goal? ", 300)}
	none := 0
	for round := range rounds {
		reports := make([]directory.Report, 1+r.IntN(endpoints))
		for i := range reports {
			reports[i] = randomReport(r, i)
		}
		c := &conditions{suspected: r.IntN(5) == 0}
		g := newGateway(&clock{start}, reports...)
		g.draining, g.suspects = c, c
		g.router = route.New(route.WithSeed(uint64(round)))
		reference := route.New(route.WithSeed(uint64(round)))
		for range requests {
			p := newPlan(t, []string{"", "kit"}[r.IntN(2)], prompts[r.IntN(len(prompts))])
			p.request.Fingerprint = r.Uint64()
			c.drained = nil
			for _, report := range reports {
				if r.IntN(8) == 0 {
					c.drained = append(c.drained, report.Endpoint)
				}
				if r.IntN(8) == 0 {
					p.tried = append(p.tried, report.Endpoint)
				}
			}
			want, found := referenceChoice(g, reference, c, p)
			got, ok := g.choose(p)
			require.Equal(t, found, ok)
			require.Equal(t, want, got.Endpoint)
			if !ok {
				none++
			}
		}
	}
	require.Less(t, none, rounds*requests/2, "most choices find an endpoint")
}
