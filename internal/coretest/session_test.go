package coretest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReplayWritesDecisionsUnderEvents(t *testing.T) {
	session := "# note\n+1s ask a b\n  stale decision\n\n+2s ask\n"
	got, err := Replay([]byte(session), func(now time.Time, e Event) []string {
		return []string{now.Sub(Start).String() + " " + e.Verb + " " + e.Field(1)}
	})
	require.NoError(t, err)
	require.Equal(t, "# note\n+1s ask a b\n  1s ask b\n\n+2s ask\n  2s ask \n", string(got))
}

func TestReplayRejectsMalformedLines(t *testing.T) {
	for _, session := range []string{"+1s", "+x ask"} {
		_, err := Replay([]byte(session), func(time.Time, Event) []string { return nil })
		require.Error(t, err)
	}
}
