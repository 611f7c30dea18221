package backlog_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/backlog"
)

// The load of prompts that wait at an endpoint when it turns slow: each of them is late by what
// those before it were, and that moves the schedule once.
func TestDelayCountsOnce(t *testing.T) {
	var d backlog.Delay
	assert.Equal(t, 100*ms, d.Observe(100*ms, 0, true))
	assert.Equal(t, 150*ms, d.Observe(250*ms, 0, true), "100 ms of it are known")
	assert.Equal(t, 250*ms, d.Total())
	assert.Zero(t, d.Observe(0, 250*ms, true), "admitted with the delay")
	assert.Equal(t, -50*ms, d.Observe(-50*ms, 250*ms, true), "it makes up for some")
	assert.Equal(t, -200*ms, d.Observe(-900*ms, 200*ms, true), "an endpoint that answers fast because it fails is not ahead of its schedule")
	assert.Zero(t, d.Total())
	assert.Zero(t, d.Observe(300*ms, 0, false), "a late answer of an endpoint that isn't slow")
}
