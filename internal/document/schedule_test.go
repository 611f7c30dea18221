package document

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

const (
	instanceCount   = 4
	watcherCount    = 2 // the first instances watch the store
	simulationSteps = 60
	recoveryRounds  = 4
)

// instance is one process with its document.
type instance struct {
	docs   *Documents
	store  *platformtest.Fake
	frozen bool
	// heartbeatsFrom are the instances whose heartbeat was received since the start.
	heartbeatsFrom map[int]bool
	// highestInForce is the highest revision in force since the start; it must never decrease.
	highestInForce uint64
	// beforeRestart is the highest revision in force before the last restart.
	beforeRestart uint64
}

// simulation is a fleet with its store.
type simulation struct {
	t          *rapid.T
	store      *platformtest.Fake
	instances  []*instance
	opts       []Option
	down       bool
	applyCount int
	accepted   map[string]uint64 // revision by text
	rejected   map[string]bool   // texts whose apply certainly failed
	applyIDs   map[uint64]string // apply ID by revision, of all documents that were in force
	violations []string
}

func newSimulation(t *rapid.T, opts ...Option) *simulation {
	s := &simulation{
		t: t, store: platformtest.New(), opts: opts,
		accepted: map[string]uint64{}, rejected: map[string]bool{}, applyIDs: map[uint64]string{},
	}
	for i := range instanceCount {
		s.instances = append(s.instances, nil)
		s.start(i)
	}
	return s
}

// start starts or restarts an instance without state.
func (s *simulation) start(i int) {
	n := &instance{store: s.store.Client(), heartbeatsFrom: map[int]bool{}}
	if old := s.instances[i]; old != nil {
		n.beforeRestart = max(old.beforeRestart, old.highestInForce)
	}
	n.store.SetUnreachable(false)
	options := append([]Option{
		WithWatcher(func() bool { return i < watcherCount }),
		WithSettled(func() bool { return s.settled(n, i) }),
		WithPuller(simPuller{simulation: s, own: n}), WithWaitTimeout(0),
	}, s.opts...)
	n.docs = New(n.store, options...)
	n.docs.Subscribe(func(d revision.Document) { s.checkInForce(n, d) })
	s.instances[i] = n
}

// settled reports whether every instance that is not frozen has sent a heartbeat since this
// instance started.
func (s *simulation) settled(n *instance, own int) bool {
	for j, other := range s.instances {
		if j != own && other != nil && !other.frozen && !n.heartbeatsFrom[j] {
			return false
		}
	}
	return true
}

// checkInForce checks each document that comes in force at an instance.
func (s *simulation) checkInForce(n *instance, d revision.Document) {
	if d.Revision < n.highestInForce {
		s.violations = append(s.violations, fmt.Sprintf("revision %d in force after %d", d.Revision, n.highestInForce))
	}
	if n.highestInForce == 0 && d.Revision < min(n.beforeRestart, s.highestReachable(n)) {
		s.violations = append(s.violations, fmt.Sprintf("revision %d in force after a restart at %d", d.Revision, n.beforeRestart))
	}
	n.highestInForce = d.Revision
	if applyID, seen := s.applyIDs[d.Revision]; seen && applyID != d.ApplyID {
		s.violations = append(s.violations, fmt.Sprintf("two documents of revision %d", d.Revision))
	}
	s.applyIDs[d.Revision] = d.ApplyID
	if s.rejected[string(d.Text)] {
		s.violations = append(s.violations, fmt.Sprintf("rejected text %s is in force", d.Text))
	}
}

// highestReachable returns the highest revision in force at other instances that are not frozen.
func (s *simulation) highestReachable(n *instance) uint64 {
	var highest uint64
	for _, other := range s.instances {
		if other != nil && other != n && !other.frozen {
			highest = max(highest, other.highestInForce)
		}
	}
	return highest
}

// simPuller lets one instance pull from the others, in the encoding used on the wire.
type simPuller struct {
	simulation *simulation
	own        *instance
}

// Pull implements Puller.
func (s simPuller) Pull(_ context.Context, from fleet.Instance, after uint64) (revision.Document, error) {
	var i int
	if _, err := fmt.Sscanf(string(from), "i%d", &i); err != nil || s.simulation.instances[i].frozen {
		return revision.Document{}, errors.New("peer does not respond")
	}
	raw, err := s.simulation.instances[i].docs.Pack(after)
	if err != nil || raw == nil {
		return revision.Document{}, err
	}
	return s.own.docs.Unpack(raw)
}

