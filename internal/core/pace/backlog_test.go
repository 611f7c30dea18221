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
