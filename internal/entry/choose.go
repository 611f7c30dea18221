package entry

import (
	"context"
	"slices"
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

// choice is one request under way to an endpoint. It is kept between requests,
// since each offers hundreds of endpoints.
type choice struct {
	model   fleet.Model
	adapter fleet.Adapter
	service string
	limited bool             // by what follows
	trial   fleet.Endpoint   // the only one that gets a suspect
	drained []fleet.Endpoint // in order
	hints   []hint
	offered []fleet.Endpoint
}

// choose picks an endpoint of this data centre.
func (g *Gateway) choose(p *plan) (route.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.begin(now, p)
	index, ok := g.pick(now, p)
	if !ok {
		return route.Candidate{}, false
	}
	chosen := route.Candidate{Endpoint: g.choice.offered[index], Place: g.members.Self().Place}
	if place, ok := g.directory.CountSent(chosen.Endpoint); ok {
		chosen.Place = place
	}
	chosen.CachedTokens = g.choice.cached(chosen.Endpoint)
	g.router.ChargeLink(chosen.Place)
	g.remember(now, p, chosen.Endpoint)
	return chosen, true
}

// begin looks up what a choice depends on besides the directory, once for all endpoints.
func (g *Gateway) begin(now time.Time, p *plan) {
	c := &g.choice
	c.model, c.adapter = fleet.Model(p.request.Model), fleet.Adapter(p.request.Adapter)
	c.service = p.request.Service
	c.drained = g.draining.Drains(c.model)
	c.hints = g.match(c.hints[:0], now, p)
	c.trial, c.limited = "", len(c.drained) > 0
	if suspected, _ := g.suspects.Check(p.request.Fingerprint); suspected {
		c.trial, c.limited = g.confine(p), true
	}
}

// confine names the one endpoint that all instances choose for a suspect, so
// that its copies wait for each other there.
func (g *Gateway) confine(p *plan) fleet.Endpoint {
	var usable []fleet.Endpoint
	g.directory.Each(g.choice.model, g.choice.service, func(e *directory.Entry) {
		if !g.choice.closed(e) {
			usable = append(usable, e.Endpoint)
		}
	})
	return suspect.TrialEndpoint(suspect.Fingerprint(p.request.Fingerprint), usable)
}

// pick prefers endpoints that have the adapter: most engines refuse a request
// for one that is not loaded. Only when none of those may serve are the others asked.
func (g *Gateway) pick(now time.Time, p *plan) (int, bool) {
	request := g.routed(p)
	if g.choice.adapter != "" && !switches.Off(switches.Adapters) {
		if index, ok := g.offer(now, request, true); ok {
			return index, true
		}
	}
	return g.offer(now, request, false)
}

// offer lets the router choose among the endpoints that have the adapter, or
// among the others.
func (g *Gateway) offer(now time.Time, request route.Request, held bool) (int, bool) {
	c := &g.choice
	if held {
		request.Adapter = "" // nothing is to be loaded
	}
	offered := c.offered[:0]
	g.router.Begin(now, &request)
	g.directory.EachWithAdapter(c.model, c.adapter, c.service, func(e *directory.Entry, has bool) {
		if (has && !switches.Off(switches.Adapters)) != held || c.closed(e) {
			return
		}
		offered = append(offered, e.Endpoint)
		g.router.Add(&e.Candidate)
	})
	c.offered = offered
	for _, h := range c.hints {
		if i, found := slices.BinarySearch(offered, h.endpoint); found {
			g.router.SetCached(i, h.tokens)
		}
	}
	return g.router.Pick()
}

// closed endpoints get nothing new.
func (c *choice) closed(e *directory.Entry) bool {
	return e.Report.Down || e.Leaving && !switches.Off(switches.Leaving) || c.limited && c.shut(e.Endpoint)
}

// shut endpoints get nothing new of this one request.
func (c *choice) shut(id fleet.Endpoint) bool {
	return c.trial != "" && id != c.trial || c.drains(id)
}

func (c *choice) drains(id fleet.Endpoint) bool {
	_, found := slices.BinarySearch(c.drained, id)
	return found
}

func (g *Gateway) routed(p *plan) route.Request {
	return route.Request{
		Model:        fleet.Model(p.request.Model),
		Adapter:      fleet.Adapter(p.request.Adapter),
		Rank:         fleet.Rank(p.request.Rank),
		Place:        g.members.Self().Place,
		PromptTokens: int(p.request.Prompt),
		AnswerTokens: int(p.request.Tokens),
		Exclude:      p.tried,
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
		return dispatch.Refuse(dispatch.CodeNoEndpoint, "choose", "no further endpoint for "+what, nowhereRetry)
	}
	return dispatch.Refuse(dispatch.CodeNoEndpoint, "choose", "no endpoint serves "+what+" now", nowhereRetry)
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
	if end.Code != dispatch.CodeLeaving && end.Code != dispatch.CodeUnreachable && end.Code != dispatch.CodeOverload {
		pause(ctx, decision.Wait)
	}
	return true
}

// retryable codes name faults of one endpoint or instance, not of the request.
func retryable(code string) bool {
	switch code {
	case dispatch.CodeLeaving, dispatch.CodeUnreachable, dispatch.CodeLost, dispatch.CodeOverload, dispatch.CodeGone:
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
