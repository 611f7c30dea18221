package operator

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/chiveramp/chiveramp/internal/inifile"
)

// Code identifies the kind of an API error.
type Code string

// The error codes of the API.
const (
	CodeInvalid     Code = "invalid"
	CodeTooLarge    Code = "too-large"
	CodeDenied      Code = "denied"
	CodeForbidden   Code = "forbidden"
	CodeTooMany     Code = "too-many"
	CodeNotFound    Code = "not-found"
	CodeConflict    Code = "conflict"
	CodeUnavailable Code = "unavailable"
	CodeUncertain   Code = "uncertain"
	CodeInternal    Code = "internal"
)

// CallError is the JSON body of every response other than 200 OK.
type CallError struct {
	Code Code `json:"code"`
	// Step is the processing stage that failed.
	Step    string `json:"step"`
	Message string `json:"message"`
	// Expected, Revision and Author are set for conflicts.
	Expected uint64 `json:"expected,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Author   string `json:"author,omitempty"`
}

func (p *CallError) Error() string {
	return fmt.Sprintf("%s: %s (%s)", p.Step, p.Message, p.Code)
}

// Unwrap returns the error that the code stands for, if any, so that errors.Is and
// errors.As work on the client as on the server.
func (p *CallError) Unwrap() error {
	switch p.Code {
	case CodeNotFound:
		return ErrNotFound
	case CodeUnavailable:
		return ErrUnavailable
	case CodeUncertain:
		return ErrUncertain
	case CodeConflict:
		return &ConflictError{Expected: p.Expected, Revision: p.Revision, Author: p.Author}
	default:
		return nil
	}
}

// status returns the HTTP status of the code.
func (p *CallError) status() int {
	switch p.Code {
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeDenied:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeTooMany:
		return http.StatusTooManyRequests
	case CodeNotFound:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeUnavailable, CodeUncertain:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// newCallError derives the code from the type of the error.
func newCallError(step string, err error) *CallError {
	p := &CallError{Code: CodeInternal, Step: step, Message: err.Error()}
	var conflict *ConflictError
	var iniErr *inifile.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &conflict):
		p.Code = CodeConflict
		p.Expected, p.Revision, p.Author = conflict.Expected, conflict.Revision, conflict.Author
	case errors.As(err, &iniErr):
		p.Code = CodeInvalid
	case errors.As(err, &tooLarge):
		p.Code = CodeTooLarge
	case errors.Is(err, ErrNotFound):
		p.Code = CodeNotFound
	case errors.Is(err, ErrUnavailable):
		p.Code = CodeUnavailable
	case errors.Is(err, ErrUncertain):
		p.Code = CodeUncertain
	}
	return p
}
