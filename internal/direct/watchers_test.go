package direct

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// The store stands in the region storeRegion. By name, the first instances stand in the other one.
	storeRegion, otherRegion = fleet.Region("south"), fleet.Region("north")
	siteInstances            = 142
	linkDataCentres          = 3
	// maxReachTime is how soon a change reaches the instances that are in touch.
	maxReachTime = 2 * time.Second
)

// linkFault is what happens to the link between the regions.
type linkFault struct {
	name  string
	lost  bool
	loss  float64       // share of the messages and calls that are lost
	delay time.Duration // of each message and call
}

var linkFaults = []linkFault{
	{name: "sound"},
	{name: "lost", lost: true},
	{name: "lossy", loss: 0.5},
	{name: "slow", delay: 400 * time.Millisecond},
}

// newTwoRegions returns a fleet in two regions of three data centres each.
func newTwoRegions(t *testing.T, instances int, seed uint64) *simulation {
	t.Helper()
	s := newPlacedSimulation(t, instances, seed, func(i int) fleet.Place {
		region := otherRegion
		if i >= instances/2 {
			region = storeRegion
		}
		return fleet.Place{Region: region, DataCentre: fleet.DataCentre(fmt.Sprint(region, "-", i%linkDataCentres))}
	})
	s.unkeyed = true // with keys, each instance asks the store itself once its word of them is old
	s.change()
	for _, n := range s.instances {
		n.readStore()
	}
	return s
}

// fail brings a fault of the link about.
func (s *simulation) fail(f linkFault) {
	for _, n := range s.instances {
		if n.place.Region != storeRegion {
			n.noStore, n.storeLoss, n.storeDelay = f.lost, f.loss, f.delay
		}
	}
	s.link = func(from, to fleet.Place) (time.Duration, bool) {
		if from.Region == to.Region {
			return 0, false
		}
		return f.delay, f.lost || s.random.Float64() < f.loss
	}
}

// readsOf counts the reads of the store by the instances of a region, but for their registrations.
func (s *simulation) readsOf(region fleet.Region) int {
	reads := 0
	for _, n := range s.instances {
		if n.place.Region == region {
			reads += n.reads
		}
	}
	return reads
}

// While the link between regions fails, a change reaches all instances that are in touch in time, and
// of those that the store doesn't answer only a few turn to it.
func TestChangesReachInstancesWhileALinkFails(t *testing.T) {
	const (
		changes  = 4
		interval = 2500 * time.Millisecond
		// maxReads is how often the instances behind the link read the store a second: the six that may
		// take over, and one of each data centre.
		maxReads = 9
	)
	for _, f := range linkFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			s := newTwoRegions(t, siteInstances, 1)
			s.run(simWarmUp, func() {})
			s.fail(f)
			var worst time.Duration
			wrong, refused, answers := 0, 0, 0
			for i := range changes {
				changed, before := s.clock.elapsed, s.readsOf(otherRegion)
				s.change()
				s.run(changed+interval, func() {
					for _, n := range s.instances {
						if n.active().Version < s.version && (!f.lost || n.place.Region == storeRegion) {
							worst = max(worst, s.clock.elapsed-changed)
						}
						_, _, err := n.Route("board.example", "/not-there/")
						inTouch := !f.lost || n.place.Region == storeRegion
						switch missed, ok := s.ackedAt[n.active().Version+1]; {
						case errors.Is(err, gateway.ErrNoRoute) && ok && s.clock.elapsed-missed > configBound:
							wrong++
						case inTouch && errors.Is(err, gateway.ErrMayBeOutdated):
							refused++
						}
						answers++
					}
				})
				reads := float64(s.readsOf(otherRegion)-before) / interval.Seconds()
				t.Logf("%d: a change has reached all in touch after %s at most; %.1f reads/s from behind the link", i, worst, reads)
				assert.LessOrEqual(t, reads, float64(maxReads))
			}
			assert.LessOrEqual(t, worst, maxReachTime)
			assert.Zero(t, wrong, "a route is said to be absent that may have been added")
			t.Logf("of %d, %d of instances in touch take their configuration for unconfirmed", answers, refused)
			assert.LessOrEqual(t, refused, answers/100)
		})
	}
}

