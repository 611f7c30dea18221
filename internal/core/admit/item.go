// Package admit implements the admission queue of one endpoint: it decides which requests
// start, wait or are refused.
//
// It uses no clock and no goroutine. Callers pass events with their time and get
// decisions back.
package admit

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Item is one request for the endpoint.
type Item struct {
	ID      string
	Rank    fleet.Rank
	Profile fleet.Profile
	// Model is the requested model; several models may share the endpoint.
	Model   fleet.Model
	Arrived time.Time
	// Deadline is when the first token is due; zero when the request has no target.
	Deadline time.Time
	// PromptTokens is the number of prompt tokens that the endpoint must process.
	PromptTokens int
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int
	// MaxShare is the maximum share of the slots for the profile; zero for no limit.
	MaxShare float64
	// Suspect marks a request that was running when an endpoint crashed.
	Suspect bool
}

// State is the result of offering a request to the queue.
type State string

// The states of an offered request.
const (
	StateStart   State = "start"
	StateQueued  State = "queued"
	StateRefused State = "refused"
)

// Code is the reason for a refusal.
type Code string

// The codes of a refusal.
const (
	// CodeLate: the first token cannot arrive by the deadline.
	CodeLate Code = "late"
	// CodeFull: the queue of the rank is full.
	CodeFull Code = "full"
	// CodeBreaker: the circuit breaker is open because the endpoint fails or throttles.
	CodeBreaker Code = "breaker"
	// CodeDuplicate: a request with this ID is already queued or running.
	CodeDuplicate Code = "duplicate"
)

// Decision is the result of an Offer. A refused request was not run.
type Decision struct {
	State State
	Code  Code
	// RetryAfter is how long the caller should wait before a retry; zero unless refused.
	RetryAfter time.Duration
}

// Refusal is a queued request that was removed without being run.
type Refusal struct {
	Item     Item
	Decision Decision
}

// EndState is how a run ended at the endpoint.
type EndState string

// The end states of a run.
const (
	EndComplete  EndState = "whole"
	EndCancelled EndState = "cancelled"
	EndFailed    EndState = "failed"
	EndThrottled EndState = "throttled"
)

// End describes how a run ended.
type End struct {
	State EndState
	// RetryAfter is the wait that a throttling endpoint requested; zero when it gave none.
	RetryAfter time.Duration
}
