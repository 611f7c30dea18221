// Package caller is the HTTP server for callers. It serves the OpenAI chat API, plain
// services, and the lists of entries and models.
package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Headers of requests and answers, documented for callers in docs/operators/callers.md.
const (
	HeaderProfile    = "Chiveramp-Profile"
	HeaderRequest    = "Chiveramp-Request"
	HeaderDeadline   = "Chiveramp-Deadline" // milliseconds remaining
	HeaderOutcome    = "Chiveramp-Outcome"
	HeaderInstance   = "Chiveramp-Instance"
	HeaderDispatcher = "Chiveramp-Dispatcher"
	HeaderEndpoint   = "Chiveramp-Endpoint"
	HeaderKey        = "Idempotency-Key"
	HeaderLastEvent  = "Last-Event-ID"
)

// Error codes that this package produces itself; the others come from the gateway.
const (
	CodeTooLarge    = "body-too-large"
	CodeBadJSON     = "bad-json"
	CodeBadHeader   = "bad-header"
	CodeBusy        = "too-many-requests"
	CodeNotFound    = "not-found"
	CodeEmptyAnswer = "empty-answer"
)

// Problem is the body of an error response.
type Problem struct {
	Error Detail `json:"error"`
}

// Detail describes the error. Retry is the delay before a retry in milliseconds, zero
// when a retry won't help.
type Detail struct {
	Code    string `json:"code"`
	Step    string `json:"step"`
	Message string `json:"message"`
	Retry   uint32 `json:"retry_ms,omitempty"`
	Outcome string `json:"outcome"`
	Request string `json:"request,omitempty"`
	// Type is always chiveramp_error. OpenAI clients need the field to show the error.
	Type string `json:"type"`
}

func newProblem(requestID string, end *peerpb.End) Problem {
	return Problem{Error: Detail{
		Code:    end.Code,
		Step:    end.Step,
		Message: end.Message,
		Retry:   end.Retry,
		Outcome: end.Outcome,
		Request: requestID,
		Type:    "chiveramp_error",
	}}
}

// httpStatus returns the HTTP status for an error code, as OpenAI clients expect it.
func httpStatus(code string) int {
	switch code {
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeBadJSON, CodeBadHeader, dispatch.CodeBody, dispatch.CodeRefused:
		return http.StatusBadRequest
	case dispatch.CodeProfile, dispatch.CodeModel, CodeNotFound:
		return http.StatusNotFound
	case dispatch.CodeKey, dispatch.CodePoison:
		return http.StatusUnprocessableEntity
	case dispatch.CodeRunning, dispatch.CodeUnknown:
		return http.StatusConflict
	case dispatch.CodeOverload, CodeBusy:
		return http.StatusTooManyRequests
	case dispatch.CodeLost, dispatch.CodeGone:
		return http.StatusBadGateway
	case dispatch.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// writeError writes an error response. No part of an answer may have been written before.
func writeError(w http.ResponseWriter, requestID string, end *peerpb.End) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, end.Outcome)
	if end.Retry > 0 {
		seconds := (time.Duration(end.Retry)*time.Millisecond + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(httpStatus(end.Code))
	_ = json.NewEncoder(w).Encode(newProblem(requestID, end))
}

// refuseBusy returns the end of a request for which the instance has no room now.
func refuseBusy(step, message string) *peerpb.End {
	end := refusal(CodeBusy, step, message)
	end.Retry = uint32(time.Second.Milliseconds())
	return end
}

// refusal returns the end of a request that was refused without running.
func refusal(code, step, message string) *peerpb.End {
	return &peerpb.End{Outcome: string(fleet.OutcomeNotRun), Code: code, Step: step, Message: message}
}
