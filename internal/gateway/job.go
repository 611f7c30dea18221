package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/pace"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	// maxTries limits the endpoints tried for one request, whether or not they ran it.
	maxTries = 4
	// maxAnswerBytes limits an answer that is buffered until it is complete.
	maxAnswerBytes = 16 << 20
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of the buffer for reading a stream.
	readBufferBytes = 4 << 10
	// writeTimeout limits a write to a caller that doesn't read.
	writeTimeout = 5 * time.Second
	// minTimeLeft is the shortest time before the deadline in which another attempt is worthwhile.
	minTimeLeft = 20 * time.Millisecond
	// retrySpread is how far the retries of callers refused at one moment are spread, as a
	// multiple of the wait: else a burst of them returns as a burst.
	retrySpread = 1.5
	// admissionMargin is what a first event takes beside its wait and its prefill: the way
	// there and back and the steps of the engine.
	admissionMargin = 60 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome string

const (
	outcomeDone        outcome = "done"    // an answer was passed on to the caller, or the write to the caller failed
	outcomeNotRun      outcome = "not-run" // the endpoint did not run the request, so another may be tried
	outcomeUnknown     outcome = "unknown" // the endpoint may have run the request
	outcomeInterrupted outcome = "cut"     // the stream broke off before its end
)

// job is the state of one request while it is served.
type job struct {
	gateway    *Gateway
	request    *Request
	route      *catalog.Route
	version    int64
	service    catalog.Service
	query      balance.Request
	arrived    time.Time
	writer     http.ResponseWriter
	controller *http.ResponseController

	// fingerprint is the same for every attempt at the request.
	fingerprint suspect.Fingerprint

	target          Target
	tries           int // number of endpoints chosen
	sent            int // number of endpoints that the request was sent to
	mayHaveRun      bool
	headerSent      bool // the answer's header was written to the caller
	answered        bool // the current endpoint has answered
	lastEvent       string
	stall           *stallTimer
	sentAt          time.Time // when the request was sent to the current endpoint
	firstByte       time.Duration
	longestPause    time.Duration // longest time between two writes of a stream's events
	passedAt        time.Time     // when events were last passed on
	predictedWait   time.Duration // predicted wait with which the request was refused
	status          int
	abortConnection bool // the answer is incomplete, so the caller's connection must be closed
	failure         error
	adapterOrders   int           // number of adapter loads ordered for the request
	admissionWait   time.Duration // how long the prompt waited for its place in the schedule
}

// run sends the request to one endpoint after another until the caller has an answer or no
// further attempt is possible.
func (j *job) run(ctx context.Context) {
	for {
		if j.gateway.fleet.IsPoison(j.fingerprint) {
			j.giveUp(ctx, ErrPoison)
			return
		}
		target, err := j.gateway.fleet.Choose(&j.query)
		if err != nil {
			j.refuseUnplaced(ctx, target, err)
			return
		}
		j.target, j.answered, j.stall = target, false, nil
		j.tries++
		result, err := j.attempt(ctx)
		j.gateway.fleet.Ended(target, &j.query, j.answered)
		if err != nil {
			j.failure = fmt.Errorf("endpoint %s: %w", target.ID, err)
		}
		if result == outcomeDone {
			if err == nil {
				j.gateway.fleet.AnswerCompleted(j.fingerprint)
			}
			return
		}
		j.query.Exclude = append(j.query.Exclude, target.ID)
		if !j.mayRetry(ctx, result) {
			j.giveUp(ctx, j.failure)
			return
		}
		j.log("step", "retry", "endpoint", target.ID, "result", string(result), "try", j.tries, "err", j.failure)
	}
}

// refuseUnplaced gives up a request for which no endpoint was chosen.
func (j *job) refuseUnplaced(ctx context.Context, target Target, err error) {
	if errors.Is(err, ErrNoEndpoint) && errors.Is(j.failure, ErrOverloaded) {
		// Endpoints have the model, but their prompts are scheduled too far ahead.
		j.giveUp(ctx, j.failure)
		return
	}
	j.predictedWait = target.Wait
	j.giveUp(ctx, err)
}

