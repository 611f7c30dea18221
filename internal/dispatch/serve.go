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
	"github.com/chiveramp/chiveramp/internal/presence"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// shareUnit is the denominator of a profile's maximum share, which messages carry in
// thousandths.
const shareUnit = 1000

// minTimeLeft is the shortest time before its deadline in which a request is still sent to an
// endpoint.
const minTimeLeft = 20 * time.Millisecond

// queueRetryAfter is the retry delay sent for a request whose deadline passed in the queue.
const queueRetryAfter = time.Second

// errNoClaims is returned for requests with an idempotency key when the instance has no
// claim store.
var errNoClaims = errors.New("no claim store configured")

// Serve runs a request on the endpoint that it names and writes the answer to the sink.
// When the caller disconnects, the attempt runs on for a while, so that the caller can
// reconnect for the rest.
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
	if end := p.shutdown.check(p.timers.Now(), r); end != nil {
		return end
	}
	waiting, stopWaiting := p.shutdown.wait(ctx, r)
	defer stopWaiting()
	if end := p.awaitSlot(waiting, r); end != nil {
		return end
	}
	if end := p.checkBeforeStart(waiting, r, sink); end != nil {
		p.releaseSlot(request, admit.End{State: admit.EndCancelled})
		return end
	}
	p.launch(ctx, r)
	stopWaiting()
	return r.Copy(ctx, 0, sink)
}

// prepare reads the body, and refuses requests that are too large or known to crash
// endpoints.
func (p *Pool) prepare(request peer.Request) (*run, *peerpb.End) {
	r := &run{
		Attempt: newAttempt(request.Attempt, request.Endpoint, p.limits.ReplayBytes, p.timers.Now),
		pool:    p,
		request: request,
	}
	if request.Service == "" || request.Key != "" {
		body, err := io.ReadAll(io.LimitReader(request.Body, p.limits.BodyBytes+1))
		if err != nil {
			return nil, Refuse(CodeBody, "read body", err.Error(), 0)
		}
		if int64(len(body)) > p.limits.BodyBytes {
			return nil, Refuse(CodeBody, "read body", fmt.Sprintf("body is over %d bytes", p.limits.BodyBytes), 0)
		}
		r.body = body
	}
	if _, poison := p.suspects.Check(request.Fingerprint); poison {
		return nil, Refuse(CodePoison, "admit", "endpoints crashed while running this request; change it before sending it again", 0)
	}
	p.decisions.Note(request.Request, "dispatch", string(p.self), "endpoint "+request.Endpoint)
	return r, nil
}

// awaitSlot queues the request at the endpoint's dispatcher and waits until it is admitted.
func (p *Pool) awaitSlot(ctx context.Context, r *run) *peerpb.End {
	request := r.request
	p.countWaiting()
	defer p.waiting.Add(-1)
	reply := make(chan admission, 1)
	item := p.queueItem(request)
	r.trial = item.Suspect
	p.system.Root.Send(p.dispatcher(fleet.Endpoint(request.Endpoint)), enqueue{
		now:   p.timers.Now(),
		item:  item,
		reply: reply,
	})
	waitCtx := ctx
	if request.Deadline > 0 {
		deadlineCtx, cancel := context.WithDeadline(ctx, time.UnixMilli(request.Deadline))
		defer cancel()
		waitCtx = deadlineCtx
	}
	select {
	case t := <-reply:
		if t.granted {
			p.decisions.Note(request.Request, "turn", request.Endpoint, "after "+p.timers.Now().Sub(item.Arrived).Round(time.Millisecond).String())
			return nil
		}
		if t.gone {
			return Refuse(CodeUnreachable, "queue", "endpoint "+request.Endpoint+" is no longer in the directory", 0)
		}
		p.meter.Refused(fleet.Model(request.Model))
		p.decisions.Note(request.Request, "refuse", request.Endpoint, string(t.decision.Code))
		return Refuse(CodeOverload, "admit", "endpoint "+request.Endpoint+": "+string(t.decision.Code), t.decision.RetryAfter)
	case <-waitCtx.Done():
		p.releaseSlot(request, admit.End{State: admit.EndCancelled})
		return cancelledInQueue(ctx)
	}
}

// countWaiting counts a request as queued and makes sure that sweeps run, which expire it.
func (p *Pool) countWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting.Add(1)
	p.startSweeps()
}

// cancelledInQueue returns the end of a request that was cancelled or timed out in the queue.
func cancelledInQueue(ctx context.Context) *peerpb.End {
	switch {
	case errors.Is(context.Cause(ctx), ErrShutdown):
		return RefuseForShutdown()
	case ctx.Err() != nil:
		return Refuse(CodeCancelled, "queue", ctx.Err().Error(), 0)
	case presence.Left(ctx):
		return RefuseAbandoned("queue")
	}
	return Refuse(CodeDeadline, "queue", "the deadline passed while the request was queued", queueRetryAfter)
}

