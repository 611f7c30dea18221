package stream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

const (
	answerTokens = 8
	maxSteps     = 60
)

// connection delivers the pieces of one attempt, in order.
type connection struct {
	attempt    string
	firstToken int // index of the token that the attempt begins with
	next       uint64
	dead       bool
}

// total is the number of pieces of the attempt: its tokens and the finish reason.
func (l *connection) total() uint64 { return uint64(answerTokens-l.firstToken) + 1 }

// simulation has a caller, an Assembly, and connections that deliver, repeat, reorder
// and skip pieces and break.
type simulation struct {
	random      func(n int) int
	assembly    *Assembly
	connections []*connection
	attempts    int
	now         time.Time
	received    strings.Builder
	finished    int
}

func newSimulation(random func(int) int, checks disabledChecks) *simulation {
	w := &simulation{random: random, assembly: New(), now: coretest.Start}
	w.assembly.disabled = checks
	w.startAttempt(0)
	return w
}

func (w *simulation) startAttempt(firstToken int) {
	w.attempts++
	id := fmt.Sprintf("a%d", w.attempts)
	w.assembly.Begin(id, fleet.Endpoint("m"+id))
	w.connections = append(w.connections, &connection{attempt: id, firstToken: firstToken})
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func completeText() string {
	var text strings.Builder
	for i := range answerTokens {
		text.WriteString(token(i))
	}
	return text.String()
}

// run takes steps until the answer has ended. It returns an error if the caller received
// anything but a prefix of the answer, or the answer is reported complete and isn't.
func (w *simulation) run() error {
	for range maxSteps {
		if w.assembly.State() != StateOpen {
			break
		}
		w.now = w.now.Add(time.Millisecond)
		w.step(w.connections[w.random(len(w.connections))])
		if !strings.HasPrefix(completeText(), w.received.String()) {
			return fmt.Errorf("caller received %q", w.received.String())
		}
	}
	if w.assembly.State() == StateComplete && (w.received.String() != completeText() || w.finished != 1) {
		return fmt.Errorf("reported complete with text %q, finished %d times", w.received.String(), w.finished)
	}
	return nil
}

func (w *simulation) step(l *connection) {
	switch w.random(8) {
	case 0:
		w.breakConnection(l, LossConnection)
	case 1:
		w.breakConnection(l, LossEndpoint)
	case 2:
		l.next -= min(l.next, uint64(w.random(3))) // pieces are delivered again
	case 3:
		l.next = min(l.next+uint64(w.random(2)), l.total()) // a piece is skipped
	default:
		w.deliver(l)
	}
}

func (w *simulation) deliver(l *connection) {
	if l.next == l.total() {
		w.assembly.End(l.attempt, l.total())
		return
	}
	p := Piece{Attempt: l.attempt, Offset: l.next, Data: finishPiece}
	if l.next+1 < l.total() {
		p.Data = textPiece(token(l.firstToken + int(l.next)))
	}
	l.next++
	passed, _ := w.assembly.Add(w.now, p)
	for _, piece := range passed {
		w.receive(piece)
	}
}

func (w *simulation) receive(p Piece) {
	content, unfinished := plainText(p.Data)
	w.received.WriteString(content)
	if !unfinished {
		w.finished++
	}
}

// breakConnection interrupts an attempt. The connection stays in the simulation, so its
// pieces may still arrive late.
func (w *simulation) breakConnection(l *connection, loss Loss) {
	if l.dead {
		return
	}
	l.dead = true
	decision := w.assembly.Interrupted(w.now, l.attempt, loss)
	switch decision.Step {
	case StepResume:
		w.connections = append(w.connections, &connection{attempt: l.attempt, firstToken: l.firstToken, next: decision.After})
	case StepRestart:
		w.startAttempt(0)
	case StepContinue:
		w.startAttempt(decision.Tokens)
	}
}

func TestRandomInterruptionsReorderedAndLatePieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }, disabledChecks{})
		require.NoError(rt, w.run())
	})
}

func TestRandomSchedulesCompleteOrFail(t *testing.T) {
	ended := map[State]int{}
	for seed := range uint64(2000) {
		w := newSimulation(rand.New(rand.NewPCG(seed, 1)).IntN, disabledChecks{})
		require.NoError(t, w.run(), "seed %d", seed)
		ended[w.assembly.State()]++
	}
	assert.Greater(t, ended[StateComplete], 500, "%v", ended)
	assert.Greater(t, ended[StateFailed], 50, "%v", ended)
}

func TestRandomSchedulesFailWithMechanismDisabled(t *testing.T) {
	cases := []struct {
		name     string
		disabled disabledChecks
	}{
		{"attempts", disabledChecks{attemptID: true}},
		{"offsets", disabledChecks{offset: true}},
		{"marker", disabledChecks{endMarker: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			violations := 0
			for seed := range uint64(500) {
				if newSimulation(rand.New(rand.NewPCG(seed, 1)).IntN, tc.disabled).run() != nil {
					violations++
				}
			}
			t.Logf("%d of 500 schedules violated an invariant", violations)
			assert.Positive(t, violations)
		})
	}
}
