package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request ran.
type Outcome string

// The outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Codes of errors that the client itself makes.
const (
	CodeConnect = "connect"
	CodeCut     = "cut"
	CodeStatus  = "status"
)

// Codes of the system after which no try helps.
const (
	codeGone    = "answer-gone"
	codeUnknown = "outcome-unknown"
)

// Error is why a request has no whole answer.
type Error struct {
	// Code and Step name the problem and where it arose.
	Code string
	Step string
	// Message explains it.
	Message string
	// Peer is the address of the instance that was asked.
	Peer string
	// Outcome says whether the request ran.
	Outcome Outcome
	// Status is the HTTP status, zero when there was no answer.
	Status int
	// Retry is when another try makes sense, zero when it was not said.
	Retry time.Duration
	// Request is the request's id.
	Request string

	cause error
}

// Error describes the problem.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %s (%s)", e.Step, e.Peer, e.Code, e.Message, e.Outcome)
}

// Unwrap returns the cause, if the client itself met it.
func (e *Error) Unwrap() error { return e.cause }

// problem is the body of an error answer and of an error event.
type problem struct {
	Error struct {
		Code    string  `json:"code"`
		Step    string  `json:"step"`
		Message string  `json:"message"`
		Retry   int64   `json:"retry_ms"`
		Outcome Outcome `json:"outcome"`
	} `json:"error"`
}

// parseProblem reads an error in the system's form; anything else is an error
// of an unknown outcome.
func parseProblem(data []byte) *Error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil || p.Error.Code == "" {
		return &Error{Code: CodeStatus, Step: "answer", Message: "not an error of chiveramp", Outcome: OutcomeUnknown}
	}
	return &Error{
		Code:    p.Error.Code,
		Step:    p.Error.Step,
		Message: p.Error.Message,
		Outcome: known(p.Error.Outcome),
		Retry:   time.Duration(p.Error.Retry) * time.Millisecond,
	}
}

// problemOf reads the error of an answer. The outcome header goes first.
func problemOf(response *http.Response, data []byte) *Error {
	e := parseProblem(data)
	e.Status = response.StatusCode
	e.Peer = response.Request.URL.Host
	if said := response.Header.Get(HeaderOutcome); said != "" {
		e.Outcome = known(Outcome(said))
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && e.Retry == 0 {
		e.Retry = time.Duration(seconds) * time.Second
	}
	return e
}

func known(said Outcome) Outcome {
	switch said {
	case OutcomeRan, OutcomeNotRun:
		return said
	default:
		return OutcomeUnknown
	}
}