// mayRetry decides whether a failed request may be sent to another endpoint.
func (j *job) mayRetry(ctx context.Context, result outcome) bool {
	if result != outcomeNotRun && !switches.Off(switches.ConfirmedNotRun) {
		j.mayHaveRun = true
	}
	timeLeft, _ := j.timeLeft(ctx)
	switch {
	case ctx.Err() != nil || timeLeft < minTimeLeft:
		return false
	case j.mayHaveRun && !j.route.Repeatable() && !switches.Off(switches.AtMostOnce):
		return false
	case j.tries >= maxTries:
		return false
	case j.sent == 0:
		return true // no endpoint has received the request yet
	case j.sent >= j.route.Attempts:
		return false
	case j.stall != nil && j.stall.retryTaken.Load():
		return true // the stall timer has already taken this retry from the budget
	default:
		return j.gateway.fleet.TakeRetry(j.service)
	}
}

func (j *job) timeLeft(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	return deadline.Sub(j.gateway.clock()), ok
}

// attempt sends the request to the chosen endpoint and passes the answer on.
func (j *job) attempt(ctx context.Context) (outcome, error) {
	g := j.gateway
	if j.target.LoadAdapter {
		j.adapterOrders++
		if err := g.fleet.Ensure(ctx, j.target, j.request.Model, j.request.Adapter); err != nil {
			return outcomeNotRun, fmt.Errorf("load adapter: %w", err)
		}
	}
	if err := j.awaitAdmission(ctx); err != nil {
		return outcomeNotRun, err
	}
	attempt := &Attempt{
		Request: j.request, Endpoint: j.target.ID, Born: j.target.Born, Address: j.target.Address,
		Level: j.route.Level, After: j.lastEvent,
	}
	if j.request.Wait > 0 {
		attempt.TimeLeft = max(time.Millisecond, j.request.Wait-g.clock().Sub(j.arrived))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.stall = j.newStallTimer(cancel)
	defer j.stall.close()
	ctx, span := g.tracer.Start(ctx, "attempt")
	defer span.End()
	j.sentAt = g.clock()
	answer, err := g.sender.Send(ctx, attempt)
	if errors.Is(err, ErrNotSent) {
		g.fleet.Failed(j.target)
		return outcomeNotRun, err
	}
	j.sent++
	if err != nil {
		j.reportFailure(ctx)
		return outcomeUnknown, err
	}
	defer func() { _ = answer.Body.Close() }()
	return j.handleAnswer(ctx, answer)
}

// awaitAdmission has the request admitted at the chosen endpoint. A request that would wait
// too long to meet its target is not sent there. Where queued prompts would pause the streams
// that run there, or the endpoint has asked for a limit, the request waits for its turn.
func (j *job) awaitAdmission(ctx context.Context) error {
	if !j.target.Limited && (j.request.Model == "" || j.route.Target <= 0) {
		return nil
	}
	work, paced := j.target.PendingPrefill, pace.Applies(j.route.MaxEventGap)
	if paced {
		work = pace.Work(work, j.route.MaxEventGap)
	}
	limit := max(0, j.route.Target-j.gateway.clock().Sub(j.arrived)-j.target.PendingPrefill-admissionMargin)
	admission := j.gateway.fleet.Admit(ctx, j.target, &j.query, work, limit)
	if admission.Refused && j.mayHaveRun && !admission.Limited {
		return ctx.Err() // its target has passed, and a refusal would say that it has not run
	}
	if admission.Refused {
		j.predictedWait = admission.Wait + j.target.PendingPrefill
		return fmt.Errorf("%w: the wait there is %s", ErrOverloaded, admission.Wait)
	}
	wait := admission.Hold
	if paced {
		wait = max(wait, admission.Wait)
	}
	if wait <= 0 {
		return ctx.Err()
	}
	j.admissionWait = wait
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-waiting.Done()
	return ctx.Err()
}

// handleAnswer passes an answer on to the caller, unless it means that the request must be
// sent elsewhere.
func (j *job) handleAnswer(ctx context.Context, answer *Answer) (outcome, error) {
	g := j.gateway
	j.recordState(answer)
	switch {
	case answer.OtherRequest:
		return outcomeUnknown, fmt.Errorf("received the answer to another request, status %d", answer.Status)
	case answer.WrongEndpoint:
		g.fleet.Gone(j.target)
		return outcomeNotRun, errors.New("another endpoint now uses the address")
	case answer.Misdirected:
		g.fleet.Missing(j.target, j.request.Model, j.request.Adapter)
		return outcomeNotRun, errors.New("model or adapter is not loaded")
	case answer.NotRun:
		return outcomeNotRun, fmt.Errorf("refused by the endpoint, status %d", answer.Status)
	}
	if j.route.Kind == catalog.KindStream && answer.Status/100 == 2 {
		return j.passStream(ctx, answer)
	}
	return j.passComplete(ctx, answer)
}

// recordState records what an answer says of the endpoint's state.
func (j *job) recordState(answer *Answer) {
	if answer.OtherRequest || answer.WrongEndpoint {
		return
	}
	// A failure without a limit doesn't end one: the endpoint may not have made the answer itself.
	ended := j.target.Limited && answer.Status/100 == 2
	if answer.Limited || ended {
		j.gateway.fleet.RecordLimit(j.target, answer.Limited, answer.PerSecond)
	}
	if answer.Leaving {
		j.gateway.fleet.Gone(j.target)
	}
	if answer.RetryAfter > 0 {
		j.gateway.fleet.Spare(j.target, answer.RetryAfter)
	}
}

// passComplete buffers an answer up to its last byte before it passes it on, so that the
// caller never gets a truncated one.
func (j *job) passComplete(ctx context.Context, answer *Answer) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		j.reportFailure(ctx)
		return outcomeUnknown, fmt.Errorf("read answer: %w", err)
	}
	j.markAnswered()
	if answer.Status >= 500 && j.route.Repeatable() && !j.headerSent && j.sent < j.route.Attempts {
		return outcomeUnknown, fmt.Errorf("endpoint failed, status %d", answer.Status)
	}
	if j.headerSent {
		return outcomeUnknown, fmt.Errorf("stream could not be resumed, status %d", answer.Status)
	}
	j.firstByte = j.gateway.clock().Sub(j.arrived)
	j.gateway.codec.Pass(j.writer.Header(), answer.Header)
	j.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.status, j.headerSent = answer.Status, true
	j.writer.WriteHeader(answer.Status)
	_, err = j.writer.Write(body)
	return outcomeDone, err
}

