package slopes

import (
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
)

const (
	// round is the time between two heartbeats at the target.
	round = time.Second
	// settleRounds lets all views hear of each other.
	settleRounds = 12
	// patience ends a simulation that doesn't come to rest, in rounds.
	patience = 60
	samples  = 40
	// changed is the revision of the change that is followed.
	changed = 10
)

// simulated is one instance of a fleet in virtual time.
type simulated struct {
	view   *member.View
	teller *totals.Sender
	book   *totals.Tracker
	gone   bool
}

// state is what the instance tells of its data centre.
func (s *simulated) state() totals.State {
	place := s.view.Self().Place
	return totals.State{Place: place, Models: simulatedModels, Instances: s.view.Live(place.DataCentre)}
}

// hearRumours takes what another instance tells with a heartbeat.
func (s *simulated) hearRumours(beat member.Peer, rumours []member.Suspicion) {
	if !s.gone && s.view.Self().Place.DataCentre == beat.Place.DataCentre {
		s.view.ReceiveSuspicions(rumours)
	}
}

// simulatedModels make fulls as seldom as at the target.
var simulatedModels = sums(760)

// fleetSim runs real views in virtual time; every message takes one round at most.
type fleetSim struct {
	now  time.Time
	all  []*simulated
	name map[fleet.Instance]*simulated
}

func newFleet(n int) *fleetSim {
	s := &fleetSim{now: begin, name: map[fleet.Instance]*simulated{}}
	var seeds []member.Peer
	for i := range n {
		p := peerOf(i, i%centres)
		seeds = append(seeds, p)
		node := &simulated{
			view: member.New(p, member.WithInterval(round)), teller: totals.NewSender(p), book: totals.NewTracker(),
		}
		s.all = append(s.all, node)
		s.name[p.Instance] = node
	}
	for _, node := range s.all {
		node.view.ApplyList(s.now, seeds)
	}
	for range settleRounds {
		s.step()
	}
	return s
}

func (s *fleetSim) step() {
	s.now = s.now.Add(round)
	for _, node := range s.all {
		if node.gone {
			continue
		}
		node.view.Tick(s.now)
		beat, passed, rumours := node.view.Heartbeat(), node.book.Forward(s.now, node.view.IsFirstSpeaker), node.view.Suspicions()
		if len(passed) > 0 {
			node.view.BroadcastNextRound()
		}
		for _, target := range node.view.Targets(s.now) {
			s.send(node, s.name[target.Instance], beat, passed)
			s.name[target.Instance].hearRumours(beat, rumours)
		}
	}
}

func (s *fleetSim) send(from, to *simulated, beat member.Peer, passed []totals.Message) {
	near := to.view.Self().Place.DataCentre == beat.Place.DataCentre
	switch {
	case to.gone && !near:
		from.view.Failed(to.view.Self())
	case to.gone:
	case near:
		to.view.Observe(s.now, beat)
		for _, m := range passed {
			s.hearPassed(from, to, m)
		}
	default:
		s.exchange(from, to)
		s.exchange(to, from)
	}
}

func (s *fleetSim) hearPassed(from, to *simulated, m totals.Message) {
	verdict := to.book.ReceiveForwarded(s.now, m)
	s.heard(to, m, verdict)
	if verdict != totals.Unknown {
		return
	}
	for _, h := range from.book.SnapshotAndDelta(m.Place.DataCentre, m.Base.Source) {
		s.heard(to, h, to.book.ReceiveForwarded(s.now, h))
	}
}

// heard lets the view know which instances live, once a whole state was taken.
func (s *fleetSim) heard(to *simulated, m totals.Message, verdict totals.Result) {
	if verdict == totals.Applied && !m.IsSnapshot() {
		to.view.ObserveRemote(s.now, to.book.Instances(m.Place.DataCentre))
	}
}

// exchange tells one side the totals of the other's data centre.
func (s *fleetSim) exchange(from, to *simulated) {
	self := from.view.Self()
	known := to.book.KnownSnapshot(self.Place.DataCentre, totals.SourceOf(self))
	for _, m := range from.teller.Messages(s.now, from.state(), known) {
		s.heard(to, m, to.book.Receive(s.now, m))
	}
}

