package trail

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTrailIsBounded(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	trail := New(func() time.Time { return now })
	for i := range requestLimit + 1 {
		for range stepLimit + 1 {
			trail.Note(fmt.Sprint(i), "step", "peer", "note")
		}
	}
	require.Empty(t, trail.Steps("0"), "the oldest request gives way")
	require.Len(t, trail.Steps("1"), stepLimit)
	require.Equal(t, Step{Time: now, Step: "step", Peer: "peer", Note: "note"}, trail.Steps("1")[0])
	trail.Note("", "step", "peer", "note")
	require.Len(t, trail.steps, requestLimit)
}
