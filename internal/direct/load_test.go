package direct

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

func TestServicesFrom(t *testing.T) {
	endpoints := map[catalog.Service]int{"large": 90, "small": 6}
	assert.Equal(t, map[catalog.Service]bool{"large": true}, servicesFrom(endpoints, 80, true))
	assert.Empty(t, servicesFrom(endpoints, 0, true), "switched off")
	assert.Empty(t, servicesFrom(endpoints, 80, false), "an instance of an earlier build is live")
}

// A service has what its size calls for as of the last heartbeat.
func TestLoadFeatures(t *testing.T) {
	var s state
	assert.False(t, s.evens("large"), "before the first heartbeat")
	assert.False(t, s.queues("large"), "before the first heartbeat")
	s.loadFeatures.even = map[catalog.Service]bool{"large": true}
	assert.True(t, s.evens("large"))
	assert.False(t, s.evens("small"))
	assert.False(t, s.queues("large"))
}
