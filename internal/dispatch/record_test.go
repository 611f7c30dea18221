package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// gathered is a sink that keeps what it gets.
type gathered struct {
	status int32
	pieces []string
}

func (g *gathered) Head(h *peerpb.Head) error { g.status = h.Status; return nil }

func (g *gathered) Data(d *peerpb.Data) error {
	g.pieces = append(g.pieces, string(d.Data))
	return nil
}

func recordedRun(pieces ...string) *run {
	r := &run{
		Attempt: newAttempt("a1", "e1", 1<<20, time.Now),
		pool:    &Pool{self: "i1"},
		request: peer.Request{Submit: &peerpb.Submit{}},
	}
	r.start(&peerpb.Head{Attempt: "a1", Status: 201})
	for _, p := range pieces {
		r.add([]byte(p))
	}
	return r
}

// A recorded answer is replayed piece for piece, line ends in it included.
func TestRecordedAnswerIsReplayedAsItWas(t *testing.T) {
	tests := []struct {
		name   string
		pieces []string
	}{
		{name: "one piece of several lines", pieces: []string{"{\n  \"id\": 1\n}\n"}},
		{name: "events, one of two lines", pieces: []string{"first", "sec\nond", ""}},
		{name: "nothing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := recordedRun(tt.pieces...)
			got := &gathered{}
			end := replay(r, r.recorded(), got)
			require.Equal(t, &gathered{status: 201, pieces: tt.pieces}, got)
			require.Equal(t, uint64(len(tt.pieces)), end.Events)
			require.Empty(t, end.Code)
		})
	}
	end := replay(recordedRun("x"), once.Answer{BodyDropped: true}, &gathered{})
	require.Equal(t, CodeGone, end.Code)
	require.Equal(t, "ran", end.Outcome)
}
