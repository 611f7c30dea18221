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
	worldTokens = 8
	worldSteps  = 60
)

// line is a connection on which pieces of one attempt arrive, in order.
type line struct {
	attempt string
	from    int // token with which the attempt begins
	next    uint64
	dead    bool
}

// total is the number of pieces of the line's attempt: its tokens and the finish.
func (l *line) total() uint64 { return uint64(worldTokens-l.from) + 1 }

// world is a caller, an assembly and lines that deliver, repeat, cross and break.
type world struct {
	choose   func(most int) int
	assembly *Assembly
	lines    []*line
	attempts int
	now      time.Time
	caller   strings.Builder
	finished int
}

func newWorld(choose func(int) int, off guards) *world {
	w := &world{choose: choose, assembly: New(), now: coretest.Start}
	w.assembly.guards = off
	w.attempt(0)
	return w
}

func (w *world) attempt(from int) {
	w.attempts++
	id := fmt.Sprintf("a%d", w.attempts)
	w.assembly.Begin(id, fleet.Endpoint("m"+id))
	w.lines = append(w.lines, &line{attempt: id, from: from})
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func whole() string {
	var text strings.Builder
	for i := range worldTokens {
		text.WriteString(token(i))
	}
	return text.String()
}

// run takes steps until the answer has ended, and tells the first broken promise.
func (w *world) run() error {
	for range worldSteps {
		if w.assembly.State() != StateOpen {
			break
		}
		w.now = w.now.Add(time.Millisecond)
		w.step(w.lines[w.choose(len(w.lines))])
		if !strings.HasPrefix(whole(), w.caller.String()) {
			return fmt.Errorf("caller has %q", w.caller.String())
		}
	}
	if w.assembly.State() == StateWhole && (w.caller.String() != whole() || w.finished != 1) {
		return fmt.Errorf("said to be whole: %q, finished %d times", w.caller.String(), w.finished)
	}
	return nil
}

func (w *world) step(l *line) {
	switch w.choose(8) {
	case 0:
		w.cut(l, LossConnection)
	case 1:
		w.cut(l, LossEndpoint)
	case 2:
		l.next -= min(l.next, uint64(w.choose(3))) // the same pieces again
	case 3:
		l.next = min(l.next+uint64(w.choose(2)), l.total()) // one is overtaken
	default:
		w.deliver(l)
	}
}

func (w *world) deliver(l *line) {
	if l.next == l.total() {
		w.assembly.End(l.attempt, l.total())
		return
	}
	p := Piece{Attempt: l.attempt, Offset: l.next, Data: finishPiece}
	if l.next+1 < l.total() {
		p.Data = textPiece(token(l.from + int(l.next)))
	}
	l.next++
	passed, _ := w.assembly.Add(w.now, p)
	for _, piece := range passed {
		w.receive(piece)
	}
}

func (w *world) receive(p Piece) {
	content, goesOn := plainText(p.Data)
	w.caller.WriteString(content)
	if !goesOn {
		w.finished++
	}
}

// cut breaks a line. Its pieces may still come late, for it stays in the world.
func (w *world) cut(l *line, loss Loss) {
	if l.dead {
		return
	}
	l.dead = true
	decision := w.assembly.Cut(w.now, l.attempt, loss)
	switch decision.Step {
	case StepResume:
		w.lines = append(w.lines, &line{attempt: l.attempt, from: l.from, next: decision.After})
	case StepRestart:
		w.attempt(0)
	case StepContinue:
		w.attempt(decision.Tokens)
	}
}

func TestRandomCutsCrossedAndLatePieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(func(most int) int { return rapid.IntRange(0, most-1).Draw(rt, "choice") }, guards{})
		require.NoError(rt, w.run())
	})
}

func TestEveryScheduleThatDeliversEndsWhole(t *testing.T) {
	ended := map[State]int{}
	for seed := range uint64(2000) {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN, guards{})
		require.NoError(t, w.run(), "seed %d", seed)
		ended[w.assembly.State()]++
	}
	assert.Greater(t, ended[StateWhole], 500, "%v", ended)
	assert.Greater(t, ended[StateFailed], 50, "%v", ended)
}

func TestRandomSchedulesBreakWithAMechanismOff(t *testing.T) {
	cases := []struct {
		name string
		off  guards
	}{
		{"attempts", guards{noAttempts: true}},
		{"offsets", guards{noOffsets: true}},
		{"marker", guards{noMarker: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			broken := 0
			for seed := range uint64(500) {
				if newWorld(rand.New(rand.NewPCG(seed, 1)).IntN, tc.off).run() != nil {
					broken++
				}
			}
			t.Logf("%d of 500 schedules broke a promise", broken)
			assert.Positive(t, broken)
		})
	}
}
