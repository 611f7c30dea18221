// Package stream puts one answer together from the pieces of its attempts, and
// decides how to go on when an attempt is cut.
//
// An answer is whole only with its end marker. Each piece has its attempt's id
// and its offset in that attempt; pieces of another attempt are dropped, and
// none is passed on twice or before the one ahead of it.
package stream

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Piece is one event of an attempt.
type Piece struct {
	Attempt string
	// Offset is the number of the attempt's pieces before this one.
	Offset uint64
	Data   []byte
}

// AddResult says what became of a piece.
type AddResult string

// The verdicts on a piece.
const (
	// ResultPassed: it is next in order.
	ResultPassed AddResult = "passed"
	// ResultPending: it waits for pieces ahead of it.
	ResultPending AddResult = "held"
	// ResultDuplicate: it was passed on before.
	ResultDuplicate AddResult = "twice"
	// ResultOtherAttempt: it belongs to another attempt.
	ResultOtherAttempt AddResult = "stray"
	// ResultAfterEnd: the answer has ended.
	ResultAfterEnd AddResult = "late"
	// ResultTooFarAhead: too many pieces are missing ahead of it to hold it.
	ResultTooFarAhead AddResult = "far"
)

// State says how far an answer has come.
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

// WithMaxResumes bounds how often in a row an attempt is resumed without a new piece.
func WithMaxResumes(limit int) Option { return func(a *Assembly) { a.maxResumes = limit } }

// WithMaxAttempts bounds the attempts of one answer.
func WithMaxAttempts(limit int) Option { return func(a *Assembly) { a.maxAttempts = limit } }

// WithMaxPending bounds the pieces that wait for others ahead of them.
func WithMaxPending(limit int) Option { return func(a *Assembly) { a.maxPending = limit } }

// WithRetention bounds what is kept for callers that come back: bytes, and the age
// of a piece.
func WithRetention(bytes int, age time.Duration) Option {
	return func(a *Assembly) { a.replay.maxBytes, a.replay.retention = bytes, age }
}

// WithRunOnce tells that the request may run once only: a cut attempt is resumed,
// never run anew.
func WithRunOnce() Option { return func(a *Assembly) { a.runOnce = true } }

// Assembly is one answer in the making. It is not safe for concurrent use.
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
	resumes     int // in a row, without a piece between
	passedCount uint64
	adopted     bool // earlier pieces went through another instance
	replay      replayBuffer
	ready       []Piece
}

// disabledChecks are switched off by tests only, to show what each of them does.
type disabledChecks struct {
	attemptID bool // take pieces of any attempt
	offset    bool // pass pieces as they come
	endMarker bool // take a closed connection for the end
}

// New returns an answer without an attempt.
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

// Begin makes an attempt the present one. Pieces of earlier ones no longer count.
func (a *Assembly) Begin(attempt string, endpoint fleet.Endpoint) {
	a.attempt, a.endpoint = attempt, endpoint
	a.nextOffset, a.resumes = 0, 0
	a.attempts++
	clear(a.pending)
}

// Adopt goes on with an attempt of which the caller has a number of pieces
// already, through another instance.
func (a *Assembly) Adopt(attempt string, endpoint fleet.Endpoint, have uint64) {
	a.Begin(attempt, endpoint)
	a.nextOffset = have
	a.adopted = true
}

// Attempt returns the present attempt's id.
func (a *Assembly) Attempt() string { return a.attempt }

// Endpoint returns where the present attempt runs.
func (a *Assembly) Endpoint() fleet.Endpoint { return a.endpoint }

// Next returns the offset of the next piece of the present attempt.
func (a *Assembly) Next() uint64 { return a.nextOffset }

// Passed returns the number of pieces passed on, of all attempts.
func (a *Assembly) Passed() uint64 { return a.passedCount }

// State returns how far the answer has come.
func (a *Assembly) State() State { return a.state }

// Add takes a piece that arrived. It returns the pieces that may go to the
// caller now, in order; the slice is valid until the next call.
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

// passPending passes the pieces that waited for the last one.
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

// End takes the end marker of an attempt of so many pieces. It returns
// StateWhole when all of them were passed on; StateOpen when the marker is not
// this attempt's or pieces are missing, which a Cut settles.
func (a *Assembly) End(attempt string, pieces uint64) State {
	if a.state == StateOpen && attempt == a.attempt && pieces == a.nextOffset {
		a.state = StateComplete
	}
	return a.state
}

// Fail ends the answer with an error that the caller is told.
func (a *Assembly) Fail() {
	if a.state == StateOpen {
		a.state = StateFailed
	}
}
