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
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/switches"
)

const (
	// mostTries bounds the endpoints tried for one request when none of them ran it.
	mostTries = 4
	// mostWhole bounds an answer that is held until it is whole, bytes.
	mostWhole = 16 << 20
	// mostEvent bounds one event of a stream, bytes.
	mostEvent = 1 << 20
	// readSize is the buffer of a stream, bytes.
	readSize = 4 << 10
	// writeWait bounds a write to a caller that doesn't read.
	writeWait = 5 * time.Second
	// shortest is the time left below which a further attempt makes no sense.
	shortest = 20 * time.Millisecond
)

// outcome says what became of one attempt.
type outcome string

const (
	outcomeDone    outcome = "done"    // the caller has its answer
	outcomeNotRun  outcome = "not-run" // another endpoint may be tried
	outcomeUnknown outcome = "unknown" // it may have run
	outcomeCut     outcome = "cut"     // a stream broke off after its first event
)

// job is one request under way.
type job struct {
	gateway *Gateway
	request *Request
	route   *catalog.Route
	version int64
	service catalog.Service
	ask     balance.Request
	arrived time.Time
	caller  http.ResponseWriter
	control *http.ResponseController

	// print stands for the request whatever its attempt.
	print suspect.Fingerprint

	target   Target
	tries    int // endpoints chosen
	sent     int // endpoints that the request was sent to
	mayRun   bool
	started  bool // the caller has the answer's header
	answered bool // the endpoint of this try has answered
	after    string
	quiet    *silence
	sending  time.Time // when this try was sent
	first    time.Duration
	wait     time.Duration // predicted when it was refused
	status   int
	broken   bool
	failure  error
	adapters int // adapters ordered for it
}

// run sends the request until the caller has an answer.
func (j *job) run(ctx context.Context) {
	for {
		if j.gateway.fleet.Lethal(j.print) {
			j.giveUp(ctx, ErrLethal)
			return
		}
		target, err := j.gateway.fleet.Choose(&j.ask)
		if err != nil {
			j.wait = target.Wait
			j.giveUp(ctx, err)
			return
		}
		j.target, j.answered, j.quiet = target, false, nil
		j.tries++
		result, err := j.try(ctx)
		j.gateway.fleet.Ended(target, &j.ask, j.answered)
		if err != nil {
			j.failure = fmt.Errorf("endpoint %s: %w", target.ID, err)
		}
		if result == outcomeDone {
			if err == nil {
				j.gateway.fleet.Proved(j.print)
			}
			return
		}
		j.ask.Exclude = append(j.ask.Exclude, target.ID)
		if !j.again(ctx, result) {
			j.giveUp(ctx, j.failure)
			return
		}
		j.log("step", "retry", "endpoint", target.ID, "result", string(result), "try", j.tries, "err", j.failure)
	}
}

// again decides whether a failed request goes to another endpoint.
func (j *job) again(ctx context.Context, result outcome) bool {
	if result != outcomeNotRun && !switches.Off(switches.ConfirmedNotRun) {
		j.mayRun = true
	}
	left, _ := j.left(ctx)
	switch {
	case ctx.Err() != nil || left < shortest:
		return false
	case j.mayRun && !j.route.Repeatable() && !switches.Off(switches.AtMostOnce):
		return false
	case j.tries >= mostTries:
		return false
	case j.sent == 0:
		return true // nothing has reached an endpoint yet
	case j.sent >= j.route.Attempts:
		return false
	case j.quiet != nil && j.quiet.taken.Load():
		return true // the right to it was taken when the endpoint fell silent
	default:
		return j.gateway.fleet.Again(j.service)
	}
}

func (j *job) left(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	return deadline.Sub(j.gateway.clock()), ok
}

// try makes one attempt.
func (j *job) try(ctx context.Context) (outcome, error) {
	g := j.gateway
	if j.target.Adapter {
		j.adapters++
		if err := g.fleet.Ensure(ctx, j.target, j.request.Model, j.request.Adapter); err != nil {
			return outcomeNotRun, fmt.Errorf("load adapter: %w", err)
		}
	}
	attempt := &Attempt{
		Request: j.request, Endpoint: j.target.ID, Born: j.target.Born, Address: j.target.Address,
		Level: j.route.Level, After: j.after,
	}
	if j.request.Wait > 0 {
		attempt.Left = max(time.Millisecond, j.request.Wait-g.clock().Sub(j.arrived))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	j.quiet = j.watch(cancel)
	defer j.quiet.close()
	ctx, span := g.tracer.Start(ctx, "attempt")
	defer span.End()
	j.sending = g.clock()
	answer, err := g.sender.Send(ctx, attempt)
	if errors.Is(err, ErrUnsent) {
		g.fleet.Failed(j.target)
		return outcomeNotRun, err
	}
	j.sent++
	if err != nil {
		j.blame(ctx)
		return outcomeUnknown, err
	}
	defer func() { _ = answer.Body.Close() }()
	return j.take(ctx, answer)
}

// take hands an answer to the caller if it is one to hand on.
func (j *job) take(ctx context.Context, answer *Answer) (outcome, error) {
	g := j.gateway
	switch {
	case answer.Foreign:
		return outcomeUnknown, fmt.Errorf("answer to another request, status %d", answer.Status)
	case answer.Stranger:
		g.fleet.Gone(j.target)
		return outcomeNotRun, errors.New("another endpoint has the address")
	case answer.Misdirected:
		g.fleet.Missing(j.target, j.request.Model, j.request.Adapter)
		return outcomeNotRun, errors.New("model or adapter isn't there")
	case answer.NotRun:
		return outcomeNotRun, fmt.Errorf("refused, status %d", answer.Status)
	}
	if j.route.Kind == catalog.KindStream && answer.Status/100 == 2 {
		return j.stream(ctx, answer)
	}
	return j.whole(ctx, answer)
}

// whole holds an answer until its last byte, so that a broken one is never passed on.
func (j *job) whole(ctx context.Context, answer *Answer) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, mostWhole))
	if err != nil {
		j.blame(ctx)
		return outcomeUnknown, fmt.Errorf("answer broke off: %w", err)
	}
	j.heard()
	if answer.Status >= 500 && j.route.Repeatable() && !j.started && j.sent < j.route.Attempts {
		return outcomeUnknown, fmt.Errorf("failed, status %d", answer.Status)
	}
	if j.started {
		return outcomeUnknown, fmt.Errorf("stream not resumed, status %d", answer.Status)
	}
	j.first = j.gateway.clock().Sub(j.arrived)
	j.gateway.codec.Pass(j.caller.Header(), answer.Header)
	j.caller.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.status, j.started = answer.Status, true
	j.caller.WriteHeader(answer.Status)
	_, err = j.caller.Write(body)
	return outcomeDone, err
}

