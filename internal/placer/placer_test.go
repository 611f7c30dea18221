package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
)

func TestColdStartReachesEveryModel(t *testing.T) {
	w := newWorld(t)
	for _, e := range []fleet.Endpoint{"e1", "e2", "e3"} {
		w.endpoint(e, "d1", 32*gib, e == "e1")
	}
	names := []fleet.Model{"a", "b", "c", "d", "e", "f"}
	for _, m := range names {
		w.model(m, 6*gib, 2*gib, "x", "y")
	}
	w.placer("p1", "d1", true, WithParallel(DefaultParallel), WithLimits(ledger.Limits{Rate: 2, AtOnce: 3}))
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
