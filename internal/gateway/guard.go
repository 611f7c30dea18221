package gateway

import (
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

// CrashGuard finds the requests, and the parts of prompts, that crash endpoints.
type CrashGuard interface {
	// AnswerInterrupted records that an endpoint's answer to a request sent at sentAt broke off,
	// before or after one had begun, AnswerCompleted that a request was answered completely, with
	// status 2xx.
	AnswerInterrupted(t Target, id suspect.Identity, sentAt time.Time, begun bool)
	AnswerCompleted(id suspect.Identity)
	// PromptInterrupted records that the connection to an endpoint broke before an answer to a
	// request sent at sentAt had begun, PromptBegun that an answer has begun.
	PromptInterrupted(t Target, a *balance.Request, sentAt time.Time)
	PromptBegun(a *balance.Request)
	// CheckRun returns ErrPoison, ErrSuspect or ErrCrashingPart if a request may not be sent, and when it may be
	// repeated. ClaimRun does the same immediately before the request is sent: it takes the place of
	// the one request that may try a key again.
	CheckRun(a *balance.Request, id suspect.Identity) (time.Duration, error)
	ClaimRun(a *balance.Request, id suspect.Identity) (time.Duration, error)
}

// crashError is the error of a request refused because it may crash endpoints, with when it may be
// repeated.
type crashError struct {
	error
	wait time.Duration
}

func (r *crashError) Unwrap() error { return r.error }

func newCrashError(wait time.Duration, err error) error {
	if err == nil {
		return nil
	}
	return &crashError{error: err, wait: wait}
}

// mayCrash reports whether a request was refused because it may crash endpoints.
func mayCrash(err error) bool {
	return errors.Is(err, ErrCrashingPart) || errors.Is(err, ErrPoison) || errors.Is(err, ErrSuspect)
}

func (j *job) checkRun() error {
	return newCrashError(j.gateway.fleet.CheckRun(&j.query, j.identity))
}

func (a *attempt) claimRun() error {
	return newCrashError(a.job.gateway.fleet.ClaimRun(&a.query, a.job.identity))
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
