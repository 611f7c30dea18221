package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/beat"
	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
)

func TestHeartbeatsAndSuspicionsRoundTrip(t *testing.T) {
	full := directory.Report{
		Endpoint: "e1", Incarnation: "i1", Running: 3, Queued: 2, PredictedWait: 40 * time.Millisecond, Leaving: true, Down: true,
		AdapterLoads: 1, Serial: 9, Drained: []fleet.Model{"a"}, Models: []fleet.Model{"a", "b"},
		Adapters: []directory.AdapterKey{{Model: "a", Adapter: "glove"}, {Model: "a", Adapter: "kit"}, {Model: "b", Adapter: "2"}},
	}
	empty := directory.Report{Models: []fleet.Model{}}
	first := beat.Message{
		Number: 1, Sequence: 7, Revision: 8, Dropped: []uint32{4, 5},
		Peer: &member.Peer{
			Instance: "a", Incarnation: "a1", Place: fleet.Place{Region: "r", DataCentre: "d"},
			Address: "a:1", Caller: "a:2", Leaving: true,
		},
		Updates: []beat.Update{{Row: 1, Report: full, Full: true}, {Row: 2, Report: empty, Full: true}},
	}
	later := beat.Message{Number: 2, Sequence: 8, Revision: 8, Updates: []beat.Update{{Row: 1, Report: directory.Report{Running: 4, AdapterLoads: 2}}}}
	for _, m := range []beat.Message{first, later} {
		require.Equal(t, m, FromHeartbeat(ToHeartbeat(m)))
	}
	suspicions := []member.Suspicion{{Instance: "b", Incarnation: "b1", Sequence: 3, By: "a"}}
	require.Equal(t, suspicions, FromSuspicions(ToSuspicions(suspicions)))
}