func (p *Pool) queueItem(request peer.Request) admit.Item {
	now := p.timers.Now()
	item := admit.Item{
		ID:           request.Attempt,
		Rank:         fleet.Rank(request.Rank),
		Profile:      fleet.Profile(request.Profile),
		Model:        fleet.Model(request.Model),
		Arrived:      now,
		MaxShare:     float64(request.Cap) / shareUnit,
		PromptTokens: int(request.Prompt),
		MaxTokens:    int(request.Tokens),
	}
	if request.Deadline > 0 {
		item.Deadline = time.UnixMilli(request.Deadline)
	}
	if firstTokenDeadline := now.Add(time.Duration(request.First) * time.Millisecond); request.First > 0 && (item.Deadline.IsZero() || firstTokenDeadline.Before(item.Deadline)) {
		item.Deadline = firstTokenDeadline
	}
	item.Suspect, _ = p.suspects.Check(request.Fingerprint)
	return item
}

// checkBeforeStart does the final checks of a request that has been given a slot. The
// claim comes last, so that a crash of this instance before it leaves no claim behind.
func (p *Pool) checkBeforeStart(ctx context.Context, r *run, sink peer.Sink) *peerpb.End {
	if end := p.shutdown.leaveQueue(p.timers.Now(), r); end != nil {
		return end
	}
	if d := r.request.Deadline; d > 0 && time.UnixMilli(d).Sub(p.timers.Now()) < minTimeLeft {
		return Refuse(CodeDeadline, "start", "the deadline would pass before the endpoint could answer", queueRetryAfter)
	}
	entry, ok := p.endpoints.Get(fleet.Endpoint(r.endpoint))
	if !ok {
		return Refuse(CodeUnreachable, "start", "endpoint "+r.endpoint+" is not in the directory", 0)
	}
	if entry.Leaving && !switches.Off(switches.Leaving) {
		return Refuse(CodeLeaving, "start", "endpoint "+r.endpoint+" is leaving", 0)
	}
	if p.draining.Draining(entry.Endpoint, fleet.Model(r.request.Model)) {
		return Refuse(CodeLeaving, "start", "model "+r.request.Model+" is being drained on endpoint "+r.endpoint, 0)
	}
	if presence.Left(ctx) { // a turn may come together with the news
		return cancelledInQueue(ctx)
	}
	r.entry = entry
	if r.request.Key == "" || switches.Off(switches.Claim) {
		return nil
	}
	return p.claim(ctx, r, sink)
}

func (p *Pool) claim(ctx context.Context, r *run, sink peer.Sink) *peerpb.End {
	switches.CrashAt(switches.CrashUnclaimed, r.request.Key)
	result, err := p.claims.Claim(ctx, r.key(), once.Request{
		ID:          r.request.Request,
		Attempt:     r.id,
		Fingerprint: r.request.Fingerprint,
		Holder:      string(p.self),
		Deadline:    time.UnixMilli(r.request.Deadline),
	})
	p.decisions.Note(r.request.Request, "claim", "store", string(result.Kind))
	switch {
	case errors.Is(err, once.ErrReused), errors.Is(err, once.ErrKey):
		return Refuse(CodeKey, "claim", err.Error(), 0)
	case err != nil:
		return Fail(CodeStore, "claim", err.Error())
	}
	switch result.Kind {
	case once.KindGranted:
		r.claimed, r.claim = true, result.Claim
		switches.CrashAt(switches.CrashClaimed, r.request.Key)
		return nil
	case once.KindRecorded:
		return replay(r, result.Answer, sink)
	case once.KindRunning:
		end := Fail(CodeRunning, "claim", "the request is already running; retry with the same key")
		end.Retry = uint32(result.RetryAfter.Milliseconds())
		return end
	case once.KindRefused:
		return Refuse(CodeStore, "claim", "the claim store can't accept the claim", result.RetryAfter)
	default:
		return Fail(CodeUnknown, "claim", "the outcome of an earlier run with this key is unknown")
	}
}

// launch starts the attempt. It outlives the caller's connection, unless its body is
// still being streamed from the caller.
func (p *Pool) launch(ctx context.Context, r *run) {
	runCtx := ctx
	if r.body != nil {
		runCtx = context.WithoutCancel(ctx)
	}
	runCtx, r.cancel = context.WithCancelCause(runCtx)
	stop := func() {}
	if r.request.Deadline > 0 {
		runCtx, stop = context.WithDeadline(runCtx, time.UnixMilli(r.request.Deadline))
	}
	r.startedAt = p.timers.Now()
	p.register(r)
	p.group.Go(func() error {
		defer stop()
		r.pump(runCtx)
		return nil
	})
}

// Resume writes the answer of an attempt from an offset on to the sink. If another
// instance dispatched the attempt, its answer is requested from the endpoint.
func (p *Pool) Resume(ctx context.Context, resume *peerpb.Resume, sink peer.Sink) *peerpb.End {
	p.decisions.Note(resume.Request, "resume", string(p.self), fmt.Sprintf("attempt %s after %d", resume.Attempt, resume.Offset))
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
