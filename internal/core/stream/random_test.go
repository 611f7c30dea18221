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
func (c *connection) total() uint64 { return uint64(answerTokens-c.firstToken) + 1 }

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
	s := &simulation{random: random, assembly: New(), now: coretest.Start}
	s.assembly.disabled = checks
	s.startAttempt(0)
	return s
}

func (s *simulation) startAttempt(firstToken int) {
	s.attempts++
	id := fmt.Sprintf("a%d", s.attempts)
	s.assembly.Begin(id, fleet.Endpoint("m"+id))
	s.connections = append(s.connections, &connection{attempt: id, firstToken: firstToken})
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
func (s *simulation) run() error {
	for range maxSteps {
		if s.assembly.State() != StateOpen {
			break
		}
		s.now = s.now.Add(time.Millisecond)
		s.step(s.connections[s.random(len(s.connections))])
		if !strings.HasPrefix(completeText(), s.received.String()) {
			return fmt.Errorf("caller received %q", s.received.String())
		}
	}
	if s.assembly.State() == StateComplete && (s.received.String() != completeText() || s.finished != 1) {
		return fmt.Errorf("reported complete with text %q, finished %d times", s.received.String(), s.finished)
	}
	return nil
}

func (s *simulation) step(l *connection) {
	switch s.random(8) {
	case 0:
		s.breakConnection(l, LossConnection)
	case 1:
		s.breakConnection(l, LossEndpoint)
	case 2:
		l.next -= min(l.next, uint64(s.random(3))) // pieces are delivered again
	case 3:
		l.next = min(l.next+uint64(s.random(2)), l.total()) // a piece is skipped
	default:
		s.deliver(l)
	}
}

func (s *simulation) deliver(l *connection) {
	if l.next == l.total() {
		s.assembly.End(l.attempt, l.total())
		return
	}
	p := Piece{Attempt: l.attempt, Offset: l.next, Data: finishPiece}
	if l.next+1 < l.total() {
		p.Data = textPiece(token(l.firstToken + int(l.next)))
	}
	l.next++
	passed, _ := s.assembly.Add(s.now, p)
	for _, piece := range passed {
		s.receive(piece)
	}
}

func (s *simulation) receive(p Piece) {
	content, unfinished := plainText(p.Data)
	s.received.WriteString(content)
	if !unfinished {
		s.finished++
	}
}

// breakConnection interrupts an attempt. The connection stays in the simulation, so its
// pieces may still arrive late.
func (s *simulation) breakConnection(l *connection, loss Loss) {
	if l.dead {
		return
	}
	l.dead = true
	decision := s.assembly.Interrupted(s.now, l.attempt, loss)
	switch decision.Step {
	case StepResume:
		s.connections = append(s.connections, &connection{attempt: l.attempt, firstToken: l.firstToken, next: decision.After})
	case StepRestart:
		s.startAttempt(0)
	case StepContinue:
		s.startAttempt(decision.Tokens)
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
