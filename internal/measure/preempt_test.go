package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// A resumed stream emits only the remaining tokens of its answer; a cancelled one starts from scratch.
func TestPreemptedStreamRunsAgain(t *testing.T) {
	tests := []struct {
		mode      PreemptMode
		remaining time.Duration
	}{
		{mode: PreemptResume, remaining: 6 * time.Second},
		{mode: PreemptCancel, remaining: 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(string(tt.mode), func(t *testing.T) {
			d := Gopherline()
			p := Core()
			p.Preempt = tt.mode
			r := newSimulation(&d, &Scene{Length: time.Minute}, &p, 1)
			r.score = newScore(&d, r.scene, make([]*request, 1))
			class := Class{Profile: "notes", Rank: fleet.RankBulk, FirstTokenTarget: bulkFirstToken}
			step := modelPassTime + answerTokenTime
			answerTokens := int(10 * time.Second / step)
			c := &call{id: "0", req: &request{class: &class, promptTokens: 10, answerTokens: answerTokens, place: d.Centres[0].Place}}
			r.byID[c.id] = c
			r.forward(c)
			r.at(4*time.Second, func() { r.preempt(c) })
			r.at(5*time.Second, func() { r.resumePreempted(c) })
			r.runUntil(5*time.Second + tt.remaining - 200*time.Millisecond)
			require.Equal(t, callRunning, c.state)
			r.runUntil(5*time.Second + tt.remaining + 200*time.Millisecond)
			require.Equal(t, callFinished, c.state)
		})
	}
}
