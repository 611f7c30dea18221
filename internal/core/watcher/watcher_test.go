package watcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/watcher"
)

// fleetOf returns instances that the store answers, in regions of as many data centres.
func fleetOf(instances, regions, dataCentres int) []watcher.Instance {
	var all []watcher.Instance
	for i := range instances {
		region := fmt.Sprint("r", i%regions)
		all = append(all, watcher.Instance{
			Name: fleet.Instance(fmt.Sprintf("front-%03d", i)), Reaches: true,
			Place: fleet.Place{Region: fleet.Region(region), DataCentre: fleet.DataCentre(fmt.Sprint(region, "-", i/regions%dataCentres))},
		})
	}
	return all
}

// watching returns the instances that decide to watch, each by its own view.
func watching(all []watcher.Instance) []watcher.Instance {
	var list []watcher.Instance
	for i, self := range all {
		peers := append(append([]watcher.Instance(nil), all[:i]...), all[i+1:]...)
		if watcher.Watches(self, peers) {
			list = append(list, self)
		}
	}
	return list
}

// Those that watch stand in different regions and data centres, so that they seldom fail together.
func TestWatchersStandApart(t *testing.T) {
	tests := []struct {
		instances, regions, dataCentres int
		want, wantDataCentres           int
	}{
		{1, 1, 1, 1, 1},
		{2, 2, 1, 2, 2},
		{9, 1, 1, 3, 1},
		{9, 1, 3, 3, 3},
		{9, 3, 1, 4, 3},
		{142, 2, 3, 4, 4},
		{295, 2, 1, 4, 2},
		{295, 5, 2, 5, 5},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %d regions of %d data centres", tt.instances, tt.regions, tt.dataCentres), func(t *testing.T) {
			regions, dataCentres := make(map[fleet.Region]int), make(map[fleet.DataCentre]int)
			list := watching(fleetOf(tt.instances, tt.regions, tt.dataCentres))
			for _, i := range list {
				regions[i.Place.Region]++
				dataCentres[i.Place.DataCentre]++
			}
			assert.Len(t, list, tt.want)
			assert.Len(t, regions, min(tt.instances, tt.regions))
			assert.Len(t, dataCentres, tt.wantDataCentres)
		})
	}
}

// A whole region, or all, lose the store one after another, in any order. At each step somebody watches
// where the store answers anyone, and few call it where it doesn't.
func TestWatchersWhileInstancesLoseTheStore(t *testing.T) {
	for _, lost := range []fleet.Region{"r0", ""} {
		t.Run(fmt.Sprintf("region %q", lost), func(t *testing.T) {
			all := fleetOf(36, 2, 3)
			called := make(map[fleet.Instance]bool)
			for {
				list := watching(all)
				require.NotEmpty(t, list)
				require.LessOrEqual(t, len(list), 6)
				fails := -1
				for i := range all {
					if all[i].Reaches && (lost == "" || all[i].Place.Region == lost) {
						fails = i
					}
				}
				if fails < 0 {
					break
				}
				for _, i := range list {
					if lost != "" && i.Place.Region == lost {
						called[i.Name] = true
					}
				}
				all[fails].Reaches = false
			}
			assert.LessOrEqual(t, len(called), 6, "of 18 that lose the store")
		})
	}
}

// When one of the watchers dies, the others go on.
func TestWatchersStay(t *testing.T) {
	all := fleetOf(142, 2, 3)
	before := watching(all)
	for _, dead := range before {
		var rest []watcher.Instance
		for _, i := range all {
			if i.Name != dead.Name {
				rest = append(rest, i)
			}
		}
		after := watching(rest)
		for _, i := range before {
			if i.Name != dead.Name {
				assert.Contains(t, after, i)
			}
		}
	}
}

// Hundreds that lose the store at once come back to it in few calls a second, and in none at once.
func TestPaceSpreadsCalls(t *testing.T) {
	const instances, observed = 295, 60 * time.Second
	for _, watches := range []bool{false, true} {
		calls := make(map[time.Duration]int)
		for i := range instances {
			p := watcher.NewPace(fmt.Sprint("front-", i))
			for at := time.Duration(0); at < observed; at += p.Failed(watches) {
				calls[at.Truncate(time.Second)]++
			}
			p.Answered()
			assert.LessOrEqual(t, p.Failed(watches), 200*time.Millisecond)
		}
		busiest := 0
		for at, n := range calls {
			if at >= 20*time.Second {
				busiest = max(busiest, n)
			}
		}
		t.Logf("watches %t: %d calls in the first second, at most %d a second after 20 s", watches, calls[0], busiest)
		if !watches {
			assert.LessOrEqual(t, busiest, instances/3)
		}
	}
}

func BenchmarkWatches(b *testing.B) {
	all := fleetOf(295, 2, 3)
	for b.Loop() {
		watcher.Watches(all[0], all[1:])
	}
}
