package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/pace"
)

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of the buffer for reading a stream.
	readBufferBytes = 4 << 10
	// admissionMargin is what a first event takes beside its wait and its prefill: the way
	// there and back and the steps of the engine.
	admissionMargin = 60 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome string

const (
	outcomeDone        outcome = "done"       // an answer was passed on to the caller, or the write to the caller failed
	outcomeNotRun      outcome = "not-run"    // the endpoint did not run the request, so another may be tried
	outcomeUnknown     outcome = "unknown"    // the endpoint may have run the request
	outcomeInterrupted outcome = "cut"        // the stream broke off before its end
	outcomeSuperseded  outcome = "superseded" // another attempt's answer reached the caller first
)

// attempt is the request at one endpoint.
type attempt struct {
	job    *job
	target Target
	query  balance.Request
	cancel context.CancelCauseFunc
	// after is the last event that the caller had when the attempt began.
	after    string
	timer    *silenceTimer
	sentAt   time.Time
	answered bool // the endpoint has answered
	begun    bool // the endpoint has sent a whole event or answer
	// mayHaveRun is set if another endpoint may have run the request before.
	mayHaveRun bool
	// insistent is set if it is sent even if it comes too late for the route's target.
	insistent bool
	// admittedLate is set if it was admitted behind the requests that can be in time.
	admittedLate bool
	// retryTaken is set if a retry was taken from the budget for it.
	retryTaken bool
	// quiet is set while the endpoint is silent. It belongs to the job.
	quiet *silence

	// progress is incremented when a part of the answer begins to be passed on and when it has been,
	// passing is set between the two. Both and superseded belong to the delivery.
	progress   int
	passing    bool
	superseded bool
}

// result is how an attempt ended.
type result struct {
	attempt *attempt
	outcome outcome
	sent    bool // the endpoint may have received the request
	err     error
	refusal
}

// refusal is how an endpoint refused to admit a request.
type refusal struct {
	// predictedWait is the wait there.
	predictedWait time.Duration
	// late is set if the request has asked to wait longer than its target. askAgain is when it is
	// to ask again, 0 if it doesn't wait there, ahead how many others do before it.
	late     bool
	askAgain time.Duration
	ahead    int
	// comeBack is when its caller may come back, 0 if that isn't known.
	comeBack time.Duration
	yields   bool // it leaves room to other workspaces
}

// runGuarded runs the attempt. A panic ends the request, not the instance, as in a handler of
// net/http.
func (a *attempt) runGuarded(ctx context.Context) (r result) {
	defer func() {
		if p := recover(); p != nil {
			a.job.log("step", "panic", "endpoint", a.target.ID, "err", p, "stack", string(debug.Stack()))
			r = result{attempt: a, outcome: outcomeUnknown, sent: true, err: fmt.Errorf("panic: %v", p)}
		}
	}()
	return a.run(ctx)
}

// run sends the request to the chosen endpoint and passes the answer on.
func (a *attempt) run(ctx context.Context) result {
	j := a.job
	if a.target.LoadAdapter {
		if err := j.gateway.fleet.Ensure(ctx, a.target, j.request.Model, j.request.Adapter); err != nil {
			return result{attempt: a, outcome: outcomeNotRun, err: fmt.Errorf("load adapter: %w", err)}
		}
	}
	if refusal, err := a.awaitAdmission(ctx); err != nil {
		return result{attempt: a, outcome: outcomeNotRun, err: err, refusal: refusal}
	}
	if err := a.recheck(ctx); err != nil {
		return result{attempt: a, outcome: outcomeNotRun, err: err}
	}
	ctx, span := j.gateway.tracer.Start(ctx, "attempt")
	defer span.End()
	outcome, err := a.send(ctx)
	return result{attempt: a, outcome: outcome, sent: !errors.Is(err, ErrNotSent), err: err}
}

