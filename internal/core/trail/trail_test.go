package trail

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecisionLogIsBounded(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	decisions := New(func() time.Time { return now })
	for i := range maxRequests + 1 {
		for range maxSteps + 1 {
			decisions.Note(fmt.Sprint(i), "step", "peer", "note")
		}
	}
	require.Empty(t, decisions.Steps("0"), "the oldest request is dropped")
	require.Len(t, decisions.Steps("1"), maxSteps)
	require.Equal(t, Step{Time: now, Step: "step", Peer: "peer", Note: "note"}, decisions.Steps("1")[0])
	decisions.Note("", "step", "peer", "note")
	require.Len(t, decisions.steps, maxRequests)
}
