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

// selection is the working state of choosing an endpoint for one request. Its slices are
// reused by the next request, since each choice covers hundreds of endpoints.
type selection struct {
	model         fleet.Model
	adapter       fleet.Adapter
	service       string
	restricted    bool             // by trialEndpoint or draining
	trialEndpoint fleet.Endpoint   // the only endpoint for a suspect request, else empty
	draining      []fleet.Endpoint // sorted
	hints         []cacheHint
	eligible      []fleet.Endpoint // sorted, those added to the router
}

// choose picks an endpoint of this data centre and counts the request as sent there.
func (g *Gateway) choose(p *plan) (route.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.prepareSelection(now, p)
	index, ok := g.pick(now, p)
	if !ok {
		return route.Candidate{}, false
	}
	chosen := route.Candidate{Endpoint: g.selection.eligible[index], Place: g.members.Self().Place}
	if place, ok := g.directory.CountSent(chosen.Endpoint); ok {
		chosen.Place = place
	}
	chosen.CachedTokens = g.selection.cachedTokens(chosen.Endpoint)
	g.router.ChargeLink(chosen.Place)
	g.recordPrompt(now, p, chosen.Endpoint)
	return chosen, true
}

// prepareSelection looks up what is the same for all endpoints of a choice.
func (g *Gateway) prepareSelection(now time.Time, p *plan) {
	c := &g.selection
	c.model, c.adapter = fleet.Model(p.request.Model), fleet.Adapter(p.request.Adapter)
	c.service = p.request.Service
	c.draining = g.draining.Drains(c.model)
	c.hints = g.matchPrefix(c.hints[:0], now, p)
	c.trialEndpoint, c.restricted = "", len(c.draining) > 0
	if suspected, _ := g.suspects.Check(p.request.Fingerprint); suspected {
		c.trialEndpoint, c.restricted = g.trialEndpoint(p), true
	}
}

// trialEndpoint returns the one endpoint that all instances choose for a suspect request, so
// that copies of the request queue there one behind another.
func (g *Gateway) trialEndpoint(p *plan) fleet.Endpoint {
	var usable []fleet.Endpoint
	g.directory.Each(g.selection.model, g.selection.service, func(e *directory.Entry) {
		if !g.selection.excludes(e) {
			usable = append(usable, e.Endpoint)
		}
	})
	return suspect.TrialEndpoint(suspect.Fingerprint(p.request.Fingerprint), usable)
}

// pick prefers endpoints that have the adapter, since most engines refuse a request for an
// adapter that is not loaded. The others are considered only if none of those is eligible.
func (g *Gateway) pick(now time.Time, p *plan) (int, bool) {
	request := g.routeRequest(p)
	if g.selection.adapter != "" && !switches.Off(switches.Adapters) {
		if index, ok := g.pickFrom(now, request, true); ok {
			return index, true
		}
	}
	return g.pickFrom(now, request, false)
}

// pickFrom lets the router choose among the endpoints that have the adapter, or among those
// that don't.
func (g *Gateway) pickFrom(now time.Time, request route.Request, withAdapter bool) (int, bool) {
	c := &g.selection
	if withAdapter {
		request.Adapter = "" // no adapter load is needed
	}
	eligible := c.eligible[:0]
	g.router.Begin(now, &request)
	g.directory.EachWithAdapter(c.model, c.adapter, c.service, func(e *directory.Entry, has bool) {
		if (has && !switches.Off(switches.Adapters)) != withAdapter || c.excludes(e) {
			return
		}
		eligible = append(eligible, e.Endpoint)
		g.router.Add(&e.Candidate)
	})
	c.eligible = eligible
	for _, h := range c.hints {
		if i, found := slices.BinarySearch(eligible, h.endpoint); found {
			g.router.SetCached(i, h.tokens)
		}
	}
	return g.router.Pick()
}

// excludes reports whether an endpoint gets no new requests, or not this one.
func (s *selection) excludes(e *directory.Entry) bool {
	return e.Report.Down || e.Leaving && !switches.Off(switches.Leaving) || s.restricted && s.excludesForRequest(e.Endpoint)
}

// excludesForRequest reports whether an endpoint must not get this request: the model drains
// there, or the request is a suspect and runs elsewhere.
func (s *selection) excludesForRequest(id fleet.Endpoint) bool {
	return s.trialEndpoint != "" && id != s.trialEndpoint || s.isDraining(id)
}

func (s *selection) isDraining(id fleet.Endpoint) bool {
	_, found := slices.BinarySearch(s.draining, id)
	return found
}

