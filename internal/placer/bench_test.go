package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// BenchmarkStep measures a step in an idle data centre of three sizes.
func BenchmarkStep(b *testing.B) {
	for _, endpoints := range []int{60, 200, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			w := newSimulation(b)
			w.ownTargetsOnly = true
			models := endpoints / 3
			for m := range models {
				w.model(fleet.Model(fmt.Sprintf("m%03d", m)), 8*gib, 2*gib)
			}
			for e := range endpoints {
				name := fleet.Endpoint(fmt.Sprintf("e%03d", e))
				w.endpoint(name, "d1", 24*gib, true)
				w.preload(name, fleet.Model(fmt.Sprintf("m%03d", e%models)))
			}
			p := w.placer("p1", "d1", true)
			w.run(time.Duration(endpoints) * time.Second)
			if !p.Status().Reconciled {
				b.Fatal(p.Status().Degraded)
			}
			b.ReportAllocs()
			for b.Loop() {
				w.now = w.now.Add(tick)
				_ = p.Step(b.Context(), w.now)
			}
		})
	}
}
