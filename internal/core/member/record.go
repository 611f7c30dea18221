package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// record is what a view keeps of one peer.
type record struct {
	peer  Peer
	state State
	// lastReceived is when the last news of this incarnation came.
	lastReceived time.Time
	// needsReply says that the peer came back and hasn't got a heartbeat since.
	needsReply bool
	// heartbeatGap is the time between the last two heartbeats heard.
	heartbeatGap time.Duration
	// suspectedBy are the instances that hear the peer no more, with the last sequence
	// that they heard.
	suspectedBy map[fleet.Instance]uint64
	// listed says that the platform's latest list names the peer as live.
	listed bool
	// hash is the peer's share of every rendezvous score.
	hash uint64
	// leaving are incarnations that were seen leaving, retired those replaced by a newer one.
	leaving []string
	retired []string
}

func newRecord(p Peer) *record {
	return &record{peer: p, state: StateListed, hash: xxhash.Sum64String(string(p.Instance))}
}

// appendRecent appends to a short list without repeats, dropping the oldest.
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

// isStale says whether news of an incarnation is older than what is known.
func (r *record) isStale(p Peer) bool {
	if slices.Contains(r.retired, p.Incarnation) {
		return true
	}
	return r.state != StateListed && p.Incarnation == r.peer.Incarnation && p.Sequence < r.peer.Sequence
}

// replace takes news of a peer, retiring the incarnation it supersedes.
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

// reachableState is the state of a peer that was heard just now.
func (r *record) reachableState() State {
	if r.peer.Leaving {
		return StateLeaving
	}
	return StateLive
}
