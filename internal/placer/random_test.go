package placer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

// seed of the random schedules, unless the command line names one.
const seed = "20260105"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// city builds two data centres with three endpoints each, of both kinds. Each
// endpoint has room for two of the models, so that they compete for memory.
func city(w *world) {
	for i, name := range []fleet.Endpoint{"e1", "e2", "e3", "e4", "e5", "e6"} {
		w.endpoint(name, centreOf(i/3), 24*gib, i%2 == 0)
	}
	for _, m := range []fleet.Model{"a", "b", "c", "d", "e", "f", "g"} {
		w.model(m, 8*gib, 2*gib, "x")
	}
	for i, name := range []string{"p1", "p2", "q1", "q2"} {
		w.placer(name, centreOf(i/2), true, WithStart(DefaultStart), WithLimits(ledger.Limits{Rate: 2, MaxInFlight: 4}))
	}
}

func centreOf(i int) fleet.DataCentre {
	return fleet.DataCentre([]string{"d1", "d2"}[i])
}

// ending is a fault that ends at a given time.
type ending struct {
	at time.Time
	do func()
}

// schedule draws faults and moves and plays them until an invariant breaks.
type schedule struct {
	t       *rapid.T
	w       *world
	random  *rand.Rand
	endings []ending
}

func (s *schedule) play(steps int) {
	s.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(s.t, "fates"), 1))
	s.w.roll = s.fate
	for range steps {
		s.propose()
		if rapid.IntRange(0, 3).Draw(s.t, "fault now") == 0 {
			s.disturb()
		}
		s.w.advance()
		if len(s.w.violations) > 0 {
			return
		}
		s.end()
	}
}

// end ends the faults that are due.
func (s *schedule) end() {
	var later []ending
	for _, e := range s.endings {
		if s.w.now.Before(e.at) {
			later = append(later, e)
			continue
		}
		e.do()
	}
	s.endings = later
}

// propose makes a placer want a random move.
func (s *schedule) propose() {
	a := rapid.SampledFrom(s.w.placers).Draw(s.t, "planner")
	e := rapid.SampledFrom(s.w.sorted()).Draw(s.t, "at")
	m := rapid.SampledFrom(s.w.wanted).Draw(s.t, "move").Model
	if rapid.Bool().Draw(s.t, "unload") {
		a.plan.once = append(a.plan.once, unload(m, e.name))
		return
	}
	a.plan.once = append(a.plan.once, load(m, e.name))
}

// disturb makes one fault happen, and most of them end some time later.
func (s *schedule) disturb() {
	w := s.w
	a := rapid.SampledFrom(w.placers).Draw(s.t, "placer")
	e := rapid.SampledFrom(w.sorted()).Draw(s.t, "endpoint")
	d := time.Duration(rapid.IntRange(1, 40).Draw(s.t, "seconds")) * time.Second
	n := rapid.IntRange(1, 3).Draw(s.t, "calls")
	server := w.store.Server()
	well := func() { server.SetFaults(standin.Faults{}) }
	kinds := []string{
		"pause", "pause after write", "cut off", "store down", "store cut", "lose reply", "lose write", "restart", "kill",
	}
	kind := rapid.SampledFrom(kinds).Draw(s.t, "fault")
	w.notef("-- %s for %s: %s %s", kind, d, a.name, e.name)
	switch kind {
	case "pause":
		a.paused = true
		s.later(d, func() { a.paused = false })
	case "pause after write":
		a.pauseAfterWrite(d)
	case "cut off":
		a.client.SetUnreachable(true)
		s.later(d, func() { a.client.SetUnreachable(false) })
	case "store down", "store cut":
		server.SetFaults(standin.Faults{Down: kind == "store down", Cut: kind == "store cut"})
		s.later(d, well)
	case "lose reply":
		server.SetFaults(standin.Faults{LoseReply: n})
	case "lose write":
		server.SetFaults(standin.Faults{LoseWrite: n})
	case "restart":
		w.restart(e.name)
	case "kill":
		w.kill(e.name)
		s.later(d, func() { e.down = false })
	}
}

func (s *schedule) later(d time.Duration, do func()) {
	s.endings = append(s.endings, ending{at: s.w.now.Add(d), do: do})
}

// fate draws what becomes of an order: half of them go astray. Orders leave
// from other goroutines, which rapid's draws may not.
func (s *schedule) fate(ledger.Order) fate {
	switch s.random.IntN(8) {
	case 0, 1:
		return fate{delay: time.Duration(1+s.random.IntN(60)) * time.Second}
	case 2:
		return fate{dropped: true}
	case 3:
		return fate{silent: true}
	default:
		return fate{}
	}
}

// pauseAfterWrite stops a placer once, just before it sees the answer to its
// next write, while the others go on.
func (a *actor) pauseAfterWrite(d time.Duration) {
	w := a.world
	a.client.SetAfter(func(path string) {
		if path != "/v1/txn" || a.paused {
			return
		}
		a.client.SetAfter(nil)
		a.paused = true
		w.notef("%s is paused after a write", a.name)
		w.run(d)
		a.paused = false
		w.notef("%s goes on", a.name)
	})
}

