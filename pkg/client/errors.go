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
	codeAnswerGone     = "answer-gone"
	codeOutcomeUnknown = "outcome-unknown"
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

// errorBody is the body of an error answer and of an error event.
type errorBody struct {
	Error struct {
		Code    string  `json:"code"`
		Step    string  `json:"step"`
		Message string  `json:"message"`
		Retry   int64   `json:"retry_ms"`
		Outcome Outcome `json:"outcome"`
	} `json:"error"`
}

// parseError reads an error in the system's form; anything else is an error
// of an unknown outcome.
func parseError(data []byte) *Error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &Error{Code: CodeStatus, Step: "answer", Message: "not an error of chiveramp", Outcome: OutcomeUnknown}
	}
	return &Error{
		Code:    body.Error.Code,
		Step:    body.Error.Step,
		Message: body.Error.Message,
		Outcome: normalizeOutcome(body.Error.Outcome),
		Retry:   time.Duration(body.Error.Retry) * time.Millisecond,
	}
}

// responseError reads the error of an answer. The outcome header goes first.
func responseError(response *http.Response, data []byte) *Error {
	e := parseError(data)
	e.Status = response.StatusCode
	e.Peer = response.Request.URL.Host
	if outcome := response.Header.Get(HeaderOutcome); outcome != "" {
		e.Outcome = normalizeOutcome(Outcome(outcome))
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && e.Retry == 0 {
		e.Retry = time.Duration(seconds) * time.Second
	}
	return e
}

func normalizeOutcome(outcome Outcome) Outcome {
	switch outcome {
	case OutcomeRan, OutcomeNotRun:
		return outcome
	default:
		return OutcomeUnknown
	}
}
