package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// receiveState applies a snapshot and a delta of a data centre with one model.
func receiveState(r *remoteTotals, dc, region, model string, copies, running uint32) {
	place := fleet.Place{Region: fleet.Region(region), DataCentre: fleet.DataCentre(dc)}
	sender := totals.NewSender(member.Peer{Instance: fleet.Instance(dc), Place: place})
	sum := totals.Sum{Model: model, Copies: copies, Running: running}
	for _, m := range sender.Messages(noon, totals.State{Place: place, Models: []totals.Sum{sum}}, totals.ID{}) {
		r.receive(noon, m)
	}
}

func TestCentresNearestAndLeastLoadedFirst(t *testing.T) {
	r := newRemoteTotals(member.Peer{Instance: "own", Place: fleet.Place{Region: "south", DataCentre: "south-1"}})
	receiveState(r, "north-1", "north", "m", 4, 0)
	receiveState(r, "south-2", "south", "m", 1, 6)
	receiveState(r, "south-3", "south", "m", 2, 6)
	receiveState(r, "south-4", "south", "m", 0, 0)
	receiveState(r, "south-5", "south", servicePrefix+"orders", 1, 0)
	tests := []struct {
		name    string
		at      time.Time
		model   fleet.Model
		service string
		want    []fleet.DataCentre
	}{
		{name: "model", at: noon, model: "m", want: []fleet.DataCentre{"south-3", "south-2", "north-1"}},
		{name: "service", at: noon, service: "orders", want: []fleet.DataCentre{"south-5"}},
		{name: "nobody", at: noon, model: "other", want: []fleet.DataCentre{}},
		{name: "too old", at: noon.Add(remoteExpiry + time.Second), model: "m", want: []fleet.DataCentre{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, r.DataCentres(tt.at, tt.model, tt.service))
		})
	}
}

func TestDemandSumsInstancesAndForgetsLostOnes(t *testing.T) {
	now := noon
	d := newDemand(func() time.Time { return now }, 10)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		d.Worked("m", time.Second)
	}
	own := d.sums(now)["m"].fast
	require.InDelta(t, 1, own, 0.2, "ten requests per second of one second each fully use an accelerator with ten slots")
	d.receive(now, "other", []*peerpb.Demand{{Model: "m", Fast: 500, Slow: 100}})
	require.InDelta(t, own+0.5, d.sums(now)["m"].fast, 0.01)
	now = now.Add(demandExpiry + time.Second)
	require.Less(t, d.sums(now)["m"].fast, own)
}
