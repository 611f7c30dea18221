// Package entry routes a request from a caller to the dispatcher of a chosen endpoint and
// returns the complete answer, with retries and resumption if instances or endpoints fail.
package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/presence"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	hopLimit             = 2
	noEndpointRetryAfter = 2 * time.Second
	// answerGrace is how long after the deadline of a request its end is awaited from the
	// dispatcher, since only the dispatcher knows whether the request ran.
	answerGrace      = time.Second
	resumePause      = 100 * time.Millisecond
	resumeWindow     = 10 * time.Second
	defaultDeadline  = 10 * time.Minute
	retryBufferBytes = 64 << 10 // of the body of a request to a service, kept for a retry
	bytesPerToken    = 4        // approximate
)

// Gateway routes the requests that callers send to one instance.
type Gateway struct {
	members    Members
	directory  *directory.Directory
	dispatcher Dispatcher
	peers      Peers
	documents  Documents
	remote     Remote
	decisions  DecisionLog
	draining   Draining
	suspects   Suspects
	observer   Observer
	pacer      Pacer
	shutdown   Shutdown
	clock      func() time.Time
	hops       hops

	mu            sync.Mutex
	router        *route.Router
	budget        *retry.Budget
	selection     selection
	promptHistory *promptHistory
}

// New returns a Gateway.
func New(members Members, dir *directory.Directory, d Dispatcher, p Peers, docs Documents, opts ...Option) *Gateway {
	g := &Gateway{
		members:       members,
		directory:     dir,
		dispatcher:    d,
		peers:         p,
		documents:     docs,
		remote:        noRemote{},
		decisions:     noop{},
		draining:      noop{},
		suspects:      noop{},
		observer:      noop{},
		pacer:         noop{},
		shutdown:      noop{},
		clock:         time.Now,
		router:        route.New(),
		budget:        retry.New(),
		promptHistory: newPromptHistory(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Serve sends the answer to one request to the sink and returns how the request ended.
func (g *Gateway) Serve(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	g.pacer.Request()
	began := g.clock()
	t := newAnswerTracker(sink, g.clock)
	g.decisions.Note(request.Request, "enter", request.Model+request.Service, request.Profile)
	plan, end := g.plan(request)
	if end != nil {
		g.decisions.Note(request.Request, "refuse", "", end.Code)
		return end
	}
	g.creditRetryBudget(plan)
	ctx, cancel := context.WithDeadline(ctx, plan.deadline.Add(answerGrace))
	defer cancel()
	end = g.run(ctx, plan, t)
	g.decisions.Note(request.Request, "end", string(t.assembly.Endpoint()), end.Outcome+" "+end.Code)
	g.report(plan, t, end, began)
	return end
}

// Relay runs a request that another instance forwarded, within this data centre only.
func (g *Gateway) Relay(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	g.pacer.Request()
	t := newAnswerTracker(sink, g.clock)
	p := &plan{request: request, repeatable: !request.Once, deadline: time.UnixMilli(request.Deadline)}
	if request.First > 0 {
		p.firstTokenDue = g.clock().Add(time.Duration(request.First) * time.Millisecond)
	}
	if err := p.readBody(); err != nil {
		return dispatch.Refuse(dispatch.CodeBody, "read body", err.Error(), 0)
	}
	return g.run(ctx, p, t)
}

// Resume continues an answer of which the caller has received the pieces up to an offset.
func (g *Gateway) Resume(ctx context.Context, r *peerpb.Resume, sink peer.Sink) *peerpb.End {
	t := newAnswerTracker(sink, g.clock)
	t.assembly.Adopt(r.Attempt, fleet.Endpoint(r.Endpoint), r.Offset)
	p := &plan{request: peer.Request{Submit: &peerpb.Submit{Request: r.Request}}}
	return g.resumeWithRetry(ctx, p, t)
}

func (g *Gateway) run(ctx context.Context, p *plan, t *answerTracker) *peerpb.End {
	var last, mayHaveRun *peerpb.End
	for {
		if mayHaveRun == nil && g.shutdown.Refuses(p.deadline) {
			return dispatch.RefuseForShutdown()
		}
		if presence.Left(ctx) {
			return wholeEnd(dispatch.RefuseAbandoned("route"), mayHaveRun)
		}
		end := g.runAttempt(ctx, p, t)
		if end.Code == dispatch.CodeNoEndpoint && last != nil {
			return wholeEnd(last, mayHaveRun)
		}
		if end.Code != "" && t.complete(p, end) {
			return dispatch.Complete(t.assembly.Next())
		}
		if end.Code == "" || !g.shouldRetry(ctx, p, t, end) {
			return wholeEnd(end, mayHaveRun)
		}
		last = end
		if !isNotRun(end) {
			mayHaveRun = end
			p.request.Rerun = true
		}
	}
}

// wholeEnd returns the end of a request whose last attempt has ended, and of which an earlier one may have
// run unless mayHaveRun is nil.
func wholeEnd(end, mayHaveRun *peerpb.End) *peerpb.End {
	if mayHaveRun != nil && isNotRun(end) {
		return mayHaveRun
	}
	return end
}

func isNotRun(end *peerpb.End) bool { return fleet.Outcome(end.Outcome) == fleet.OutcomeNotRun }

// runAttempt sends the request to one endpoint and relays its answer until it ends.
func (g *Gateway) runAttempt(ctx context.Context, p *plan, t *answerTracker) *peerpb.End {
	target, ok := g.choose(p)
	if !ok {
		return g.forwardOrRefuse(ctx, p, t)
	}
	submit := p.newAttempt(g.clock(), uuid.NewString(), target.Endpoint)
	submit.Prompt = uint32(max(int(submit.Prompt)-target.CachedTokens, 0)) // less the cached prefix
	t.begin(submit.Attempt, target.Endpoint)
	dispatcher, ok := g.members.Dispatcher(target.Endpoint, target.Place)
	if !ok || dispatcher.Instance == g.members.Self().Instance {
		return g.dispatcher.Serve(ctx, peer.Request{Submit: submit, Body: p.body(), Rerun: p.request.Rerun}, t)
	}
	g.decisions.Note(submit.Request, "hop", string(dispatcher.Instance), "endpoint "+submit.Endpoint)
	end := g.hop(ctx, p, t, dispatcher, submit)
	if dispatch.HandedBack(end) && g.hasNewDispatcher(target, dispatcher) {
		p.untry(target.Endpoint)
	}
	return end
}

// hasNewDispatcher reports whether another instance dispatches to an endpoint now.
func (g *Gateway) hasNewDispatcher(target route.Candidate, former member.Peer) bool {
	now, ok := g.members.Dispatcher(target.Endpoint, target.Place)
	return ok && now.Instance != former.Instance
}

func (g *Gateway) hop(ctx context.Context, p *plan, t *answerTracker, to member.Peer, submit *peerpb.Submit) *peerpb.End {
	if submit.Endpoint != "" && !p.request.Rerun {
		defer g.hops.add(to.Address, submit, p.deadline)()
	}
	end, err := g.peers.Serve(ctx, to.Address, peer.Request{Submit: submit, Body: p.body()}, t)
	if err == nil {
		return end
	}
	if ctx.Err() != nil {
		return dispatch.Fail(dispatch.CodeDeadline, "hop", err.Error())
	}
	if t.sinkErr != nil {
		return dispatch.Fail(dispatch.CodeCancelled, "answer", t.sinkErr.Error())
	}
	g.members.Unreachable(to.Instance)
	g.decisions.Note(submit.Request, "cut", string(to.Instance), err.Error())
	if errors.Is(err, peer.ErrNotSent) {
		return dispatch.Refuse(dispatch.CodeUnreachable, "hop", err.Error(), 0)
	}
	if t.headReceived && !switches.Off(switches.Resume) {
		return g.resumeWithRetry(ctx, p, t)
	}
	return dispatch.Fail(dispatch.CodeLost, "hop", err.Error())
}

// resumeWithRetry resumes an attempt whose dispatcher was lost through the endpoint's next
// dispatcher. It retries during resumeWindow, the time the other instances need to detect the
// loss.
func (g *Gateway) resumeWithRetry(ctx context.Context, p *plan, t *answerTracker) *peerpb.End {
	until := g.clock().Add(resumeWindow)
	for {
		end, err := g.resume(ctx, p, t)
		if err == nil {
			return end
		}
		if ctx.Err() != nil || t.sinkErr != nil || g.clock().After(until) {
			return dispatch.Fail(dispatch.CodeLost, "resume", err.Error())
		}
		sleep(ctx, resumePause)
	}
}

func (g *Gateway) resume(ctx context.Context, p *plan, t *answerTracker) (*peerpb.End, error) {
	r := &peerpb.Resume{
		Request:  p.request.GetRequest(),
		Attempt:  t.assembly.Attempt(),
		Endpoint: string(t.assembly.Endpoint()),
		Offset:   t.assembly.Next(),
	}
	place := g.members.Self().Place
	if entry, ok := g.directory.Get(t.assembly.Endpoint()); ok {
		place = entry.Place
	}
	to, ok := g.members.Dispatcher(t.assembly.Endpoint(), place)
	if !ok || to.Instance == g.members.Self().Instance {
		return g.dispatcher.Resume(ctx, r, t), nil
	}
	g.decisions.Note(r.Request, "resume", string(to.Instance), "attempt "+r.Attempt)
	end, err := g.peers.Resume(ctx, to.Address, r, t)
	if err != nil {
		g.members.Unreachable(to.Instance)
	}
	return end, err
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
