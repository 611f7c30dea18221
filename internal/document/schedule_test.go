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
	fleetSize  = 4
	watching   = 2 // the first instances watch the store
	scheduled  = 60
	healRounds = 4
)

// instance is one process with its document.
type instance struct {
	docs   *Documents
	store  *platformtest.Fake
	frozen bool
	// told are the instances whose heartbeat came since the start.
	told map[int]bool
	// floor is the highest revision seen in force; it must never fall.
	floor uint64
	// before is the highest revision that was in force before the restart.
	before uint64
}

// world is a fleet with its store.
type world struct {
	t        *rapid.T
	store    *platformtest.Fake
	all      []*instance
	opts     []Option
	down     bool
	serial   int
	accepted map[string]uint64 // revision by text
	refused  map[string]bool   // texts whose apply was refused for certain
	names    map[uint64]string // apply by revision in force anywhere
	problems []string
}

func newWorld(t *rapid.T, opts ...Option) *world {
	w := &world{
		t: t, store: platformtest.New(), opts: opts,
		accepted: map[string]uint64{}, refused: map[string]bool{}, names: map[uint64]string{},
	}
	for i := range fleetSize {
		w.all = append(w.all, nil)
		w.start(i)
	}
	return w
}

// start starts an instance from nothing.
func (w *world) start(i int) {
	n := &instance{store: w.store.Client(), told: map[int]bool{}}
	if old := w.all[i]; old != nil {
		n.before = max(old.before, old.floor)
	}
	n.store.SetUnreachable(false)
	options := append([]Option{
		WithWatcher(func() bool { return i < watching }),
		WithSettled(func() bool { return w.settled(n, i) }),
		WithPuller(link{world: w, own: n}), WithWait(0),
	}, w.opts...)
	n.docs = New(n.store, options...)
	n.docs.Subscribe(func(d revision.Document) { w.force(n, d) })
	w.all[i] = n
}

// settled: every instance that is not frozen was heard since the start.
func (w *world) settled(n *instance, own int) bool {
	for j, other := range w.all {
		if j != own && other != nil && !other.frozen && !n.told[j] {
			return false
		}
	}
	return true
}

// force checks every document that comes in force anywhere.
func (w *world) force(n *instance, d revision.Document) {
	if d.Revision < n.floor {
		w.problems = append(w.problems, fmt.Sprintf("revision %d in force after %d", d.Revision, n.floor))
	}
	if n.floor == 0 && d.Revision < min(n.before, w.reachable(n)) {
		w.problems = append(w.problems, fmt.Sprintf("revision %d in force after a restart at %d", d.Revision, n.before))
	}
	n.floor = d.Revision
	if name, seen := w.names[d.Revision]; seen && name != d.ApplyID {
		w.problems = append(w.problems, fmt.Sprintf("two documents of revision %d", d.Revision))
	}
	w.names[d.Revision] = d.ApplyID
	if w.refused[string(d.Text)] {
		w.problems = append(w.problems, fmt.Sprintf("refused text %s is in force", d.Text))
	}
}

// reachable returns the highest revision in force at other instances that answer.
func (w *world) reachable(n *instance) uint64 {
	var highest uint64
	for _, other := range w.all {
		if other != nil && other != n && !other.frozen {
			highest = max(highest, other.floor)
		}
	}
	return highest
}

// link lets one instance pull from the others, in the form that goes over the wire.
type link struct {
	world *world
	own   *instance
}

// Pull implements Puller.
func (l link) Pull(_ context.Context, from fleet.Instance, after uint64) (revision.Document, error) {
	var i int
	if _, err := fmt.Sscanf(string(from), "i%d", &i); err != nil || l.world.all[i].frozen {
		return revision.Document{}, errors.New("no answer")
	}
	raw, err := l.world.all[i].docs.Pack(after)
	if err != nil || raw == nil {
		return revision.Document{}, err
	}
	return l.own.docs.Unpack(raw)
}

