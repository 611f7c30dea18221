package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCloneIsIndependent(t *testing.T) {
	v := New(peer("a", "r1", "d1"))
	v.Observe(start, peer("b", "r1", "d1"))
	v.ReceiveSuspicions([]Suspicion{{Instance: "b", Incarnation: "b-1", Sequence: 9, By: "c"}})
	before := v.Fingerprint()
	c := v.Clone()
	require.Equal(t, before, c.Fingerprint())
	leaving := peer("b", "r1", "d1")
	leaving.Leaving = true
	c.ApplyList(start, []Peer{leaving})
	c.ReceiveSuspicions([]Suspicion{{Instance: "b", Incarnation: "b-1", Sequence: 9, By: "d"}})
	c.Leave()
	c.Tick(start.Add(time.Hour))
	require.Equal(t, before, v.Fingerprint())
	require.NotEqual(t, before, c.Fingerprint())
}
