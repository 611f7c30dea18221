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

// mechanismSticky is the only mechanism of the leaving model.
const mechanismSticky = "sticky"

const (
	// maxUpdates bounds the updates that one incarnation sends.
	maxUpdates          = 3
	maxPeerStarts       = 2
	leavingTick         = 4 * time.Second // longer than the time after which a peer counts as dead, shorter than until it is removed
	maxLeavingTicks     = 3
	maxRefusals         = 1
	watchedPeer         = fleet.Instance("b")
	watchingPeer        = fleet.Instance("a")
	leavingRegion       = fleet.Region("r1")
	leavingLocalCentre  = fleet.DataCentre("d1")
	leavingRemoteCentre = fleet.DataCentre("d2")
)

var errLeavingUndone = errors.New("a leaving incarnation is treated as live again")

func leavingModel() Model {
	return Model{
		Name:          "leaving",
		Promise:       "a leaving instance gets no new work until it restarts",
		CodeUnderTest: "internal/core/member, View",
		Mechanisms:    []Mechanism{{mechanismSticky, "an incarnation stays marked as leaving, whatever is received later"}},
		Start:         func(disabled string) explore.State { return leavingStart{disabled} },
	}
}

// leavingStart is the state before the choice whether both instances run in one data centre.
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

// leavingState is the membership view of one instance and all updates that another, the
// watched peer, has sent. Sent updates are never removed: each may arrive late, out of
// order and more than once.
type leavingState struct {
	view *member.View
	peer member.Peer
	// starts counts the peer's incarnations, sentUpdates the updates of the current one.
	starts      int
	sentUpdates int
	updates     []member.Peer
	// announcedLeaving are the incarnations that the view has received as leaving.
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

// watchedPeerSteps adds the steps of the watched instance itself.
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

// deliverySteps adds the paths by which an update may reach the view: from the peer
// itself, from the platform's list and through another data centre.
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
