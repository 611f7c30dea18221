// Package entry takes a request from a caller to the dispatcher of a chosen
// endpoint, and brings the whole answer back although instances and endpoints
// fail on the way.
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
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	hopLimit     = 2
	nowhereRetry = 2 * time.Second
	// answerGrace is how long after a request's deadline its end may still come
	// from the dispatcher, which alone knows whether it ran.
	answerGrace   = time.Second
	resumePause   = 100 * time.Millisecond
	resumeWindow  = 10 * time.Second
	defaultLife   = 10 * time.Minute
	bufferedBytes = 64 << 10 // of a service's body, kept for a retry
	tokenBytes    = 4        // of text in one token, about
)

// Gateway is the entry side of one instance.
type Gateway struct {
	members    Members
	directory  *directory.Directory
	dispatcher Dispatcher
	peers      Peers
	documents  Documents
	remote     Remote
	trail      Trail
	draining   Draining
	suspects   Suspects
	observer   Observer
	pacer      Pacer
	clock      func() time.Time

	mu      sync.Mutex
	router  *route.Router
	budget  *retry.Budget
	choice  choice
	prompts *prompts
}

// New returns a gateway.
func New(members Members, dir *directory.Directory, d Dispatcher, p Peers, docs Documents, opts ...Option) *Gateway {
	g := &Gateway{
		members:    members,
		directory:  dir,
		dispatcher: d,
		peers:      p,
		documents:  docs,
		remote:     nowhere{},
		trail:      silent{},
		draining:   silent{},
		suspects:   silent{},
		observer:   silent{},
		pacer:      silent{},
		clock:      time.Now,
		router:     route.New(),
		budget:     retry.New(),
		prompts:    newPrompts(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Serve answers one request through the sink and returns how it ended.
func (g *Gateway) Serve(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	g.pacer.Request()
	began := g.clock()
	t := newTrack(sink, g.clock)
	g.trail.Note(request.Request, "enter", request.Model+request.Service, request.Profile)
	plan, end := g.plan(request)
	if end != nil {
		g.trail.Note(request.Request, "refuse", "", end.Code)
		return end
	}
	g.submitted(plan)
	ctx, cancel := context.WithDeadline(ctx, plan.deadline.Add(answerGrace))
	defer cancel()
	end = g.run(ctx, plan, t)
	g.trail.Note(request.Request, "end", string(t.assembly.Endpoint()), end.Outcome+" "+end.Code)
	g.report(plan, t, end, began)
	return end
}

// Relay runs a request that another instance passed on, inside this data centre only.
func (g *Gateway) Relay(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	g.pacer.Request()
	t := newTrack(sink, g.clock)
	p := &plan{request: request, repeatable: !request.Once, deadline: time.UnixMilli(request.Deadline)}
	if request.First > 0 {
		p.first = g.clock().Add(time.Duration(request.First) * time.Millisecond)
	}
	if err := p.keep(); err != nil {
		return dispatch.Refuse(dispatch.CodeBody, "read body", err.Error(), 0)
	}
	return g.run(ctx, p, t)
}

// Resume goes on with an answer that the caller has up to an offset.
func (g *Gateway) Resume(ctx context.Context, r *peerpb.Resume, sink peer.Sink) *peerpb.End {
	t := newTrack(sink, g.clock)
	t.assembly.Adopt(r.Attempt, fleet.Endpoint(r.Endpoint), r.Offset)
	p := &plan{request: peer.Request{Submit: &peerpb.Submit{Request: r.Request}}}
	return g.recover(ctx, p, t)
}

func (g *Gateway) run(ctx context.Context, p *plan, t *track) *peerpb.End {
	var last *peerpb.End
	for {
		end := g.try(ctx, p, t)
		if end.Code == dispatch.CodeNoEndpoint && last != nil {
			return last
		}
		if end.Code != "" && t.whole(p, end) {
			return dispatch.Complete(t.assembly.Next())
		}
		if end.Code == "" || !g.again(ctx, p, t, end) {
			return end
		}
		last = end
	}
}

// try sends the request to one endpoint and follows its answer to the end.
func (g *Gateway) try(ctx context.Context, p *plan, t *track) *peerpb.End {
	target, ok := g.choose(p)
	if !ok {
		return g.nowhere(ctx, p, t)
	}
	submit := p.submit(g.clock(), uuid.NewString(), target.Endpoint)
	submit.Prompt = uint32(max(int(submit.Prompt)-target.CachedTokens, 0)) // the rest is cached there
	t.begin(submit.Attempt, target.Endpoint)
	dispatcher, ok := g.members.Dispatcher(target.Endpoint, target.Place)
	if !ok || dispatcher.Instance == g.members.Self().Instance {
		return g.dispatcher.Serve(ctx, peer.Request{Submit: submit, Body: p.body()}, t)
	}
	g.trail.Note(submit.Request, "hop", string(dispatcher.Instance), "endpoint "+submit.Endpoint)
	return g.hop(ctx, p, t, dispatcher, submit)
}

func (g *Gateway) hop(ctx context.Context, p *plan, t *track, to member.Peer, submit *peerpb.Submit) *peerpb.End {
	end, err := g.peers.Serve(ctx, to.Address, peer.Request{Submit: submit, Body: p.body()}, t)
	if err == nil {
		return end
	}
	if ctx.Err() != nil {
		return dispatch.Fail(dispatch.CodeDeadline, "hop", err.Error())
	}
	if t.failed != nil {
		return dispatch.Fail(dispatch.CodeCancelled, "answer", t.failed.Error())
	}
	g.members.Unreachable(to.Instance)
	g.trail.Note(submit.Request, "cut", string(to.Instance), err.Error())
	if errors.Is(err, peer.ErrNotSent) {
		return dispatch.Refuse(dispatch.CodeUnreachable, "hop", err.Error(), 0)
	}
	if t.answering && !switches.Off(switches.Resume) {
		return g.recover(ctx, p, t)
	}
	return dispatch.Fail(dispatch.CodeLost, "hop", err.Error())
}

// recover follows an attempt whose dispatcher was lost: through its next
// dispatcher, for as long as it takes the others to notice the loss.
func (g *Gateway) recover(ctx context.Context, p *plan, t *track) *peerpb.End {
	until := g.clock().Add(resumeWindow)
	for {
		end, err := g.resume(ctx, p, t)
		if err == nil {
			return end
		}
		if ctx.Err() != nil || t.failed != nil || g.clock().After(until) {
			return dispatch.Fail(dispatch.CodeLost, "resume", err.Error())
		}
		pause(ctx, resumePause)
	}
}

func (g *Gateway) resume(ctx context.Context, p *plan, t *track) (*peerpb.End, error) {
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
	g.trail.Note(r.Request, "resume", string(to.Instance), "attempt "+r.Attempt)
	end, err := g.peers.Resume(ctx, to.Address, r, t)
	if err != nil {
		g.members.Unreachable(to.Instance)
	}
	return end, err
}

func pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
