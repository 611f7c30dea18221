package arrival

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestYieldsTo(t *testing.T) {
	newcomer := New(0, 0, 0)
	tests := []struct {
		name        string
		body, other Body
		want        bool
	}{
		{name: "stalled", body: New(time.Second, 0, 12<<10), other: newcomer, want: true},
		{name: "trickles", body: New(time.Minute, 257<<10, 512<<10), other: newcomer, want: true},
		{name: "in its fair time", body: New(FairTime-1, 0, 256<<10), other: newcomer},
		{name: "holds nothing", body: New(time.Minute, 100, 0), other: newcomer},
		{name: "to a faster one that is as old", body: New(time.Second, 100, 256<<10), other: New(time.Second, 200, 256<<10), want: true},
		{name: "to a slower one", body: New(time.Second, 200, 256<<10), other: New(time.Second, 100, 256<<10)},
		{name: "to itself", body: New(time.Second, 200, 256<<10), other: New(time.Second, 200, 256<<10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, tt.want, tt.body.YieldsTo(tt.other)) })
	}
}

func TestYieldsBefore(t *testing.T) {
	ordered := []Body{
		New(time.Second, 0, 256<<10),
		New(time.Hour, 0, 12<<10),
		New(10*time.Second, 256<<10, 252<<10), // has stalled for longer
		New(time.Second, 256<<10, 252<<10),
		New(time.Second, 4<<20, 4<<20),
	}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, i < j, a.YieldsBefore(b), "%d before %d", i, j)
		}
	}
}