// Where the store answers none, one instance of each data centre turns to it, at growing delays. The
// others only go on to register.
func TestFewTurnToAStoreThatAnswersNone(t *testing.T) {
	const (
		settling, observed = 5 * time.Second, 5 * time.Second
		dataCentres        = 2 * linkDataCentres
	)
	for _, instances := range []int{9, 79, siteInstances, 295} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			s := newTwoRegions(t, instances, 1)
			s.run(simWarmUp, func() {})
			for _, n := range s.instances {
				n.noStore = true
			}
			first, registered := s.reads, s.registrations
			s.run(simWarmUp+settling, func() {})
			settled, settledRegistered := s.reads, s.registrations
			s.run(simWarmUp+settling+observed, func() {})
			t.Logf("reads/s: %.1f in the first %s, %.1f later; registrations/s: %.1f, %.1f", float64(settled-first)/settling.Seconds(), settling,
				float64(s.reads-settled)/observed.Seconds(), float64(settledRegistered-registered)/settling.Seconds(), float64(s.registrations-settledRegistered)/observed.Seconds())
			assert.LessOrEqual(t, settled-first, dataCentres*int(settling/time.Second), "in the first %s", settling)
			assert.LessOrEqual(t, s.reads-settled, dataCentres*int(observed/time.Second), "one each a second")
			for _, n := range s.instances {
				n.noStore = false
			}
			regained := s.clock.elapsed
			s.change()
			var worst time.Duration
			s.run(regained+maxReachTime, func() {
				for _, n := range s.instances {
					if n.active().Version < s.version {
						worst = s.clock.elapsed - regained
					}
				}
			})
			t.Logf("a change once it is back has reached all after %s", worst)
			assert.Less(t, worst, maxReachTime)
		})
	}
}

// Beside instances of an earlier build, which leave the store to the first three by name, these watch
// whatever the others choose.
func TestWatchersBesideAnEarlierBuild(t *testing.T) {
	for _, old := range []int{0, 1, 70, 139, 142} {
		t.Run(fmt.Sprintf("%d of an earlier build", old), func(t *testing.T) {
			s := newTwoRegions(t, siteInstances, 1)
			earlier := func(i int) bool { return i*97%siteInstances < old }
			for j, other := range s.instances {
				_, b := other.heartbeat()
				if b.StoreReachable = true; earlier(j) {
					b.Features = nil
				}
				for i, n := range s.instances {
					if i != j {
						n.receiveHeartbeat(b)
					}
				}
			}
			regions, watching := make(map[fleet.Region]int), 0
			for i, n := range s.instances {
				if byName := i < watchersByName; earlier(i) && byName || !earlier(i) && n.shouldWatchStore() {
					watching++
					regions[n.place.Region]++
				}
			}
			t.Logf("%d watch", watching)
			assert.GreaterOrEqual(t, watching, watchersByName)
			assert.LessOrEqual(t, watching, 2*watchersByName+1)
			if old == 0 {
				assert.Equal(t, map[fleet.Region]int{storeRegion: 2, otherRegion: 2}, regions)
			}
		})
	}
}

// What a peer in the same data centre or region has is fetched there, from any of them.
func TestNewerStateIsFetchedNearby(t *testing.T) {
	near, far := fleet.Place{Region: "south", DataCentre: "a"}, fleet.Place{Region: "north", DataCentre: "c"}
	for _, c := range []struct {
		name  string
		ahead []fleet.Place
		want  []string
	}{
		{"none", nil, nil},
		{"another region only", []fleet.Place{far}, []string{"peer-0"}},
		{"the same region", []fleet.Place{far, {Region: "south", DataCentre: "b"}, far}, []string{"peer-1"}},
		{"the same data centre", []fleet.Place{far, near, {Region: "south", DataCentre: "b"}, near}, []string{"peer-1", "peer-3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(&testClock{})
			for i, place := range c.ahead {
				s.receiveHeartbeat(&gossip.Heartbeat{
					Peer:  member.Peer{Instance: fleet.Instance(fmt.Sprint(i)), Incarnation: "1", Sequence: 1, Place: fleet.Place{DataCentre: allDataCentres}, Address: fmt.Sprint("peer-", i)},
					Place: place, Catalog: 7, Roster: 7,
				})
			}
			asked := make(map[string]bool)
			for range 100 {
				if address, _, ok := s.catalogPeer(""); ok {
					asked[address] = true
				}
				if address, _, ok := s.peerAhead(); ok {
					asked[address] = true
				}
			}
			assert.ElementsMatch(t, c.want, slices.Collect(maps.Keys(asked)))
		})
	}
}
