package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
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

// Demand and the adapters in use go to the holder of the order lease only. In a fleet of tens
// of instances they would be most of the bytes between regions.
func TestDemandGoesToTheHolder(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	_, ok := s.holderAddress()
	assert.False(t, ok, "all get the demand while no holder is known")
	b := heartbeatFrom(1, time.Hour)
	b.Fence = 5
	s.receiveHeartbeat(b)
	address, ok := s.holderAddress()
	assert.True(t, ok)
	assert.Equal(t, "b:1", address, "also before it may give orders")
	s.setOrderLease(false, 6)
	address, _ = s.holderAddress()
	assert.Equal(t, "a:1", address, "this instance itself")

	b.Demand, b.Uses, b.Loads = []gossip.Demand{{Model: "m"}}, []balance.Use{{Model: "m"}}, map[fleet.Endpoint]balance.Load{"p": {Running: 1}}
	light := b.WithoutDemand()
	assert.Empty(t, light.Demand)
	assert.Empty(t, light.Uses)
	assert.Equal(t, b.Loads, light.Loads)
	assert.Len(t, b.Demand, 1, "the heartbeat itself is unchanged")
}
