// Package member keeps one instance's view of the other instances: who is live,
// who is leaving, and which of them dispatches an endpoint, watches the store or
// speaks to other data centres.
//
// A View has no clock, goroutine or socket: heartbeats, lists and the time go in,
// decisions come out. It is not safe for concurrent use.
package member

import "github.com/chiveramp/chiveramp/internal/core/fleet"

// Peer is one instance as it describes itself.
type Peer struct {
	Instance    fleet.Instance
	Place       fleet.Place
	Incarnation string
	// Address is where other instances connect, host:port.
	Address string
	// Caller is where callers connect, host:port.
	Caller string
	// Revision is the profile document in force there, zero before the first.
	Revision uint64
	Leaving  bool
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
}

// State is what a view believes of a peer.
type State string

// The states of a peer.
const (
	// StateListed: named by the platform's list, not heard yet.
	StateListed State = "listed"
	// StateLive: heard lately.
	StateLive State = "live"
	// StateSuspected: some heartbeats missed; gets no new work.
	StateSuspected State = "suspected"
	// StateLeaving: finishes what it has; gets no new work.
	StateLeaving State = "leaving"
	// StateDead: many heartbeats missed.
	StateDead State = "dead"
)

// Change is one transition that a Tick or an event caused.
type Change struct {
	Instance    fleet.Instance
	Incarnation string
	From        State
	To          State
}