// takeover removes instances and returns the time until no view that is left chooses
// any of them as a dispatcher.
func (s *fleetSim) takeover(lost func(member.Peer) bool) (time.Duration, error) {
	places := map[fleet.Place]bool{}
	for _, node := range s.all {
		if self := node.view.Self(); lost(self) {
			node.gone = true
			places[self.Place] = true
		}
	}
	for rounds := range patience {
		if s.clean(places) {
			return time.Duration(rounds) * round, nil
		}
		s.step()
	}
	return 0, fmt.Errorf("takeover not done after %d rounds", patience)
}

func (s *fleetSim) clean(places map[fleet.Place]bool) bool {
	for _, node := range s.all {
		if node.gone {
			continue
		}
		for at := range places {
			for i := range samples {
				p, ok := node.view.Dispatcher(endpointName(i), at)
				if !ok || s.name[p.Instance].gone {
					return false
				}
			}
		}
	}
	return true
}

// start is where a change of the document is known at first.
type start string

const (
	startWatched  start = "a change of the document, store watched in each data centre"
	startOne      start = "a change of the document, known to one instance only"
	startOrphaned start = "a change of the document, all watchers lost as it is applied"
)

// spread returns the time until every instance that is left has a changed document.
func (s *fleetSim) spread(from start) (time.Duration, error) {
	for i, node := range s.all {
		watches := node.view.IsWatcher(node.view.Self().Place.DataCentre)
		node.gone = from == startOrphaned && watches
		if i == 0 && from == startOne {
			node.view.SetRevision(changed)
		}
	}
	for rounds := range patience {
		if from != startOne {
			s.watch()
		}
		if s.behind() == 0 {
			return time.Duration(rounds) * round, nil
		}
		s.step()
		s.pull()
	}
	return 0, fmt.Errorf("revision not everywhere after %d rounds", patience)
}

// watch gives the change to the instances that watch the store.
func (s *fleetSim) watch() {
	for _, node := range s.all {
		if !node.gone && node.view.IsWatcher(node.view.Self().Place.DataCentre) {
			node.view.SetRevision(changed)
		}
	}
}

func (s *fleetSim) behind() int {
	count := 0
	for _, node := range s.all {
		if !node.gone && node.view.Self().Revision < changed {
			count++
		}
	}
	return count
}

// pull lets every instance that heard of a higher revision take it.
func (s *fleetSim) pull() {
	for _, node := range s.all {
		highest := uint64(0)
		for _, p := range node.view.All() {
			highest = max(highest, p.Revision)
		}
		if !node.gone {
			node.view.SetRevision(highest)
		}
	}
}

// Loss is one kind of loss with how long its takeover takes.
type Loss struct {
	Name string
	Time time.Duration
}

// Losses returns the times of takeovers and of a change of the document in a fleet of
// n instances, in virtual time.
func Losses(n int) ([]Loss, error) {
	first := peerOf(0, 0)
	kinds := []struct {
		name string
		lost func(member.Peer) bool
	}{
		{"an instance lost", func(p member.Peer) bool { return p.Instance == first.Instance }},
		{"a rack lost (every fourth instance of a data centre)", rack},
		{"a data centre lost", func(p member.Peer) bool { return p.Place.DataCentre == first.Place.DataCentre }},
		{"a region lost", func(p member.Peer) bool { return p.Place.Region == first.Place.Region }},
	}
	var list []Loss
	for _, k := range kinds {
		took, err := newFleet(n).takeover(k.lost)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", k.name, err)
		}
		list = append(list, Loss{k.name, took})
	}
	for _, from := range []start{startWatched, startOne, startOrphaned} {
		took, err := newFleet(n).spread(from)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", from, err)
		}
		list = append(list, Loss{string(from), took})
	}
	return list, nil
}

func rack(p member.Peer) bool {
	var centre, i int
	_, err := fmt.Sscanf(string(p.Instance), "entry-%d-%d", &centre, &i)
	return err == nil && centre == 0 && i/centres%4 == 0
}
