package stream

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

const (
	sessionRetainedBytes = 1 << 10
	sessionRetention     = time.Minute
)

func textPiece(content string) []byte {
	return fmt.Appendf(nil, `{"id":"x","choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, content)
}

var finishPiece = []byte(`{"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)

// session runs a script whose verbs are the methods of Assembly.
type session struct {
	assembly *Assembly
	disabled disabledChecks
}

func newSession(checks disabledChecks) coretest.Handler {
	s := &session{assembly: New(WithRetention(sessionRetainedBytes, sessionRetention), WithMaxResumes(2), WithMaxPending(2)), disabled: checks}
	s.assembly.disabled = checks
	return s.handle
}

func (s *session) handle(now time.Time, e coretest.Event) []string {
	number, _ := strconv.ParseUint(e.Field(1), 10, 64)
	switch e.Verb {
	case "once":
		s.assembly = New(WithRunOnce())
		s.assembly.disabled = s.disabled
	case "begin":
		s.assembly.Begin(e.Field(0), fleet.Endpoint(e.Field(1)))
	case "adopt":
		have, _ := strconv.ParseUint(e.Field(2), 10, 64)
		s.assembly.Adopt(e.Field(0), fleet.Endpoint(e.Field(1)), have)
	case "piece":
		return s.piece(now, Piece{Attempt: e.Field(0), Offset: number, Data: pieceData(e.Field(2))})
	case "end":
		return []string{string(s.assembly.End(e.Field(0), number))}
	case "cut":
		return []string{describeDecision(s.assembly.Interrupted(now, e.Field(0), Loss(e.Field(1))))}
	case "since":
		return s.since(now, e.Field(0), number)
	}
	return nil
}

func pieceData(content string) []byte {
	if content == "finish" {
		return finishPiece
	}
	return textPiece(content)
}

func (s *session) piece(now time.Time, p Piece) []string {
	passed, result := s.assembly.Add(now, p)
	return append([]string{string(result)}, describePieces(passed)...)
}

func (s *session) since(now time.Time, attempt string, have uint64) []string {
	pieces, err := s.assembly.Since(now, attempt, have)
	if err != nil {
		return []string{err.Error()}
	}
	return describePieces(pieces)
}

func describePieces(pieces []Piece) []string {
	var lines []string
	for _, p := range pieces {
		content, _ := plainText(p.Data)
		lines = append(lines, fmt.Sprintf("to caller %s/%d %s", p.Attempt, p.Offset, content))
	}
	return lines
}

func describeDecision(d Decision) string {
	switch d.Step {
	case StepResume:
		return fmt.Sprintf("resume after %d", d.After)
	case StepContinue:
		return fmt.Sprintf("continue from %q, %d tokens", d.Text, d.Tokens)
	case StepFail:
		return "fail: " + string(d.Reason)
	default:
		return string(d.Step)
	}
}

func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler { return newSession(disabledChecks{}) })
}

func TestSessionsFailWithMechanismDisabled(t *testing.T) {
	cases := []struct {
		name     string
		disabled disabledChecks
		session  string
	}{
		{"attempts", disabledChecks{attemptID: true}, "stray.session"},
		{"offsets", disabledChecks{offset: true}, "crossed.session"},
		{"marker", disabledChecks{endMarker: true}, "resume.session"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", tc.session))
			require.NoError(t, err)
			got, err := coretest.Replay(want, newSession(tc.disabled))
			require.NoError(t, err)
			assert.NotEqual(t, string(want), string(got))
		})
	}
}
