package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/presence"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	// maxTries limits the endpoints tried for one request, whether or not they ran it.
	maxTries = 4
	// minTimeLeft is the shortest time before the deadline in which another attempt is worthwhile.
	minTimeLeft = 20 * time.Millisecond
	// retrySpread is how far the retries of callers refused at one moment are spread, as a
	// multiple of the wait: else a burst of them returns as a burst.
	retrySpread = 1.5
)

// job is the state of one request while it is served.
type job struct {
	gateway  *Gateway
	request  *Request
	route    *catalog.Route
	version  int64
	service  catalog.Service
	query    balance.Request
	arrived  time.Time
	read     time.Time // when its body was read whole
	active   *activeRequest
	delivery *delivery
	// connection is the caller's, end ends the request.
	connection *connection
	caller     presence.Caller
	end        context.CancelCauseFunc

	// identity is the same for every attempt at the request.
	identity suspect.Identity

	group    errgroup.Group // of the attempts
	ended    chan result
	silent   chan silence
	inFlight []*attempt
	// stopInsisting stops the timer that has a second endpoint asked again.
	stopInsisting func()

	target        Target       // of the newest attempt
	tries         int          // number of endpoints chosen
	sent          atomic.Int32 // number of endpoints that the request was sent to
	mayHaveRun    bool
	unusedRetry   bool          // a retry was taken from the budget, but its attempt was not sent
	admissionWait atomic.Int64  // how long the prompt waited for its place in the schedule, in nanoseconds
	predictedWait time.Duration // predicted wait with which the request was refused
	adapterOrders int           // number of adapter loads ordered for the request
	failure       error
	denied        retryDenial // of the last failed attempt

	queueing queueing

	abortConnection bool // the answer is incomplete, so the caller's connection must be closed
}

// run sends the request to one endpoint after another until the caller has an answer or no
// further attempt is possible. While an endpoint is silent, the request is sent to another one
// too; the attempt whose answer reaches the caller first ends the other.
func (j *job) run(ctx context.Context) {
	defer j.endQueueing(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = j.group.Wait() }() // the attempts use the writer, which ends with the handler
	defer cancel()
	defer func() { j.stopInsisting() }()
	if err := j.bindToOrigin(ctx); err != nil {
		j.giveUp(ctx, err)
		return
	}
	if err := j.start(ctx, nil); err != nil {
		j.refuseUnplaced(ctx, err)
		return
	}
	for {
		select {
		case s := <-j.silent:
			s.attempt.quiet = &s
			j.startBeside(ctx)
		case r := <-j.ended:
			if done := j.handleResult(ctx, r); done {
				return
			}
			j.startBeside(ctx)
		}
	}
}

// handleResult decides what follows the end of an attempt. It reports whether the job is done.
func (j *job) handleResult(ctx context.Context, r result) bool {
	j.inFlight = slices.DeleteFunc(j.inFlight, func(a *attempt) bool { return a == r.attempt })
	if r.outcome == outcomeDone {
		j.finish(r)
		return true
	}
	if r.outcome != outcomeSuperseded {
		j.recordFailure(r)
	}
	if len(j.inFlight) > 0 {
		return false
	}
	if r.askAgain > 0 {
		j.awaitTurn(ctx, r)
	}
	if j.denied = j.denyRetry(ctx); j.denied != "" {
		j.giveUp(ctx, j.failure)
		return true
	}
	j.log("step", "retry", "request", j.identity.Request, "endpoint", r.attempt.target.ID, "result", string(r.outcome), "try", j.tries, "err", j.failure)
	if err := j.start(ctx, nil); err != nil {
		j.refuseUnplaced(ctx, err)
		return true
	}
	return false
}

// finish records that the answer was passed on, or that the write to the caller failed.
func (j *job) finish(r result) {
	if r.err == nil {
		if j.delivery.status/100 == 2 {
			j.gateway.fleet.AnswerCompleted(j.identity)
			j.gateway.recordDuration(j)
		}
		return
	}
	j.failure = fmt.Errorf("endpoint %s: %w", r.attempt.target.ID, r.err)
	j.abortConnection = true
}

func (j *job) recordFailure(r result) {
	if r.err != nil {
		j.failure = fmt.Errorf("endpoint %s: %w", r.attempt.target.ID, r.err)
	}
	j.predictedWait = max(j.predictedWait, r.predictedWait)
	j.recordFull(r)
	if r.outcome != outcomeNotRun && !switches.Off(switches.ConfirmedNotRun) {
		j.mayHaveRun = true
	}
	if r.attempt.retryTaken && !r.sent {
		j.unusedRetry = true
	}
	if errors.Is(r.err, ErrTargetLost) && !r.sent {
		j.tries-- // ends all the same, since the endpoint is excluded from now on
	}
	if len(j.inFlight) == 0 {
		return
	}
	j.log("step", "beside", "endpoint", r.attempt.target.ID, "result", string(r.outcome), "try", j.tries, "err", j.failure)
	if errors.Is(r.err, ErrOverloaded) && !r.sent {
		j.query.Exclude = slices.DeleteFunc(j.query.Exclude, func(id fleet.Endpoint) bool { return id == r.attempt.target.ID })
		j.insistLater(j.inFlight[0])
	}
}

