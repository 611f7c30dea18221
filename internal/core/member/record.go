package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// record is the state that a view has recorded of one peer.
type record struct {
	peer  Peer
	state State
	// lastReceived is when the last update of this incarnation arrived.
	lastReceived time.Time
	// needsReply is set when the peer became reachable and has not been sent a
	// heartbeat since.
	needsReply bool
	// heartbeatGap is the time between the last two heartbeats received.
	heartbeatGap time.Duration
	// suspectedBy maps each instance that no longer receives the peer's heartbeats to
	// the last sequence that it received.
	suspectedBy map[fleet.Instance]uint64
	// listed is set when the platform's latest list names the peer as live.
	listed bool
	// hash is the hash of the peer's name, an input of its rendezvous scores.
	hash uint64
	// leaving holds incarnations that were reported as leaving, retired those that a
	// newer incarnation has replaced.
	leaving []string
	retired []string
}

func newRecord(p Peer) *record {
	return &record{peer: p, state: StateListed, hash: xxhash.Sum64String(string(p.Instance))}
}

// appendRecent appends to a list without duplicates and drops the oldest entry beyond
// maxRetired.
func appendRecent(list []string, incarnation string) []string {
	if slices.Contains(list, incarnation) {
		return list
	}
	list = append(list, incarnation)
	if len(list) > maxRetired {
		list = slices.Delete(list, 0, 1)
	}
	return list
}

// isStale reports whether an update is older than the recorded one.
func (r *record) isStale(p Peer) bool {
	if slices.Contains(r.retired, p.Incarnation) {
		return true
	}
	return r.state != StateListed && p.Incarnation == r.peer.Incarnation && p.Sequence < r.peer.Sequence
}

// replace stores an update of a peer and retires the incarnation that it supersedes.
// With sticky set, an incarnation that was once leaving stays leaving.
func (r *record) replace(p Peer, sticky bool) {
	if p.Incarnation != r.peer.Incarnation && r.state != StateListed {
		r.retired = appendRecent(r.retired, r.peer.Incarnation)
	}
	if sticky && slices.Contains(r.leaving, p.Incarnation) {
		p.Leaving = true
	}
	if p.Leaving {
		r.leaving = appendRecent(r.leaving, p.Incarnation)
	}
	r.peer = p
}

// reachableState returns the state of a peer whose update has just arrived.
func (r *record) reachableState() State {
	if r.peer.Leaving {
		return StateLeaving
	}
	return StateLive
}
