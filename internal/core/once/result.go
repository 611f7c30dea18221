package once

import (
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Kind says what a claimant is to do.
type Kind string

// The kinds of verdicts.
const (
	// KindGranted: the claimant, and nobody else, may run the request once.
	KindGranted Kind = "granted"
	// KindRunning: another claimant holds the key and may still be at it.
	KindRunning Kind = "running"
	// KindRecorded: the request ran; its answer is in the verdict.
	KindRecorded Kind = "recorded"
	// KindUnknown: the holder is gone; whether the request ran is not known.
	KindUnknown Kind = "unknown"
	// KindRefused: the request was not run and the key is free to be sent again.
	KindRefused Kind = "refused"
	// KindFree: the record found may be replaced by a new claim.
	KindFree Kind = "free"
)

// Result is the result of a claim.
type Result struct {
	Kind Kind
	// Claim is the unique id under which a granted request runs.
	Claim string
	// Answer is the recorded answer.
	Answer Answer
	// RetryAfter is when another try is worth it.
	RetryAfter time.Duration
}

// Outcome is what a caller is told of its request, empty for a granted claim.
func (v Result) Outcome() fleet.Outcome {
	switch v.Kind {
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

// Refused is the verdict of a claim that the store could not take.
func Refused(retry time.Duration) Result {
	return Result{Kind: KindRefused, RetryAfter: retry}
}

// Evaluate decides what a stored record means for a claimant. The age of the record
// only tells "running" from "unknown" in the answer; neither is ever run again.
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
