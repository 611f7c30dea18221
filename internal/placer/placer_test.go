package placer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
)

func TestColdStartLoadsEveryModel(t *testing.T) {
	w := newSimulation(t)
	for _, e := range []fleet.Endpoint{"e1", "e2", "e3"} {
		w.endpoint(e, "d1", 32*gib, e == "e1")
	}
	names := []fleet.Model{"a", "b", "c", "d", "e", "f"}
	for _, m := range names {
		w.model(m, 6*gib, 2*gib, "x", "y")
	}
	w.placer("p1", "d1", true, WithMaxConcurrentCalls(DefaultMaxConcurrentCalls), WithLimits(ledger.Limits{Rate: 2, MaxInFlight: 3}))
	w.run(40 * time.Second)
	w.requireSafe()
	for _, m := range names {
		require.NotEmpty(t, w.ready(m), "%s\n%v\n%v", m, w.log, w.placers[0].Status())
	}
	for _, e := range w.engines {
		for item := range e.held {
			require.NotNil(t, e.held[ledger.Item{Model: item.Model, Adapter: "x"}], "%s", item)
		}
	}
	require.Empty(t, w.placers[0].permits.Held())
	require.True(t, w.placers[0].Status().Reconciled)
}

// Idle endpoints are read only when their dispatchers report a change, and once per
// DefaultStateMaxAge. An order still requires that the endpoint was read in the same step,
// and a model whose only endpoint dies is loaded elsewhere.
func TestIdleEndpointsAreReadRarely(t *testing.T) {
	const minutes = 10
	reads := make(map[bool]int)
	for _, changesReported := range []bool{false, true} {
		w := newSimulation(t)
		w.reportsChanges = changesReported
		for i := range 20 {
			name := fleet.Endpoint(fmt.Sprintf("e%02d", i))
			model := fleet.Model(fmt.Sprintf("m%02d", i))
			w.endpoint(name, "d1", 24*gib, true)
			w.model(model, 8*gib, 2*gib)
			w.preload(name, model)
		}
		w.placer("p1", "d1", true)
		w.run(time.Minute)
		w.stateReads = 0
		w.run(minutes * time.Minute)
		reads[changesReported] = w.stateReads
		w.kill("e07")
		w.run(time.Minute)
		require.Empty(t, w.unavailableModel(), "the unavailable model was loaded elsewhere")
		w.requireSafe()
	}
	t.Logf("reads of 20 endpoints in %d minutes: %d without change reports, %d with them", minutes, reads[false], reads[true])
	require.LessOrEqual(t, reads[true], 20*int(minutes*time.Minute/DefaultStateMaxAge))
	require.Greater(t, reads[false], 10*reads[true])
}

// No changes are reported, and an endpoint that ignores fences has loaded a model that the
// placer has not recorded (as after a late order). The placer must read the endpoint's state
// before the next order, find that memory is short, and not send it.
func TestOrderRequiresFreshRead(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		w := newSimulation(t)
		w.hidesChanges = true
		w.endpoint("e1", "d1", 24*gib, false)
		for _, m := range []fleet.Model{"a", "late", "next"} {
			w.model(m, 8*gib, 2*gib)
		}
		w.wanted = w.wanted[:1]
		w.preload("e1", "a")
		p := w.placer("p1", "d1", false)
		p.disabled.freshRead = disabled
		w.run(10 * time.Second)
		w.model("next", 8*gib, 2*gib)
		w.preload("e1", "late")
		p.script.once = append(p.script.once, load("next", "e1"))
		w.run(10 * time.Second)
		require.Equal(t, disabled, len(w.violations) > 0, "mechanism disabled: %v\n%s", disabled, strings.Join(w.log, "\n"))
	}
}
