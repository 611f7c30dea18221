package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A body gives way, or is read and served, but never both.
func TestBodyEitherGivesWayOrIsServed(t *testing.T) {
	now := time.Now()
	for _, readFirst := range []bool{false, true} {
		ended := 0
		s := activeRequests{clock: func() time.Time { return now }}
		slow := s.add(now.Add(-time.Second), func() { ended++ })
		slow.body.held.Store(1 << 20)
		newcomer := s.add(now, func() {})
		if readFirst {
			assert.True(t, slow.body.settle())
		}
		released := s.endSlowest(newcomer)
		assert.Equal(t, readFirst, released == nil)
		assert.Equal(t, readFirst, ended == 0)
		assert.False(t, slow.body.settle())
		assert.Nil(t, s.endSlowest(newcomer), "it gives way once")
	}
}
