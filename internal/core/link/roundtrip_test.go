package link_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/link"
)

func TestRoundTripCountsBeforeItsAnswer(t *testing.T) {
	start, r := time.Unix(1_000_000, 0), link.NewRoundTrips()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	longest := func(ms int) int { return int(r.Longest(at(ms), "north").Milliseconds()) }
	assert.Zero(t, longest(0))
	r.Answered(at(0), at(0), "north")
	assert.Zero(t, longest(0), "nothing was sent")
	r.Sent(at(0), "north")
	assert.Equal(t, 30, longest(30))
	r.Answered(at(40), at(0), "north")
	assert.Equal(t, 40, longest(4000), "nothing waits")
	r.Sent(at(5000), "north")
	r.Sent(at(5300), "north")
	assert.Equal(t, 700, longest(5700), "the first one that waits")
	assert.False(t, r.Stalled(at(5700), at(5000), "north"), "the link may be full")
	r.Answered(at(5900), at(5300), "north")
	assert.Equal(t, 600, longest(6000))
	assert.True(t, r.Stalled(at(6000), at(5000), "north"), "a later one was answered")
	r.Answered(at(5950), at(5000), "north")
	assert.Equal(t, 600, longest(6000), "an older one ends late")
	assert.Zero(t, longest(11000), "long ago")
	r.Sent(at(11000), "north")
	assert.Equal(t, 4000, longest(15000))
	assert.False(t, r.Stalled(at(15000), at(14000), "north"))
	assert.Zero(t, longest(17000), "lost, not queued")
	assert.True(t, r.Stalled(at(17000), at(14000), "north"))
	assert.Zero(t, r.Longest(at(6000), "west"))
}
