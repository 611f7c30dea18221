package endpoint

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a Client. Each returned error wraps one of them or is a *StatusError,
// and names the step and the address of the endpoint.
var (
	// ErrNotSent: no byte of the request was written, so it cannot have run.
	ErrNotSent = errors.New("request not sent")
	// ErrInterrupted: the connection broke after a byte of the request was written and
	// before the end of the answer; the request may have run.
	ErrInterrupted = errors.New("answer cut")
	// ErrGone: the endpoint does not know the attempt.
	ErrGone = errors.New("attempt unknown at endpoint")
	// ErrLeaving: the endpoint is leaving and refused the request before running it.
	ErrLeaving = errors.New("endpoint leaving")
	// ErrNoModel: the endpoint does not serve the model and refused before running.
	ErrNoModel = errors.New("model not served at endpoint")
	// ErrStaleFence: the endpoint refused an order with an old fencing number.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrNoMemory: the endpoint has no memory for the order.
	ErrNoMemory = errors.New("no memory at endpoint")
	// ErrTooLarge: a piece of the answer is larger than the client accepts.
	ErrTooLarge = errors.New("answer too large")
)

// StatusError is an answer whose status no sentinel error covers.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Code is the endpoint's error code, empty when it gave none.
	Code string
	// Message is the endpoint's explanation, shortened.
	Message string
	// RetryAfter is how long the endpoint asks to wait, zero when it did not say.
	RetryAfter time.Duration
}

// Error describes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s %s", e.Status, e.Code, e.Message)
}

func stepError(step, addr string, err error) error {
	return fmt.Errorf("%s %s: %w", step, addr, err)
}
