package models

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/explore"
)

// offSticky is the mechanism of leaving.
const offSticky = "sticky"

const (
	// newsKept bounds the news that one incarnation sends.
	newsKept       = 3
	peerStarts     = 2
	leavingTick    = 4 * time.Second // more than it takes to be dead, less than to be forgotten
	leavingTicks   = 3
	refusedAtMost  = 1
	watchedPeer    = fleet.Instance("b")
	watchingPeer   = fleet.Instance("a")
	leavingRegion  = fleet.Region("r1")
	leavingCentre  = fleet.DataCentre("d1")
	leavingForeign = fleet.DataCentre("d2")
)

var errUndone = errors.New("an incarnation that leaves takes new work again")

func leaving() Model {
	return Model{
		Name:       "leaving",
		Promise:    "who leaves gets nothing new until it starts again",
		Drives:     "internal/core/member, View",
		Mechanisms: []Mechanism{{offSticky, "leaving is kept for an incarnation, whatever is heard later"}},
		Start:      func(off string) explore.State { return leavingStart{off} },
	}
}

// leavingStart lets the other instance stand in the own data centre or in another.
type leavingStart struct {
	off string
}

// Key implements explore.State.
func (leavingStart) Key() string { return "start" }

// Check implements explore.State.
func (leavingStart) Check() error { return nil }

// Steps implements explore.State.
func (l leavingStart) Steps() []explore.Step {
	var steps []explore.Step
	for _, centre := range []fleet.DataCentre{leavingCentre, leavingForeign} {
		steps = append(steps, explore.Step{
			Name: fmt.Sprintf("b starts in %s, a in %s", centre, leavingCentre),
			Take: func() explore.State { return newLeaving(l.off, centre) },
		})
	}
	return steps
}

// leavingState is the view of one instance and all that was ever said of another. News
// stays on its way for good: it may arrive late, out of order and more than once.
type leavingState struct {
	view *member.View
	peer member.Peer
	// starts counts the peer's incarnations, sent the news of the present one.
	starts int
	sent   int
	news   []member.Peer
	// told are incarnations that the view was told are leaving.
	told    []string
	now     time.Time
	ticks   int
	refused int
}

func newLeaving(off string, centre fleet.DataCentre) *leavingState {
	var opts []member.Option
	if off == offSticky {
		opts = append(opts, member.WithoutStickyLeaving())
	}
	at := func(instance fleet.Instance, dc fleet.DataCentre) member.Peer {
		return member.Peer{
			Instance: instance, Incarnation: string(instance) + "-1", Address: string(instance),
			Place: fleet.Place{Region: leavingRegion, DataCentre: dc},
		}
	}
	return &leavingState{
		view: member.New(at(watchingPeer, leavingCentre), opts...), peer: at(watchedPeer, centre),
		starts: 1, now: modelTime,
	}
}

// Key implements explore.State.
func (s *leavingState) Key() string {
	return fmt.Sprint(s.view.Fingerprint(), s.peer, s.starts, s.sent, s.news, s.told, s.ticks, s.refused)
}

// Check implements explore.State.
func (s *leavingState) Check() error {
	for _, p := range s.view.Live("") {
		if slices.Contains(s.told, p.Incarnation) {
			return fmt.Errorf("%w: %s", errUndone, p.Incarnation)
		}
	}
	return nil
}

// Steps implements explore.State.
func (s *leavingState) Steps() []explore.Step {
	var steps []explore.Step
	add := func(name string, do func(s *leavingState)) {
		steps = append(steps, explore.Step{Name: name, Take: func() explore.State {
			next := *s
			next.view = s.view.Clone()
			next.news = slices.Clone(s.news)
			next.told = slices.Clone(s.told)
			do(&next)
			return &next
		}})
	}
	s.own(add)
	for _, p := range s.news {
		s.arrivals(p, add)
	}
	if s.ticks < leavingTicks {
		add(fmt.Sprintf("%s pass at a", leavingTick), func(s *leavingState) {
			s.ticks++
			s.now = s.now.Add(leavingTick)
			s.view.Tick(s.now)
		})
	}
	if state, _ := s.view.State(watchedPeer); state == member.StateLive && s.refused < refusedAtMost {
		add("a is refused by b", func(s *leavingState) {
			s.refused++
			s.view.Unreachable(watchedPeer)
		})
	}
	return steps
}

// own adds what the watched instance itself does.
func (s *leavingState) own(add func(string, func(*leavingState))) {
	if s.sent < newsKept {
		add("b sends its news", func(s *leavingState) {
			s.sent++
			s.peer.Sequence++
			s.news = append(s.news, s.peer)
		})
	}
	if !s.peer.Leaving {
		add("b leaves", func(s *leavingState) { s.peer.Leaving = true })
	}
	if s.starts < peerStarts {
		add("b starts again", func(s *leavingState) {
			s.starts++
			s.sent = 0
			s.peer.Leaving, s.peer.Sequence = false, 0
			s.peer.Incarnation = fmt.Sprintf("%s-%d", watchedPeer, s.starts)
		})
	}
}

// arrivals adds the ways on which news may reach the view.
func (s *leavingState) arrivals(p member.Peer, add func(string, func(*leavingState))) {
	word := strings.Join([]string{p.Incarnation, "live"}, " ")
	if p.Leaving {
		word = p.Incarnation + " leaving"
	}
	heard := func(s *leavingState) {
		if p.Leaving && !slices.Contains(s.told, p.Incarnation) {
			s.told = append(s.told, p.Incarnation)
		}
	}
	add(fmt.Sprintf("a hears from b: %s, number %d", word, p.Sequence), func(s *leavingState) {
		s.view.Observe(s.now, p)
		heard(s)
	})
	add("a reads the platform's list: "+word, func(s *leavingState) {
		listed := p
		listed.Sequence = 0
		s.view.ApplyList(s.now, []member.Peer{listed})
		heard(s)
	})
	if p.Place.DataCentre != leavingCentre {
		add(fmt.Sprintf("another data centre tells a: %s, number %d", word, p.Sequence), func(s *leavingState) {
			s.view.ObserveRemote(s.now, []member.Peer{p})
			heard(s)
		})
	}
}
