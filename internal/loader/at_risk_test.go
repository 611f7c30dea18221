package loader

import (
	"testing"
	"time"

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

// A model counts as in use for a while after the last request for it.
func TestModelsInUse(t *testing.T) {
	l := New(nil, nil, nil, nil, Limits{})
	now := time.Unix(1_000_000, 0)
	assert.Equal(t, map[fleet.Model]bool{"a": true, "b": true}, l.inUse(now, map[fleet.Model]float64{"a": 1, "c": 0}, map[fleet.Model]float64{"b": 2}))
	assert.Equal(t, map[fleet.Model]bool{"a": true, "b": true}, l.inUse(now.Add(idleTime-1), map[fleet.Model]float64{"b": 1}))
	assert.Equal(t, map[fleet.Model]bool{"a": false, "b": true}, l.inUse(now.Add(idleTime)))
}
