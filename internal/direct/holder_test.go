package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// In a fleet of hundreds of instances most learn from others which one holds the order lease.
// The news expires unless the holder renews it, and a newer holder replaces an older one.
func TestHolderIsKnownFromOthers(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	sequence := uint64(0)
	hear := func(change func(b *gossip.Heartbeat)) {
		sequence++
		b := heartbeatFrom(sequence, time.Hour+w.elapsed)
		change(b)
		s.receiveHeartbeat(b)
	}
	news := func(address string, fence fleet.Fence, age time.Duration) func(b *gossip.Heartbeat) {
		return func(b *gossip.Heartbeat) {
			b.Holder = &gossip.Holder{Instance: "holder", Address: address, Fence: fence, MayOrder: true, Age: age}
		}
	}
	require.True(t, s.noKnownHolder())
	hear(news("c:1", 4, time.Second))
	address, ok := s.holder()
	assert.True(t, ok)
	assert.Equal(t, "c:1", address)
	hear(news("d:1", 3, 0))
	address, _ = s.holder()
	assert.Equal(t, "c:1", address, "an older lease")
	_, b := s.heartbeat()
	require.NotNil(t, b.Holder)
	assert.Equal(t, time.Second, b.Holder.Age, "the news keeps its age when it is passed on")

	w.elapsed = 1900 * time.Millisecond
	assert.False(t, s.noKnownHolder())
	w.elapsed = 2100 * time.Millisecond
	assert.True(t, s.noKnownHolder(), "nobody has heard the holder for three seconds")

	hear(func(b *gossip.Heartbeat) { b.Fence, b.HoldsOrderLease = 5, false })
	assert.False(t, s.noKnownHolder())
	_, ok = s.holder()
	assert.False(t, ok, "it may not give orders yet")
	hear(func(b *gossip.Heartbeat) { b.Fence, b.HoldsOrderLease = 5, true })
	address, ok = s.holder()
	assert.True(t, ok)
	assert.Equal(t, "b:1", address)
	hear(func(*gossip.Heartbeat) {})
	assert.True(t, s.noKnownHolder(), "it has released the lease")
}
