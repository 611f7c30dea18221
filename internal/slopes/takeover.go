package slopes

import (
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
)

const (
	// heartbeatInterval is the heartbeat interval at the target and the length of a
	// simulated round.
	heartbeatInterval = time.Second
	// settleRounds is the number of rounds after which all views have discovered each other.
	settleRounds = 12
	// maxRounds is the number of rounds after which a simulation that doesn't converge fails.
	maxRounds        = 60
	sampledEndpoints = 40
	// newRevision is the revision of the document change whose propagation is simulated.
	newRevision = 10
)

// simulatedInstance is one instance of a simulated fleet.
type simulatedInstance struct {
	view    *member.View
	sender  *totals.Sender
	tracker *totals.Tracker
	lost    bool
}

// state returns the totals that the instance reports for its data centre.
func (s *simulatedInstance) state() totals.State {
	place := s.view.Self().Place
	return totals.State{Place: place, Models: simulatedModels, Instances: s.view.Live(place.DataCentre)}
}

// receiveSuspicions applies the suspicions that come with a heartbeat from the same data
// centre.
func (s *simulatedInstance) receiveSuspicions(heartbeat member.Peer, suspicions []member.Suspicion) {
	if !s.lost && s.view.Self().Place.DataCentre == heartbeat.Place.DataCentre {
		s.view.ReceiveSuspicions(suspicions)
	}
}

// simulatedModels are as many models as at the target, since the interval between totals
// snapshots depends on their number.
var simulatedModels = modelSums(760)

// simulation runs the real membership views and totals of a fleet in virtual time. Every
// message takes at most one round.
type simulation struct {
	now       time.Time
	instances []*simulatedInstance
	byName    map[fleet.Instance]*simulatedInstance
}

// newSimulation returns a fleet of n instances over all data centres whose views have settled.
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

// step runs one heartbeat round of all instances.
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

// send delivers a heartbeat: inside a data centre with forwarded totals, and between data
// centres as an exchange of totals. A call to a lost instance of another data centre fails;
// a heartbeat to a lost one of the same data centre is dropped.
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

// receiveForwarded applies forwarded totals, and requests the snapshot from the sender if
// the delta refers to an unknown one.
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

// observeInstances updates the view with the live instances of a data centre once a delta was
// applied, which makes the state complete.
func (s *simulation) observeInstances(to *simulatedInstance, m totals.Message, result totals.Result) {
	if result == totals.Applied && !m.IsSnapshot() {
		to.view.ObserveRemote(s.now, to.tracker.Instances(m.Place.DataCentre))
	}
}

// sendTotals sends the totals of one side's data centre to the other side.
func (s *simulation) sendTotals(from, to *simulatedInstance) {
	self := from.view.Self()
	known := to.tracker.KnownSnapshot(self.Place.DataCentre, totals.SourceOf(self))
	for _, m := range from.sender.Messages(s.now, from.state(), known) {
		s.observeInstances(to, m, to.tracker.Receive(s.now, m))
	}
}

// takeover removes instances and returns the time until no remaining view chooses any of
// them as a dispatcher.
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

// takenOver reports whether every remaining view chooses a live dispatcher for sample
// endpoints in each of the places.
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

// changeStart selects the instances that receive a document change first.
type changeStart string

const (
	startWatched  changeStart = "a change of the document, store watched in each data centre"
	startOne      changeStart = "a change of the document, received by one instance only"
	startOrphaned changeStart = "a change of the document, all watchers lost as it is applied"
)

// propagate returns the time until every remaining instance has the changed document.
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
	return 0, fmt.Errorf("revision not on every instance after %d rounds", maxRounds)
}

// updateWatchers applies the change on the instances that watch the store.
func (s *simulation) updateWatchers() {
	for _, instance := range s.instances {
		if !instance.lost && instance.view.IsWatcher(instance.view.Self().Place.DataCentre) {
			instance.view.SetRevision(newRevision)
		}
	}
}

// countBehind returns the number of remaining instances without the change.
func (s *simulation) countBehind() int {
	count := 0
	for _, instance := range s.instances {
		if !instance.lost && instance.view.Self().Revision < newRevision {
			count++
		}
	}
	return count
}

// pullDocuments updates every remaining instance to the highest revision in its view.
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

// Loss is a simulated loss or document change, with the time until the fleet has handled it.
type Loss struct {
	Name string
	Time time.Duration
}

// Losses simulates losses and document changes in a fleet of n instances and returns the
// virtual times of takeover and propagation.
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

// inRack reports whether an instance is in the simulated rack: every fourth instance of the
// first data centre.
func inRack(p member.Peer) bool {
	var centre, i int
	_, err := fmt.Sscanf(string(p.Instance), "entry-%d-%d", &centre, &i)
	return err == nil && centre == 0 && i/centres%4 == 0
}
