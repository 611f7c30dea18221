package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

// Size of the fleet in the store outage tests, and the store calls per second that
// placers may make. The store handles 2000 reads and 300 writes per second. Placers
// may use a tenth of the reads, which grow with the number of instances, and a quarter
// of the writes, which grow only with the number of data centres.
const (
	outageDataCentres  = 11
	outageInstances    = 420
	steadyStateSeconds = 120
	outageEndpoints    = 30 // in each data centre
	maxReads           = 2000 / 10
	maxWrites          = 300 / 4
)

// peakCalls holds the highest number of store calls in any one second.
type peakCalls struct {
	reads, writes uint64
}

// step advances all placers by one second and updates the peaks.
func (p *peakCalls) step(w *simulation) {
	before := w.store.Server().Calls()
	w.now = w.now.Add(tick)
	for _, a := range w.placers {
		if a.lease.id == "" && !a.lease.backoff.ready(w.now) {
			continue // the step would make no calls
		}
		_ = a.Step(w.t.Context(), w.now)
	}
	after := w.store.Server().Calls()
	p.reads = max(p.reads, after.Reads()-before.Reads())
	p.writes = max(p.writes, after.Writes()-before.Writes())
}

func (p *peakCalls) run(w *simulation, n int) {
	for range n {
		p.step(w)
	}
}

// withinBudget reports whether the peaks are within the placers' share of the store's rates.
func (p *peakCalls) withinBudget() bool {
	return p.reads <= maxReads && p.writes <= maxWrites
}

func newOutageSimulation(t *testing.T, noJitter bool) *simulation {
	t.Helper()
	w := newSimulation(t)
	w.ownTargetsOnly = true
	for m := range 20 {
		w.model(fleet.Model(fmt.Sprintf("m%02d", m)), 4*gib, gib)
	}
	for c := range outageDataCentres {
		for e := range outageEndpoints {
			name := fleet.Endpoint(fmt.Sprintf("e%02d-%02d", c, e))
			w.endpoint(name, fleet.DataCentre(fmt.Sprintf("d%02d", c)), 24*gib, true)
			w.preload(name, fleet.Model(fmt.Sprintf("m%02d", (c+e)%20)))
		}
	}
	for i := range outageInstances {
		a := w.placer(fmt.Sprintf("p%03d", i), fleet.DataCentre(fmt.Sprintf("d%02d", i%outageDataCentres)), false, WithStartSpread(DefaultStartSpread))
		a.lease.backoff.noJitter, a.storeBackoff.noJitter = noJitter, noJitter
	}
	return w
}

// TestStoreDownForAnHour keeps the store down for an hour of virtual time: no order is
// sent, moves resume afterwards, and at start, during the outage and at recovery the
// placers stay within their share of the store's rates. Without jitter they exceed it,
// since all of them call at the same time.
func TestStoreDownForAnHour(t *testing.T) {
	for _, noJitter := range []bool{false, true} {
		outage := 3600
		if noJitter {
			outage = 300 // long enough to show the peaks without jitter
		}
		w := newOutageSimulation(t, noJitter)
		startPeaks, downPeaks, recoveryPeaks := &peakCalls{}, &peakCalls{}, &peakCalls{}
		startPeaks.run(w, 60)
		require.Equal(t, outageDataCentres, w.leaseHolders())
		w.store.Server().SetFaults(standin.Faults{Down: true})
		sent := w.sent
		for _, a := range w.placers {
			a.script.repeated = append(a.script.repeated, load("m00", fleet.Endpoint("e"+string(a.dataCentre[1:])+"-07")))
		}
		downPeaks.run(w, outage)
		require.Equal(t, sent, w.sent, "orders were sent while the store was down")
		require.Zero(t, w.leaseHolders())
		w.store.Server().SetFaults(standin.Faults{})
		recoveryPeaks.run(w, 120)
		t.Logf("jitter disabled: %v; peak calls per second: start %+v, down %+v, recovery %+v", noJitter, *startPeaks, *downPeaks, *recoveryPeaks)
		require.Equal(t, outageDataCentres, w.leaseHolders())
		require.Greater(t, w.sent, sent, "moves resume after the outage")
		require.Equal(t, !noJitter, startPeaks.withinBudget(), "start, jitter disabled: %v", noJitter)
		require.Equal(t, !noJitter, downPeaks.withinBudget(), "down, jitter disabled: %v", noJitter)
		require.Equal(t, !noJitter, recoveryPeaks.withinBudget(), "recovery, jitter disabled: %v", noJitter)
	}
}