func (g *Gateway) routeRequest(p *plan) route.Request {
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

// forwardOrRefuse forwards a request to another data centre that serves it, or refuses it if
// there is none.
func (g *Gateway) forwardOrRefuse(ctx context.Context, p *plan, t *answerTracker) *peerpb.End {
	if p.request.Hops < hopLimit-1 {
		for _, dc := range g.remote.DataCentres(g.clock(), fleet.Model(p.request.Model), p.request.Service) {
			if end, ok := g.forward(ctx, p, t, dc); ok {
				return end
			}
		}
	}
	target := "model " + p.request.Model
	if p.request.Service != "" {
		target = "service " + p.request.Service
	}
	if len(p.tried) > 0 {
		return dispatch.Refuse(dispatch.CodeNoEndpoint, "choose", "no further endpoint for "+target, noEndpointRetryAfter)
	}
	return dispatch.Refuse(dispatch.CodeNoEndpoint, "choose", "no endpoint serves "+target+" now", noEndpointRetryAfter)
}

func (g *Gateway) forward(ctx context.Context, p *plan, t *answerTracker, dc fleet.DataCentre) (*peerpb.End, bool) {
	live := g.members.Live(dc)
	if len(live) == 0 {
		return nil, false
	}
	to := live[int(p.request.Fingerprint%uint64(len(live)))]
	submit := p.newAttempt(g.clock(), "", "")
	submit.Hops++
	t.begin("", "")
	g.decisions.Note(submit.Request, "pass", string(to.Instance), "data centre "+string(dc))
	return g.hop(ctx, p, t, to, submit), true
}

// redirectLimit is how many endpoints may redirect one request because they or their model
// leave. These retries are free of the retry budget, since leaving is planned.
const redirectLimit = 4

// shouldRetry decides whether a failed attempt is retried, and waits for the backoff.
func (g *Gateway) shouldRetry(ctx context.Context, p *plan, t *answerTracker, end *peerpb.End) bool {
	if !retryable(end.Code) || p.singleUse || ctx.Err() != nil {
		return false
	}
	if end.Step == dispatch.StepShutdown && g.members.Self().Leaving {
		return false // no other dispatcher can end it before this instance has left
	}
	redirected := end.Code == dispatch.CodeLeaving && len(p.tried) <= redirectLimit
	if !redirected && !g.spendRetryBudget(ctx, p, end) {
		return false
	}
	return t.prepareRetry(p, end)
}

// creditRetryBudget adds the share of a retry that each request earns to the profile's budget.
func (g *Gateway) creditRetryBudget(p *plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Submitted(fleet.Profile(p.request.Profile))
}

// spendRetryBudget takes a retry from the profile's budget and waits for the backoff. It
// reports false if the budget or the retry limit of the profile forbids the retry.
func (g *Gateway) spendRetryBudget(ctx context.Context, p *plan, end *peerpb.End) bool {
	if fleet.Outcome(end.Outcome) != fleet.OutcomeNotRun {
		if p.reruns >= p.profile.Retries && p.request.Hops == 0 {
			return false
		}
		p.reruns++
	}
	g.mu.Lock()
	decision := g.budget.Failed(g.clock(), retry.Attempt{
		Profile:    fleet.Profile(p.request.Profile),
		Spent:      p.retries,
		Outcome:    fleet.Outcome(end.Outcome),
		Idempotent: p.repeatable || p.request.Key != "",
		Deadline:   p.deadline,
	})
	g.mu.Unlock()
	g.decisions.Note(p.request.GetRequest(), "retry", end.Code, string(decision.Reason))
	if !decision.Retry {
		return false
	}
	p.retries = decision.Spent
	if end.Code != dispatch.CodeLeaving && end.Code != dispatch.CodeUnreachable && end.Code != dispatch.CodeOverload {
		sleep(ctx, decision.Wait)
	}
	return true
}

// retryable reports whether a code stands for a fault of one endpoint or instance, not of the
// request.
func retryable(code string) bool {
	switch code {
	case dispatch.CodeLeaving, dispatch.CodeUnreachable, dispatch.CodeLost, dispatch.CodeOverload, dispatch.CodeGone:
		return true
	default:
		return false
	}
}

func (g *Gateway) report(p *plan, t *answerTracker, end *peerpb.End, began time.Time) {
	r := Report{
		Profile:   fleet.Profile(p.request.Profile),
		Rank:      fleet.Rank(p.request.Rank),
		Model:     fleet.Model(p.request.Model),
		Outcome:   fleet.Outcome(end.Outcome),
		Code:      end.Code,
		Target:    p.profile.First,
		GapTarget: p.profile.Gap,
		Retries:   p.retries,
	}
	if !t.firstPieceAt.IsZero() {
		r.First = t.firstPieceAt.Sub(began)
	}
	if t.pieces > 1 {
		r.Gap = t.lastPieceAt.Sub(t.firstPieceAt) / time.Duration(t.pieces-1)
	}
	g.observer.Ended(r)
}

var _ peer.Sink = (*answerTracker)(nil)