// markAnswered records that the current endpoint has answered, and after what time.
func (j *job) markAnswered() {
	if !j.answered {
		j.answered = true
		j.gateway.fleet.Answered(j.target, &j.query, j.gateway.clock().Sub(j.sentAt))
	}
}

// reportFailure reports an endpoint whose answer broke off or stalled, unless the caller
// disconnected or its deadline passed. A stall doesn't count as a possible crash.
func (j *job) reportFailure(ctx context.Context) {
	switch {
	case ctx.Err() == nil:
		j.gateway.fleet.Failed(j.target)
		j.gateway.fleet.AnswerInterrupted(j.target, j.fingerprint, j.sentAt)
	case errors.Is(context.Cause(ctx), errStalled):
		j.gateway.fleet.Failed(j.target)
	}
}

// passStream passes events on as they arrive, each only once it is complete.
func (j *job) passStream(ctx context.Context, answer *Answer) (outcome, error) {
	var pending []byte
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			j.markAnswered()
			j.stall.reset(eventGapFactor * j.route.MaxEventGap)
		}
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, []byte("\n\n")); end >= 0 {
			if err := j.passEvents(answer, pending[:end+2]); err != nil {
				j.abortConnection = true
				return outcomeDone, fmt.Errorf("write to caller: %w", err)
			}
			pending = append(pending[:0], pending[end+2:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			return j.finish(answer)
		case err != nil:
			j.reportFailure(ctx)
			return outcomeInterrupted, fmt.Errorf("stream broke off after event %q: %w", j.lastEvent, err)
		case len(pending) > maxEventBytes:
			return outcomeInterrupted, errors.New("event too large")
		}
	}
}