func (w *world) step() {
	i := rapid.IntRange(0, fleetSize-1).Draw(w.t, "instance")
	n := w.all[i]
	kind := rapid.SampledFrom([]string{"turn", "turn", "turn", "beat", "beat", "apply", "store", "freeze", "restart"}).Draw(w.t, "step")
	switch {
	case kind == "restart":
		w.start(i)
	case kind == "freeze":
		n.frozen = !n.frozen
	case kind == "store":
		w.disturb()
	case n.frozen:
	case kind == "turn":
		w.turn(i)
	case kind == "beat":
		w.beat(i, rapid.IntRange(0, fleetSize-1).Draw(w.t, "to"))
	case kind == "apply":
		w.apply(n)
	}
}

// disturb draws the store's next fault.
func (w *world) disturb() {
	w.down = rapid.Bool().Draw(w.t, "down")
	w.store.Server().SetFaults(standin.Faults{
		Down:      w.down,
		LoseReply: rapid.IntRange(0, 2).Draw(w.t, "lose replies"),
		LoseWrite: rapid.IntRange(0, 2).Draw(w.t, "lose writes"),
	})
}

// turn is one pass of Run.
func (w *world) turn(i int) {
	d := w.all[i].docs
	d.pull(context.Background())
	d.settle(context.Background())
	if !d.watcher() {
		return
	}
	entry, err := d.store.Get(context.Background(), Key)
	if errors.Is(err, platform.ErrNotFound) {
		entry, err = platform.Entry{Key: Key}, nil
	}
	if err == nil {
		_ = d.take(context.Background(), entry)
	}
}

func (w *world) beat(from, to int) {
	current, _ := w.all[from].docs.Current()
	if w.all[to].frozen || from == to {
		return
	}
	w.all[to].told[from] = true
	w.all[to].docs.Heard(fleet.Instance(fmt.Sprintf("i%d", from)), current.Revision)
}

func (w *world) apply(n *instance) {
	w.serial++
	text := fmt.Sprint("text", w.serial)
	current, _ := n.docs.Current()
	rev, err := n.docs.Apply(context.Background(), current.Revision, []byte(text))
	switch {
	case err == nil:
		w.accepted[text] = rev
	case !errors.Is(err, platform.ErrUncertain):
		w.refused[text] = true
	}
}

// heal ends all faults and lets heartbeats go round.
func (w *world) heal() {
	w.store.Server().SetFaults(standin.Faults{})
	for _, n := range w.all {
		n.frozen = false
	}
	for range healRounds {
		for i := range w.all {
			w.turn(i)
			for j := range w.all {
				w.beat(i, j)
			}
		}
	}
}

// check: the same document everywhere, and every accepted apply in its history.
func (w *world) check(t *rapid.T) {
	require.Empty(t, w.problems)
	last, _ := w.all[0].docs.Current()
	for i, n := range w.all {
		current, _ := n.docs.Current()
		require.Equal(t, last.Revision, current.Revision, "instance %d", i)
		require.Equal(t, last.ApplyID, current.ApplyID)
	}
	for text, rev := range w.accepted {
		require.GreaterOrEqual(t, last.Revision, rev, text)
	}
	seen := map[uint64]string{}
	for text, rev := range w.accepted {
		require.NotContains(t, seen, rev, "%s and %s were both accepted", text, seen[rev])
		seen[rev] = text
	}
}

// lost counts accepted applies that are in force nowhere.
func (w *world) lost() int {
	last, _ := w.all[0].docs.Current()
	lost := 0
	for _, rev := range w.accepted {
		if rev > last.Revision {
			lost++
		}
	}
	return lost
}

func worlds(t *testing.T, check func(*rapid.T, *world), opts ...Option) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, opts...)
		for range scheduled {
			w.step()
		}
		w.heal()
		check(t, w)
	})
}