// recheck checks immediately before the request is sent what may have changed since its endpoint was
// chosen, while it waited for an adapter or its turn. The route isn't checked: except for its key, a
// request is handled by the configuration with which it arrived. claimRun is last, since it takes the
// place of a review, which only a request that is sent may have.
func (a *attempt) recheck(ctx context.Context) error {
	j := a.job
	if err := ctx.Err(); err != nil {
		return err
	}
	if j.abandoned() {
		return ErrAbandoned
	}
	if err := j.checkShutdown(ctx); err != nil {
		return err
	}
	if j.timeLeft(ctx) < a.leastTime() {
		return ErrTooLate
	}
	if err := j.gateway.fleet.CheckTarget(a.target, j.request.Model); err != nil {
		return err
	}
	if err := j.gateway.fleet.KeyValid(j.request.Key, j.request.Workspace); err != nil {
		return err
	}
	return a.claimRun()
}

// leastTime returns how long the first part of an answer takes at least.
func (a *attempt) leastTime() time.Duration {
	if a.job.request.Model == "" {
		return minTimeLeft
	}
	return a.target.PendingPrefill + admissionMargin
}

func (a *attempt) send(ctx context.Context) (outcome, error) {
	j, g := a.job, a.job.gateway
	message := &Attempt{
		Request: j.request, Endpoint: a.target.ID, Born: a.target.Born, Address: a.target.Address,
		Level: a.level(), Late: a.admittedLate, After: a.after,
		Wanted: func() bool { return !j.abandoned() },
	}
	if j.request.Wait > 0 {
		message.TimeLeft = max(time.Millisecond, j.request.Wait-g.clock().Sub(j.arrived))
	}
	a.timer.start(j.firstByteTimeout(a.target))
	defer a.timer.close()
	a.sentAt = g.clock()
	g.active.sent(j.active, a.sentAt)
	j.sent.Add(1)
	answer, err := g.sender.Send(ctx, message)
	if errors.Is(err, ErrNotSent) {
		j.sent.Add(-1)
		if ctx.Err() == nil {
			g.fleet.Failed(a.target)
		}
		return outcomeNotRun, err
	}
	if err != nil {
		a.reportFailure(ctx)
		return outcomeUnknown, err
	}
	defer func() { _ = answer.Body.Close() }()
	return a.handleAnswer(ctx, answer)
}

// awaitAdmission has the request admitted at the chosen endpoint. A request that would wait
// too long to meet its target is not sent there: the error comes with the wait. Where queued
// prompts would pause the streams that run there, or the endpoint has asked for a limit, the
// request waits for its turn.
func (a *attempt) awaitAdmission(ctx context.Context) (refusal, error) {
	j := a.job
	if !a.target.Limited && (j.request.Model == "" || j.route.Target <= 0) {
		return refusal{}, nil
	}
	work, paced := a.target.PendingPrefill, pace.Applies(j.route.MaxEventGap)
	if paced {
		work = pace.Work(work, j.route.MaxEventGap)
	}
	limit := max(0, j.route.Target-j.gateway.clock().Sub(j.arrived)-a.target.PendingPrefill-admissionMargin)
	late := a.late()
	admission := j.gateway.fleet.Admit(ctx, a.target, &a.query, Question{Work: work, Limit: limit, Late: late})
	a.admittedLate = admission.Late
	if admission.Refused && (a.mayHaveRun || a.insistent) && !admission.Limited {
		// Its target has passed. After a run a refusal would say that it has not run, beside an
		// endpoint that stays silent it would leave the request without an answer, and a stream that
		// the caller takes up without its rest.
		return refusal{}, ctx.Err()
	}
	if admission.Refused {
		r := refusal{predictedWait: admission.Wait + a.target.PendingPrefill, late: late != nil, askAgain: admission.AskAgain, ahead: admission.Ahead, yields: admission.Yields, comeBack: admission.Return}
		return r, fmt.Errorf("%w: the wait there is %s", ErrOverloaded, admission.Wait)
	}
	if late != nil {
		j.endWait()
	}
	wait := admission.Hold
	if paced {
		wait = max(wait, admission.Wait)
	}
	if wait <= 0 {
		return refusal{}, ctx.Err()
	}
	j.admissionWait.Store(int64(wait))
	j.waitAt(ctx, &a.target, wait)
	return refusal{}, ctx.Err()
}

