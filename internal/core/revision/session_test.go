package revision

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

// The sessions write a document as revision/apply ID.
func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler { return handler(New()) })
}

func TestSessionsFailWithMechanismDisabled(t *testing.T) {
	tests := []struct {
		file   string
		off    Option
		broken string
	}{
		{file: "rising.session", off: func(l *Tracker) { l.monotonic = false }, broken: "in force 3/c"},
		{file: "boot.session", off: func(l *Tracker) { l.settling = false }, broken: "+1s peer 4/d\n  in force 4/d"},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			want, err := os.ReadFile("testdata/" + tt.file)
			require.NoError(t, err)
			require.NotContains(t, string(want), tt.broken)
			got, err := coretest.Replay(want, handler(New(tt.off)))
			require.NoError(t, err)
			require.Contains(t, string(got), tt.broken)
		})
	}
}

func handler(l *Tracker) coretest.Handler {
	return func(_ time.Time, e coretest.Event) []string {
		switch e.Verb {
		case "store":
			return result(l, l.Offer, e)
		case "peer":
			return result(l, l.OfferPeer, e)
		case "heard":
			l.ObserveRevision(parse(e.Field(0)).Revision)
			return []string{fmt.Sprintf("behind %t", l.Behind())}
		case "settle":
			l.Settle()
			return []string{show(l)}
		case "repair":
			d, needed := l.Repair(parse(e.Field(0)))
			return []string{fmt.Sprintf("repair %t with %d/%s", needed, d.Revision, d.ApplyID)}
		case "apply":
			return plan(l, e)
		default:
			return []string{"unknown verb " + e.Verb}
		}
	}
}

func result(l *Tracker, offer func(Document) (bool, error), e coretest.Event) []string {
	if _, err := offer(parse(e.Field(0))); err != nil {
		return []string{"refused: " + err.Error()}
	}
	return []string{show(l)}
}

// plan handles "apply <expect> <id> <stored>".
func plan(l *Tracker, e coretest.Event) []string {
	d, err := l.NextDocument(parse(e.Field(0)).Revision, e.Field(1), nil, parse(e.Field(2)))
	switch {
	case errors.Is(err, ErrStale), errors.Is(err, ErrBehind):
		return []string{"refused: " + err.Error()}
	case err != nil:
		return []string{"error: " + err.Error()}
	}
	line := fmt.Sprintf("write %d/%s after", d.Revision, d.ApplyID)
	for _, m := range d.History {
		line += fmt.Sprintf(" %d/%s", m.Revision, m.ApplyID)
	}
	return []string{line}
}

func parse(text string) Document {
	number, apply, _ := strings.Cut(text, "/")
	rev, _ := strconv.ParseUint(number, 10, 64)
	return Document{Revision: rev, ApplyID: apply}
}

func show(l *Tracker) string {
	d, ready := l.Current()
	if !ready {
		return "not ready"
	}
	return fmt.Sprintf("in force %d/%s", d.Revision, d.ApplyID)
}
