// Package switches turns off single mechanisms so that tests can show that each one is needed.
// In builds without the tag "proofs", every mechanism is on.
package switches

import "fmt"

// Mechanism is the name of a mechanism that tests can turn off.
type Mechanism string

// The mechanisms that can be turned off.
const (
	// Resume fetches the rest of an answer from the next dispatcher.
	Resume Mechanism = "resume"
	// Reconnect fetches the rest of an interrupted stream from the same endpoint.
	Reconnect Mechanism = "reconnect"
	// Continue continues an answer on another endpoint.
	Continue Mechanism = "continue"
	// Claim claims an idempotency key in the store before its request runs.
	Claim Mechanism = "claim"
	// Leaving sends no new requests to endpoints that are leaving.
	Leaving Mechanism = "leaving"
	// Drain waits for requests in flight before the process stops.
	Drain Mechanism = "drain"
	// Suspect refuses poison requests, which crash endpoints.
	Suspect Mechanism = "suspect"
	// Affinity prefers endpoints that have cached a prefix of the prompt.
	Affinity Mechanism = "affinity"
	// Adapters prefers endpoints that have loaded the request's adapter.
	Adapters Mechanism = "adapters"
	// PullDocuments fetches profile documents from other instances.
	PullDocuments Mechanism = "pull"
	// AtMostOnce does not retry a request on another endpoint if it may have run and must not
	// run twice.
	AtMostOnce Mechanism = "once"
	// ConfirmedNotRun reports a request as not run only if that is certain.
	ConfirmedNotRun Mechanism = "honest"
	// NewestConfig rejects a configuration that is older than the one in force.
	NewestConfig Mechanism = "forward"
	// Eras tells revisions, guards and leases from before a return of the store from an older copy
	// from later ones.
	Eras Mechanism = "eras"
	// AnsweredLeaving treats an endpoint as leaving once one of its answers says so.
	AnsweredLeaving Mechanism = "answered-leaving"
	// Spare sends nothing to an endpoint for as long as it has asked to be spared.
	Spare Mechanism = "spare"
	// Limit keeps to the requests a second that an endpoint has asked for.
	Limit Mechanism = "limit"
	// StreamVersion keeps a stream at the version of the software that began it.
	StreamVersion Mechanism = "version"
	// StreamRecords records in the store which version began a stream.
	StreamRecords Mechanism = "records"
	// Departure asks whether callers have left before their requests are sent.
	Departure Mechanism = "departure"
	// ShutdownCheck refuses requests that a planned stop would cut.
	ShutdownCheck Mechanism = "shutdown"
)

// CrashPoint names a point in the code at which tests can make a process crash.
type CrashPoint string

// Crash points in the handling of a request that runs at most once, in order.
const (
	CrashUnclaimed  CrashPoint = "unclaimed"
	CrashClaimed    CrashPoint = "claimed"
	CrashAnswered   CrashPoint = "answered"
	CrashUnrecorded CrashPoint = "unrecorded"
	CrashRecorded   CrashPoint = "recorded"
)

// CrashKey returns the idempotency key that makes the process crash at a crash point.
func CrashKey(s CrashPoint, pid int) string {
	return fmt.Sprintf("die-%s-%d", s, pid)
}