func (s *simulation) step() {
	i := rapid.IntRange(0, instanceCount-1).Draw(s.t, "instance")
	n := s.instances[i]
	kind := rapid.SampledFrom([]string{"turn", "turn", "turn", "beat", "beat", "apply", "store", "freeze", "restart"}).Draw(s.t, "step")
	switch {
	case kind == "restart":
		s.start(i)
	case kind == "freeze":
		n.frozen = !n.frozen
	case kind == "store":
		s.setRandomFaults()
	case n.frozen:
	case kind == "turn":
		s.runOnce(i)
	case kind == "beat":
		s.heartbeat(i, rapid.IntRange(0, instanceCount-1).Draw(s.t, "to"))
	case kind == "apply":
		s.apply(n)
	}
}

// setRandomFaults draws the store's next faults.
func (s *simulation) setRandomFaults() {
	s.down = rapid.Bool().Draw(s.t, "down")
	s.store.Server().SetFaults(standin.Faults{
		Down:      s.down,
		LoseReply: rapid.IntRange(0, 2).Draw(s.t, "lose replies"),
		LoseWrite: rapid.IntRange(0, 2).Draw(s.t, "lose writes"),
	})
}

// runOnce is one iteration of Run without its waits.
func (s *simulation) runOnce(i int) {
	d := s.instances[i].docs
	d.pull(context.Background())
	d.applyFirst(context.Background())
	if !d.isWatcher() {
		return
	}
	entry, err := d.store.Get(context.Background(), Key)
	if errors.Is(err, platform.ErrNotFound) {
		entry, err = platform.Entry{Key: Key}, nil
	}
	if err == nil {
		_ = d.applyStored(context.Background(), entry)
	}
}

func (s *simulation) heartbeat(from, to int) {
	current, _ := s.instances[from].docs.Current()
	if s.instances[to].frozen || from == to {
		return
	}
	s.instances[to].heartbeatsFrom[from] = true
	s.instances[to].docs.ObserveRevision(fleet.Instance(fmt.Sprintf("i%d", from)), current.Revision)
}

func (s *simulation) apply(n *instance) {
	s.applyCount++
	text := fmt.Sprint("text", s.applyCount)
	current, _ := n.docs.Current()
	rev, err := n.docs.Apply(context.Background(), current.Revision, []byte(text))
	switch {
	case err == nil:
		s.accepted[text] = rev
	case !errors.Is(err, platform.ErrUncertain):
		s.rejected[text] = true
	}
}

// converge ends all faults and exchanges heartbeats until every instance is up to date.
func (s *simulation) converge() {
	s.store.Server().SetFaults(standin.Faults{})
	for _, n := range s.instances {
		n.frozen = false
	}
	for range recoveryRounds {
		for i := range s.instances {
			s.runOnce(i)
			for j := range s.instances {
				s.heartbeat(i, j)
			}
		}
	}
}

// check requires that all instances have the same document in force, that no accepted apply
// has a higher revision, and that no two accepted applies have the same one.
func (s *simulation) check(t *rapid.T) {
	require.Empty(t, s.violations)
	last, _ := s.instances[0].docs.Current()
	for i, n := range s.instances {
		current, _ := n.docs.Current()
		require.Equal(t, last.Revision, current.Revision, "instance %d", i)
		require.Equal(t, last.ApplyID, current.ApplyID)
	}
	for text, rev := range s.accepted {
		require.GreaterOrEqual(t, last.Revision, rev, text)
	}
	seen := map[uint64]string{}
	for text, rev := range s.accepted {
		require.NotContains(t, seen, rev, "%s and %s were both accepted", text, seen[rev])
		seen[rev] = text
	}
}

// countLost counts accepted applies with a revision above the one in force.
func (s *simulation) countLost() int {
	last, _ := s.instances[0].docs.Current()
	lost := 0
	for _, rev := range s.accepted {
		if rev > last.Revision {
			lost++
		}
	}
	return lost
}

func checkSimulations(t *testing.T, check func(*rapid.T, *simulation), opts ...Option) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, opts...)
		for range simulationSteps {
			w.step()
		}
		w.converge()
		check(t, w)
	})
}
