package entry

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// choose picks an endpoint of this data centre.
func (g *Gateway) choose(p *plan) (route.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	adapted := g.gather(p)
	g.confine(p)
	g.match(now, p)
	index, ok := g.pick(now, p, adapted)
	if !ok {
		return route.Candidate{}, false
	}
	chosen := g.candidates[index]
	g.directory.Sent(chosen.Endpoint)
	g.remember(now, p, chosen.Endpoint)
	return chosen, true
}

// gather fills the candidates, in order of their names where a model is asked
// for. It reports whether one of them has the adapter.
func (g *Gateway) gather(p *plan) bool {
	model, adapter := fleet.Model(p.request.Model), fleet.Adapter(p.request.Adapter)
	adapted := false
	g.candidates = g.candidates[:0]
	g.directory.EachAdapted(model, adapter, p.request.Service, func(e *directory.Entry, has bool) {
		c := candidate(e)
		c.Leaving = c.Leaving || g.draining.Draining(e.Endpoint, model)
		c.Adapter = has && !switches.Off(switches.Adapters)
		adapted = adapted || c.Adapter
		g.candidates = append(g.candidates, c)
	})
	return adapted
}

// confine leaves a suspect only the one endpoint that all instances choose for
// it, so that its copies wait for each other there.
func (g *Gateway) confine(p *plan) {
	if suspected, _ := g.suspects.Check(p.request.Fingerprint); !suspected {
		return
	}
	usable := make([]fleet.Endpoint, 0, len(g.candidates))
	for _, c := range g.candidates {
		if !c.Leaving {
			usable = append(usable, c.Endpoint)
		}
	}
	trial := suspect.Trial(suspect.Fingerprint(p.request.Fingerprint), usable)
	for i := range g.candidates {
		g.candidates[i].Suspect = g.candidates[i].Endpoint != trial
	}
}

// pick prefers endpoints that have the adapter: most engines refuse a request
// for one that is not loaded. Only when none of those may serve are the others asked.
func (g *Gateway) pick(now time.Time, p *plan, adapted bool) (int, bool) {
	if !adapted {
		return g.router.Choose(now, g.routed(p), g.candidates)
	}
	g.offer(func(c *route.Candidate) bool { return c.Adapter })
	if index, ok := g.router.Choose(now, g.routed(p), g.candidates); ok {
		return index, true
	}
	g.offer(func(c *route.Candidate) bool { return !c.Adapter })
	return g.router.Choose(now, g.routed(p), g.candidates)
}

func (g *Gateway) offer(fits func(*route.Candidate) bool) {
	for i := range g.candidates {
		g.candidates[i].Loaded = fits(&g.candidates[i])
	}
}

func (g *Gateway) routed(p *plan) route.Request {
	return route.Request{
		Model:   fleet.Model(p.request.Model),
		Adapter: fleet.Adapter(p.request.Adapter),
		Rank:    fleet.Rank(p.request.Rank),
		Place:   g.members.Self().Place,
		Prompt:  int(p.request.Prompt),
		Tokens:  int(p.request.Tokens),
		Exclude: p.tried,
	}
}

func candidate(e *directory.Entry) route.Candidate {
	return route.Candidate{
		Endpoint: e.Endpoint,
		Place:    e.Place,
		Running:  e.Report.Running,
		Queued:   e.Report.Queued,
		Wait:     e.Report.Wait,
		Own:      e.Own,
		Adapters: e.Report.Loading,
		Leaving:  (e.Leaving && !switches.Off(switches.Leaving)) || e.Report.Down,
		Loaded:   true,
	}
}