// heard notes the first byte of the answer of this try.
func (j *job) heard() {
	if !j.answered {
		j.answered = true
		j.gateway.fleet.Answered(j.target, &j.ask, j.gateway.clock().Sub(j.sending))
	}
}

// blame notes an endpoint that broke off or fell silent, unless the caller left or
// its time was over.
func (j *job) blame(ctx context.Context) {
	switch {
	case ctx.Err() == nil:
		j.gateway.fleet.Failed(j.target)
		j.gateway.fleet.Broke(j.target, j.print, j.sending)
	case errors.Is(context.Cause(ctx), errSilent):
		j.gateway.fleet.Failed(j.target)
	}
}

// stream passes events on as they come, each only when it is whole.
func (j *job) stream(ctx context.Context, answer *Answer) (outcome, error) {
	var pending []byte
	buffer := make([]byte, readSize)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			j.heard()
			j.quiet.expect(gapFactor * j.route.MaxEventGap)
		}
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, []byte("\n\n")); end >= 0 {
			if err := j.pass(answer, pending[:end+2]); err != nil {
				j.broken = true
				return outcomeDone, fmt.Errorf("write to the caller: %w", err)
			}
			pending = append(pending[:0], pending[end+2:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			return j.finish(answer)
		case err != nil:
			j.blame(ctx)
			return outcomeCut, fmt.Errorf("stream broke off after event %q: %w", j.after, err)
		case len(pending) > mostEvent:
			return outcomeCut, errors.New("event too large")
		}
	}
}

func (j *job) finish(answer *Answer) (outcome, error) {
	if !j.started {
		j.begin(answer)
	}
	return outcomeDone, nil
}

func (j *job) begin(answer *Answer) {
	j.first = j.gateway.clock().Sub(j.arrived)
	j.gateway.codec.Pass(j.caller.Header(), answer.Header)
	j.caller.Header().Del("Content-Length")
	j.status, j.started = answer.Status, true
	j.caller.WriteHeader(answer.Status)
}

func (j *job) pass(answer *Answer, events []byte) error {
	if !j.started {
		j.begin(answer)
	}
	if id, ok := lastID(events); ok {
		j.after = id
	}
	if err := j.control.SetWriteDeadline(j.gateway.clock().Add(writeWait)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := j.caller.Write(events); err != nil {
		return err
	}
	return j.control.Flush()
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	lines := bytes.Split(events, []byte("\n"))
	for _, line := range slices.Backward(lines) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// giveUp ends a request that gets no answer of an endpoint.
func (j *job) giveUp(ctx context.Context, err error) {
	j.failure = err
	if j.started {
		j.broken = true
		return
	}
	refusal := Refusal{Status: http.StatusServiceUnavailable, RetryAfter: j.comeBack(), Request: j.request.ID}
	switch {
	case errors.Is(err, ErrLethal) && !j.mayRun:
		refusal.Status, refusal.RetryAfter = http.StatusBadRequest, 0
	case j.mayRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Status, refusal.RetryAfter = http.StatusGatewayTimeout, 0
	case j.mayRun:
		refusal.Status, refusal.RetryAfter = http.StatusBadGateway, 0
	}
	if err != nil {
		refusal.Reason = err.Error()
	}
	j.status = refusal.Status
	j.gateway.codec.Refuse(j.caller, refusal)
}

// comeBack is when a refused caller may try again: once the work that waits is done,
// or the model or adapter that is missing may be there.
func (j *job) comeBack() time.Duration {
	switch {
	case errors.Is(j.failure, ErrNoEndpoint) && j.request.Model != "":
		return comeBackModel
	case errors.Is(j.failure, ErrNoAdapter), j.adapters > 0 && j.sent == 0:
		return comeBackAdapter
	}
	return min(max(comeBack, j.wait-j.route.Target/2), mostComeBack)
}

func (j *job) log(pairs ...any) {
	_ = j.gateway.logger.Log(append(pairs, "id", j.request.ID)...)
}

// report logs the end of the request with what decided it, and counts it.
func (j *job) report(ctx context.Context) {
	whole := j.gateway.clock().Sub(j.arrived)
	j.gateway.stats.Done(j.route, j.status, j.sent, j.first, whole)
	j.log("step", "end", "route", j.route.Name, "version", j.version, "model", j.request.Model, "adapter", j.request.Adapter,
		"status", j.status, "endpoint", j.target.ID, "tries", j.tries, "sent", j.sent, "predicted", j.target.Wait, "wait", j.wait, "age", j.target.Age,
		"adapters", j.adapters, "first", j.first, "whole", whole, "broken", j.broken, "gone", ctx.Err(), "err", j.failure)
}
