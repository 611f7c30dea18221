package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// maxFull is how many endpoints may have had no room for a request that can wait, beside those
	// asked again.
	maxFull = 3
	// maxAsks is how often a waiting request asks again for its turn.
	maxAsks = 5
	// targetCheckInterval is how often a waiting request checks that its endpoint still takes it.
	targetCheckInterval = 200 * time.Millisecond
	// lastLevel is the least urgent rank with a place of its own at engines.
	lastLevel = 2
	// probePatience is how long a waiting request would wait at an endpoint other than the one where
	// it has its place: what the way there and the steps of the engine take in any case.
	probePatience = 250 * time.Millisecond
	// tokenTime is how long an engine under load takes for each output token.
	tokenTime = 10 * time.Millisecond
	// minStreamPatience, streamTargets and streamGaps give how long callers wait for a stream's first
	// event: the longest of a time, some targets of the route and some of its longest pauses.
	minStreamPatience = 2 * time.Second
	streamTargets     = 4
	streamGaps        = 8
	// maxWaitingBytes limits the memory of all requests that wait for room, waitingOverhead is that
	// of one beside its body.
	maxWaitingBytes = 8 << 20
	waitingOverhead = 16 << 10
)

// waitingMemory limits the memory of the requests that wait for room. It is safe for concurrent use.
type waitingMemory struct{ used atomic.Int64 }

func (m *waitingMemory) take(bytes int64) bool {
	if m.used.Add(bytes) <= maxWaitingBytes {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// queueing is the part of a job that waits for room.
type queueing struct {
	enabled bool   // the service lets requests wait
	id      uint64 // of the request, in all of its questions
	held    int64  // memory taken
	asks    int    // how often the request has asked again
	refused bool   // its turn would come too late for the caller
	yields  bool   // it leaves room to other workspaces
	// full are the endpoints that refused the request for want of room, target the one at which it
	// has its place, nil for none.
	full   []fleet.Endpoint
	target *Target
	waited time.Duration
	// comeBack is the earliest time at which an endpoint would have room for the caller, 0 for none.
	comeBack time.Duration
}

// maxTries returns how many endpoints may be tried for the request.
func (j *job) maxTries() int {
	if j.queueing.enabled && len(j.queueing.full) >= maxFull {
		return 0
	}
	return maxTries + j.queueing.asks
}

// beginQueueing decides whether the request may wait for room.
func (j *job) beginQueueing() {
	if j.request.Model != "" && j.route.Target > 0 && j.gateway.fleet.Queues(j.service) {
		j.queueing.enabled, j.queueing.id = true, rand.Uint64()
	}
}

// endWait records that the request was admitted, so that it waits no longer.
func (j *job) endWait() {
	q := &j.queueing
	j.gateway.waiting.used.Add(-q.held)
	q.held, q.target = 0, nil
}

// endQueueing returns the memory, and withdraws the request of a caller that has left from where
// it has its place.
func (j *job) endQueueing(ctx context.Context) {
	q := &j.queueing
	target := q.target
	j.endWait()
	if target != nil && errors.Is(ctx.Err(), context.Canceled) {
		j.gateway.fleet.Withdraw(context.WithoutCancel(ctx), *target, q.id)
	}
}

// patience returns how long the request may wait before it is sent, so that its caller still gets
// the whole answer.
func (j *job) patience(ctx context.Context) time.Duration {
	q := &j.queueing
	if !q.enabled || q.refused || j.mayHaveRun || j.delivery.begun() {
		return 0
	}
	left := j.timeLeft(ctx) - time.Duration(j.request.OutputTokens)*tokenTime
	if j.route.Kind == catalog.KindStream {
		first := max(minStreamPatience, streamTargets*j.route.Target, streamGaps*j.route.MaxEventGap)
		left = min(left, first-j.gateway.clock().Sub(j.arrived))
	}
	return max(0, j.waitBeforeShutdown(ctx, left-admissionMargin))
}

// late returns what the attempt asks for if it can't be in time, nil if it is then refused. While
// another endpoint is predicted to be in time, that one is tried before the request waits.
func (a *attempt) late() *Late {
	patience := a.query.Patience - a.target.PendingPrefill
	if patience <= 0 || a.insistent || a.mayHaveRun {
		return nil
	}
	j := a.job
	q := &j.queueing
	late := &Late{ID: q.id, Waited: j.gateway.clock().Sub(j.arrived), Patience: patience, Asked: q.asks > 0, Last: q.asks >= maxAsks, Yields: q.yields}
	switch {
	case q.target != nil && q.target.ID != a.target.ID:
		late.Patience = min(patience, probePatience)
	case q.target == nil && a.hasAlternative():
		return nil
	}
	if q.held == 0 {
		bytes := waitingOverhead + int64(len(j.request.Body))
		if !j.gateway.waiting.take(bytes) {
			return nil
		}
		q.held = bytes
	}
	return late
}

// hasAlternative reports whether another endpoint is predicted to answer in time.
func (a *attempt) hasAlternative() bool {
	query := a.query
	query.Patience, query.Reserved = 0, ""
	query.Exclude = append(slices.Clone(query.Exclude), a.target.ID)
	return a.target.Wait <= a.job.route.Target && a.job.gateway.fleet.HasAlternative(&query)
}

// recordFull records that the endpoint of an attempt had no room.
func (j *job) recordFull(r result) {
	q := &j.queueing
	if !q.enabled || r.sent || !errors.Is(r.err, ErrOverloaded) {
		return
	}
	q.full = append(q.full, r.attempt.target.ID)
	q.yields = q.yields || r.yields
	if q.comeBack == 0 || r.comeBack > 0 && r.comeBack < q.comeBack {
		q.comeBack = r.comeBack
	}
	if r.late && r.askAgain <= 0 {
		if q.target == nil || q.target.ID == r.attempt.target.ID {
			q.refused, q.target = true, nil
		}
	}
}

// awaitTurn waits until the request is to ask again, at any endpoint that may have got room
// meanwhile.
func (j *job) awaitTurn(ctx context.Context, r result) {
	q := &j.queueing
	q.asks++
	q.target = &r.attempt.target
	j.log("step", "wait", "request", j.identity.Request, "endpoint", q.target.ID, "turn", r.predictedWait, "ahead", r.ahead, "again", r.askAgain, "asks", q.asks, "yields", q.yields, "age", j.gateway.clock().Sub(j.arrived))
	j.query.Exclude = slices.DeleteFunc(j.query.Exclude, func(id fleet.Endpoint) bool { return slices.Contains(q.full, id) })
	q.full = q.full[:0]
	q.waited += r.askAgain
	j.waitAt(ctx, q.target, r.askAgain)
}

// waitAt waits for a time, or until the target can't take the request any more, so that the request
// has the rest of its time elsewhere, or until it could no longer end before the instance does.
func (j *job) waitAt(ctx context.Context, t *Target, wait time.Duration) {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(targetCheckInterval)
	defer ticker.Stop()
	for j.gateway.fleet.CheckTarget(*t, j.request.Model) == nil && j.checkShutdown(ctx) == nil {
		select {
		case <-waiting.Done():
			return
		case <-ticker.C:
		}
	}
}

// dropLostPlace ends the request's place at an endpoint that can't take it any more, so that it gets
// one elsewhere by the time of its arrival.
func (j *job) dropLostPlace() {
	q := &j.queueing
	if q.target != nil && j.gateway.fleet.CheckTarget(*q.target, j.request.Model) != nil {
		q.target = nil
	}
}