// TestSteadyStateStoreCalls measures the store calls per second of an idle fleet.
func TestSteadyStateStoreCalls(t *testing.T) {
	w := newOutageSimulation(t, false)
	(&peakCalls{}).run(w, 60)
	before := w.store.Server().Calls()
	(&peakCalls{}).run(w, steadyStateSeconds)
	after := w.store.Server().Calls()
	reads := float64(after.Reads()-before.Reads()) / steadyStateSeconds
	writes := float64(after.Writes()-before.Writes()) / steadyStateSeconds
	t.Logf("%d instances, %d data centres: %.1f reads and %.1f writes per second", outageInstances, outageDataCentres, reads, writes)
	require.Less(t, reads, float64(maxReads))
	require.Less(t, writes, float64(maxWrites))
}

func (s *simulation) leaseHolders() int {
	held := 0
	for _, a := range s.placers {
		if a.Status().Held {
			held++
		}
	}
	return held
}

// TestHolderStopsBeforeLeaseExpires checks that a holder that can't reach the store stops
// using its lease a full margin before the store expires it.
func TestHolderStopsBeforeLeaseExpires(t *testing.T) {
	w := newSimulation(t)
	singleEndpoint(true)(w)
	w.run(2 * time.Second)
	w.store.Server().SetFaults(standin.Faults{Down: true})
	for range 60 {
		w.now = w.now.Add(100 * time.Millisecond)
		_ = w.placerNamed("p1").Step(t.Context(), w.now)
	}
	until := w.placerNamed("p1").lease.expiresAt
	require.True(t, until.Add(DefaultMargin).Before(w.now.Add(DefaultTTL)))
	w.now = until
	require.False(t, w.placerNamed("p1").lease.live())
}

// TestStaleHolderStopsRenewingLease has a placer that can renew its lease, but whose record
// writes all fail after an endpoint died. It must let the lease expire, so that other data
// centres stop relying on copies that may be gone.
func TestStaleHolderStopsRenewingLease(t *testing.T) {
	for _, renewWhenStale := range []bool{false, true} {
		w := newSimulation(t)
		replicaPair(w)
		p1 := w.placerNamed("p1")
		p1.lease.renewWhenStale = renewWhenStale
		w.run(10 * time.Second)
		require.True(t, p1.Status().Reconciled)
		w.kill("e1")
		p1.client.SetBeforeRequest(func(path string) {
			if path == "/v1/txn" {
				w.store.Server().SetFaults(standin.Faults{LoseWrite: 1})
			}
		})
		w.run(DefaultLostAfter + DefaultTTL/3 + DefaultTTL + 2*tick)
		w.placerNamed("p2").copies.stale = true
		w.run(tick)
		require.Equal(t, renewWhenStale, w.placerNamed("p2").copies.placers["d1"].reconciled, "mechanism disabled: %v", renewWhenStale)
	}
}

// TestSlowStore delays every store call: moves become slow, but all models are still
// loaded and no invariant is violated.
func TestSlowStore(t *testing.T) {
	for _, slow := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second} {
		w := newSimulation(t)
		for _, e := range []fleet.Endpoint{"e1", "e2", "e3"} {
			w.endpoint(e, "d1", 24*gib, e == "e1")
		}
		for _, m := range []fleet.Model{"a", "b", "c", "d", "e"} {
			w.model(m, 8*gib, 2*gib, "x")
		}
		p := w.placer("p1", "d1", true, WithLimits(ledger.Limits{Rate: 2, MaxInFlight: 4}))
		w.store.Server().SetFaults(standin.Faults{SlowMillis: int(slow.Milliseconds())})
		w.run(10 * time.Minute)
		w.requireSafe()
		t.Logf("%s per call: %d orders, fence %d", slow, w.sent, p.Status().Fence)
		require.Empty(t, w.unavailableModel(), "%s per call\n%+v", slow, w.statuses())
	}
}
