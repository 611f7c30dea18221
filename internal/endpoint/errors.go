package endpoint

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a Client. Each returned error wraps one of them or a *StatusError, and names
// the step and the address of the endpoint.
var (
	// ErrNotSent: no byte of the request was written, so it cannot have run.
	ErrNotSent = errors.New("request not sent")
	// ErrInterrupted: the connection broke or was closed after a byte of the request
	// was written and before the end of the answer, so the request may have run.
	ErrInterrupted = errors.New("answer interrupted")
	// ErrGone: the endpoint has no record of the attempt.
	ErrGone = errors.New("attempt unknown to endpoint")
	// ErrLeaving: the endpoint is draining to leave and refused the request without
	// running it.
	ErrLeaving = errors.New("endpoint is leaving")
	// ErrNoModel: the endpoint does not serve the model and refused the request without
	// running it.
	ErrNoModel = errors.New("model not served by endpoint")
	// ErrStaleFence: the endpoint refused an order whose fencing token is out of date.
	ErrStaleFence = errors.New("stale fencing token")
	// ErrNoMemory: the endpoint has too little free memory for the order.
	ErrNoMemory = errors.New("not enough memory at endpoint")
	// ErrTooLarge: an event or body is larger than the client's limit.
	ErrTooLarge = errors.New("answer too large")
)

// StatusError is a response with status 400 or above. When a sentinel error exists for
// it, the returned error wraps both.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Code is the endpoint's error code, empty when the response has none.
	Code string
	// Message is the endpoint's explanation. At most maxProblemSize of the body is read.
	Message string
	// RetryAfter is the delay of the Retry-After header, zero without one.
	RetryAfter time.Duration
}

// Error returns the status, code and message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s %s", e.Status, e.Code, e.Message)
}

func stepError(step, addr string, err error) error {
	return fmt.Errorf("%s %s: %w", step, addr, err)
}
