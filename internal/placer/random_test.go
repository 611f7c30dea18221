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

// seed is the default seed of the random schedules; the command line can override it.
const seed = "20260105"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// contendedFleet builds two data centres with three endpoints each, half of which check
// fences. Each endpoint has memory for two of the seven models, so that they compete.
func contendedFleet(w *simulation) {
	for i, name := range []fleet.Endpoint{"e1", "e2", "e3", "e4", "e5", "e6"} {
		w.endpoint(name, dataCentreOf(i/3), 24*gib, i%2 == 0)
	}
	for _, m := range []fleet.Model{"a", "b", "c", "d", "e", "f", "g"} {
		w.model(m, 8*gib, 2*gib, "x")
	}
	for i, name := range []string{"p1", "p2", "q1", "q2"} {
		w.placer(name, dataCentreOf(i/2), true, WithStartSpread(DefaultStartSpread), WithLimits(ledger.Limits{Rate: 2, MaxInFlight: 4}))
	}
}

func dataCentreOf(i int) fleet.DataCentre {
	return fleet.DataCentre([]string{"d1", "d2"}[i])
}

// faultEnd clears a fault at a given time.
type faultEnd struct {
	at    time.Time
	clear func()
}

// faultSchedule draws random faults and moves and runs them until an invariant is violated.
type faultSchedule struct {
	t         *rapid.T
	sim       *simulation
	random    *rand.Rand
	faultEnds []faultEnd
}

func (s *faultSchedule) run(steps int) {
	s.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(s.t, "fates"), 1))
	s.sim.drawDelivery = s.drawDelivery
	for range steps {
		s.proposeMove()
		if rapid.IntRange(0, 3).Draw(s.t, "fault now") == 0 {
			s.injectFault()
		}
		s.sim.advance()
		if len(s.sim.violations) > 0 {
			return
		}
		s.endDueFaults()
	}
}

// endDueFaults clears the faults whose end has been reached.
func (s *faultSchedule) endDueFaults() {
	var later []faultEnd
	for _, e := range s.faultEnds {
		if s.sim.now.Before(e.at) {
			later = append(later, e)
			continue
		}
		e.clear()
	}
	s.faultEnds = later
}

// proposeMove makes the planner of a random placer propose a random move once.
func (s *faultSchedule) proposeMove() {
	a := rapid.SampledFrom(s.sim.placers).Draw(s.t, "planner")
	e := rapid.SampledFrom(s.sim.sorted()).Draw(s.t, "at")
	m := rapid.SampledFrom(s.sim.wanted).Draw(s.t, "move").Model
	if rapid.Bool().Draw(s.t, "unload") {
		a.script.once = append(a.script.once, unload(m, e.name))
		return
	}
	a.script.once = append(a.script.once, load(m, e.name))
}

// injectFault starts one random fault; most kinds are cleared after a random time.
func (s *faultSchedule) injectFault() {
	w := s.sim
	a := rapid.SampledFrom(w.placers).Draw(s.t, "placer")
	e := rapid.SampledFrom(w.sorted()).Draw(s.t, "endpoint")
	d := time.Duration(rapid.IntRange(1, 40).Draw(s.t, "seconds")) * time.Second
	n := rapid.IntRange(1, 3).Draw(s.t, "calls")
	server := w.store.Server()
	clearFaults := func() { server.SetFaults(standin.Faults{}) }
	kinds := []string{
		"pause", "pause after write", "cut off", "store down", "store cut", "lose reply", "lose write", "restart", "kill",
	}
	kind := rapid.SampledFrom(kinds).Draw(s.t, "fault")
	w.logf("-- %s for %s: %s %s", kind, d, a.name, e.name)
	switch kind {
	case "pause":
		a.paused = true
		s.endAfter(d, func() { a.paused = false })
	case "pause after write":
		a.pauseAfterWrite(d)
	case "cut off":
		a.client.SetUnreachable(true)
		s.endAfter(d, func() { a.client.SetUnreachable(false) })
	case "store down", "store cut":
		server.SetFaults(standin.Faults{Down: kind == "store down", Cut: kind == "store cut"})
		s.endAfter(d, clearFaults)
	case "lose reply":
		server.SetFaults(standin.Faults{LoseReply: n})
	case "lose write":
		server.SetFaults(standin.Faults{LoseWrite: n})
	case "restart":
		w.restart(e.name)
	case "kill":
		w.kill(e.name)
		s.endAfter(d, func() { e.down = false })
	}
}

func (s *faultSchedule) endAfter(d time.Duration, clearFault func()) {
	s.faultEnds = append(s.faultEnds, faultEnd{at: s.sim.now.Add(d), clear: clearFault})
}

// drawDelivery draws what happens to an order: half of them are delayed, dropped or lose
// their answer. Orders are sent from other goroutines, where rapid must not draw, so it
// uses a random source of its own.
func (s *faultSchedule) drawDelivery(ledger.Order) delivery {
	switch s.random.IntN(8) {
	case 0, 1:
		return delivery{delay: time.Duration(1+s.random.IntN(60)) * time.Second}
	case 2:
		return delivery{dropped: true}
	case 3:
		return delivery{answerLost: true}
	default:
		return delivery{}
	}
}

