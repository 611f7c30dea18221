package direct

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/watcher"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

const (
	simStep       = 20 * time.Millisecond // also the time of a message on its way
	simWatchWait  = time.Second
	simBeat       = 300 * time.Millisecond
	simRevocation = 5 * time.Second
	simWarmUp     = 5 * time.Second
	simSeeds      = 20
)

// simMechanism is a part of the mechanism that tests turn off.
type simMechanism string

const (
	simNone simMechanism = ""
	// simAnswersFromSending: a peer's word counts from the sending of the heartbeat.
	simAnswersFromSending simMechanism = "answers count from the sending of the heartbeat"
	// simWatchesFromSending: an empty watch counts from its sending and its wait.
	simWatchesFromSending simMechanism = "watches count from their sending"
	// simClockInFreeze: the clock runs while the instance is frozen.
	simClockInFreeze simMechanism = "the clock runs in a freeze"
	// simVersions: a peer's word counts only for its own version and later ones.
	simVersions simMechanism = "the word of another version doesn't count"
)

// simulation is a fleet in virtual time with the store. Each version of the configuration has one
// key, which the next one takes away.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	clock     testClock
	instances []*simInstance
	due       map[time.Duration][]func()
	version   int64
	ackedAt   map[int64]time.Duration
	catalogs  map[int64]*catalog.Catalog
	// delayed is the share of messages that take up to maxDelay.
	delayed           float64
	maxDelay          time.Duration
	off               simMechanism
	heartbeats, reads int
	registrations     int
	// link is the way of a message between places, nil for one without faults.
	link func(from, to fleet.Place) (delay time.Duration, lost bool)
	// unkeyed configurations have no keys.
	unkeyed bool
}

type simInstance struct {
	*state
	sim          *simulation
	index        int
	noStore      bool          // cut off from the store
	storeLoss    float64       // share of its calls of the store that fail
	storeDelay   time.Duration // of the store's answers
	lost         bool          // the current watch gets no answer
	reads        int
	pace         *watcher.Pace
	noPeers      bool // cut off from all peers
	frozen       bool
	frozenFor    time.Duration
	inbox        []func() // what arrives while it is frozen
	beatAt       time.Duration
	registerAt   time.Duration
	watching     bool
	watchSent    time.Duration // on the clock of the simulation
	watchSentAt  time.Duration // on its own
	idleUntil    time.Duration
	stored       int64
	fetchingTo   int64
	refusedSince time.Duration // since when it refuses keys, 0 if it doesn't
}

func newSimulation(t *testing.T, instances int, seed uint64) *simulation {
	t.Helper()
	return newPlacedSimulation(t, instances, seed, func(int) fleet.Place { return fleet.Place{Region: "south", DataCentre: "a"} })
}

func newPlacedSimulation(t *testing.T, instances int, seed uint64, place func(i int) fleet.Place) *simulation {
	t.Helper()
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, uint64(instances))), due: make(map[time.Duration][]func()), version: 1,
		ackedAt: map[int64]time.Duration{1: 0}, catalogs: make(map[int64]*catalog.Catalog),
	}
	var peers []member.Peer
	for i := range instances {
		peers = append(peers, member.Peer{
			Instance: fleet.Instance(fmt.Sprintf("front-%03d", i)), Incarnation: "1", Place: fleet.Place{DataCentre: allDataCentres},
			Address: fmt.Sprint("peer-", i), Caller: fmt.Sprint("caller-", i),
		})
	}
	for i, self := range peers {
		offset := time.Duration(s.random.IntN(1000)) * time.Hour // clocks of different machines
		n := &simInstance{sim: s, index: i, pace: watcher.NewPace(string(self.Instance)), beatAt: s.someTime(simBeat), registerAt: s.someTime(instanceListInterval)}
		n.state = newState(self, place(i), map[fleet.DataCentre]fleet.Region{"a": "south"},
			balance.NewBudget(0.2, 10, 10*time.Second), simBeat, s.clock.now, log.NewNopLogger())
		n.uptime = func() time.Duration { return s.clock.elapsed + offset - n.missed() }
		n.setRevocation(true, simRevocation)
		n.applyInstances(peers)
		n.applyRecords(fromStore, nil, 1, true)
		n.readStore()
		n.idleUntil = watchStartDelay
		s.instances = append(s.instances, n)
	}
	return s
}

func (s *simulation) someTime(below time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(below))).Truncate(simStep)
}

