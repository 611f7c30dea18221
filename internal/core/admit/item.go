// Package admit keeps the queue of one endpoint: who starts, who waits and who is refused.
//
// It has no clock and no goroutine. Events go in with their time, verdicts come out.
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
	// Model is the model asked for; it matters where several share the endpoint.
	Model   fleet.Model
	Arrived time.Time
	// Deadline is when the first token is due; zero when the request has no target.
	Deadline time.Time
	// PromptTokens is the length of the prompt that the endpoint must read, in tokens.
	PromptTokens int
	// MaxTokens is the length of the answer at most, in tokens.
	MaxTokens int
	// MaxShare is the largest share of the slots that the profile may take; zero for no bound.
	MaxShare float64
	// Suspect marks a request that was running when an endpoint died.
	Suspect bool
}

// State says what became of an offered request.
type State string

// The states of an offered request.
const (
	StateStart   State = "start"
	StateQueued  State = "queued"
	StateRefused State = "refused"
)

// Code says why a request was refused.
type Code string

// The codes of a refusal.
const (
	// CodeLate: the first token cannot come by the deadline.
	CodeLate Code = "late"
	// CodeFull: the queue of the rank is full.
	CodeFull Code = "full"
	// CodeBreaker: the endpoint fails or throttles, nothing is sent to it for a while.
	CodeBreaker Code = "breaker"
	// CodeDuplicate: a request with this ID is queued or running.
	CodeDuplicate Code = "duplicate"
)

// Decision answers an Offer. A refused request was not run.
type Decision struct {
	State State
	Code  Code
	// RetryAfter is the time before another try is worth it; zero unless refused.
	RetryAfter time.Duration
}

// Refusal is a queued request that is given up.
type Refusal struct {
	Item     Item
	Decision Decision
}

// EndState says how a run ended at the endpoint.
type EndState string

// The ways in which a run ends.
const (
	EndComplete  EndState = "whole"
	EndCancelled EndState = "cancelled"
	EndFailed    EndState = "failed"
	EndThrottled EndState = "throttled"
)

// End tells the queue how a run ended.
type End struct {
	State EndState
	// RetryAfter is the wait that a throttling endpoint asked for; zero when it named none.
	RetryAfter time.Duration
}
