package entry

import (
	"context"
	"time"

	"github.com/chiveramp/chiveramp/internal/switches"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// choose picks an endpoint of this data centre.
func (g *Gateway) choose(p *plan) (route.Candidate, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.candidates = g.candidates[:0]
	g.directory.Each(fleet.Model(p.request.Model), p.request.Service, func(e *directory.Entry) {
		c := candidate(e)
		c.Leaving = c.Leaving || g.draining.Draining(e.Endpoint, fleet.Model(p.request.Model))
		g.candidates = append(g.candidates, c)
	})
	index, ok := g.router.Choose(g.clock(), g.routed(p), g.candidates)
	if !ok {
		return route.Candidate{}, false
	}
	return g.candidates[index], true
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

// again decides whether a failed try is followed by another one, and waits for it.
func (g *Gateway) again(ctx context.Context, p *plan, t *track, end *peerpb.End) bool {
	if !retryable(end.Code) || p.streamed || ctx.Err() != nil {
		return false
	}
	if !g.afford(ctx, p, end) {
		return false
	}
	return t.next(p, end)
}

// afford takes a retry from the profile's budget and waits for its time.
func (g *Gateway) afford(ctx context.Context, p *plan, end *peerpb.End) bool {
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
	case dispatch.CodeLeaving, dispatch.CodeUnsent, dispatch.CodeLost, dispatch.CodeOverload, dispatch.CodeGone, dispatch.CodeStopping:
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