// start begins an attempt at another endpoint, beside a silent one if that is set.
func (j *job) start(ctx context.Context, beside *silence) error {
	if j.abandoned() {
		return ErrAbandoned
	}
	if err := j.checkShutdown(ctx); err != nil {
		return err
	}
	if err := j.checkRun(); err != nil {
		return err
	}
	j.dropLostPlace()
	j.query.Software = j.delivery.boundTo()
	a := &attempt{job: j, query: j.query, mayHaveRun: j.mayHaveRun, retryTaken: j.sent.Load() > 0}
	a.query.Exclude = slices.Clone(j.query.Exclude)
	if beside != nil {
		a.insistent = beside.insistent
	} else {
		a.insistent = j.query.Software != nil
		a.query.Patience = j.patience(ctx)
		if j.queueing.target != nil {
			a.query.Reserved = j.queueing.target.ID
		}
	}
	target, err := j.gateway.fleet.Choose(&a.query)
	if err != nil {
		if beside == nil {
			j.predictedWait = max(j.predictedWait, target.Wait)
		}
		return err
	}
	a.target, a.timer = target, j.newSilenceTimer(a)
	ctx, a.cancel = context.WithCancelCause(ctx)
	after, ok := j.delivery.register(a, beside)
	if !ok {
		a.cancel(nil)
		j.gateway.fleet.Ended(target, &a.query, false)
		return errNoLongerSilent
	}
	a.after, j.target = after, target
	j.gateway.active.chosen(j.active, target.ID)
	j.tries++
	if target.LoadAdapter {
		j.adapterOrders++
	}
	j.query.Exclude = append(j.query.Exclude, target.ID)
	j.inFlight = append(j.inFlight, a)
	j.group.Go(func() error {
		defer a.cancel(nil)
		r := a.runGuarded(ctx)
		j.gateway.fleet.Ended(a.target, &a.query, a.answered)
		if j.delivery.remove(a) {
			r.outcome = outcomeSuperseded
		}
		j.ended <- r
		return nil
	})
	return nil
}

// startBeside sends the request to a second endpoint while the first is silent, if another can
// take it and the retry budget allows it. The first attempt stays: its endpoint may only pause.
func (j *job) startBeside(ctx context.Context) {
	if len(j.inFlight) != 1 || j.tries >= maxTries || !j.maySend() || !j.delivery.mayContinue() {
		return
	}
	first := j.inFlight[0]
	timeLeft := j.timeLeft(ctx)
	if ctx.Err() != nil || timeLeft < minTimeLeft || first.quiet == nil || !j.delivery.isSilent(first.quiet) {
		return
	}
	j.query.Software = j.delivery.boundTo()
	if !j.gateway.fleet.HasAlternative(&j.query) || !j.takeRetry() {
		return
	}
	err := j.start(ctx, first.quiet)
	j.unusedRetry = err != nil
	if err == nil && !first.quiet.insistent {
		j.gateway.fleet.Failed(first.target)
	}
	j.log("step", "silent", "endpoint", first.target.ID, "second", j.target.ID, "try", j.tries, "err", err)
}

// abandoned reports whether the caller has left, and if so ends the request.
func (j *job) abandoned() bool {
	if !j.gateway.hasLeft(j.caller) {
		return false
	}
	j.gateway.left(j.active)
	j.end(ErrAbandoned)
	return true
}

// takeRetry takes a retry from the budget, unless one that was taken has not been used.
func (j *job) takeRetry() bool {
	if j.unusedRetry {
		j.unusedRetry = false
		return true
	}
	return j.gateway.fleet.TakeRetry(j.service)
}

// maySend reports whether the route allows to send the request to a further endpoint.
func (j *job) maySend() bool { return int(j.sent.Load()) < j.route.Attempts }

// refuseUnplaced gives up a request for which no endpoint was chosen.
func (j *job) refuseUnplaced(ctx context.Context, err error) {
	if errors.Is(err, ErrNoEndpoint) && errors.Is(j.failure, ErrOverloaded) {
		// Endpoints have the model, but their prompts are scheduled too far ahead.
		err = j.failure
	}
	j.giveUp(ctx, err)
}

// retryDenial is why a failed request is not sent to another endpoint.
type retryDenial string

