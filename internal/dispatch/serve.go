package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// capUnit is the unit in which a profile's share is told.
const capUnit = 1000

// queueRetry is when a request that was given up in the queue is worth sending again.
const queueRetry = time.Second

// errNoClaims: the instance has no store to claim in.
var errNoClaims = errors.New("no claims configured")

// Serve runs a request on the endpoint it names and passes the answer to the
// sink. When the caller goes away the attempt goes on for a while, so that the
// caller can come back for the rest.
func (p *Pool) Serve(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	ctx, span := p.tracer.Start(ctx, "dispatch.attempt", trace.WithAttributes(
		attribute.String("chiveramp.attempt", request.Attempt),
		attribute.String("chiveramp.endpoint", request.Endpoint),
	))
	defer span.End()
	end := p.serve(ctx, request, sink)
	span.SetAttributes(attribute.String("chiveramp.outcome", end.Outcome), attribute.String("chiveramp.code", end.Code))
	return end
}

func (p *Pool) serve(ctx context.Context, request peer.Request, sink peer.Sink) *peerpb.End {
	r, end := p.prepare(request)
	if end != nil {
		return end
	}
	if end := p.turn(ctx, r); end != nil {
		return end
	}
	if end := p.admit(ctx, r, sink); end != nil {
		p.leave(request, admit.End{State: admit.EndCancelled})
		return end
	}
	p.launch(ctx, r)
	return r.Copy(ctx, 0, sink)
}

// prepare reads the body and refuses what must not run at all.
func (p *Pool) prepare(request peer.Request) (*run, *peerpb.End) {
	r := &run{
		Attempt: newAttempt(request.Attempt, request.Endpoint, p.limits.Replay, p.timers.Now),
		pool:    p,
		request: request,
	}
	if request.Service == "" || request.Key != "" {
		body, err := io.ReadAll(io.LimitReader(request.Body, p.limits.Body+1))
		if err != nil {
			return nil, Refuse(CodeBody, "read body", err.Error(), 0)
		}
		if int64(len(body)) > p.limits.Body {
			return nil, Refuse(CodeBody, "read body", fmt.Sprintf("body is over %d bytes", p.limits.Body), 0)
		}
		r.body = body
	}
	if _, convicted := p.suspects.Check(request.Fingerprint); convicted {
		return nil, Refuse(CodeSuspect, "admit", "endpoints died while they ran this request; change it before sending it again", 0)
	}
	p.trail.Note(request.Request, "dispatch", string(p.self), "endpoint "+request.Endpoint)
	return r, nil
}

// turn waits until the endpoint's dispatcher lets the request go.
func (p *Pool) turn(ctx context.Context, r *run) *peerpb.End {
	request := r.request
	p.queue()
	defer p.waiting.Add(-1)
	reply := make(chan turn, 1)
	item := p.item(request)
	r.trial = item.Suspect
	p.system.Root.Send(p.dispatcher(fleet.Endpoint(request.Endpoint)), enter{
		now:   p.timers.Now(),
		item:  item,
		reply: reply,
	})
	waiting := ctx
	if request.Deadline > 0 {
		limited, cancel := context.WithDeadline(ctx, time.UnixMilli(request.Deadline))
		defer cancel()
		waiting = limited
	}
	select {
	case t := <-reply:
		if t.granted {
			p.trail.Note(request.Request, "turn", request.Endpoint, "after "+p.timers.Now().Sub(item.Arrived).Round(time.Millisecond).String())
			return nil
		}
		if t.gone {
			return Refuse(CodeUnsent, "queue", "endpoint "+request.Endpoint+" is no longer listed", 0)
		}
		p.meter.Refused(fleet.Model(request.Model))
		p.trail.Note(request.Request, "refuse", request.Endpoint, string(t.verdict.Code))
		return Refuse(CodeOverload, "admit", "endpoint "+request.Endpoint+": "+string(t.verdict.Code), t.verdict.RetryAfter)
	case <-waiting.Done():
		p.leave(request, admit.End{State: admit.EndCancelled})
		return unqueued(ctx)
	}
}

// queue counts a request that waits for its turn.
func (p *Pool) queue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.Add(1)
	p.work()
}

// unqueued is the end of a request that was given up in the queue.
func unqueued(ctx context.Context) *peerpb.End {
	if ctx.Err() != nil {
		return Refuse(CodeCancelled, "queue", ctx.Err().Error(), 0)
	}
	return Refuse(CodeDeadline, "queue", "the deadline passed before the request had its turn", queueRetry)
}

