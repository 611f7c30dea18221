package measure

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortScene returns a scene cut to a few minutes.
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

func play(d *Deployment, s *Scene, p Policy) Result {
	return newRun(d, s, &p, 1).play(arrivals(d, s, 1)).result(p.Name, 1)
}

func TestSameSeedSameResult(t *testing.T) {
	d := Gopherline()
	s := shortScene(t, &d, "ordinary day")
	first := play(&d, s, Core())
	second := play(&d, s, Core())
	require.Equal(t, first, second)
}

func TestNoMemoryOvercommitted(t *testing.T) {
	d := Gopherline()
	s := shortScene(t, &d, "cold start")
	p := Core()
	r := newRun(&d, s, &p, 1)
	r.every(time.Second, func() {
		for _, e := range r.engines {
			require.LessOrEqual(t, e.used, weightMemory)
		}
	})
	r.play(arrivals(&d, s, 1))
}

func TestReport(t *testing.T) {
	d := Gopherline()
	s := shortScene(t, &d, "flood of bulk")
	cell := Cell{Deployment: d.Name, Scene: s.Name, Policy: "chiveramp", Results: []Result{play(&d, s, Core())}}
	var out bytes.Buffer
	require.NoError(t, Report(&out, []Cell{cell}))
	require.Contains(t, out.String(), "Gopherline: flood of bulk")
	require.Contains(t, out.String(), "chiveramp")
}

// Loads within the weight store's limits: so many at once, and not all beginning together.
func TestStoreBoundKeepsTheLimits(t *testing.T) {
	d := Gopherline()
	ready := d.firstCopies()
	for m, end := range ready {
		begun := end - time.Duration(bytesOf(m)/gib)*loadTimePerGiB
		together := 0
		for other, otherEnd := range ready {
			if began := otherEnd - time.Duration(bytesOf(other)/gib)*loadTimePerGiB; began <= begun && begun < otherEnd {
				together++
			}
		}
		require.LessOrEqual(t, together, d.LoadsAtOnce)
	}
}
