package slopes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards the required times: no view chooses a lost instance after 6 s, and a document
// change is in force everywhere within 12 s, even if only one instance receives it at first
// or all watchers are lost.
func TestLossesAreDetectedInTime(t *testing.T) {
	list, err := Losses(33)
	require.NoError(t, err)
	limits := map[string]time.Duration{
		"an instance lost":   6 * time.Second,
		string(startWatched): 12 * time.Second, string(startOne): 12 * time.Second, string(startOrphaned): 12 * time.Second,
	}
	found := 0
	for _, l := range list {
		if limit, ok := limits[l.Name]; ok {
			require.LessOrEqual(t, l.Time, limit, l.Name)
			found++
		}
	}
	require.Len(t, limits, found)
}
