package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What a request may take is that of the longest like it, whichever sizes were seen lately.
func TestAllowance(t *testing.T) {
	const s = time.Second
	kind, other := Kind{Service: "s", Route: "a"}, Kind{Service: "s", Route: "b"}
	type seen struct {
		at     time.Duration
		kind   Kind
		tokens int
		took   time.Duration
	}
	tests := []struct {
		name   string
		seen   []seen
		at     time.Duration
		tokens int
		prompt int
		want   time.Duration // the longest, without what is added
	}{
		{name: "nothing known"},
		{name: "another route only", seen: []seen{{0, other, 100, s}}, tokens: 100},
		{name: "longest of its size", seen: []seen{{0, kind, 100, s}, {0, kind, 120, 3 * s}, {0, kind, 97, 2 * s}}, tokens: 100, want: 3 * s},
		{name: "a smaller one took longer", seen: []seen{{0, kind, 100, s}, {0, kind, 3, 2 * s}}, tokens: 100, want: 2 * s},
		{name: "a larger one took longer", seen: []seen{{0, kind, 100, s}, {0, kind, 1000, 9 * s}}, tokens: 100, want: s},
		{name: "only larger ones", seen: []seen{{0, kind, 1000, 9 * s}, {0, kind, 5000, 20 * s}}, tokens: 100, want: 9 * s},
		{name: "only smaller ones", seen: []seen{{0, kind, 50, s}}, tokens: 200, want: 4 * s},
		{name: "half as large again", seen: []seen{{0, kind, 64, s}}, tokens: 127, want: 2 * s},
		{name: "between smaller and larger ones", seen: []seen{{0, kind, 5, s}, {0, kind, 3000, 2 * s}}, tokens: 600, want: 2 * s},
		{name: "a longer prompt", seen: []seen{{0, kind, 10, s}}, tokens: 10, prompt: 39_600, want: 16 * s},
		{name: "no output", seen: []seen{{0, kind, 0, s}}, want: s},
		{name: "more than the largest class", seen: []seen{{0, kind, 1 << 40, s}}, tokens: 1 << 50, want: s},
		{name: "remembered", seen: []seen{{0, kind, 1, 2 * s}, {29 * s, kind, 1, s}}, at: 59 * s, tokens: 1, want: 2 * s},
		{name: "forgotten", seen: []seen{{0, kind, 1, 2 * s}, {31 * s, kind, 1, s}}, at: 62 * s, tokens: 1, want: s},
		{name: "all forgotten", seen: []seen{{0, kind, 1, 2 * s}}, at: 61 * s, tokens: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d Durations
			start := time.Unix(1_000_000, 0)
			for _, o := range tt.seen {
				d.Record(start.Add(o.at), o.kind, Size{Output: o.tokens}, o.took)
			}
			got, ok := d.Allowance(start.Add(tt.at), kind, Size{Prompt: tt.prompt, Output: tt.tokens})
			assert.Equal(t, tt.want > 0, ok)
			if tt.want > 0 {
				assert.Equal(t, tt.want+tt.want/spareDivisor+writeTime, got)
			}
		})
	}
}

// No size makes an allowance overflow.
func TestAllowanceOfAnySizeIsPositive(t *testing.T) {
	var d Durations
	now := time.Unix(1_000_000, 0)
	d.Record(now, Kind{}, Size{}, maxDuration)
	for shift := range 62 {
		got, ok := d.Allowance(now, Kind{}, Size{Output: 1 << shift})
		assert.True(t, ok)
		assert.GreaterOrEqual(t, got, maxDuration)
	}
}
