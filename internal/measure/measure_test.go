package measure

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortScene returns the named scene, shortened to eight minutes.
func shortScene(t *testing.T, d *Deployment, name string) *Scene {
	t.Helper()
	for _, s := range Scenes(d) {
		if s.Name == name {
			s.Length = 8 * time.Minute
			s.Flood.Span = Span{From: 90 * time.Second, To: 4 * time.Minute}
			return &s
		}
	}
	require.Fail(t, "no such scene", name)
	return nil
}

func simulate(d *Deployment, s *Scene, p Policy) Result {
	return newSimulation(d, s, &p, 1).run(arrivals(d, s, 1)).result(p.Name, 1)
}

func TestSameSeedSameResult(t *testing.T) {
	d := Gopherline()
	s := shortScene(t, &d, "ordinary day")
	first := simulate(&d, s, Core())
	second := simulate(&d, s, Core())
	require.Equal(t, first, second)
}

func TestNoMemoryOvercommitted(t *testing.T) {
	d := Gopherline()
	s := shortScene(t, &d, "cold start")
	p := Core()
	r := newSimulation(&d, s, &p, 1)
	r.every(time.Second, func() {
		for _, e := range r.engines {
			require.LessOrEqual(t, e.usedBytes, weightMemory)
		}
	})
	r.run(arrivals(&d, s, 1))
}

func TestReport(t *testing.T) {
	d := Gopherline()
	s := shortScene(t, &d, "flood of bulk")
	cell := Cell{Deployment: d.Name, Scene: s.Name, Policy: "chiveramp", Results: []Result{simulate(&d, s, Core())}}
	var out bytes.Buffer
	require.NoError(t, Report(&out, []Cell{cell}))
	require.Contains(t, out.String(), "Gopherline: flood of bulk")
	require.Contains(t, out.String(), "chiveramp")
}

// Guards against a store bound that exceeds the limits of the weight store: on
// concurrent loads, and on the start rate, which keeps loads from starting together.
func TestStoreBoundRespectsLoadLimits(t *testing.T) {
	d := Gopherline()
	ready := d.firstCopyTimes()
	for m, end := range ready {
		start := end - time.Duration(modelBytes(m)/gib)*loadTimePerGiB
		concurrent := 0
		for other, otherEnd := range ready {
			if otherStart := otherEnd - time.Duration(modelBytes(other)/gib)*loadTimePerGiB; otherStart <= start && start < otherEnd {
				concurrent++
			}
		}
		require.LessOrEqual(t, concurrent, d.MaxConcurrentLoads)
	}
}