// level returns the rank with which the request is sent: the last one if it leaves room to other
// workspaces.
func (a *attempt) level() int {
	if a.admittedLate && a.job.queueing.yields {
		return max(a.job.query.Level, lastLevel)
	}
	return a.job.query.Level
}

// handleAnswer passes an answer on to the caller, unless it means that the request must be
// sent elsewhere.
func (a *attempt) handleAnswer(ctx context.Context, answer *Answer) (outcome, error) {
	j, g := a.job, a.job.gateway
	a.recordState(answer)
	switch {
	case answer.OtherRequest:
		return outcomeUnknown, fmt.Errorf("received the answer to another request, status %d", answer.Status)
	case answer.WrongEndpoint:
		g.fleet.Gone(a.target)
		return outcomeNotRun, errors.New("another endpoint now uses the address")
	case answer.Misdirected:
		g.fleet.Missing(a.target, j.request.Model, j.request.Adapter)
		return outcomeNotRun, errors.New("model or adapter is not loaded")
	case answer.NotRun:
		return outcomeNotRun, fmt.Errorf("refused by the endpoint, status %d", answer.Status)
	}
	if j.route.Kind == catalog.KindStream && answer.Status/100 == 2 && j.request.Method != http.MethodHead {
		if answer.OtherContent {
			return outcomeUnknown, a.rejectEvents(&eventError{fault: FaultContentType, after: j.delivery.last()})
		}
		return a.passStream(ctx, answer)
	}
	return a.passComplete(ctx, answer)
}

// recordState records what an answer says of the endpoint's state.
func (a *attempt) recordState(answer *Answer) {
	if answer.OtherRequest || answer.WrongEndpoint {
		return
	}
	f := a.job.gateway.fleet
	// A failure without a limit doesn't end one: the endpoint may not have made the answer itself.
	ended := a.target.Limited && answer.Status/100 == 2
	if answer.Limited || ended {
		f.RecordLimit(a.target, answer.Limited, answer.PerSecond)
	}
	if answer.Leaving {
		f.Gone(a.target)
	}
	if answer.RetryAfter > 0 {
		f.Spare(a.target, answer.RetryAfter)
	}
}

// passComplete holds an answer up to its last byte before it passes it on, so that the caller
// never gets a truncated one.
func (a *attempt) passComplete(ctx context.Context, answer *Answer) (outcome, error) {
	j, g := a.job, a.job.gateway
	held := newHeldAnswer(g.held)
	defer held.release()
	complete, err := held.fill(answer.Body, g.maxAnswerBytes)
	if err != nil {
		a.reportBroken(ctx, err)
		return outcomeUnknown, fmt.Errorf("read answer: %w", err)
	}
	a.markAnswered()
	if answer.Status/100 == 2 {
		a.promptBegun()
	}
	if j.delivery.begun() {
		return outcomeUnknown, fmt.Errorf("stream could not be resumed, status %d", answer.Status)
	}
	if answer.Status >= 500 && j.route.Repeatable() && (j.maySend() || j.delivery.hasRival(a)) {
		return outcomeUnknown, fmt.Errorf("endpoint failed, status %d", answer.Status)
	}
	if !j.delivery.take(a) {
		return outcomeSuperseded, nil
	}
	err = j.delivery.passHeld(answer, held, complete)
	if err == nil && !complete {
		err = a.passRest(ctx, answer, held)
	}
	return outcomeDone, err
}

// markAnswered records that the endpoint has answered, and after what time.
func (a *attempt) markAnswered() {
	if !a.answered {
		a.answered = true
		g := a.job.gateway
		g.fleet.Answered(a.target, &a.query, g.clock().Sub(a.sentAt))
	}
}

// reportFailure reports an endpoint whose answer broke off, unless the attempt was cancelled.
func (a *attempt) reportFailure(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	f := a.job.gateway.fleet
	f.Failed(a.target)
	f.AnswerInterrupted(a.target, a.job.identity, a.sentAt, a.answerBegun())
	a.promptInterrupted()
}

