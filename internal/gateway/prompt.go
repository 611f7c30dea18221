package gateway

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
)

// PromptGuard finds the parts of prompts that crash endpoints.
type PromptGuard interface {
	// PromptInterrupted records that the connection to an endpoint broke before an answer to a
	// request sent at sentAt had begun, PromptBegun that an answer has begun.
	PromptInterrupted(t Target, a *balance.Request, sentAt time.Time)
	PromptBegun(a *balance.Request)
	// CheckPrompt returns ErrCrashingPart if a request may not be sent because of a part of its
	// prompt, and when it may be repeated. ClaimPrompt does the same immediately before the
	// request is sent: it takes the place of the one request that may try a part again.
	CheckPrompt(a *balance.Request) (time.Duration, error)
	ClaimPrompt(a *balance.Request) (time.Duration, error)
}

// promptError is the error of a request refused for a part of its prompt, with when it may be
// repeated.
type promptError struct {
	error
	wait time.Duration
}

func (r *promptError) Unwrap() error { return r.error }

func newPromptError(wait time.Duration, err error) error {
	if err == nil {
		return nil
	}
	return &promptError{error: err, wait: wait}
}

func (j *job) checkPrompt() error { return newPromptError(j.gateway.fleet.CheckPrompt(&j.query)) }

func (a *attempt) claimPrompt() error {
	return newPromptError(a.job.gateway.fleet.ClaimPrompt(&a.query))
}

// promptBegun records that the endpoint has begun an answer.
func (a *attempt) promptBegun() {
	if !a.begun {
		a.begun = true
		a.job.gateway.fleet.PromptBegun(&a.query)
	}
}

// answerBegun reports whether this endpoint or one before has begun an answer.
func (a *attempt) answerBegun() bool { return a.begun || a.job.delivery.begun() }

// promptInterrupted records that the endpoint broke off, unless an answer had begun.
func (a *attempt) promptInterrupted() {
	if !a.answerBegun() {
		a.job.gateway.fleet.PromptInterrupted(a.target, &a.query, a.sentAt)
	}
}