// TestRandomFaults runs random schedules of faults. The invariants are checked
// after each step; after the faults have ended, every model must be reachable.
func TestRandomFaults(t *testing.T) {
	for _, told := range []bool{false, true} {
		t.Run(fmt.Sprintf("told of changes %t", told), func(t *testing.T) { randomFaults(t, told) })
	}
}

func randomFaults(t *testing.T, told bool) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t)
		w.told = told
		city(w)
		(&schedule{t: rt, w: w}).play(rapid.IntRange(20, 100).Draw(rt, "steps"))
		heal(w)
		for range 240 {
			w.advance()
			if len(w.violations) > 0 {
				rt.Fatalf("%s", strings.Join(w.log, "\n"))
			}
			if w.lost() == "" {
				return
			}
		}
		rt.Fatalf("model %s is not reachable\n%s\n%+v", w.lost(), strings.Join(w.log, "\n"), w.statuses())
	})
}

// lost returns a model that no endpoint has ready, or nothing.
func (w *world) lost() fleet.Model {
	for _, m := range w.wanted {
		if len(w.ready(m.Model)) == 0 {
			return m.Model
		}
	}
	return ""
}

// TestRandomFaultsFindWhatIsOff shows that the schedules are hard enough: with
// a mechanism off, one of them breaks an invariant.
func TestRandomFaultsFindWhatIsOff(t *testing.T) {
	tests := []struct {
		name string
		off  func(*switches)
	}{
		{"reservation", ledgerOff(ledger.WithoutReservation())},
		{"fence check", ledgerOff(ledger.WithoutFenceCheck())},
		{"seen unload", ledgerOff(ledger.WithoutSeenUnload())},
		{"write-ahead", func(s *switches) { s.writeAhead = true }},
		{"residence", func(s *switches) { s.residence = true }},
		{"cache", func(s *switches) { s.cache = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			broken := rapid.Custom(func(rt *rapid.T) string {
				w := newWorld(t)
				city(w)
				for _, a := range w.placers {
					tt.off(&a.off)
				}
				(&schedule{t: rt, w: w}).play(100)
				return strings.Join(w.violations, "; ")
			})
			for i := range 200 {
				if found := broken.Example(i); found != "" {
					t.Logf("schedule %d: %s", i, found)
					return
				}
			}
			t.Fatal("no schedule found it")
		})
	}
}

// heal ends all faults. Endpoints that ignore fences start anew if an order to
// them is still unsettled, since nothing else can settle it.
func heal(w *world) {
	w.roll = nil
	w.notef("-- all faults end")
	w.store.Server().SetFaults(standin.Faults{})
	for _, a := range w.placers {
		a.paused = false
		a.client.SetUnreachable(false)
		a.client.SetAfter(nil)
	}
	for _, e := range w.sorted() {
		e.down = false
		if !e.checks {
			w.restart(e.name)
		}
	}
}

func (w *world) statuses() []Status {
	var all []Status
	for _, a := range w.placers {
		all = append(all, a.Status())
	}
	return all
}

// TestNoOrderLeavesWithoutLease pauses the holder between its record and its
// order until a successor has the lease.
func TestNoOrderLeavesWithoutLease(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := newWorld(t)
		one(false)(w)
		p1 := w.named("p1")
		p1.lease.trusting = off
		w.run(2 * time.Second)
		p1.plan.once = append(p1.plan.once, load("a", "e1"))
		p1.pauseAfterWrite(40 * time.Second)
		w.run(60 * time.Second)
		require.True(t, w.named("p2").Status().Held, strings.Join(w.log, "\n"))
		require.Equal(t, off, w.sent > 0, "mechanism off: %v\n%s", off, strings.Join(w.log, "\n"))
	}
}

// TestWritesAreGuardedByTheLease pauses the holder just before its record
// until a successor has the lease: the record must not be written.
func TestWritesAreGuardedByTheLease(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := newWorld(t)
		one(false)(w)
		p1 := w.named("p1")
		p1.off.holder = off
		w.run(4 * time.Second)
		p1.plan.once = append(p1.plan.once, load("a", "e1"))
		p1.client.SetBefore(func(path string) {
			if path == "/v1/txn" {
				p1.client.SetBefore(nil)
				p1.paused = true
				w.run(40 * time.Second)
				p1.paused = false
			}
		})
		w.run(4 * time.Second)
		entry, err := w.store.Get(t.Context(), ledger.Key("d1", "e1"))
		require.NoError(t, err)
		record, err := ledger.Decode("e1", entry.Value)
		require.NoError(t, err)
		require.Equal(t, off, len(record.PendingOrders()) > 0, "mechanism off: %v", off)
	}
}