// pauseAfterWrite pauses a placer once, just before it gets the answer to its next
// write, while the others keep running.
func (p *simPlacer) pauseAfterWrite(d time.Duration) {
	w := p.sim
	p.client.SetAfterRequest(func(path string) {
		if path != "/v1/txn" || p.paused {
			return
		}
		p.client.SetAfterRequest(nil)
		p.paused = true
		w.logf("%s is paused after a write", p.name)
		w.run(d)
		p.paused = false
		w.logf("%s goes on", p.name)
	})
}

// TestRandomFaultsKeepInvariants runs random fault schedules. The invariants are checked in
// each step, and once the faults have ended, every model must become available again.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	for _, changesReported := range []bool{false, true} {
		t.Run(fmt.Sprintf("changes reported %t", changesReported), func(t *testing.T) { runRandomFaults(t, changesReported) })
	}
}

func runRandomFaults(t *testing.T, changesReported bool) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(t)
		w.reportsChanges = changesReported
		contendedFleet(w)
		(&faultSchedule{t: rt, sim: w}).run(rapid.IntRange(20, 100).Draw(rt, "steps"))
		clearAllFaults(w)
		for range 240 {
			w.advance()
			if len(w.violations) > 0 {
				rt.Fatalf("%s", strings.Join(w.log, "\n"))
			}
			if w.unavailableModel() == "" {
				return
			}
		}
		rt.Fatalf("model %s is not available\n%s\n%+v", w.unavailableModel(), strings.Join(w.log, "\n"), w.statuses())
	})
}

// unavailableModel returns a model that is not ready on any endpoint, or "".
func (s *simulation) unavailableModel() fleet.Model {
	for _, m := range s.wanted {
		if len(s.ready(m.Model)) == 0 {
			return m.Model
		}
	}
	return ""
}

// TestRandomFaultsDetectDisabledMechanism checks that the random schedules are strong
// enough: with a safety mechanism disabled, one of them violates an invariant.
func TestRandomFaultsDetectDisabledMechanism(t *testing.T) {
	tests := []struct {
		name    string
		disable func(*disabledMechanisms)
	}{
		{"reservation", withLedgerOptions(ledger.WithoutReservation())},
		{"fence check", withLedgerOptions(ledger.WithoutFenceCheck())},
		{"seen unload", withLedgerOptions(ledger.WithoutObservedUnload())},
		{"write-ahead", func(s *disabledMechanisms) { s.writeAhead = true }},
		{"residence", func(s *disabledMechanisms) { s.residenceCheck = true }},
		{"cache", func(s *disabledMechanisms) { s.cacheAccounting = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violations := rapid.Custom(func(rt *rapid.T) string {
				w := newSimulation(t)
				contendedFleet(w)
				for _, a := range w.placers {
					tt.disable(&a.disabled)
				}
				(&faultSchedule{t: rt, sim: w}).run(100)
				return strings.Join(w.violations, "; ")
			})
			for i := range 200 {
				if found := violations.Example(i); found != "" {
					t.Logf("schedule %d: %s", i, found)
					return
				}
			}
			t.Fatal("no schedule violated an invariant")
		})
	}
}

// clearAllFaults ends all faults and restarts the endpoints that ignore fences, since only
// a restart can settle a lost order to them.
func clearAllFaults(w *simulation) {
	w.drawDelivery = nil
	w.logf("-- all faults end")
	w.store.Server().SetFaults(standin.Faults{})
	for _, a := range w.placers {
		a.paused = false
		a.client.SetUnreachable(false)
		a.client.SetAfterRequest(nil)
	}
	for _, e := range w.sorted() {
		e.down = false
		if !e.checksFence {
			w.restart(e.name)
		}
	}
}

func (s *simulation) statuses() []Status {
	var all []Status
	for _, a := range s.placers {
		all = append(all, a.Status())
	}
	return all
}

// TestNoOrderSentWithoutLease pauses the holder after it has recorded an order and before
// it sends it, until a successor holds the lease: the order must not be sent.
func TestNoOrderSentWithoutLease(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		w := newSimulation(t)
		singleEndpoint(false)(w)
		p1 := w.placerNamed("p1")
		p1.lease.ignoreExpiry = disabled
		w.run(2 * time.Second)
		p1.script.once = append(p1.script.once, load("a", "e1"))
		p1.pauseAfterWrite(40 * time.Second)
		w.run(60 * time.Second)
		require.True(t, w.placerNamed("p2").Status().Held, strings.Join(w.log, "\n"))
		require.Equal(t, disabled, w.sent > 0, "mechanism disabled: %v\n%s", disabled, strings.Join(w.log, "\n"))
	}
}

// TestWritesAreGuardedByTheLease pauses the holder just before it records an order, until a
// successor holds the lease: the record must not be written.
func TestWritesAreGuardedByTheLease(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		w := newSimulation(t)
		singleEndpoint(false)(w)
		p1 := w.placerNamed("p1")
		p1.disabled.leaseGuard = disabled
		w.run(4 * time.Second)
		p1.script.once = append(p1.script.once, load("a", "e1"))
		p1.client.SetBeforeRequest(func(path string) {
			if path == "/v1/txn" {
				p1.client.SetBeforeRequest(nil)
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
		require.Equal(t, disabled, len(record.PendingOrders()) > 0, "mechanism disabled: %v", disabled)
	}
}