func (j *job) finish(answer *Answer) (outcome, error) {
	if !j.headerSent {
		j.writeHeader(answer)
	}
	return outcomeDone, nil
}

func (j *job) writeHeader(answer *Answer) {
	j.firstByte = j.gateway.clock().Sub(j.arrived)
	j.gateway.codec.Pass(j.writer.Header(), answer.Header)
	j.writer.Header().Del("Content-Length")
	j.status, j.headerSent = answer.Status, true
	j.writer.WriteHeader(answer.Status)
}

func (j *job) passEvents(answer *Answer, events []byte) error {
	if !j.headerSent {
		j.writeHeader(answer)
	}
	if id, ok := lastEventID(events); ok {
		j.lastEvent = id
	}
	now := j.gateway.clock()
	if !j.passedAt.IsZero() {
		j.longestPause = max(j.longestPause, now.Sub(j.passedAt))
	}
	j.passedAt = now
	if err := j.controller.SetWriteDeadline(now.Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := j.writer.Write(events); err != nil {
		return err
	}
	return j.controller.Flush()
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	lines := bytes.Split(events, []byte("\n"))
	for _, line := range slices.Backward(lines) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// giveUp ends a request that no endpoint answers: it refuses the request or, if part of a
// stream was sent, has the connection closed.
func (j *job) giveUp(ctx context.Context, err error) {
	j.failure = err
	if j.headerSent {
		j.abortConnection = true
		return
	}
	refusal := Refusal{Status: http.StatusServiceUnavailable, RetryAfter: j.retryAfter(), Request: j.request.ID}
	switch {
	case errors.Is(err, ErrPoison) && !j.mayHaveRun:
		refusal.Status, refusal.RetryAfter = http.StatusBadRequest, 0
	case j.mayHaveRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Status, refusal.RetryAfter = http.StatusGatewayTimeout, 0
	case j.mayHaveRun:
		refusal.Status, refusal.RetryAfter = http.StatusBadGateway, 0
	}
	if err != nil {
		refusal.Reason = err.Error()
	}
	j.status = refusal.Status
	j.gateway.codec.Refuse(j.writer, refusal)
}

// retryAfter returns when a refused caller may try again: some time after the queued work
// should be done, or when the missing model or adapter may be loaded.
func (j *job) retryAfter() time.Duration {
	switch {
	case errors.Is(j.failure, ErrNoEndpoint) && j.request.Model != "":
		return modelLoadRetryAfter
	case errors.Is(j.failure, ErrNoAdapter), j.adapterOrders > 0 && j.sent == 0:
		return adapterLoadRetryAfter
	}
	wait := max(defaultRetryAfter, j.predictedWait-j.route.Target/2)
	return min(wait+time.Duration(j.gateway.random()*retrySpread*float64(wait)), maxRetryAfter)
}

func (j *job) log(pairs ...any) {
	_ = j.gateway.logger.Log(append(pairs, "id", j.request.ID)...)
}

// report logs and counts the end of the request, with the values that decided it.
func (j *job) report(ctx context.Context) {
	total := j.gateway.clock().Sub(j.arrived)
	j.gateway.stats.Done(j.route, j.status, j.sent, j.firstByte, total)
	j.log("step", "end", "route", j.route.Name, "version", j.version, "model", j.request.Model, "adapter", j.request.Adapter,
		"status", j.status, "endpoint", j.target.ID, "tries", j.tries, "sent", j.sent, "predicted", j.target.Wait, "wait", j.predictedWait, "age", j.target.Age,
		"adapters", j.adapterOrders, "admission", j.admissionWait, "first", j.firstByte, "pause", j.longestPause, "whole", total, "broken", j.abortConnection, "gone", ctx.Err(), "err", j.failure)
}
