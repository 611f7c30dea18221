package placer

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// event is one timed step of a scenario's script; the text goes into the golden file.
type event struct {
	second int
	text   string
	do     func(*simulation)
}

// scenario is a script of timed events. Its golden file lists the events and every
// order that was sent, accepted or refused.
type scenario struct {
	name   string
	build  func(*simulation)
	script []event
	until  int
	// ready lists the endpoints on which each model must be ready at the end.
	ready map[fleet.Model][]fleet.Endpoint
	// disable switches off the mechanism that the scenario tests. Without it the
	// scenario must violate an invariant.
	disable func(*disabledMechanisms)
}

func (s scenario) run(t *testing.T, disable func(*disabledMechanisms)) *simulation {
	t.Helper()
	w := newSimulation(t)
	s.build(w)
	if disable != nil {
		for _, a := range w.placers {
			disable(&a.disabled)
		}
	}
	for second := range s.until {
		for _, e := range s.script {
			if e.second == second {
				w.logf("-- %s", e.text)
				e.do(w)
			}
		}
		w.advance()
	}
	return w
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			w := s.run(t, nil)
			w.requireSafe()
			for model, at := range s.ready {
				require.Equal(t, at, w.ready(model), "%s\n%s", model, strings.Join(w.log, "\n"))
			}
			requireGolden(t, s.name, strings.Join(w.log, "\n")+"\n")
		})
	}
}

// TestScenariosFailWithMechanismDisabled checks that each scenario violates an invariant
// when its mechanism is disabled.
func TestScenariosFailWithMechanismDisabled(t *testing.T) {
	for _, s := range scenarios() {
		if s.disable == nil {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			w := s.run(t, s.disable)
			require.NotEmpty(t, w.violations, strings.Join(w.log, "\n"))
			t.Log(w.violations[0])
		})
	}
}

func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", strings.ReplaceAll(name, " ", "-")+".golden")
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

func setPlan(name string, moves ...place.Move) func(*simulation) {
	return func(s *simulation) { s.placerNamed(name).script.repeated = moves }
}

func setPlanOnce(name string, moves ...place.Move) func(*simulation) {
	return func(s *simulation) { s.placerNamed(name).script.once = moves }
}

func pause(name string) func(*simulation) {
	return func(s *simulation) { s.placerNamed(name).paused = true }
}

func resume(name string) func(*simulation) {
	return func(s *simulation) { s.placerNamed(name).paused = false }
}

func setDeliveries(f ...delivery) func(*simulation) {
	return func(s *simulation) { s.deliveries = f }
}

func setFaults(f standin.Faults) func(*simulation) {
	return func(s *simulation) { s.store.Server().SetFaults(f) }
}

func restart(name fleet.Endpoint) func(*simulation) {
	return func(s *simulation) { s.restart(name) }
}

// singleEndpoint builds a data centre with one endpoint of 24 GiB, two placers, and models
// a and b, which do not fit together.
func singleEndpoint(checksFence bool) func(*simulation) {
	return func(s *simulation) {
		s.endpoint("e1", "d1", 24*gib, checksFence)
		s.model("a", 14*gib, 2*gib)
		s.model("b", 14*gib, 2*gib)
		s.model("c", 1*gib, 1*gib)
		s.placer("p1", "d1", false)
		s.placer("p2", "d1", false)
	}
}

// replicaPair builds two data centres with one endpoint each, both with model a loaded, and
// a model z that only fits on an endpoint without a.
func replicaPair(w *simulation) {
	w.endpoint("e1", "d1", 24*gib, true)
	w.endpoint("e2", "d2", 24*gib, true)
	w.model("a", 14*gib, 2*gib)
	w.model("z", 18*gib, 2*gib)
	w.preload("e1", "a")
	w.preload("e2", "a")
	w.placer("p1", "d1", false)
	w.placer("p2", "d2", false)
}

func unloadFor(model, needed fleet.Model, at fleet.Endpoint) place.Move {
	m := unload(model, at)
	m.For = needed
	return m
}

func withLedgerOptions(opts ...ledger.Option) func(*disabledMechanisms) {
	return func(s *disabledMechanisms) { s.ledgerOptions = opts }
}

