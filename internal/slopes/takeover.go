package slopes

import (
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
)

const (
	// heartbeatInterval is the time between two heartbeats at the target.
	heartbeatInterval = time.Second
	// settleRounds lets all views hear of each other.
	settleRounds = 12
	// maxRounds ends a simulation that doesn't come to rest, in rounds.
	maxRounds        = 60
	sampledEndpoints = 40
	// newRevision is the revision of the change that is followed.
	newRevision = 10
)

// simulatedInstance is one instance of a fleet in virtual time.
type simulatedInstance struct {
	view    *member.View
	sender  *totals.Sender
	tracker *totals.Tracker
	lost    bool
}

// state is what the instance tells of its data centre.
func (s *simulatedInstance) state() totals.State {
	place := s.view.Self().Place
	return totals.State{Place: place, Models: simulatedModels, Instances: s.view.Live(place.DataCentre)}
}

// receiveSuspicions takes what another instance tells with a heartbeat.
func (s *simulatedInstance) receiveSuspicions(heartbeat member.Peer, suspicions []member.Suspicion) {
	if !s.lost && s.view.Self().Place.DataCentre == heartbeat.Place.DataCentre {
		s.view.ReceiveSuspicions(suspicions)
	}
}

// simulatedModels make fulls as seldom as at the target.
var simulatedModels = modelSums(760)

// simulation runs real views in virtual time; every message takes one round at most.
type simulation struct {
	now       time.Time
	instances []*simulatedInstance
	byName    map[fleet.Instance]*simulatedInstance
}

func newSimulation(n int) *simulation {
	s := &simulation{now: startTime, byName: map[fleet.Instance]*simulatedInstance{}}
	var seeds []member.Peer
	for i := range n {
		p := peerOf(i, i%centres)
		seeds = append(seeds, p)
		instance := &simulatedInstance{
			view: member.New(p, member.WithInterval(heartbeatInterval)), sender: totals.NewSender(p), tracker: totals.NewTracker(),
		}
		s.instances = append(s.instances, instance)
		s.byName[p.Instance] = instance
	}
	for _, instance := range s.instances {
		instance.view.ApplyList(s.now, seeds)
	}
	for range settleRounds {
		s.step()
	}
	return s
}

func (s *simulation) step() {
	s.now = s.now.Add(heartbeatInterval)
	for _, instance := range s.instances {
		if instance.lost {
			continue
		}
		instance.view.Tick(s.now)
		heartbeat, forwarded, suspicions := instance.view.Heartbeat(), instance.tracker.Forward(s.now, instance.view.IsFirstSpeaker), instance.view.Suspicions()
		if len(forwarded) > 0 {
			instance.view.BroadcastNextRound()
		}
		for _, target := range instance.view.Targets(s.now) {
			s.send(instance, s.byName[target.Instance], heartbeat, forwarded)
			s.byName[target.Instance].receiveSuspicions(heartbeat, suspicions)
		}
	}
}

func (s *simulation) send(from, to *simulatedInstance, heartbeat member.Peer, forwarded []totals.Message) {
	sameCentre := to.view.Self().Place.DataCentre == heartbeat.Place.DataCentre
	switch {
	case to.lost && !sameCentre:
		from.view.Failed(to.view.Self())
	case to.lost:
	case sameCentre:
		to.view.Observe(s.now, heartbeat)
		for _, m := range forwarded {
			s.receiveForwarded(from, to, m)
		}
	default:
		s.sendTotals(from, to)
		s.sendTotals(to, from)
	}
}

func (s *simulation) receiveForwarded(from, to *simulatedInstance, m totals.Message) {
	result := to.tracker.ReceiveForwarded(s.now, m)
	s.observeInstances(to, m, result)
	if result != totals.Unknown {
		return
	}
	for _, h := range from.tracker.SnapshotAndDelta(m.Place.DataCentre, m.Base.Source) {
		s.observeInstances(to, h, to.tracker.ReceiveForwarded(s.now, h))
	}
}

// observeInstances lets the view know which instances live, once a whole state was taken.
func (s *simulation) observeInstances(to *simulatedInstance, m totals.Message, result totals.Result) {
	if result == totals.Applied && !m.IsSnapshot() {
		to.view.ObserveRemote(s.now, to.tracker.Instances(m.Place.DataCentre))
	}
}