// passStream passes events on as they arrive, each only once it is complete and if it continues the
// stream.
func (a *attempt) passStream(ctx context.Context, answer *Answer) (outcome, error) {
	j := a.job
	var events eventBuffer
	held := reservation{memory: j.gateway.held}
	defer held.release()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			a.markAnswered()
		}
		if complete := events.add(buffer[:n]); complete > 0 {
			if ended, err := a.passEvents(ctx, answer, events.data[:complete]); ended != "" {
				return ended, err
			}
			events.remove(complete)
			a.timer.start(eventGapFactor * j.route.MaxEventGap)
		}
		switch {
		case errors.Is(err, io.EOF) && events.betweenEvents():
			return a.endStream(ctx, answer, events.data)
		case err != nil:
			a.reportFailure(ctx)
			return outcomeInterrupted, fmt.Errorf("stream broke off after event %q: %w", j.delivery.last(), err)
		case len(events.data) > maxEventBytes:
			a.reportBroken(ctx, errAnswerTooLarge)
			return outcomeInterrupted, fmt.Errorf("event after %q: %w", j.delivery.last(), errAnswerTooLarge)
		case !held.resize(cap(events.data)):
			return outcomeInterrupted, fmt.Errorf("event after %q: %w", j.delivery.last(), errNoHeldMemory)
		}
	}
}

// passEvents passes on complete events up to the first that doesn't continue the stream. The outcome is
// empty if the stream has not ended.
func (a *attempt) passEvents(ctx context.Context, answer *Answer, events []byte) (outcome, error) {
	a.timer.close() // a caller that reads slowly is no silence of the endpoint
	accepted, fault, ok := a.job.delivery.takeEvents(a, events)
	if !ok {
		return outcomeSuperseded, nil
	}
	if accepted > 0 {
		a.promptBegun()
		a.announceStream(ctx)
		if err := a.job.delivery.passEvents(a, answer, events[:accepted]); err != nil {
			return outcomeDone, err
		}
	}
	if fault != nil {
		return outcomeInterrupted, a.rejectEvents(fault)
	}
	return "", nil
}

// endStream ends a stream after its last event, with the comments after it. An answer without an event
// ends the stream only if its endpoint was asked for the rest after one, and the answer has a length or a
// last chunk.
func (a *attempt) endStream(ctx context.Context, answer *Answer, comments []byte) (outcome, error) {
	j := a.job
	if j.delivery.progressOf(a) == 0 {
		switch {
		case answer.UntilClose:
			a.reportFailure(ctx)
			return outcomeInterrupted, fmt.Errorf("stream ended without an event after %q: %w", j.delivery.last(), io.ErrUnexpectedEOF)
		case a.after == "":
			return outcomeInterrupted, a.rejectEvents(&eventError{fault: FaultNoEvents})
		case j.delivery.hasRival(a):
			return outcomeInterrupted, fmt.Errorf("no event after %q, beside an endpoint that may still write some", a.after)
		}
		j.log("step", "empty rest", "endpoint", a.target.ID, "after", a.after)
	}
	if !j.delivery.take(a) {
		return outcomeSuperseded, nil
	}
	if len(comments) > 0 {
		if err := j.delivery.passEvents(a, answer, comments); err != nil {
			return outcomeDone, err
		}
	}
	j.delivery.writeHeader(answer, -1) // not written yet if the rest of the stream has no events
	j.recordNumbering()
	return outcomeDone, j.delivery.extendDeadline()
}

// rejectEvents reports an endpoint whose stream has a fault, which is no sign of a crash.
func (a *attempt) rejectEvents(fault *eventError) error {
	g := a.job.gateway
	a.job.log("step", "bad event", "endpoint", a.target.ID, "fault", string(fault.fault), "event", fault.id, "after", fault.after, "by", fault.by, "began", a.after)
	g.stats.EventRejected(fault.fault)
	g.fleet.Failed(a.target)
	return fault
}