func (s *simulation) catalog(version int64) *catalog.Catalog {
	if s.catalogs[version] == nil {
		text := standin.KeyedConfiguration(version, simKey(version))
		if s.unkeyed {
			text = standin.Configuration(version, 1)
		}
		c, err := platform.DecodeCatalog(text)
		require.NoError(s.t, err)
		s.catalogs[version] = c
	}
	return s.catalogs[version]
}

func simKey(version int64) string { return fmt.Sprint("key-", version) }

// change writes the next version and takes the key of the one before away.
func (s *simulation) change() {
	s.version++
	s.ackedAt[s.version] = s.clock.elapsed
}

// deliver calls fn at an instance once a message has arrived there.
func (s *simulation) deliver(to *simInstance, delay time.Duration, fn func()) {
	at := s.clock.elapsed + max(simStep, delay.Truncate(simStep))
	s.due[at] = append(s.due[at], func() {
		if to.frozen {
			to.inbox = append(to.inbox, fn)
			return
		}
		fn()
	})
}

// send delivers a message of an instance to another one, unless it is lost on the link.
func (s *simulation) send(from, to *simInstance, fn func()) {
	delay := s.delay()
	if s.link != nil {
		more, lost := s.link(from.place, to.place)
		if lost {
			return
		}
		delay += more
	}
	s.deliver(to, delay, fn)
}

func (s *simulation) delay() time.Duration {
	if s.random.Float64() < s.delayed {
		return s.someTime(s.maxDelay)
	}
	return simStep
}

// run advances the time and calls check after each step.
func (s *simulation) run(until time.Duration, check func()) {
	for s.clock.elapsed < until {
		s.clock.elapsed += simStep
		arrived := s.due[s.clock.elapsed]
		delete(s.due, s.clock.elapsed)
		for _, fn := range arrived {
			fn()
		}
		for _, n := range s.instances {
			n.step()
		}
		check()
	}
}

// storeFails reports whether a call of the store by an instance fails.
func (n *simInstance) storeFails() bool {
	return n.noStore || n.storeLoss > 0 && n.sim.random.Float64() < n.storeLoss
}

// missed is what the clock of an instance misses.
func (n *simInstance) missed() time.Duration {
	if n.sim.off == simClockInFreeze {
		return n.frozenFor
	}
	return 0
}

