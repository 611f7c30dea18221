package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

func TestChains(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type death struct {
		endpoint     string
		began, broke int
	}
	tests := []struct {
		name   string
		deaths []death
		ended  int // answered at that time, 0 if not
		want   int
	}{
		{name: "one after the other", deaths: []death{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}, want: 3},
		{name: "heard of in another order", deaths: []death{{"c", 40, 44}, {"a", 0, 5}, {"b", 6, 9}}, want: 3},
		{name: "equal requests as endpoints die at once", deaths: []death{{"a", 0, 50}, {"b", 10, 50}, {"c", 20, 52}, {"d", 30, 51}}, want: 1},
		{name: "two such moments", deaths: []death{{"a", 0, 50}, {"b", 10, 50}, {"c", 60, 90}, {"d", 55, 91}}, want: 2},
		{name: "the same death told twice", deaths: []death{{"a", 0, 5}, {"a", 6, 9}}, want: 1},
		{name: "answered since", deaths: []death{{"a", 0, 5}, {"b", 6, 9}, {"c", 40, 44}}, ended: 50},
		{name: "answered between", deaths: []death{{"a", 1, 5}, {"b", 6, 9}, {"c", 40, 44}}, ended: 20, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := suspect.NewChains()
			for _, d := range tt.deaths {
				c.Add(suspect.Death{Fingerprint: 7, Incarnation: d.endpoint, Began: at(d.began), Broke: at(d.broke)})
			}
			if tt.ended != 0 {
				c.Ended(at(tt.ended), 7)
			}
			assert.Equal(t, tt.want, c.Length(at(100), 7))
			assert.Zero(t, c.Length(at(100), 8))
			assert.Zero(t, c.Length(at(100).Add(suspect.DefaultExpiry), 7), "forgotten in the end")
		})
	}
}

func TestChainsAreBounded(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	c := suspect.NewChains()
	for i := range 2 * suspect.DefaultLimit {
		at := start.Add(time.Duration(i) * time.Millisecond)
		c.Add(suspect.Death{Fingerprint: suspect.Fingerprint(i), Incarnation: "a", Began: at, Broke: at})
	}
	for i := range 20 {
		at := start.Add(time.Duration(i) * time.Minute / 60)
		c.Add(suspect.Death{Fingerprint: 1 << 20, Incarnation: fmt.Sprint(i), Began: at, Broke: at})
	}
	end := start.Add(time.Minute)
	assert.Zero(t, c.Length(end, 0), "the oldest are dropped")
	assert.Equal(t, 1, c.Length(end, 2*suspect.DefaultLimit-1))
	assert.Equal(t, 8, c.Length(end, 1<<20))
}
