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

// Verdict says what became of a piece.
type Verdict string

// The verdicts on a piece.
const (
	// VerdictPassed: it is next in order.
	VerdictPassed Verdict = "passed"
	// VerdictHeld: it waits for pieces ahead of it.
	VerdictHeld Verdict = "held"
	// VerdictTwice: it was passed on before.
	VerdictTwice Verdict = "twice"
	// VerdictStray: it belongs to another attempt.
	VerdictStray Verdict = "stray"
	// VerdictLate: the answer has ended.
	VerdictLate Verdict = "late"
	// VerdictFar: too many pieces are missing ahead of it to hold it.
	VerdictFar Verdict = "far"
)

// State says how far an answer has come.
type State string

// The states of an answer.
const (
	StateOpen   State = "open"
	StateWhole  State = "whole"
	StateFailed State = "failed"
)

const (
	defaultResumes   = 3
	defaultAttempts  = 3
	defaultHeld      = 64 // pieces
	defaultKeepBytes = 1 << 20
	defaultKeepTime  = 2 * time.Minute
)

// Option changes an Assembly under construction.
type Option func(*Assembly)

// WithResumes bounds how often in a row an attempt is resumed without a new piece.
func WithResumes(most int) Option { return func(a *Assembly) { a.resumeLimit = most } }

// WithAttempts bounds the attempts of one answer.
func WithAttempts(most int) Option { return func(a *Assembly) { a.attemptLimit = most } }

// WithHeld bounds the pieces that wait for others ahead of them.
func WithHeld(most int) Option { return func(a *Assembly) { a.heldLimit = most } }

// WithKeep bounds what is kept for callers that come back: bytes, and the age
// of a piece.
func WithKeep(bytes int, age time.Duration) Option {
	return func(a *Assembly) { a.kept.limit, a.kept.age = bytes, age }
}

// WithOnce tells that the request may run once only: a cut attempt is resumed,
// never run anew.
func WithOnce() Option { return func(a *Assembly) { a.once = true } }

// Assembly is one answer in the making. It is not safe for concurrent use.
type Assembly struct {
	resumeLimit  int
	attemptLimit int
	heldLimit    int
	once         bool
	guards       guards

	state    State
	attempt  string
	endpoint fleet.Endpoint
	next     uint64 // offset of the next piece of the attempt
	held     map[uint64][]byte
	attempts int
	resumes  int // in a row, without a piece between
	passed   uint64
	adopted  bool // earlier pieces went through another instance
	kept     buffer
	out      []Piece
}

// guards are switched off by tests only, to show what each of them does.
type guards struct {
	noAttempts bool // take pieces of any attempt
	noOffsets  bool // pass pieces as they come
	noMarker   bool // take a closed connection for the end
}

// New returns an answer without an attempt.
func New(opts ...Option) *Assembly {
	a := &Assembly{
		resumeLimit:  defaultResumes,
		attemptLimit: defaultAttempts,
		heldLimit:    defaultHeld,
		state:        StateOpen,
		held:         map[uint64][]byte{},
		kept:         buffer{limit: defaultKeepBytes, age: defaultKeepTime},
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Begin makes an attempt the present one. Pieces of earlier ones no longer count.
func (a *Assembly) Begin(attempt string, endpoint fleet.Endpoint) {
	a.attempt, a.endpoint = attempt, endpoint
	a.next, a.resumes = 0, 0
	a.attempts++
	clear(a.held)
}

// Adopt goes on with an attempt of which the caller has a number of pieces
// already, through another instance.
func (a *Assembly) Adopt(attempt string, endpoint fleet.Endpoint, have uint64) {
	a.Begin(attempt, endpoint)
	a.next = have
	a.adopted = true
}

// Attempt returns the present attempt's id.
func (a *Assembly) Attempt() string { return a.attempt }

// Endpoint returns where the present attempt runs.
func (a *Assembly) Endpoint() fleet.Endpoint { return a.endpoint }

// Next returns the offset of the next piece of the present attempt.
func (a *Assembly) Next() uint64 { return a.next }

// Passed returns the number of pieces passed on, of all attempts.
func (a *Assembly) Passed() uint64 { return a.passed }

// State returns how far the answer has come.
func (a *Assembly) State() State { return a.state }

// Add takes a piece that arrived. It returns the pieces that may go to the
// caller now, in order; the slice is valid until the next call.
func (a *Assembly) Add(now time.Time, p Piece) ([]Piece, Verdict) {
	switch {
	case a.state != StateOpen:
		return nil, VerdictLate
	case p.Attempt != a.attempt && !a.guards.noAttempts:
		return nil, VerdictStray
	case a.guards.noOffsets:
		a.out = a.out[:0]
		a.pass(now, p)
		return a.out, VerdictPassed
	case p.Offset < a.next:
		return nil, VerdictTwice
	case p.Offset > a.next:
		return nil, a.hold(p)
	}
	a.out = a.out[:0]
	a.pass(now, p)
	a.release(now)
	return a.out, VerdictPassed
}

func (a *Assembly) pass(now time.Time, p Piece) {
	a.next++
	a.passed++
	a.resumes = 0
	a.kept.add(now, p)
	a.out = append(a.out, p)
}

// release passes the pieces that waited for the last one.
func (a *Assembly) release(now time.Time) {
	for len(a.held) > 0 {
		data, ok := a.held[a.next]
		if !ok {
			return
		}
		delete(a.held, a.next)
		a.pass(now, Piece{Attempt: a.attempt, Offset: a.next, Data: data})
	}
}

func (a *Assembly) hold(p Piece) Verdict {
	if _, ok := a.held[p.Offset]; ok {
		return VerdictTwice
	}
	if len(a.held) >= a.heldLimit {
		return VerdictFar
	}
	a.held[p.Offset] = p.Data
	return VerdictHeld
}

// End takes the end marker of an attempt of so many pieces. It returns
// StateWhole when all of them were passed on; StateOpen when the marker is not
// this attempt's or pieces are missing, which a Cut settles.
func (a *Assembly) End(attempt string, pieces uint64) State {
	if a.state == StateOpen && attempt == a.attempt && pieces == a.next {
		a.state = StateWhole
	}
	return a.state
}

// Fail ends the answer with an error that the caller is told.
func (a *Assembly) Fail() {
	if a.state == StateOpen {
		a.state = StateFailed
	}
}