func (n *simInstance) step() {
	if n.frozen {
		n.frozenFor += simStep
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, fn := range inbox {
		fn()
	}
	now := n.sim.clock.elapsed
	if now >= n.registerAt {
		n.registerAt = now + instanceListInterval
		n.sim.registrations++
		if n.storeFails() {
			n.registrationFailed()
		} else {
			n.storeAnswered()
		}
	}
	if now >= n.beatAt {
		n.beatAt = now + simBeat
		n.beat()
	}
	n.watch(now)
	n.fetch()
}

// readStore takes the configuration from the store, as at the start of an instance.
func (n *simInstance) readStore() {
	n.stored = n.sim.version
	n.applyCatalog(n.sim.catalog(n.stored))
	n.confirmCatalog(n.stored, n.uptime())
	n.storeAnswered()
}

// watch does what Node.watchPrefix does for the configuration.
func (n *simInstance) watch(now time.Duration) {
	switch {
	case now < n.idleUntil:
	case !n.watching && !n.updateWatching() && !n.mustConfirm():
		n.idleUntil = now + watchCheckInterval
	case !n.watching:
		n.watching, n.watchSent, n.watchSentAt = true, now, n.uptime()
		n.sim.reads++
		n.reads++
		n.lost = n.storeLoss > 0 && n.storeFails()
	case n.noStore || n.lost:
		if now >= n.watchSent+simWatchWait+700*time.Millisecond {
			n.storeFailed()
			n.watching, n.idleUntil = false, now+n.pace.Failed(n.updateWatching()).Truncate(simStep)
		}
	case now >= n.watchSent+simStep && n.sim.version > n.stored:
		n.watchAnswered(n.sim.version, 1)
	case now >= n.watchSent+simStep+simWatchWait:
		n.watchAnswered(n.stored, 0)
	}
}

func (n *simInstance) watchAnswered(version int64, changes int) {
	sent := n.watchSentAt
	n.idleUntil = time.Hour // until the answer is there
	n.sim.deliver(n, n.sim.delay()+n.storeDelay, func() {
		n.stored = version
		n.applyCatalog(n.sim.catalog(version))
		asOf := watchedUntil(sent, simWatchWait, n.uptime(), changes)
		if n.sim.off == simWatchesFromSending {
			asOf = n.uptime()
		}
		n.confirmCatalog(version, asOf)
		n.storeAnswered()
		n.pace.Answered()
		n.watching, n.idleUntil = false, 0
	})
}

// beat does what Node.sendHeartbeats does.
func (n *simInstance) beat() {
	targets, b := n.heartbeat()
	for _, target := range targets {
		var index int
		_, err := fmt.Sscanf(target.Address, "peer-%d", &index)
		require.NoError(n.sim.t, err)
		peer := n.sim.instances[index]
		if peer == n || n.noPeers || peer.noPeers {
			continue
		}
		n.sim.heartbeats++
		sent := n.uptime()
		n.sim.send(n, peer, func() {
			peer.receiveHeartbeat(b)
			answer := peer.ack(b.Peer.Sequence)
			n.sim.send(peer, n, func() { n.receiveAnswer(sent, *answer) })
		})
	}
}

func (n *simInstance) receiveAnswer(sent time.Duration, a gossip.Ack) {
	switch n.sim.off {
	case simAnswersFromSending:
		sent = n.uptime()
	case simVersions:
		a.Catalog = min(a.Catalog, n.active().Version)
	case simNone, simWatchesFromSending, simClockInFreeze:
	}
	n.receiveAck(sent, &a)
}

// fetch gets a newer configuration that a peer has announced.
func (n *simInstance) fetch() {
	version := n.newestCatalog
	if version <= n.active().Version || n.noPeers || n.fetchingTo == version {
		return
	}
	n.fetchingTo = version
	n.sim.deliver(n, 100*time.Millisecond, func() { n.applyCatalog(n.sim.catalog(version)) })
}

func (n *simInstance) active() *catalog.Catalog {
	active, _ := n.catalogs()
	return active
}

// admits reports whether the instance would send a request with the key of its configuration.
func (n *simInstance) admits() bool {
	c := n.active()
	key := credential.DigestOf(simKey(c.Version))
	w, _, err := n.Workspace(&c.Routes[0], c.Version, key)
	return err == nil && n.KeyValid(key, w.Name) == nil
}

// late returns how long after the end of its time an instance still admits a revoked key, 0 if
// it admits none.
func (n *simInstance) late() time.Duration {
	acked, revoked := n.sim.ackedAt[n.active().Version+1]
	if !revoked || n.frozen || !n.admits() {
		return 0
	}
	return max(0, n.sim.clock.elapsed-acked-simRevocation)
}

// deniesNewest reports whether an instance would refuse the newest key as unknown although it was
// added longer ago than denialShare allows.
func (n *simInstance) deniesNewest() bool {
	if n.frozen || n.sim.clock.elapsed <= n.sim.ackedAt[n.sim.version]+share(simRevocation, denialShare) {
		return false
	}
	c := n.active()
	_, _, err := n.Workspace(&c.Routes[0], c.Version, credential.DigestOf(simKey(n.sim.version)))
	return errors.Is(err, gateway.ErrUnknownKey)
}

// ages measures how old configurations are in a fleet.
type ages struct {
	all     []time.Duration
	refused int
}

func (a *ages) add(n *simInstance) {
	age, _ := n.confirmedAge()
	a.all = append(a.all, age)
	if !n.admits() {
		a.refused++
	}
}

func (a *ages) quantile(q float64) time.Duration {
	slices.Sort(a.all)
	return a.all[int(q*float64(len(a.all)-1))]
}

// Instances in touch must not refuse requests because the word of the three that watch the store
// reaches them too late, and one that is cut off must go on for most of the time.
func TestConfirmationsReachAllInstances(t *testing.T) {
	tests := []struct {
		name   string
		during func(s *simulation)
		most   int // the largest fleet that this is played with
	}{
		{"calm", func(*simulation) {}, 295},
		{"one instance cut off from the store", func(s *simulation) { s.instances[len(s.instances)-1].noStore = true }, 84},
		{"those that watch cut off from the store", func(s *simulation) { s.cutWatchers(func(n *simInstance) { n.noStore = true }) }, 295},
		{"those that watch frozen", func(s *simulation) { s.cutWatchers(func(n *simInstance) { n.frozen = true }) }, 84},
	}
	empty, err := cbor.Marshal(&gossip.Ack{})
	require.NoError(t, err)
	full, err := cbor.Marshal(&gossip.Ack{Catalog: 1700, ConfirmedMs: 1700})
	require.NoError(t, err)
	for _, instances := range []int{9, 84, 295} {
		for _, tt := range tests {
			if instances > tt.most {
				continue
			}
			t.Run(fmt.Sprintf("%d instances, %s", instances, tt.name), func(t *testing.T) {
				s := newSimulation(t, instances, 1)
				s.run(simWarmUp, func() {})
				regular := watchersByName * int(simWarmUp/simWatchWait)
				assert.LessOrEqual(t, s.reads, regular+instances/5, "not all watch at the start")
				s.heartbeats, s.reads = 0, 0
				const measured = 5 * time.Second
				tt.during(s)
				var a ages
				s.run(simWarmUp+measured, func() {
					for _, n := range s.instances {
						if !n.frozen {
							a.add(n)
						}
					}
				})
				heartbeats := float64(s.heartbeats) / measured.Seconds() / float64(instances)
				t.Logf("age: median %s, 99th percentile %s, highest %s; refused %d of %d; an instance: %.1f heartbeats/s, %.0f B/s in their answers; %.1f reads/s in all",
					a.quantile(0.5), a.quantile(0.99), a.quantile(1), a.refused, len(a.all), heartbeats, heartbeats*float64(len(full)-len(empty)), float64(s.reads)/measured.Seconds())
				assert.Zero(t, a.refused)
			})
		}
	}
}

func (s *simulation) cutWatchers(cut func(*simInstance)) {
	found := 0
	for _, n := range s.instances {
		if n.shouldWatchStore() {
			cut(n)
			found++
		}
	}
	require.GreaterOrEqual(s.t, found, watchersByName)
}

// No instance may admit a key later than that time after its revocation, nor refuse a new one as
// unknown after a part of it: cut off from the store or
// its peers, frozen and thawed, with messages that took seconds.
func TestRevokedKeysStopUnderRandomFaults(t *testing.T) {
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := randomRevocations(t, seed, simNone)
			assert.Zero(t, r.late)
			assert.Zero(t, r.denied)
			assert.Greater(t, r.revoked, int64(5))
			assert.Greater(t, r.admitted, r.steps/10, "most instances are cut off or frozen at any time")
		})
	}
}

