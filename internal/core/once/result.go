package once

import (
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Kind is the kind of result of a claim.
type Kind string

// The kinds of results.
const (
	// KindGranted: the claimant, and no other, may run the request once.
	KindGranted Kind = "granted"
	// KindRunning: another claimant holds the key and may still be running the request.
	KindRunning Kind = "running"
	// KindRecorded: the request ran; the result contains its answer.
	KindRecorded Kind = "recorded"
	// KindUnknown: the deadline of the holder has passed; it is unknown whether the request
	// ran.
	KindUnknown Kind = "unknown"
	// KindRefused: the request was not run and may be sent again with the same key.
	KindRefused Kind = "refused"
	// KindFree: the record found may be replaced by a new claim.
	KindFree Kind = "free"
)

// Result is the result of a claim.
type Result struct {
	Kind Kind
	// Claim is the unique ID of a granted claim.
	Claim string
	// Answer is the recorded answer.
	Answer Answer
	// RetryAfter is how long to wait before the next attempt.
	RetryAfter time.Duration
}

// Outcome returns the outcome to report to the caller, empty if the claim is granted or the
// key is free.
func (r Result) Outcome() fleet.Outcome {
	switch r.Kind {
	case KindRecorded:
		return fleet.OutcomeRan
	case KindRefused:
		return fleet.OutcomeNotRun
	case KindRunning, KindUnknown:
		return fleet.OutcomeUnknown
	default:
		return ""
	}
}

// Refused returns the result of a claim that the store could not record.
func Refused(retry time.Duration) Result {
	return Result{Kind: KindRefused, RetryAfter: retry}
}

// Evaluate decides what a stored record means for a claimant. The age of the record only
// decides between "running" and "unknown"; in both cases the request is not run again.
func Evaluate(now time.Time, claim string, r Request, stored Record) (Result, error) {
	if stored.Claim == claim && stored.State == StateRunning {
		return Result{Kind: KindGranted, Claim: claim}, nil
	}
	if stored.State == StateReleased {
		return Result{Kind: KindFree}, nil
	}
	if stored.Fingerprint != r.Fingerprint {
		return Result{}, fmt.Errorf("claimed by request %s: %w", stored.Request, ErrReused)
	}
	switch {
	case stored.State == StateFinished && stored.Answer != nil:
		return Result{Kind: KindRecorded, Answer: *stored.Answer}, nil
	case now.After(stored.Deadline.Add(clockSkewMargin)):
		return Result{Kind: KindUnknown}, nil
	default:
		return Result{Kind: KindRunning, RetryAfter: runningRetryAfter}, nil
	}
}
