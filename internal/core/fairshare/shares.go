package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// enoughRoom is the part of the requests that find room from which on none is over its share.
	enoughRoom = 0.95
	// senderHalfLife is the half-life of what is known of a workspace.
	senderHalfLife = 2 * time.Second
	// priorRate is how much the sums of a workspace count from which little is known: as if a few
	// requests more had come, at the median of all.
	priorRate = 2.0
	// forgetBelow is how many questions of a workspace are too few to tell anything of it.
	forgetBelow = 0.1
	// maxSenders bounds the workspaces of which the shares are kept.
	maxSenders = 64
)

// Shares divide the room of the endpoints of one service, as the instance that admits requests there
// sees it, among the workspaces whose requests come through all instances. While room is short, each
// workspace gets as many times its usual rate as all others (max-min): one that sends no more than
// that is served whole, and what it leaves goes to the others. The zero value knows no workspace. It
// is not safe for concurrent use.
type Shares struct {
	senders map[uint64]*sender
}

// sender is what questions tell of a workspace: sums over lately asked questions.
type sender struct {
	questions, recent, usual float64
	at                       time.Duration
	// credit is what is left to it of its share, in requests.
	credit float64
}

func (s *sender) decay(now time.Duration) {
	if now > s.at {
		factor := math.Exp2(-float64(now-s.at) / float64(senderHalfLife))
		s.questions *= factor
		s.recent *= factor
		s.usual *= factor
		s.at = now
	}
}

// Within records a request of a workspace, and reports whether it is within the workspace's share
// while only a part of all requests finds room.
//
// It answers a workspace that sends several times its usual through all instances at once. A burst
// of all workspaces together puts none over its share more than the others.
func (s *Shares) Within(now time.Duration, u Usage, room float64) bool {
	w := s.observe(now, u)
	if room >= enoughRoom {
		return true
	}
	parts := s.parts(now)
	served := 1.0
	if times := w.times(median(parts)); times > 0 {
		served = min(1, level(parts, room)/times)
	}
	w.credit = min(w.credit+served, 1)
	if w.credit < 1-1e-9 {
		return false
	}
	w.credit--
	return true
}

func (s *Shares) observe(now time.Duration, u Usage) *sender {
	if s.senders == nil {
		s.senders = make(map[uint64]*sender)
	}
	w := s.senders[u.Workspace]
	if w == nil {
		s.makeRoom(now)
		w = &sender{credit: 1}
		s.senders[u.Workspace] = w
	}
	w.decay(now)
	w.questions++
	w.recent += float64(u.Recent)
	w.usual += float64(u.Usual)
	return w
}

// makeRoom forgets the workspace that has asked least if there are too many.
func (s *Shares) makeRoom(now time.Duration) {
	if len(s.senders) < maxSenders {
		return
	}
	least, lowest := uint64(0), math.Inf(1)
	for id, w := range s.senders {
		w.decay(now)
		if w.questions < lowest || w.questions == lowest && id < least {
			least, lowest = id, w.questions
		}
	}
	delete(s.senders, least)
}

// part is how many times its usual rate a workspace sends, and that rate.
type part struct{ times, usual float64 }

// parts returns the parts of all workspaces, by how many times their usual rate they send.
func (s *Shares) parts(now time.Duration) []part {
	parts := make([]part, 0, len(s.senders))
	for id, w := range s.senders {
		if w.decay(now); w.questions < forgetBelow {
			delete(s.senders, id)
			continue
		}
		if w.usual > 0 {
			parts = append(parts, part{w.recent / w.usual, w.usual / w.questions})
		}
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Or(cmp.Compare(a.times, b.times), cmp.Compare(a.usual, b.usual)) })
	return parts
}

// times returns how many times its usual rate a workspace sends. The median of all counts for what is
// not known of it.
func (s *sender) times(median float64) float64 {
	return (s.recent + priorRate*median) / (s.usual + priorRate)
}

// median returns how many times its usual rate the workspace in the middle sends.
func median(parts []part) float64 {
	if len(parts) == 0 {
		return 0
	}
	return parts[(len(parts)-1)/2].times
}

// level returns how many times its usual rate each workspace may send, if a part of all that is sent
// finds room.
func level(parts []part, room float64) float64 {
	left, usual := 0.0, 0.0
	for _, p := range parts {
		left += room * p.times * p.usual
		usual += p.usual
	}
	for _, p := range parts {
		if p.times*usual >= left {
			return left / usual
		}
		left -= p.times * p.usual
		usual -= p.usual
	}
	return math.Inf(1)
}
