package totals

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

const (
	randomSteps = 80
	fleetSize   = 6
	modelCount  = 50 // a snapshot every 2 s
)

var remotePlace = fleet.Place{Region: "r2", DataCentre: "d2"}

func instance(name, incarnation string) member.Peer {
	return member.Peer{Instance: fleet.Instance(name), Place: remotePlace, Incarnation: incarnation, Address: name + ":7000", Caller: name + ":8000"}
}

// sendingSite simulates a data centre with two senders and records every state sent.
type sendingSite struct {
	state    State
	senders  []*Sender
	sent     map[string]State // by snapshot and delta number
	inFlight []Message
	starts   int
	applied  map[Source]Message // the latest delta that the tracker applied
}

func newSendingSite() *sendingSite {
	site := &sendingSite{sent: map[string]State{}, applied: map[Source]Message{}, state: State{Place: remotePlace}}
	for i := range modelCount {
		site.state.Models = append(site.state.Models, Sum{Model: fmt.Sprintf("m%02d", i), Copies: 1})
	}
	for i := range fleetSize {
		site.state.Instances = append(site.state.Instances, instance(fmt.Sprint("i", i), "1"))
	}
	site.senders = []*Sender{NewSender(site.state.Instances[0]), NewSender(site.state.Instances[1])}
	return site
}

// change draws one change of the data centre.
func (s *sendingSite) change(t *rapid.T) {
	i := rapid.IntRange(0, len(s.state.Instances)-1).Draw(t, "instance")
	m := rapid.IntRange(0, modelCount-1).Draw(t, "model")
	instances := append([]member.Peer(nil), s.state.Instances...)
	models := append([]Sum(nil), s.state.Models...)
	s.starts++
	switch rapid.SampledFrom([]string{"restart", "leave", "join", "revision", "copies", "none"}).Draw(t, "change") {
	case "restart":
		instances[i].Incarnation, instances[i].Revision = fmt.Sprint(s.starts), 0
	case "leave":
		if len(instances) > 1 {
			instances = append(instances[:i], instances[i+1:]...)
		}
	case "join":
		instances = append(instances, instance(fmt.Sprintf("j%03d", s.starts), "1"))
	case "revision":
		instances[i].Revision = uint64(s.starts)
	case "copies":
		models[m].Copies = rapid.Uint32Range(0, 2).Draw(t, "copies")
	}
	s.state.Instances, s.state.Models = instances, models
}

// send puts a sender's messages about the current state in flight.
func (s *sendingSite) send(now time.Time, sender int, known ID) {
	for _, m := range s.senders[sender].Messages(now, s.state, known) {
		if !m.IsSnapshot() {
			s.sent[fmt.Sprint(m.Base, m.Number)] = s.state
		}
		s.inFlight = append(s.inFlight, m)
	}
}

func reachable(s State) map[string]bool {
	list := map[string]bool{}
	for _, m := range s.Models {
		list[m.Model] = m.Copies > 0
	}
	return list
}

func receivedReachable(now time.Time, t *Tracker) map[string]bool {
	list := map[string]bool{}
	for i := range modelCount {
		name := fmt.Sprintf("m%02d", i)
		list[name] = len(t.Locations(now, name, time.Hour)) > 0
	}
	return list
}

// Messages of two senders are lost, repeated and reordered. After each applied delta the
// tracker must show exactly a state that was sent, and once messages arrive again it must
// converge on the current state.
func TestDeltasNeverLeadToAWrongState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site, tracker, now := newSendingSite(), NewTracker(), coretest.Start
		for range randomSteps {
			now = now.Add(500 * time.Millisecond)
			site.change(t)
			sender := rapid.IntRange(0, 1).Draw(t, "teller")
			known := tracker.KnownSnapshot(remotePlace.DataCentre, site.senders[sender].LatestSnapshot().Source)
			site.send(now, sender, known)
			for len(site.inFlight) > 3 {
				site.deliver(t, now, tracker)
			}
		}
		site.inFlight = nil
		for range 2 {
			site.send(now, 0, tracker.KnownSnapshot(remotePlace.DataCentre, site.senders[0].LatestSnapshot().Source))
			for _, m := range site.inFlight {
				tracker.Receive(now, m)
			}
		}
		require.Equal(t, site.state.Instances, tracker.Instances(remotePlace.DataCentre))
		require.Equal(t, reachable(site.state), receivedReachable(now, tracker))
	})
}

func (s *sendingSite) deliver(t *rapid.T, now time.Time, tracker *Tracker) {
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	m := s.inFlight[i]
	delivery := rapid.SampledFrom([]string{"delivered", "delivered", "lost", "repeated"}).Draw(t, "fate")
	if delivery != "repeated" {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
	if delivery == "lost" || tracker.Receive(now, m) != Applied || m.IsSnapshot() {
		return
	}
	last := s.applied[m.Base.Source]
	require.True(t, m.Base.Serial > last.Base.Serial || m.Base == last.Base && m.Number > last.Number, "an applied delta must be newer than the one before")
	s.applied[m.Base.Source] = m
	sent := s.sent[fmt.Sprint(m.Base, m.Number)]
	require.Equal(t, sent.Instances, tracker.Instances(remotePlace.DataCentre))
	require.Equal(t, reachable(sent), receivedReachable(now, tracker))
}
