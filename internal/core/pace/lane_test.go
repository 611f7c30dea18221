package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

func late(id uint64, level int, waited, patience time.Duration) pace.Late {
	return pace.Late{ID: id, Level: level, Work: 100 * time.Millisecond, Waited: waited, Patience: patience}
}

// A late request waits behind its rank, goes before less urgent ones and takes nothing from those
// that can be in time. Its place lapses if it doesn't ask again, and ends if it is withdrawn.
func TestQueue(t *testing.T) {
	const ms = time.Millisecond
	var s pace.Schedule
	for range 10 {
		_, ok := s.Reserve(start, 0, 100*ms, time.Second)
		assert.True(t, ok)
	}
	first := s.Queue(start, late(1, 0, 0, time.Hour), 0)
	assert.False(t, first.Admitted)
	assert.Greater(t, first.Turn, time.Second, "more requests that can be in time will come")
	assert.Equal(t, time.Second, first.AskAgain)
	assert.Zero(t, s.Queue(start, late(9, 0, 0, time.Second), 0).AskAgain, "its turn comes too late")
	assert.Equal(t, 1, s.Queue(start, late(2, 1, time.Second, time.Hour), 0).Ahead, "a less urgent one, though it came first")
	assert.Equal(t, 2, s.Queue(start, late(3, 1, 0, time.Hour), 0).Ahead)
	assert.Equal(t, 1, s.Queue(start, late(3, 1, 2*time.Second, time.Hour), 0).Ahead, "asking again takes no second place")
	wait, ok := s.Reserve(start, 0, 100*ms, time.Second)
	assert.True(t, ok)
	assert.Equal(t, time.Second, wait, "no late request is before one in time")
	s.Withdraw(1)
	assert.Equal(t, 0, s.Queue(start, late(3, 1, 2*time.Second, time.Hour), 0).Ahead)

	now := start.Add(1300 * ms)
	assert.False(t, s.Idle(start.Add(1100*ms)))
	assert.Equal(t, pace.Place{Admitted: true}, s.Queue(now, late(4, 2, 0, time.Hour), 0), "the others have not asked again")
	assert.Equal(t, 800*ms, s.Queue(now, late(5, 2, 0, time.Hour), 800*ms).Turn, "all slots are taken")
	wait, _ = s.Reserve(now, 0, 100*ms, time.Second)
	assert.Zero(t, wait, "an admitted late request gives way")
	assert.True(t, s.Queue(now, pace.Late{ID: 5, Work: 100 * ms, Asked: true, Patience: time.Second, Last: true}, 800*ms).Admitted, "it can't ask again")
	assert.True(t, s.Idle(now.Add(time.Minute)))
}

// The number of requests that wait at an endpoint is bounded.
func TestQueueIsBounded(t *testing.T) {
	var s pace.Schedule
	waiting := 0
	for id := range uint64(1000) {
		if s.Queue(start, late(id, 0, 0, time.Hour), time.Second).AskAgain > 0 {
			waiting++
		}
	}
	assert.Equal(t, 256, waiting)
}

// The load of callers that are refused together, also again and again: no two get the same time to come back
// while the endpoint is still busy with the same work, and none later than callers wait.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	var s pace.Schedule
	for range 10 {
		s.Reserve(start, 0, 100*time.Millisecond, time.Second)
	}
	last, rounds := time.Duration(0), 0
	for id := range uint64(60) {
		p := s.Queue(start, late(id, 0, 0, 200*time.Millisecond), 0)
		assert.False(t, p.Admitted)
		assert.Zero(t, p.AskAgain)
		assert.GreaterOrEqual(t, p.Return, time.Second, "the endpoint has room before")
		assert.LessOrEqual(t, p.Return, 3*time.Second)
		if p.Return <= last {
			rounds++
		} else if last > 0 {
			assert.GreaterOrEqual(t, p.Return-last, 100*time.Millisecond)
		}
		last = p.Return
	}
	assert.Positive(t, rounds, "more callers than there is room for in that time")
}
