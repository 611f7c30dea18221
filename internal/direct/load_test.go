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