const (
	deniedTime       retryDenial = "time"       // the caller has left or too little time is left
	deniedKey        retryDenial = "key"        // its key is no longer valid
	deniedOnce       retryDenial = "once"       // it may have run, and may run once only
	deniedUnnumbered retryDenial = "unnumbered" // its stream has events without ids
	deniedTries      retryDenial = "tries"      // enough endpoints were chosen
	deniedCrash      retryDenial = "crash"      // it may crash endpoints
	deniedAttempts   retryDenial = "attempts"   // it was sent as often as its route allows
	deniedBudget     retryDenial = "budget"     // no retry is left in the budget
)

// denyRetry returns why a failed request may not be sent to another endpoint, empty if it may.
func (j *job) denyRetry(ctx context.Context) retryDenial {
	timeLeft := j.timeLeft(ctx)
	switch {
	case ctx.Err() != nil || timeLeft < minTimeLeft || errors.Is(j.failure, ErrTooLate):
		return deniedTime
	case errors.Is(j.failure, ErrKeyLapsed):
		return deniedKey
	case j.mayHaveRun && !j.route.Repeatable() && !switches.Off(switches.AtMostOnce):
		return deniedOnce
	case !j.delivery.mayContinue():
		return deniedUnnumbered
	case j.tries >= j.maxTries():
		return deniedTries
	case mayCrash(j.failure):
		return deniedCrash
	case j.sent.Load() == 0:
		return "" // no endpoint has received the request yet
	case !j.maySend():
		return deniedAttempts
	case !j.takeRetry():
		return deniedBudget
	default:
		return ""
	}
}

func (j *job) timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return deadline.Sub(j.gateway.clock())
}

// giveUp ends a request that no endpoint answers: it refuses the request or, if part of a
// stream was sent, has the connection closed.
func (j *job) giveUp(ctx context.Context, err error) {
	if endsForShutdown(ctx) || ctx.Err() != nil && j.gateway.active.hasEnded() {
		err = ErrShutdown
	}
	j.failure = err
	if j.delivery.begun() {
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
	j.delivery.refuse(refusal)
}

// retryAfter returns when a refused caller may try again: some time after the queued work
// should be done, or when the missing model or adapter may be loaded.
func (j *job) retryAfter() time.Duration {
	var refused *crashError
	switch {
	case errors.Is(j.failure, ErrShutdown):
		return shutdownRetryAfter
	case errors.As(j.failure, &refused):
		return refused.wait
	case errors.Is(j.failure, ErrNoEndpoint) && j.request.Model != "":
		return modelLoadRetryAfter
	case errors.Is(j.failure, ErrNoAdapter), j.adapterOrders > 0 && j.sent.Load() == 0:
		return adapterLoadRetryAfter
	}
	if at := j.queueing.comeBack; at > 0 {
		return min(max(at, minRetryAfter), maxRetryAfter) // spread by who has told it
	}
	wait := max(defaultRetryAfter, j.predictedWait-j.route.Target/2)
	return min(wait+time.Duration(j.gateway.random()*retrySpread*float64(wait)), maxRetryAfter)
}

// recordNumbering records whether the events of a complete stream are numbered without gaps.
func (j *job) recordNumbering() {
	gapless, known := j.delivery.numbering()
	switch {
	case !known || j.request.After != "":
	case gapless:
		j.gateway.consecutive.Store(j.service, struct{}{})
	default:
		j.gateway.consecutive.Delete(j.service)
	}
}

func (j *job) log(pairs ...any) {
	_ = j.gateway.logger.Log(append(pairs, "id", j.request.ID)...)
}

// report logs and counts the end of the request, with the values that decided it.
func (j *job) report(ctx context.Context) {
	d := j.delivery
	total, sent := j.gateway.clock().Sub(j.arrived), int(j.sent.Load())
	forwarded, left := j.gateway.active.times(j.active)
	j.gateway.stats.Done(j.route, d.status, sent, d.firstByte, total)
	if j.queueing.asks > 0 {
		j.gateway.stats.Waited(j.route, d.status, j.queueing.waited)
	}
	j.log("step", "end", "request", j.identity.Request, "route", j.route.Name, "version", j.version, "model", j.request.Model, "adapter", j.request.Adapter, "resumes", j.request.Resumes,
		"status", d.status, "endpoint", j.target.ID, "software", j.target.Software, "tries", j.tries, "sent", sent, "predicted", j.target.Wait, "wait", j.predictedWait, "age", j.target.Age,
		"adapters", j.adapterOrders, "admission", time.Duration(j.admissionWait.Load()), "asks", j.queueing.asks, "waited", j.queueing.waited, "yields", j.queueing.yields, "return", j.queueing.comeBack, "first", d.firstByte, "pause", d.longestPause, "whole", total, "broken", j.abortConnection, "gone", ctx.Err(), "forwarded", forwarded, "left", left, "workspace", j.request.Workspace, "denied", string(j.denied), "err", j.failure)
}
