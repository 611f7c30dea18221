package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// collectingSink is a sink that collects the status and the pieces it receives.
type collectingSink struct {
	status int32
	pieces []string
}

func (c *collectingSink) Head(h *peerpb.Head) error { c.status = h.Status; return nil }

func (c *collectingSink) Data(d *peerpb.Data) error {
	c.pieces = append(c.pieces, string(d.Data))
	return nil
}

func recordedRun(pieces ...string) *run {
	r := &run{
		Attempt: newAttempt("a1", "e1", 1<<20, time.Now),
		pool:    &Pool{self: "i1"},
		request: peer.Request{Submit: &peerpb.Submit{}},
	}
	r.setHead(&peerpb.Head{Attempt: "a1", Status: 201})
	for _, p := range pieces {
		r.appendPiece([]byte(p))
	}
	return r
}

// Guards against a replay that splits or joins the pieces of a stored answer, for example at
// line breaks within a piece.
func TestRecordedAnswerIsReplayedUnchanged(t *testing.T) {
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
			got := &collectingSink{}
			end := replay(r, r.recordedAnswer(), got)
			require.Equal(t, &collectingSink{status: 201, pieces: tt.pieces}, got)
			require.Equal(t, uint64(len(tt.pieces)), end.Events)
			require.Empty(t, end.Code)
		})
	}
	end := replay(recordedRun("x"), once.Answer{BodyDropped: true}, &collectingSink{})
	require.Equal(t, CodeGone, end.Code)
	require.Equal(t, "ran", end.Outcome)
}
