package tenure_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/tenure"
)

const (
	ttl        = 9 * time.Second
	margin     = 500 * time.Millisecond
	separation = 3200 * time.Millisecond
)

func TestNewHolderWaitsForPreviousHolder(t *testing.T) {
	a := tenure.New(ttl, margin, separation)
	assert.False(t, a.MayOrder(0))
	a.Acquired(100*time.Millisecond, 0, 7, false)
	assert.True(t, a.Held(time.Second))
	assert.False(t, a.MayOrder(separation))
	assert.True(t, a.MayOrder(separation+100*time.Millisecond))
	assert.Equal(t, fleet.Fence(7), a.Fence())
}

func TestSameHolderOrdersAtOnce(t *testing.T) {
	a := tenure.New(ttl, margin, separation)
	a.Acquired(100*time.Millisecond, 0, 7, true)
	assert.True(t, a.MayOrder(100*time.Millisecond))
}

func TestLeaseExpiresByLocalClock(t *testing.T) {
	a := tenure.New(ttl, margin, separation)
	a.Acquired(0, 0, 7, false)
	assert.False(t, a.MayOrder(ttl-margin))
	// The process is frozen for a minute while the reply to a renewal is in transit.
	a.Renewed(5 * time.Second)
	assert.False(t, a.MayOrder(65*time.Second))
	a.Renewed(4 * time.Second)
	assert.True(t, a.Held(5*time.Second+ttl-margin-1), "the reply to an older renewal doesn't shorten the lease")
	a.Lost()
	assert.False(t, a.Held(6*time.Second))
	a.Renewed(7 * time.Second)
	assert.False(t, a.Held(8*time.Second), "a lost lease is not renewed")
}

// Guards against orders of two holders within the minimum separation, when the lease
// expires in the store while its holder is frozen, at any step.
func TestOrdersOfTwoHoldersAreSeparated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const minSeparation = 3 * time.Second
		machines := []*tenure.OrderLease{tenure.New(ttl, margin, separation), tenure.New(ttl, margin, separation)}
		holder, lastHolder := -1, -1
		var expiry, now time.Duration
		var fence fleet.Fence
		lastOrder := [2]time.Duration{-time.Hour, -time.Hour}
		for range 120 {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond
			if holder >= 0 && now >= expiry {
				holder = -1
			}
			i := rapid.IntRange(0, 1).Draw(t, "machine")
			m := machines[i]
			requestedAt := now
			answeredAt := now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "freeze"))*time.Millisecond
			switch {
			case holder == i:
				expiry = requestedAt + ttl
				m.Renewed(requestedAt)
				now = answeredAt
			case holder < 0:
				holder, expiry, fence = i, requestedAt+ttl, fence+1
				m.Acquired(answeredAt, requestedAt, fence, lastHolder == i)
				lastHolder, now = i, answeredAt
			default:
				m.Lost()
			}
			for k, m := range machines {
				if !m.MayOrder(now) {
					continue
				}
				if d := now - lastOrder[1-k]; d < minSeparation {
					t.Fatalf("machine %d sends an order %s after the other", k, d)
				}
				lastOrder[k] = now
			}
		}
	})
}
