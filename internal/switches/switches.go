// Package switches turns single mechanisms off, so that tests can show what each
// of them is for. Builds without the tag "proofs" have every mechanism on.
package switches

import "fmt"

// Mechanism names one mechanism.
type Mechanism string

// The mechanisms that can be turned off.
const (
	// Resume asks the next dispatcher for the rest of an answer.
	Resume Mechanism = "resume"
	// Reconnect asks an endpoint for the rest of a cut stream.
	Reconnect Mechanism = "reconnect"
	// Continue goes on with an answer on another endpoint.
	Continue Mechanism = "continue"
	// Claim asks the store before a keyed request runs.
	Claim Mechanism = "claim"
	// Leaving keeps new work from endpoints that leave.
	Leaving Mechanism = "leaving"
	// Drain waits for requests in flight before a stop.
	Drain Mechanism = "drain"
	// Suspect refuses requests that kill endpoints.
	Suspect Mechanism = "suspect"
	// Affinity prefers endpoints that have cached the start of a prompt.
	Affinity Mechanism = "affinity"
	// Adapters prefers endpoints that have the adapter of a request.
	Adapters Mechanism = "adapters"
	// PullDocuments takes documents from other instances.
	PullDocuments Mechanism = "pull"
	// AtMostOnce keeps a request that may have run, and may not run twice, from other endpoints.
	AtMostOnce Mechanism = "once"
	// ConfirmedNotRun says that a request has not run only where that is known.
	ConfirmedNotRun Mechanism = "honest"
	// NewestConfig keeps the newest configuration in force.
	NewestConfig Mechanism = "forward"
)

// CrashPoint names a place at which tests make a process end.
type CrashPoint string

// The steps of a request that runs at most once.
const (
	CrashUnclaimed  CrashPoint = "unclaimed"
	CrashClaimed    CrashPoint = "claimed"
	CrashAnswered   CrashPoint = "answered"
	CrashUnrecorded CrashPoint = "unrecorded"
	CrashRecorded   CrashPoint = "recorded"
)

// CrashKey returns the idempotency key that makes one process end at a step.
func CrashKey(s CrashPoint, pid int) string {
	return fmt.Sprintf("die-%s-%d", s, pid)
}