func scenarios() []scenario {
	lateOrder := []event{
		{2, "the next order is delayed by 80 s", setDeliveries(delivery{delay: 80 * time.Second})},
		{2, "p1 plans a on e1, once", setPlanOnce("p1", load("a", "e1"))},
		{3, "p1 is paused", pause("p1")},
		{30, "p2 plans c on e1", setPlan("p2", load("c", "e1"))},
		{40, "p2 plans b on e1", setPlan("p2", load("b", "e1"))},
		{60, "p1 goes on", resume("p1")},
	}
	slowUnloads := func(w *simulation) {
		w.endpoint("e1", "d1", 24*gib, false)
		w.endpoint("e2", "d1", 24*gib, false)
		w.model("a", 14*gib, 2*gib)
		w.model("b", 14*gib, 2*gib)
		w.preload("e1", "a")
		w.preload("e2", "a")
		w.unloadTime = 8 * time.Second
		w.placer("p1", "d1", false)
	}
	return []scenario{
		{
			name: "late order at an engine that refuses old fences", build: singleEndpoint(true), script: lateOrder, until: 100,
			ready: map[fleet.Model][]fleet.Endpoint{"a": nil, "b": {"e1"}, "c": {"e1"}},
		},
		{
			name: "late order at an engine that ignores fences", build: singleEndpoint(false), script: lateOrder, until: 100,
			ready:   map[fleet.Model][]fleet.Endpoint{"a": {"e1"}, "b": nil, "c": {"e1"}},
			disable: withLedgerOptions(ledger.WithoutFenceCheck()),
		},
		{
			name: "late order without a record", build: singleEndpoint(false), script: lateOrder, until: 100,
			disable: func(s *disabledMechanisms) { s.writeAhead = true },
		},
		{
			name: "order answered late", build: singleEndpoint(false), until: 60,
			script: []event{
				{2, "the next order is delayed by 30 s", setDeliveries(delivery{delay: 30 * time.Second})},
				{2, "p1 plans a on e1, once", setPlanOnce("p1", load("a", "e1"))},
				{5, "p1 plans b on e1", setPlan("p1", load("b", "e1"))},
			},
			ready:   map[fleet.Model][]fleet.Endpoint{"a": {"e1"}, "b": nil},
			disable: withLedgerOptions(ledger.WithoutReservation()),
		},
		{
			name: "order that never arrives at an engine that refuses old fences", build: singleEndpoint(true), until: 60,
			script: []event{
				{2, "the next order is dropped", setDeliveries(delivery{dropped: true})},
				{2, "p1 plans a on e1, once", setPlanOnce("p1", load("a", "e1"))},
				{5, "p1 plans b on e1", setPlan("p1", load("b", "e1"))},
			},
			ready: map[fleet.Model][]fleet.Endpoint{"a": nil, "b": {"e1"}},
		},
		{
			name: "order that never arrives at an engine that ignores fences", build: singleEndpoint(false), until: 4000,
			script: []event{
				{2, "the next order is dropped", setDeliveries(delivery{dropped: true})},
				{2, "p1 plans a on e1, once", setPlanOnce("p1", load("a", "e1"))},
				{5, "p1 plans b on e1", setPlan("p1", load("b", "e1"))},
				{3900, "e1 restarts", restart("e1")},
			},
			ready: map[fleet.Model][]fleet.Endpoint{"a": nil, "b": {"e1"}},
		},
		{
			name: "order answered after a restart", build: singleEndpoint(false), until: 60,
			script: []event{
				{2, "the next order is delayed by 40 s", setDeliveries(delivery{delay: 40 * time.Second})},
				{2, "p1 plans a on e1, once", setPlanOnce("p1", load("a", "e1"))},
				{5, "p1 plans b on e1", setPlan("p1", load("b", "e1"))},
				{20, "e1 restarts", restart("e1")},
			},
			ready: map[fleet.Model][]fleet.Endpoint{"a": nil, "b": {"e1"}},
		},
		{
			name: "unload not seen while the next load is due", build: slowUnloads, until: 30,
			script: []event{
				{2, "p1 plans b for a on e1", setPlan("p1", unload("a", "e1"), load("b", "e1"))},
			},
			ready:   map[fleet.Model][]fleet.Endpoint{"a": {"e2"}, "b": {"e1"}},
			disable: withLedgerOptions(ledger.WithoutObservedUnload()),
		},
		{
			name: "store down in the middle of a move", build: slowUnloads, until: 160,
			script: []event{
				{2, "p1 plans b for a on e1", setPlan("p1", unload("a", "e1"), load("b", "e1"))},
				{6, "the store goes down", setFaults(standin.Faults{Down: true})},
				{90, "the store is back", setFaults(standin.Faults{})},
			},
			ready: map[fleet.Model][]fleet.Endpoint{"a": {"e2"}, "b": {"e1"}},
		},
		{
			name: "new version beside the old", until: 40,
			build: func(w *simulation) {
				w.endpoint("e1", "d1", 24*gib, false)
				w.endpoint("e2", "d1", 24*gib, false)
				for _, m := range []fleet.Model{"a@1", "a@2", "a@3"} {
					w.model(m, 9*gib, 2*gib)
				}
				w.preload("e1", "a@1")
				w.preload("e2", "a@1")
				w.placer("p1", "d1", false)
			},
			script: []event{
				{2, "p1 plans a@2 and a@3 on e1", setPlan("p1", load("a@2", "e1"), load("a@3", "e1"))},
				{15, "p1 plans a@3 for a@1 on e1", setPlan("p1", unload("a@1", "e1"), load("a@3", "e1"))},
			},
			ready: map[fleet.Model][]fleet.Endpoint{"a@1": {"e2"}, "a@2": {"e1"}, "a@3": {"e1"}},
		},
		{
			name: "adapters and cache are counted", until: 30,
			build: func(w *simulation) {
				w.endpoint("e1", "d1", 24*gib, false)
				w.model("a", 9*gib, 2*gib, "x", "y")
				w.model("b", 8*gib, 2*gib)
				w.model("c", 4*gib, 1*gib)
				w.placer("p1", "d1", false)
			},
			script: []event{
				{2, "p1 plans a, b and c on e1", setPlan("p1", load("a", "e1"), load("b", "e1"), load("c", "e1"))},
			},
			ready:   map[fleet.Model][]fleet.Endpoint{"a": {"e1"}, "b": {"e1"}, "c": nil},
			disable: func(s *disabledMechanisms) { s.cacheAccounting = true },
		},
		{
			name: "two data centres drop the last two copies", build: replicaPair, until: 60,
			script: []event{
				{12, "p1 plans z for a on e1", setPlan("p1", unloadFor("a", "z", "e1"), load("z", "e1"))},
				{12, "p2 plans z for a on e2", setPlan("p2", unloadFor("a", "z", "e2"), load("z", "e2"))},
			},
			ready:   map[fleet.Model][]fleet.Endpoint{"a": {"e2"}, "z": {"e1"}},
			disable: func(s *disabledMechanisms) { s.residenceCheck = true },
		},
		{
			name: "only endpoint of a model dies", until: 45,
			build: func(w *simulation) {
				for _, e := range []fleet.Endpoint{"e1", "e2", "e3"} {
					w.endpoint(e, "d1", 24*gib, false)
				}
				w.model("a", 9*gib, 2*gib)
				w.model("b", 9*gib, 2*gib)
				w.preload("e1", "a")
				w.preload("e3", "b")
				w.placer("p1", "d1", true)
			},
			script: []event{{20, "e1 dies", func(w *simulation) { w.kill("e1") }}},
			ready:  map[fleet.Model][]fleet.Endpoint{"a": {"e2"}, "b": {"e3"}},
		},
		{
			name: "data centre back without its models", build: replicaPair, until: 160,
			script: []event{
				{20, "d2 is lost", func(w *simulation) { w.kill("e2"); pause("p2")(w) }},
				{60, "p1 plans z for a on e1", setPlan("p1", unloadFor("a", "z", "e1"), load("z", "e1"))},
				{100, "d2 is back, its endpoint empty", func(w *simulation) { w.restart("e2"); resume("p2")(w) }},
			},
			ready:   map[fleet.Model][]fleet.Endpoint{"a": {"e1"}, "z": nil},
			disable: func(s *disabledMechanisms) { s.reconciledCheck = true },
		},
		{
			name: "data centre back with its old state", build: replicaPair, until: 160,
			script: []event{
				{20, "d2 is cut off", func(w *simulation) { w.engines["e2"].down = true; pause("p2")(w) }},
				{60, "p1 plans z for a on e1", setPlan("p1", unloadFor("a", "z", "e1"), load("z", "e1"))},
				{100, "d2 is back", func(w *simulation) { w.engines["e2"].down = false; resume("p2")(w) }},
			},
			ready: map[fleet.Model][]fleet.Endpoint{"a": {"e2"}, "z": {"e1"}},
		},
	}
}
