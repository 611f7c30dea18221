package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

// The backlog of each rank has what is ahead of a request of that rank.
func TestBacklog(t *testing.T) {
	var s pace.Schedule
	assert.Equal(t, [3]time.Duration{}, s.Backlog(start))
	for level, work := range []time.Duration{30 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond} {
		_, ok := s.Reserve(start, level, work, time.Second)
		assert.True(t, ok)
	}
	assert.Equal(t, [3]time.Duration{30 * time.Millisecond, 50 * time.Millisecond, 60 * time.Millisecond}, s.Backlog(start))
	assert.Equal(t, [3]time.Duration{0, 10 * time.Millisecond, 20 * time.Millisecond}, s.Backlog(start.Add(40*time.Millisecond)))
}

// An endpoint that is later or earlier than its schedule moves the backlog.
func TestShiftedBacklog(t *testing.T) {
	const ms = time.Millisecond
	var s pace.Schedule
	assert.Equal(t, [3]time.Duration{}, s.Backlog(start))
	s.Shift(time.Second)
	assert.Equal(t, [3]time.Duration{}, s.Backlog(start), "nothing was scheduled")
	s.Reserve(start, 1, 100*ms, 0)
	assert.Equal(t, [3]time.Duration{0, 100 * ms, 100 * ms}, s.Backlog(start))
	assert.Equal(t, [3]time.Duration{0, 40 * ms, 40 * ms}, s.Backlog(start.Add(60*ms)))
	s.Shift(30 * ms)
	assert.Equal(t, [3]time.Duration{0, 70 * ms, 70 * ms}, s.Backlog(start.Add(60*ms)))
	s.Shift(-50 * ms)
	assert.Equal(t, [3]time.Duration{0, 20 * ms, 20 * ms}, s.Backlog(start.Add(60*ms)))
	s.Shift(50 * ms)
	assert.Equal(t, [3]time.Duration{}, s.Backlog(start.Add(200*ms)), "it has ended in spite of the delay")
}
