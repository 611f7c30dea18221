package fairshare

import (
	"math"
	"time"
)

const (
	// surgeTimes is how many times as much more than usual as the others a workspace sends when it
	// gives way to them.
	surgeTimes = 2
	// senderHalfLife is the half-life of what is known of a workspace.
	senderHalfLife = 2 * time.Second
	// priorRate is how much the sums of a workspace count from which little is known: as if some
	// requests more had come, in the proportion of the others.
	priorRate = 4.0
	// forgetBelow is the number of questions below which the record of a workspace is dropped.
	forgetBelow = 0.1
	// maxSenders bounds the workspaces of which the shares are kept.
	maxSenders = 64
)

// Shares finds which workspaces send several times their usual, as the instance that admits requests to
// endpoints of a service sees it from the questions of all instances. These get what the others leave.
// The zero value knows no workspace. It is not safe for concurrent use.
type Shares struct {
	senders map[uint64]*sender
}

// sender is the use of a workspace by the questions of the last seconds.
type sender struct {
	questions, recent, usual float64
	at                       time.Duration
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

// times returns how many times its usual rate a workspace sends. What the others do counts for what is
// not known of it.
func (s *sender) times(others float64) float64 {
	return (s.recent + priorRate*others) / (s.usual + priorRate)
}

// Surges records a request of a workspace, and reports whether it is to leave the room to others: its
// workspace sends several times its usual, and the others don't.
//
// It answers a workspace that sends several times its usual through all instances at once. In a burst
// of all workspaces together none gives way.
func (s *Shares) Surges(now time.Duration, u Usage) bool {
	w := s.observe(now, u)
	others := s.others(now, w)
	return others > 0 && w.times(others) > surgeTimes*others
}

func (s *Shares) observe(now time.Duration, u Usage) *sender {
	if s.senders == nil {
		s.senders = make(map[uint64]*sender)
	}
	w := s.senders[u.Workspace]
	if w == nil {
		s.makeRoom(now)
		w = &sender{}
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

// others returns how many times their usual rates all workspaces but one send together, 0 if that isn't
// known.
func (s *Shares) others(now time.Duration, except *sender) float64 {
	recent, usual := 0.0, 0.0
	for id, w := range s.senders {
		if w.decay(now); w.questions < forgetBelow {
			delete(s.senders, id)
			continue
		}
		if w != except {
			recent += w.recent / w.questions
			usual += w.usual / w.questions
		}
	}
	if usual <= 0 {
		return 0
	}
	return recent / usual
}
