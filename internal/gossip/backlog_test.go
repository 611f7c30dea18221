package gossip_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

func TestBacklogWork(t *testing.T) {
	tests := []struct {
		name string
		work backlog.Work
		want backlog.Work
	}{
		{name: "none"},
		{name: "rounded", work: backlog.Work{400 * time.Microsecond, 600 * time.Microsecond, 2 * time.Second}, want: backlog.Work{0, time.Millisecond, 2 * time.Second}},
		{name: "longer than can be told", work: backlog.Work{2: time.Hour}, want: backlog.Work{2: 65535 * time.Millisecond}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, gossip.NewBacklogWork(tt.work).Work()) })
	}
	assert.Equal(t, backlog.Work{7 * time.Millisecond, 9 * time.Millisecond, 9 * time.Millisecond}, gossip.BacklogWork{7, 9}.Work(), "fewer ranks")
}

// Instances of an earlier build read the answers to admissions of this one, and the other way round.
func TestAdmitReplyOfAnotherBuild(t *testing.T) {
	type earlierReply struct {
		Wait    time.Duration `cbor:"w"`
		Refused bool          `cbor:"r"`
	}
	text, err := cbor.Marshal(&gossip.AdmitReply{Wait: time.Second, Backlog: gossip.BacklogWork{1, 2, 3}})
	require.NoError(t, err)
	var earlier earlierReply
	require.NoError(t, cbor.Unmarshal(text, &earlier))
	assert.Equal(t, earlierReply{Wait: time.Second}, earlier)
	text, err = cbor.Marshal(&earlierReply{Wait: time.Second, Refused: true})
	require.NoError(t, err)
	var reply gossip.AdmitReply
	require.NoError(t, cbor.Unmarshal(text, &reply))
	assert.Equal(t, gossip.AdmitReply{Wait: time.Second, Refused: true}, reply)
}
