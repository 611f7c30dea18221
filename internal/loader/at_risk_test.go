package loader

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Models with adapters count as at risk of a rise in demand from the start, other models once
// they have been in demand.
func TestAtRiskModels(t *testing.T) {
	l := New(nil, nil, nil, nil, Limits{MinDemand: 100})
	engine := &catalog.Engine{Models: []catalog.Model{{Name: "a", Adapters: []fleet.Adapter{"a1"}}, {Name: "b"}, {Name: "c"}}}
	assert.Equal(t, map[fleet.Model]bool{"a": true, "b": false, "c": false}, l.atRisk(engine, map[fleet.Model]float64{"b": 99}))
	assert.Equal(t, map[fleet.Model]bool{"a": true, "b": true, "c": false}, l.atRisk(engine, map[fleet.Model]float64{"b": 100}))
	assert.Equal(t, map[fleet.Model]bool{"a": true, "b": true, "c": false}, l.atRisk(engine, nil), "also after the demand has ended")
}
