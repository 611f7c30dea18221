package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome reports whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Codes of errors that originate in the client.
const (
	CodeConnect = "connect"
	CodeCut     = "cut"
	CodeStatus  = "status"
)

// Codes of the system after which a retry is pointless.
const (
	codeAnswerGone     = "answer-gone"
	codeOutcomeUnknown = "outcome-unknown"
)

// Error reports why a request got no complete answer.
type Error struct {
	// Code identifies the problem, and Step the processing step in which it occurred.
	Code string
	Step string
	// Message describes the problem.
	Message string
	// Peer is the address of the instance that the request was sent to.
	Peer string
	// Outcome reports whether the request ran.
	Outcome Outcome
	// Status is the HTTP status, zero when there was no response.
	Status int
	// Retry is how long to wait before a retry, zero when the system gave no time.
	Retry time.Duration
	// Request is the request's id.
	Request string

	cause error
}

// Error returns the step, address, code, message and outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %s: %s (%s)", e.Step, e.Peer, e.Code, e.Message, e.Outcome)
}

// Unwrap returns the underlying error, if the problem occurred in the client.
func (e *Error) Unwrap() error { return e.cause }

// errorBody is the body of an error response and the data of an error event.
type errorBody struct {
	Error struct {
		Code    string  `json:"code"`
		Step    string  `json:"step"`
		Message string  `json:"message"`
		Retry   int64   `json:"retry_ms"`
		Outcome Outcome `json:"outcome"`
	} `json:"error"`
}

// parseError decodes an errorBody. Anything else becomes an error with an unknown
// outcome.
func parseError(data []byte) *Error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return &Error{Code: CodeStatus, Step: "answer", Message: "response is not a chiveramp error", Outcome: OutcomeUnknown}
	}
	return &Error{
		Code:    body.Error.Code,
		Step:    body.Error.Step,
		Message: body.Error.Message,
		Outcome: normalizeOutcome(body.Error.Outcome),
		Retry:   time.Duration(body.Error.Retry) * time.Millisecond,
	}
}

// responseError returns the error in a response. An outcome in the header takes
// precedence over that in the body.
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