// The test above must notice if any part of the mechanism is off.
func TestRandomFaultsDetectDisabledRevocation(t *testing.T) {
	for _, off := range []simMechanism{simAnswersFromSending, simWatchesFromSending, simClockInFreeze, simVersions} {
		t.Run(string(off), func(t *testing.T) {
			var worst time.Duration
			found, denied := 0, 0
			for seed := range uint64(simSeeds) {
				r := randomRevocations(t, seed, off)
				denied += r.denied
				if r.late > 0 {
					found, worst = found+1, max(worst, r.late)
				}
			}
			t.Logf("off: a revoked key was admitted late in %d of %d seeds, by up to %s; a new one was refused as unknown %d times", found, simSeeds, worst, denied)
			assert.Positive(t, found)
			assert.Positive(t, denied)
		})
	}
}

// revocations is what a run under random faults has shown.
type revocations struct {
	late            time.Duration // by how much a revoked key was admitted too late
	denied          int           // how often a new key was refused as unknown later than allowed
	revoked         int64
	admitted, steps int // in how many steps of the instances a key was admitted
}

func randomRevocations(t *testing.T, seed uint64, off simMechanism) revocations {
	t.Helper()
	s := newSimulation(t, 9, seed)
	s.delayed, s.maxDelay, s.off = 0.2, 8*time.Second, off
	var r revocations
	s.run(time.Minute, func() {
		if s.random.Float64() < 0.005 {
			s.change()
		}
		for _, n := range s.instances {
			for _, fault := range []*bool{&n.noStore, &n.noPeers, &n.frozen} {
				if s.random.Float64() < 0.004 {
					*fault = !*fault
				}
			}
			r.late = max(r.late, n.late())
			if n.deniesNewest() {
				r.denied++
			}
			r.steps++
			if !n.frozen && n.admits() {
				r.admitted++
			}
		}
	})
	r.revoked = s.version - 1
	return r
}

// An instance that is cut off, from all at once, still answers for 0.6 of the time to revocation.
func TestCutOffInstanceGoesOnForMostOfRevocation(t *testing.T) {
	for _, instances := range []int{9, 84, 295} {
		s := newSimulation(t, instances, 2)
		s.run(simWarmUp, func() {})
		for _, n := range s.instances {
			n.noStore, n.noPeers = true, true
		}
		first, last := time.Duration(0), time.Duration(0)
		s.run(simWarmUp+simRevocation, func() {
			for _, n := range s.instances {
				if n.refusedSince == 0 && !n.admits() {
					n.refusedSince = s.clock.elapsed
					last = s.clock.elapsed - simWarmUp
					if first == 0 {
						first = last
					}
				}
			}
		})
		t.Logf("%d instances cut off refuse from %s to %s on", instances, first, last)
		assert.GreaterOrEqual(t, first, simRevocation*6/10)
		assert.LessOrEqual(t, last, simRevocation)
	}
}