// nowhere passes a request on to another data centre, or refuses it.
func (g *Gateway) nowhere(ctx context.Context, p *plan, t *track) *peerpb.End {
	if p.request.Hops < hopLimit-1 {
		for _, dc := range g.remote.Centres(g.clock(), fleet.Model(p.request.Model), p.request.Service) {
			if end, ok := g.pass(ctx, p, t, dc); ok {
				return end
			}
		}
	}
	what := "model " + p.request.Model
	if p.request.Service != "" {
		what = "service " + p.request.Service
	}
	if len(p.tried) > 0 {
		return dispatch.Refuse(dispatch.CodeNowhere, "choose", "no further endpoint for "+what, nowhereRetry)
	}
	return dispatch.Refuse(dispatch.CodeNowhere, "choose", "no endpoint serves "+what+" now", nowhereRetry)
}

func (g *Gateway) pass(ctx context.Context, p *plan, t *track, dc fleet.DataCentre) (*peerpb.End, bool) {
	live := g.members.Live(dc)
	if len(live) == 0 {
		return nil, false
	}
	to := live[int(p.request.Fingerprint%uint64(len(live)))]
	submit := p.submit(g.clock(), "", "")
	submit.Hops++
	t.begin("", "")
	g.trail.Note(submit.Request, "pass", string(to.Instance), "data centre "+string(dc))
	return g.hop(ctx, p, t, to, submit), true
}

// redirectLimit is how many endpoints may send one request on because they or
// their model leave. That costs nothing of the retry budget: it is planned.
const redirectLimit = 4

// again decides whether a failed try is followed by another one, and waits for it.
func (g *Gateway) again(ctx context.Context, p *plan, t *track, end *peerpb.End) bool {
	if !retryable(end.Code) || p.streamed || ctx.Err() != nil {
		return false
	}
	redirected := end.Code == dispatch.CodeLeaving && len(p.tried) <= redirectLimit
	if !redirected && !g.afford(ctx, p, end) {
		return false
	}
	return t.next(p, end)
}

// submitted earns the profile its share of a retry.
func (g *Gateway) submitted(p *plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Submitted(fleet.Profile(p.request.Profile))
}

// afford takes a retry from the profile's budget and waits for its time.
func (g *Gateway) afford(ctx context.Context, p *plan, end *peerpb.End) bool {
	if fleet.Outcome(end.Outcome) != fleet.OutcomeNotRun {
		if p.repeated >= p.profile.Retries && p.request.Hops == 0 {
			return false
		}
		p.repeated++
	}
	g.mu.Lock()
	decision := g.budget.Failed(g.clock(), retry.Attempt{
		Profile:    fleet.Profile(p.request.Profile),
		Spent:      p.spent,
		Outcome:    fleet.Outcome(end.Outcome),
		Idempotent: p.repeatable || p.request.Key != "",
		Deadline:   p.deadline,
	})
	g.mu.Unlock()
	g.trail.Note(p.request.GetRequest(), "retry", end.Code, string(decision.Reason))
	if !decision.Retry {
		return false
	}
	p.spent = decision.Spent
	if end.Code != dispatch.CodeLeaving && end.Code != dispatch.CodeUnsent && end.Code != dispatch.CodeOverload {
		pause(ctx, decision.Wait)
	}
	return true
}

// retryable codes name faults of one endpoint or instance, not of the request.
func retryable(code string) bool {
	switch code {
	case dispatch.CodeLeaving, dispatch.CodeUnsent, dispatch.CodeLost, dispatch.CodeOverload, dispatch.CodeGone:
		return true
	default:
		return false
	}
}

func (g *Gateway) report(p *plan, t *track, end *peerpb.End, began time.Time) {
	r := Report{
		Profile:   fleet.Profile(p.request.Profile),
		Rank:      fleet.Rank(p.request.Rank),
		Model:     fleet.Model(p.request.Model),
		Outcome:   fleet.Outcome(end.Outcome),
		Code:      end.Code,
		Target:    p.profile.First,
		GapTarget: p.profile.Gap,
		Retries:   p.spent,
	}
	if !t.first.IsZero() {
		r.First = t.first.Sub(began)
	}
	if t.count > 1 {
		r.Gap = t.last.Sub(t.first) / time.Duration(t.count-1)
	}
	g.observer.Ended(r)
}

var _ peer.Sink = (*track)(nil)
