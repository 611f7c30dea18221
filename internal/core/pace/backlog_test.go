package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/pace"
)

func TestBacklog(t *testing.T) {
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
