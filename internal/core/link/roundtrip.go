package link

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// roundTrip is what is known of the heartbeats to one region.
type roundTrip struct {
	answered   time.Time     // when the newest heartbeat that was answered was sent
	took       time.Duration // how long it took
	unanswered time.Time     // when the first heartbeat since was sent, zero if none was
}

// RoundTrips measures how long heartbeats to other regions and their answers wait. Unlike a Tracker it
// shows a queue that grows faster than heartbeats arrive: one that waits counts before it is answered. It
// is not safe for concurrent use.
type RoundTrips struct{ regions map[fleet.Region]*roundTrip }

// NewRoundTrips returns a measure without heartbeats.
func NewRoundTrips() *RoundTrips { return &RoundTrips{regions: make(map[fleet.Region]*roundTrip)} }

// Sent records a heartbeat to an instance of a region.
func (r *RoundTrips) Sent(now time.Time, region fleet.Region) {
	t := r.regions[region]
	if t == nil {
		t = new(roundTrip)
		r.regions[region] = t
	}
	if t.unanswered.IsZero() {
		t.unanswered = now
	}
}

// Answered records the answer to a heartbeat that was sent at a time.
func (r *RoundTrips) Answered(now, sent time.Time, region fleet.Region) {
	t := r.regions[region]
	if t == nil || sent.Before(t.answered) {
		return
	}
	t.answered, t.took = sent, now.Sub(sent)
	if !t.unanswered.After(sent) {
		t.unanswered = time.Time{}
	}
}

// Longest returns how long a round trip to a region takes at least: as long as the newest that has ended,
// or the oldest that has not. What takes longer than MaxAllowance is lost rather than queued.
func (r *RoundTrips) Longest(now time.Time, region fleet.Region) time.Duration {
	t, longest := r.regions[region], time.Duration(0)
	if t == nil {
		return 0
	}
	if now.Sub(t.answered) <= MaxAllowance {
		longest = t.took
	}
	if waits := now.Sub(t.unanswered); !t.unanswered.IsZero() && waits <= MaxAllowance {
		longest = max(longest, waits)
	}
	return longest
}

// Stalled reports whether a heartbeat without an answer waits on its own connection rather than on the
// link: a later one to its region was answered, or none for longer than a queue lasts.
func (r *RoundTrips) Stalled(now, sent time.Time, region fleet.Region) bool {
	t := r.regions[region]
	return t == nil || t.answered.After(sent) || !t.unanswered.IsZero() && now.Sub(t.unanswered) > MaxAllowance
}
