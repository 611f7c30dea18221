package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func place(region, dc string) fleet.Place {
	return fleet.Place{Region: fleet.Region(region), DataCentre: fleet.DataCentre(dc)}
}

func peer(name, region, dc string) Peer {
	return Peer{
		Instance: fleet.Instance(name), Place: place(region, dc), Incarnation: name + "-1",
		Address: name + ":7000", Caller: name + ":8000",
	}
}

func TestDispatcherFallsBack(t *testing.T) {
	tests := []struct {
		name  string
		peers []Peer
		at    fleet.Place
		want  fleet.Instance
	}{
		{name: "own data centre", peers: []Peer{peer("b", "r1", "d2")}, at: place("r1", "d2"), want: "b"},
		{name: "region", peers: []Peer{peer("b", "r2", "d3")}, at: place("r2", "d4"), want: "b"},
		{name: "anywhere", at: place("r9", "d9"), want: "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := New(peer("a", "r1", "d1"))
			for _, p := range tt.peers {
				v.Observe(start, p)
			}
			got, ok := v.Dispatcher("e1", tt.at)
			require.True(t, ok)
			require.Equal(t, tt.want, got.Instance)
		})
	}
}