func (p *Pool) item(request peer.Request) admit.Item {
	now := p.timers.Now()
	item := admit.Item{
		ID:           request.Attempt,
		Rank:         fleet.Rank(request.Rank),
		Profile:      fleet.Profile(request.Profile),
		Model:        fleet.Model(request.Model),
		Arrived:      now,
		MaxShare:     float64(request.Cap) / capUnit,
		PromptTokens: int(request.Prompt),
		MaxTokens:    int(request.Tokens),
	}
	if request.Deadline > 0 {
		item.Deadline = time.UnixMilli(request.Deadline)
	}
	if first := now.Add(time.Duration(request.First) * time.Millisecond); request.First > 0 && (item.Deadline.IsZero() || first.Before(item.Deadline)) {
		item.Deadline = first
	}
	item.Suspect, _ = p.suspects.Check(request.Fingerprint)
	return item
}

// admit does the last checks of a request whose turn has come. The claim is the
// last of them, so that a death before it costs nothing.
func (p *Pool) admit(ctx context.Context, r *run, sink peer.Sink) *peerpb.End {
	entry, ok := p.endpoints.Get(fleet.Endpoint(r.endpoint))
	if !ok {
		return Refuse(CodeUnsent, "start", "endpoint "+r.endpoint+" is not listed", 0)
	}
	if entry.Leaving && !switches.Off(switches.Leaving) {
		return Refuse(CodeLeaving, "start", "endpoint "+r.endpoint+" is leaving", 0)
	}
	if p.draining.Draining(entry.Endpoint, fleet.Model(r.request.Model)) {
		return Refuse(CodeLeaving, "start", "model "+r.request.Model+" is leaving endpoint "+r.endpoint, 0)
	}
	r.entry = entry
	if r.request.Key == "" || switches.Off(switches.Claim) {
		return nil
	}
	return p.claim(ctx, r, sink)
}

func (p *Pool) claim(ctx context.Context, r *run, sink peer.Sink) *peerpb.End {
	switches.CrashAt(switches.CrashUnclaimed, r.request.Key)
	verdict, err := p.claims.Claim(ctx, r.key(), once.Request{
		ID:          r.request.Request,
		Attempt:     r.id,
		Fingerprint: r.request.Fingerprint,
		Holder:      string(p.self),
		Deadline:    time.UnixMilli(r.request.Deadline),
	})
	p.trail.Note(r.request.Request, "claim", "store", string(verdict.Kind))
	switch {
	case errors.Is(err, once.ErrReused), errors.Is(err, once.ErrKey):
		return Refuse(CodeKey, "claim", err.Error(), 0)
	case err != nil:
		return Fail(CodeStore, "claim", err.Error())
	}
	switch verdict.Kind {
	case once.KindGranted:
		r.claimed, r.claim = true, verdict.Claim
		switches.CrashAt(switches.CrashClaimed, r.request.Key)
		return nil
	case once.KindRecorded:
		return replay(r, verdict.Answer, sink)
	case once.KindRunning:
		end := Fail(CodeRunning, "claim", "the request is running; ask again with the same key")
		end.Retry = uint32(verdict.RetryAfter.Milliseconds())
		return end
	case once.KindRefused:
		return Refuse(CodeStore, "claim", "the store can't take the claim", verdict.RetryAfter)
	default:
		return Fail(CodeUnknown, "claim", "an earlier run of this key did not report its end")
	}
}

// launch starts the attempt. Its life does not hang on the caller's, unless the
// caller's body is still being read.
func (p *Pool) launch(ctx context.Context, r *run) {
	running := ctx
	if r.body != nil {
		running = context.WithoutCancel(ctx)
	}
	running, r.cancel = context.WithCancelCause(running)
	stop := func() {}
	if r.request.Deadline > 0 {
		running, stop = context.WithDeadline(running, time.UnixMilli(r.request.Deadline))
	}
	r.began = p.timers.Now()
	p.keep(r)
	p.group.Go(func() error {
		defer stop()
		r.pump(running)
		return nil
	})
}

// Resume passes what follows an offset of an attempt to the sink. An attempt
// that another instance dispatched is asked for at its endpoint.
func (p *Pool) Resume(ctx context.Context, resume *peerpb.Resume, sink peer.Sink) *peerpb.End {
	p.trail.Note(resume.Request, "resume", string(p.self), fmt.Sprintf("attempt %s after %d", resume.Attempt, resume.Offset))
	p.mu.Lock()
	r, ok := p.attempts[resume.Attempt]
	p.mu.Unlock()
	if !ok {
		adopted, end := p.adopt(ctx, resume)
		if end != nil {
			return end
		}
		r = adopted
	}
	return r.Copy(ctx, resume.Offset, sink)
}
