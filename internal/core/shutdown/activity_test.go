package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A signal is handled after a pause; the grace time has run since the process last ran.
func TestLag(t *testing.T) {
	tests := []struct {
		name         string
		records      []int // in milliseconds
		handled, lag int
		paused       int // by the records
	}{
		{name: "no record", handled: 9000},
		{name: "no pause", records: []int{1000, 1100, 1200}, handled: 1290},
		{name: "two records late", records: []int{1000, 1100}, handled: 1300},
		{name: "pause", records: []int{1000, 1100}, handled: 3600, lag: 2500},
		{name: "recorded between the pause and the signal", records: []int{1000, 1100, 3600}, handled: 3620, lag: 2520, paused: 2500},
		{name: "signal after a pause", records: []int{1000, 3600, 3700, 3800}, handled: 3850, paused: 2600},
		{name: "two pauses", records: []int{1000, 1500, 1600}, handled: 2000, lag: 400, paused: 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Activity
			var paused time.Duration
			for _, ms := range tt.records {
				paused += a.Record(time.Duration(ms) * time.Millisecond)
			}
			assert.Equal(t, time.Duration(tt.paused)*time.Millisecond, paused)
			assert.Equal(t, time.Duration(tt.lag)*time.Millisecond, a.Lag(time.Duration(tt.handled)*time.Millisecond))
		})
	}
}
