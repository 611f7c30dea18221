package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	maxResumeTries = 3
	resumeDelay    = 50 * time.Millisecond
	recordTimeout  = 2 * time.Second
	cancelTimeout  = 2 * time.Second
	// maxCancelTries and cancelDelay are how often and how soon an endpoint is asked again to cancel an
	// attempt of which it has no record: the attempt may still be on its way there.
	maxCancelTries = 5
	cancelDelay    = 50 * time.Millisecond
	forwardBuffer  = 16 << 10 // bytes
)

// run is an attempt together with the state needed to execute it.
type run struct {
	*Attempt
	pool      *Pool
	request   peer.Request
	body      []byte // nil when the body is streamed
	entry     directory.Entry
	claimed   bool
	claim     string // id of the claim if claimed is set
	cancel    context.CancelCauseFunc
	admitted  time.Time // when it left the queue, zero if another dispatcher sent it
	startedAt time.Time
	trial     bool // the request was a suspect when it was sent
}

var (
	// errStalled cancels an attempt whose endpoint has sent nothing for too long.
	errStalled = errors.New("endpoint stalled")
	// errCallerGone cancels an attempt whose caller disconnected and did not reconnect.
	errCallerGone = errors.New("caller disconnected")
)

// answerSource returns the pieces of an attempt's answer.
type answerSource interface {
	// next returns the piece at the offset, or io.EOF after the last one.
	next(offset uint64) ([]byte, error)
	close()
}

func (r *run) key() once.Key {
	return once.Key{Profile: fleet.Profile(r.request.Profile), Text: r.request.Key}
}

// pump executes the attempt, then records its outcome and releases its slot.
func (r *run) pump(ctx context.Context) {
	end := r.execute(ctx)
	r.recordClaim(ctx, end)
	r.pool.finishSlot(r.request, end)
	r.pool.meter.Worked(fleet.Model(r.request.Model), r.pool.timers.Now().Sub(r.startedAt))
	if end.Code == "" {
		r.pool.suspects.Finished(r.request.Fingerprint)
		r.pool.shutdown.recordDuration(r.pool.timers.Now(), r)
	}
	r.finish(end)
	r.cancel(nil)
}

func (r *run) execute(ctx context.Context) *peerpb.End {
	if r.pool.shutdown.hasEnded() {
		return RefuseForShutdown()
	}
	source, head, err := r.open(ctx)
	if err != nil {
		return r.startFailure(ctx, err)
	}
	defer source.close()
	switches.CrashAt(switches.CrashAnswered, r.request.Key)
	r.setHead(head)
	for offset := uint64(0); ; offset++ {
		data, err := source.next(offset)
		if errors.Is(err, io.EOF) {
			return Complete(offset)
		}
		if err != nil {
			return r.answerFailure(ctx, err)
		}
		if !r.appendPiece(data) {
			_ = r.cancelAtEndpoint(ctx)
			return Fail(CodeSlow, "answer", "the caller did not read the answer in time")
		}
	}
}

func (r *run) open(ctx context.Context) (answerSource, *peerpb.Head, error) {
	if r.request.Service != "" {
		return r.openService(ctx)
	}
	return r.openModel(ctx)
}

