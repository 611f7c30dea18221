// Package stream assembles one streamed answer from the pieces of its attempts, and
// decides whether to resume, restart, continue or fail when an attempt is interrupted.
//
// An answer is complete only with its end marker. Each piece carries its attempt's id
// and its offset in that attempt. Pieces of other attempts are dropped, and pieces are
// passed on in order and once.
package stream

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Piece is one streamed event of an attempt.
type Piece struct {
	Attempt string
	// Offset is the number of the attempt's pieces before this one.
	Offset uint64
	Data   []byte
}

// AddResult says what Add did with a piece.
type AddResult string

// The results of Add.
const (
	// ResultPassed: the piece was next in order.
	ResultPassed AddResult = "passed"
	// ResultPending: it arrived early and waits for the pieces before it.
	ResultPending AddResult = "held"
	// ResultDuplicate: it was received before.
	ResultDuplicate AddResult = "twice"
	// ResultOtherAttempt: it does not belong to the current attempt.
	ResultOtherAttempt AddResult = "stray"
	// ResultAfterEnd: the answer had already ended.
	ResultAfterEnd AddResult = "late"
	// ResultTooFarAhead: it arrived early, but too many pieces are pending already.
	ResultTooFarAhead AddResult = "far"
)

// State is the state of an answer.
type State string

// The states of an answer.
const (
	StateOpen     State = "open"
	StateComplete State = "whole"
	StateFailed   State = "failed"
)

const (
	defaultMaxResumes    = 3
	defaultMaxAttempts   = 3
	defaultMaxPending    = 64 // pieces
	defaultRetainedBytes = 1 << 20
	defaultRetention     = 2 * time.Minute
)

// Option changes an Assembly under construction.
type Option func(*Assembly)

// WithMaxResumes limits how often in a row an attempt is resumed without a new piece.
func WithMaxResumes(limit int) Option { return func(a *Assembly) { a.maxResumes = limit } }

// WithMaxAttempts limits the number of attempts of one answer.
func WithMaxAttempts(limit int) Option { return func(a *Assembly) { a.maxAttempts = limit } }

// WithMaxPending limits the number of out-of-order pieces that wait for earlier ones.
func WithMaxPending(limit int) Option { return func(a *Assembly) { a.maxPending = limit } }

// WithRetention limits what is retained for callers that reconnect: the total bytes
// and the age of a piece.
func WithRetention(bytes int, age time.Duration) Option {
	return func(a *Assembly) { a.replay.maxBytes, a.replay.retention = bytes, age }
}

// WithRunOnce marks a request that must not run twice: an interrupted attempt is
// resumed, never run again, unless no byte of it was sent.
func WithRunOnce() Option { return func(a *Assembly) { a.runOnce = true } }

// Assembly assembles one answer. It is not safe for concurrent use.
type Assembly struct {
	maxResumes  int
	maxAttempts int
	maxPending  int
	runOnce     bool
	disabled    disabledChecks

	state       State
	attempt     string
	endpoint    fleet.Endpoint
	nextOffset  uint64 // offset of the next piece of the attempt
	pending     map[uint64][]byte
	attempts    int
	resumes     int // consecutive, without a new piece
	passedCount uint64
	adopted     bool // earlier pieces were sent through another instance
	replay      replayBuffer
	ready       []Piece
}

// disabledChecks lists checks that tests disable to show that each is necessary.
type disabledChecks struct {
	attemptID bool // accept pieces of any attempt
	offset    bool // pass pieces on as they arrive
	endMarker bool // treat a closed connection as the end of the answer
}

// New returns an Assembly without an attempt.
func New(opts ...Option) *Assembly {
	a := &Assembly{
		maxResumes:  defaultMaxResumes,
		maxAttempts: defaultMaxAttempts,
		maxPending:  defaultMaxPending,
		state:       StateOpen,
		pending:     map[uint64][]byte{},
		replay:      replayBuffer{maxBytes: defaultRetainedBytes, retention: defaultRetention},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Begin makes an attempt the current one. Pieces of earlier attempts are dropped from now on.
func (a *Assembly) Begin(attempt string, endpoint fleet.Endpoint) {
	a.attempt, a.endpoint = attempt, endpoint
	a.nextOffset, a.resumes = 0, 0
	a.attempts++
	clear(a.pending)
}

// Adopt takes over an attempt of which the caller has already received a number of
// pieces through another instance.
func (a *Assembly) Adopt(attempt string, endpoint fleet.Endpoint, have uint64) {
	a.Begin(attempt, endpoint)
	a.nextOffset = have
	a.adopted = true
}

// Attempt returns the current attempt's id.
func (a *Assembly) Attempt() string { return a.attempt }

// Endpoint returns the endpoint where the current attempt runs.
func (a *Assembly) Endpoint() fleet.Endpoint { return a.endpoint }

// Next returns the offset of the next piece of the current attempt.
func (a *Assembly) Next() uint64 { return a.nextOffset }

// Passed returns the number of pieces passed on, over all attempts.
func (a *Assembly) Passed() uint64 { return a.passedCount }

// State returns the state of the answer.
func (a *Assembly) State() State { return a.state }

// Add accepts a piece that arrived and returns the pieces that can now be sent to
// the caller, in order. The slice is valid until the next call.
func (a *Assembly) Add(now time.Time, p Piece) ([]Piece, AddResult) {
	switch {
	case a.state != StateOpen:
		return nil, ResultAfterEnd
	case p.Attempt != a.attempt && !a.disabled.attemptID:
		return nil, ResultOtherAttempt
	case a.disabled.offset:
		a.ready = a.ready[:0]
		a.pass(now, p)
		return a.ready, ResultPassed
	case p.Offset < a.nextOffset:
		return nil, ResultDuplicate
	case p.Offset > a.nextOffset:
		return nil, a.addPending(p)
	}
	a.ready = a.ready[:0]
	a.pass(now, p)
	a.passPending(now)
	return a.ready, ResultPassed
}

func (a *Assembly) pass(now time.Time, p Piece) {
	a.nextOffset++
	a.passedCount++
	a.resumes = 0
	a.replay.add(now, p)
	a.ready = append(a.ready, p)
}

// passPending passes on the pending pieces that are now next in order.
func (a *Assembly) passPending(now time.Time) {
	for len(a.pending) > 0 {
		data, ok := a.pending[a.nextOffset]
		if !ok {
			return
		}
		delete(a.pending, a.nextOffset)
		a.pass(now, Piece{Attempt: a.attempt, Offset: a.nextOffset, Data: data})
	}
}

func (a *Assembly) addPending(p Piece) AddResult {
	if _, ok := a.pending[p.Offset]; ok {
		return ResultDuplicate
	}
	if len(a.pending) >= a.maxPending {
		return ResultTooFarAhead
	}
	a.pending[p.Offset] = p.Data
	return ResultPending
}

// End handles the end marker of an attempt, which carries its number of pieces. It
// returns StateComplete when all of them were passed on. The answer stays open when
// the marker is another attempt's or pieces are missing; Interrupted then decides.
func (a *Assembly) End(attempt string, pieces uint64) State {
	if a.state == StateOpen && attempt == a.attempt && pieces == a.nextOffset {
		a.state = StateComplete
	}
	return a.state
}

// Fail ends the answer as failed; the error has been reported to the caller.
func (a *Assembly) Fail() {
	if a.state == StateOpen {
		a.state = StateFailed
	}
}
