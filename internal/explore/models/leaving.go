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

// mechanismSticky is the mechanism of leaving.
const mechanismSticky = "sticky"

const (
	// maxUpdates bounds the news that one incarnation sends.
	maxUpdates          = 3
	maxPeerStarts       = 2
	leavingTick         = 4 * time.Second // more than it takes to be dead, less than to be forgotten
	maxLeavingTicks     = 3
	maxRefusals         = 1
	watchedPeer         = fleet.Instance("b")
	watchingPeer        = fleet.Instance("a")
	leavingRegion       = fleet.Region("r1")
	leavingLocalCentre  = fleet.DataCentre("d1")
	leavingRemoteCentre = fleet.DataCentre("d2")
)

var errLeavingUndone = errors.New("an incarnation that leaves takes new work again")

func leavingModel() Model {
	return Model{
		Name:          "leaving",
		Promise:       "who leaves gets nothing new until it starts again",
		CodeUnderTest: "internal/core/member, View",
		Mechanisms:    []Mechanism{{mechanismSticky, "leaving is kept for an incarnation, whatever is heard later"}},
		Start:         func(disabled string) explore.State { return leavingStart{disabled} },
	}
}

// leavingStart lets the other instance stand in the own data centre or in another.
type leavingStart struct {
	disabled string
}

// Key implements explore.State.
func (leavingStart) Key() string { return "start" }

// Check implements explore.State.
func (leavingStart) Check() error { return nil }

// Steps implements explore.State.
func (l leavingStart) Steps() []explore.Step {
	var steps []explore.Step
	for _, centre := range []fleet.DataCentre{leavingLocalCentre, leavingRemoteCentre} {
		steps = append(steps, explore.Step{
			Name: fmt.Sprintf("b starts in %s, a in %s", centre, leavingLocalCentre),
			Take: func() explore.State { return newLeaving(l.disabled, centre) },
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
	starts      int
	sentUpdates int
	updates     []member.Peer
	// announcedLeaving are incarnations that the view was told are leaving.
	announcedLeaving []string
	now              time.Time
	ticks            int
	refusals         int
}

func newLeaving(disabled string, centre fleet.DataCentre) *leavingState {
	var opts []member.Option
	if disabled == mechanismSticky {
		opts = append(opts, member.WithoutStickyLeaving())
	}
	at := func(instance fleet.Instance, dc fleet.DataCentre) member.Peer {
		return member.Peer{
			Instance: instance, Incarnation: string(instance) + "-1", Address: string(instance),
			Place: fleet.Place{Region: leavingRegion, DataCentre: dc},
		}
	}
	return &leavingState{
		view: member.New(at(watchingPeer, leavingLocalCentre), opts...), peer: at(watchedPeer, centre),
		starts: 1, now: modelTime,
	}
}

// Key implements explore.State.
func (s *leavingState) Key() string {
	return fmt.Sprint(s.view.Fingerprint(), s.peer, s.starts, s.sentUpdates, s.updates, s.announcedLeaving, s.ticks, s.refusals)
}

// Check implements explore.State.
func (s *leavingState) Check() error {
	for _, p := range s.view.Live("") {
		if slices.Contains(s.announcedLeaving, p.Incarnation) {
			return fmt.Errorf("%w: %s", errLeavingUndone, p.Incarnation)
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
			next.updates = slices.Clone(s.updates)
			next.announcedLeaving = slices.Clone(s.announcedLeaving)
			do(&next)
			return &next
		}})
	}
	s.watchedPeerSteps(add)
	for _, p := range s.updates {
		s.deliverySteps(p, add)
	}
	if s.ticks < maxLeavingTicks {
		add(fmt.Sprintf("%s pass at a", leavingTick), func(s *leavingState) {
			s.ticks++
			s.now = s.now.Add(leavingTick)
			s.view.Tick(s.now)
		})
	}
	if state, _ := s.view.State(watchedPeer); state == member.StateLive && s.refusals < maxRefusals {
		add("a is refused by b", func(s *leavingState) {
			s.refusals++
			s.view.Unreachable(watchedPeer)
		})
	}
	return steps
}

// watchedPeerSteps adds what the watched instance itself does.
func (s *leavingState) watchedPeerSteps(add func(string, func(*leavingState))) {
	if s.sentUpdates < maxUpdates {
		add("b sends its news", func(s *leavingState) {
			s.sentUpdates++
			s.peer.Sequence++
			s.updates = append(s.updates, s.peer)
		})
	}
	if !s.peer.Leaving {
		add("b leaves", func(s *leavingState) { s.peer.Leaving = true })
	}
	if s.starts < maxPeerStarts {
		add("b starts again", func(s *leavingState) {
			s.starts++
			s.sentUpdates = 0
			s.peer.Leaving, s.peer.Sequence = false, 0
			s.peer.Incarnation = fmt.Sprintf("%s-%d", watchedPeer, s.starts)
		})
	}
}

// deliverySteps adds the ways on which news may reach the view.
func (s *leavingState) deliverySteps(p member.Peer, add func(string, func(*leavingState))) {
	summary := strings.Join([]string{p.Incarnation, "live"}, " ")
	if p.Leaving {
		summary = p.Incarnation + " leaving"
	}
	recordLeaving := func(s *leavingState) {
		if p.Leaving && !slices.Contains(s.announcedLeaving, p.Incarnation) {
			s.announcedLeaving = append(s.announcedLeaving, p.Incarnation)
		}
	}
	add(fmt.Sprintf("a hears from b: %s, number %d", summary, p.Sequence), func(s *leavingState) {
		s.view.Observe(s.now, p)
		recordLeaving(s)
	})
	add("a reads the platform's list: "+summary, func(s *leavingState) {
		listed := p
		listed.Sequence = 0
		s.view.ApplyList(s.now, []member.Peer{listed})
		recordLeaving(s)
	})
	if p.Place.DataCentre != leavingLocalCentre {
		add(fmt.Sprintf("another data centre tells a: %s, number %d", summary, p.Sequence), func(s *leavingState) {
			s.view.ObserveRemote(s.now, []member.Peer{p})
			recordLeaving(s)
		})
	}
}
