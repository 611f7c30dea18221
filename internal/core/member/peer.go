// Package member implements group membership: one instance's view of which other
// instances are live or leaving, and which of them dispatches to an endpoint, watches
// the store or is a speaker, that is, exchanges totals with another data centre.
//
// A View has no clock, goroutine or socket: the owner passes in heartbeats, platform
// lists and the time, and acts on the results. It is not safe for concurrent use.
package member

import "github.com/chiveramp/chiveramp/internal/core/fleet"

// Peer describes one instance, as that instance reports itself.
type Peer struct {
	Instance    fleet.Instance
	Place       fleet.Place
	Incarnation string
	// Address is where other instances connect, host:port.
	Address string
	// Caller is where callers connect, host:port.
	Caller string
	// Revision is the profile document revision that the instance applies, zero
	// before the first.
	Revision uint64
	Leaving  bool
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
}

// State is the state that a view records for a peer.
type State string

// The states of a peer.
const (
	// StateListed: named by the platform's list, no heartbeat received yet.
	StateListed State = "listed"
	// StateLive: heartbeats arrive in time.
	StateLive State = "live"
	// StateSuspected: some heartbeats missed; gets no new work.
	StateSuspected State = "suspected"
	// StateLeaving: finishes its current work; gets no new work.
	StateLeaving State = "leaving"
	// StateDead: many heartbeats missed.
	StateDead State = "dead"
)

// Change is one state transition of a peer.
type Change struct {
	Instance    fleet.Instance
	Incarnation string
	From        State
	To          State
}