// sendTotals tells one side the totals of the other's data centre.
func (s *simulation) sendTotals(from, to *simulatedInstance) {
	self := from.view.Self()
	known := to.tracker.KnownSnapshot(self.Place.DataCentre, totals.SourceOf(self))
	for _, m := range from.sender.Messages(s.now, from.state(), known) {
		s.observeInstances(to, m, to.tracker.Receive(s.now, m))
	}
}

// takeover removes instances and returns the time until no view that is left chooses
// any of them as a dispatcher.
func (s *simulation) takeover(lost func(member.Peer) bool) (time.Duration, error) {
	places := map[fleet.Place]bool{}
	for _, instance := range s.instances {
		if self := instance.view.Self(); lost(self) {
			instance.lost = true
			places[self.Place] = true
		}
	}
	for rounds := range maxRounds {
		if s.takenOver(places) {
			return time.Duration(rounds) * heartbeatInterval, nil
		}
		s.step()
	}
	return 0, fmt.Errorf("takeover not done after %d rounds", maxRounds)
}

func (s *simulation) takenOver(places map[fleet.Place]bool) bool {
	for _, instance := range s.instances {
		if instance.lost {
			continue
		}
		for at := range places {
			for i := range sampledEndpoints {
				p, ok := instance.view.Dispatcher(endpointName(i), at)
				if !ok || s.byName[p.Instance].lost {
					return false
				}
			}
		}
	}
	return true
}

// changeStart is where a change of the document is known at first.
type changeStart string

const (
	startWatched  changeStart = "a change of the document, store watched in each data centre"
	startOne      changeStart = "a change of the document, known to one instance only"
	startOrphaned changeStart = "a change of the document, all watchers lost as it is applied"
)

// propagate returns the time until every instance that is left has a changed document.
func (s *simulation) propagate(from changeStart) (time.Duration, error) {
	for i, instance := range s.instances {
		watches := instance.view.IsWatcher(instance.view.Self().Place.DataCentre)
		instance.lost = from == startOrphaned && watches
		if i == 0 && from == startOne {
			instance.view.SetRevision(newRevision)
		}
	}
	for rounds := range maxRounds {
		if from != startOne {
			s.updateWatchers()
		}
		if s.countBehind() == 0 {
			return time.Duration(rounds) * heartbeatInterval, nil
		}
		s.step()
		s.pullDocuments()
	}
	return 0, fmt.Errorf("revision not everywhere after %d rounds", maxRounds)
}

// updateWatchers gives the change to the instances that watch the store.
func (s *simulation) updateWatchers() {
	for _, instance := range s.instances {
		if !instance.lost && instance.view.IsWatcher(instance.view.Self().Place.DataCentre) {
			instance.view.SetRevision(newRevision)
		}
	}
}

func (s *simulation) countBehind() int {
	count := 0
	for _, instance := range s.instances {
		if !instance.lost && instance.view.Self().Revision < newRevision {
			count++
		}
	}
	return count
}

// pullDocuments lets every instance that heard of a higher revision take it.
func (s *simulation) pullDocuments() {
	for _, instance := range s.instances {
		highest := uint64(0)
		for _, p := range instance.view.All() {
			highest = max(highest, p.Revision)
		}
		if !instance.lost {
			instance.view.SetRevision(highest)
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
		{"a rack lost (every fourth instance of a data centre)", inRack},
		{"a data centre lost", func(p member.Peer) bool { return p.Place.DataCentre == first.Place.DataCentre }},
		{"a region lost", func(p member.Peer) bool { return p.Place.Region == first.Place.Region }},
	}
	var list []Loss
	for _, k := range kinds {
		duration, err := newSimulation(n).takeover(k.lost)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", k.name, err)
		}
		list = append(list, Loss{k.name, duration})
	}
	for _, from := range []changeStart{startWatched, startOne, startOrphaned} {
		duration, err := newSimulation(n).propagate(from)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", from, err)
		}
		list = append(list, Loss{string(from), duration})
	}
	return list, nil
}

func inRack(p member.Peer) bool {
	var centre, i int
	_, err := fmt.Sscanf(string(p.Instance), "entry-%d-%d", &centre, &i)
	return err == nil && centre == 0 && i/centres%4 == 0
}
