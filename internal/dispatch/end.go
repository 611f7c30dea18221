// Package dispatch runs requests on the endpoints that this instance dispatches for: it
// queues them by rank, claims those that may run only once, and buffers each answer long
// enough for a caller to resume it.
package dispatch

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Error codes of an End without a complete answer. docs/operators/errors.md explains
// each of them to operators.
const (
	CodeLeaving     = "leaving"
	CodeUnreachable = "endpoint-unreachable"
	CodeLost        = "endpoint-lost"
	CodeCancelled   = "cancelled"
	CodeGone        = "answer-gone"
	CodeBody        = "bad-body"
	CodeStore       = "store-unavailable"
	CodeRunning     = "already-running"
	CodeUnknown     = "outcome-unknown"
	CodeKey         = "key-reused"
	CodePoison      = "request-convicted"
	CodeSlow        = "caller-too-slow"
	CodeDeadline    = "deadline"
	CodeOverload    = "overload"
	CodeNoEndpoint  = "no-endpoint"
	CodeRefused     = "endpoint-refused"
	CodeProfile     = "unknown-profile"
	CodeModel       = "unknown-model"
)

// Complete returns the end of an answer that was received completely, with its number of events.
func Complete(events uint64) *peerpb.End {
	return &peerpb.End{Outcome: string(fleet.OutcomeRan), Events: events}
}

// Refuse returns the end of a request that has not run and may be sent again after retry.
func Refuse(code, step, message string, retry time.Duration) *peerpb.End {
	return &peerpb.End{
		Outcome: string(fleet.OutcomeNotRun),
		Code:    code,
		Step:    step,
		Message: message,
		Retry:   uint32(max(retry, 0).Milliseconds()),
	}
}

// RefuseAbandoned returns the end of a request whose caller has left before it was sent.
func RefuseAbandoned(step string) *peerpb.End {
	return Refuse(CodeCancelled, step, "the caller has left", 0)
}

// Fail returns the end of a request that may have run.
func Fail(code, step, message string) *peerpb.End {
	return &peerpb.End{
		Outcome: string(fleet.OutcomeUnknown),
		Code:    code,
		Step:    step,
		Message: message,
	}
}