func (r *run) newHead(status int, header http.Header) *peerpb.Head {
	head := &peerpb.Head{
		Attempt:    r.id,
		Dispatcher: string(r.pool.self),
		Endpoint:   r.endpoint,
		Status:     int32(status),
	}
	for name, values := range header {
		for _, value := range values {
			head.Headers = append(head.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return head
}

// startFailure returns the end of an attempt for which no answer could be opened.
func (r *run) startFailure(ctx context.Context, err error) *peerpb.End {
	r.pool.decisions.Note(r.request.Request, "start", r.endpoint, err.Error())
	var refused *endpoint.StatusError
	switch {
	case errors.Is(err, endpoint.ErrLeaving):
		r.pool.endpoints.MarkLeaving(fleet.Endpoint(r.endpoint))
		return Refuse(CodeLeaving, "start", err.Error(), 0)
	case endpoint.NotRun(err) && errors.Is(context.Cause(ctx), ErrShutdown):
		return RefuseForShutdown()
	case endpoint.NotRun(err):
		return Refuse(CodeUnreachable, "start", err.Error(), 0)
	case errors.As(err, &refused) && refused.Status < http.StatusInternalServerError:
		return Refuse(CodeRefused, "start", err.Error(), refused.RetryAfter)
	default:
		return r.answerFailure(ctx, err)
	}
}

// answerFailure returns the end of an attempt whose answer broke off. It reports the
// endpoint as crashed if it stalled, refuses connections or has restarted.
func (r *run) answerFailure(ctx context.Context, err error) *peerpb.End {
	stalled, shutdown := errors.Is(context.Cause(ctx), errStalled), errors.Is(context.Cause(ctx), ErrShutdown)
	if ctx.Err() != nil && !stalled {
		notRun := r.cancelAtEndpoint(ctx)
		switch {
		case notRun && shutdown:
			return RefuseForShutdown()
		case shutdown:
			return FailForShutdown()
		case notRun:
			return Refuse(CodeDeadline, "answer", "cancelled before the endpoint had started it", queueRetryAfter)
		}
		return cancelledEnd(ctx)
	}
	if r.request.Service == "" && (stalled || r.endpointCrashed(ctx)) {
		r.pool.reportCrash(r)
	}
	return Fail(CodeLost, "answer", err.Error())
}

// cancelledEnd returns the end of an attempt that was cancelled after it had started.
func cancelledEnd(ctx context.Context) *peerpb.End {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return Fail(CodeDeadline, "answer", "the deadline passed before the answer was complete")
	}
	return Fail(CodeCancelled, "answer", context.Cause(ctx).Error())
}

// endpointCrashed reports whether the endpoint refuses connections or has restarted.
func (r *run) endpointCrashed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	state, err := r.pool.engine.State(ctx, r.entry.Address)
	if err != nil {
		return errors.Is(err, endpoint.ErrNotSent)
	}
	before := r.entry.Report.Incarnation
	return before != "" && state.Incarnation != before
}

// cancelAtEndpoint cancels the attempt at the endpoint. It returns true only if the
// endpoint confirms that the attempt has not started and never will.
func (r *run) cancelAtEndpoint(ctx context.Context) (notRun bool) {
	if r.request.Service != "" || errors.Is(context.Cause(ctx), errClosed) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	for try := 1; ; try++ {
		ran, err := r.pool.engine.Cancel(ctx, r.entry.Address, r.id)
		if errors.Is(err, endpoint.ErrGone) && try < maxCancelTries {
			sleep(ctx, cancelDelay)
			continue
		}
		r.pool.decisions.Note(r.request.Request, "cancel", r.endpoint, fmt.Sprintf("ran=%t try=%d err=%v", ran, try, err))
		return err == nil && !ran
	}
}

// recordClaim records the outcome of a claimed request before any reader receives it.
// If the store doesn't accept it now, the Claims implementation retries later.
func (r *run) recordClaim(ctx context.Context, end *peerpb.End) {
	if !r.claimed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switches.CrashAt(switches.CrashUnrecorded, r.request.Key)
	if err := r.recordOutcome(ctx, end); err != nil {
		r.pool.decisions.Note(r.request.Request, "record", "store", err.Error())
	}
	switches.CrashAt(switches.CrashRecorded, r.request.Key)
}

func (r *run) recordOutcome(ctx context.Context, end *peerpb.End) error {
	switch fleet.Outcome(end.Outcome) {
	case fleet.OutcomeNotRun:
		return r.pool.claims.Release(ctx, r.key(), r.claim)
	case fleet.OutcomeRan:
		return r.pool.claims.Finish(ctx, r.key(), r.claim, r.recordedAnswer())
	default:
		r.pool.claims.Abandon(r.key(), r.claim)
		return nil
	}
}

// finishSlot returns the slot of an executed attempt, along with how the attempt ended.
func (p *Pool) finishSlot(request peer.Request, end *peerpb.End) {
	state := admit.EndComplete
	switch {
	case end.Code == CodeCancelled || end.Code == CodeSlow || end.Code == CodeDeadline:
		state = admit.EndCancelled
	case end.Code != "":
		state = admit.EndFailed
	}
	p.releaseSlot(request, admit.End{State: state, RetryAfter: time.Duration(end.Retry) * time.Millisecond})
}

func (p *Pool) releaseSlot(request peer.Request, end admit.End) {
	pid := p.dispatcher(fleet.Endpoint(request.Endpoint))
	p.system.Root.Send(pid, release{now: p.timers.Now(), id: request.Attempt, end: end})
}

// reportCrash reports, once for each incarnation, which requests were running when it
// crashed. Attempts that lost their answer earlier are still retained and included.
func (p *Pool) reportCrash(lost *run) {
	incarnation := lost.incarnation()
	p.mu.Lock()
	if _, reported := p.reportedCrashes[incarnation]; reported {
		p.mu.Unlock()
		return
	}
	p.reportedCrashes[incarnation] = p.timers.Now()
	var running []suspect.Run
	for _, r := range p.attempts {
		end := r.Ended()
		ran := end == nil || end.Code == CodeLost
		if ran && r.incarnation() == incarnation && r.request.Fingerprint != 0 {
			running = append(running, suspect.Run{Fingerprint: suspect.Fingerprint(r.request.Fingerprint), Trial: r.trial})
		}
	}
	p.mu.Unlock()
	p.suspects.RecordCrash(incarnation, running)
}

// incarnation identifies one incarnation of the endpoint that runs the attempt, by that
// of its registration and that in its report.
func (r *run) incarnation() string {
	return r.endpoint + "@" + r.entry.Incarnation + "@" + r.entry.Report.Incarnation
}
