package recency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/recency"
)

// Evidence of a newer version must not make an older configuration look recent: the newer one
// may have removed a key.
func TestEvidenceOfNewerVersionDoesNotConfirmOlder(t *testing.T) {
	var tracker recency.Tracker
	tracker.Activate(3)
	_, ok := tracker.Age(time.Hour)
	assert.False(t, ok, "no evidence")
	tracker.Observe(recency.Evidence{Version: 3, At: 10 * time.Second})
	tracker.Observe(recency.Evidence{Version: 4, At: 12 * time.Second})
	age, ok := tracker.Age(15 * time.Second)
	assert.True(t, ok)
	assert.Equal(t, 5*time.Second, age)
	tracker.Activate(4)
	age, _ = tracker.Age(15 * time.Second)
	assert.Equal(t, 3*time.Second, age, "the evidence counts once its version is active")
}

func TestLatestEvidenceCounts(t *testing.T) {
	var tracker recency.Tracker
	tracker.Activate(3)
	for _, e := range []recency.Evidence{{3, 10 * time.Second}, {2, 11 * time.Second}, {3, 9 * time.Second}} {
		tracker.Observe(e)
	}
	age, ok := tracker.Age(12 * time.Second)
	assert.True(t, ok)
	assert.Equal(t, time.Second, age, "a lower version of the store means that the active one is not too old")
	tracker.Activate(5)
	age, ok = tracker.Age(12 * time.Second)
	assert.True(t, ok)
	assert.Equal(t, time.Second, age, "no version above 2, so none above 5")
	_, ok = tracker.Age(10 * time.Second)
	assert.False(t, ok, "a clock that fails reads 0")
}
