package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

func TestCrashChains(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type crash struct {
		endpoint     string
		sent, failed int
	}
	tests := []struct {
		name     string
		crashes  []crash
		answered int // answered at that time, 0 if not
		want     int
	}{
		{name: "crashes in sequence", crashes: []crash{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}, want: 3},
		{name: "reported in another order", crashes: []crash{{"c", 40, 44}, {"a", 0, 5}, {"b", 6, 9}}, want: 3},
		{name: "equal requests as endpoints crash at once", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}, {"c", 20, 52}, {"d", 30, 51}}, want: 1},
		{name: "two simultaneous crashes in sequence", crashes: []crash{{"a", 0, 50}, {"b", 10, 50}, {"c", 60, 90}, {"d", 55, 91}}, want: 2},
		{name: "the same crash reported twice", crashes: []crash{{"a", 0, 5}, {"a", 6, 9}}, want: 1},
		{name: "answered after all crashes", crashes: []crash{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}, answered: 50},
		{name: "answered between two crashes", crashes: []crash{{"a", 1, 5}, {"b", 6, 9}, {"c", 40, 44}}, answered: 20, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := suspect.NewCrashChains()
			for _, d := range tt.crashes {
				c.Add(suspect.Crash{Fingerprint: 7, Incarnation: d.endpoint, SentAt: at(d.sent), FailedAt: at(d.failed)})
			}
			if tt.answered != 0 {
				c.Answered(at(tt.answered), 7)
			}
			assert.Equal(t, tt.want, c.Length(at(100), 7))
			assert.Zero(t, c.Length(at(100), 8))
			assert.Zero(t, c.Length(at(100).Add(suspect.DefaultExpiry), 7), "expired")
		})
	}
}

func TestCrashChainsAreBounded(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	c := suspect.NewCrashChains()
	for i := range 2 * suspect.DefaultLimit {
		at := start.Add(time.Duration(i) * time.Millisecond)
		c.Add(suspect.Crash{Fingerprint: suspect.Fingerprint(i), Incarnation: "a", SentAt: at, FailedAt: at})
	}
	for i := range 20 {
		at := start.Add(time.Duration(i) * time.Minute / 60)
		c.Add(suspect.Crash{Fingerprint: 1 << 20, Incarnation: fmt.Sprint(i), SentAt: at, FailedAt: at})
	}
	end := start.Add(time.Minute)
	assert.Zero(t, c.Length(end, 0), "the oldest are evicted")
	assert.Equal(t, 1, c.Length(end, 2*suspect.DefaultLimit-1))
	assert.Equal(t, 8, c.Length(end, 1<<20))
}
