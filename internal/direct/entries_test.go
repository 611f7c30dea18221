package direct

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Callers of a small fleet spread over their region, those of a fleet of hundreds over a few
// instances of their data centre, the same ones whichever instance they ask.
func TestEntries(t *testing.T) {
	instances := func(region fleet.Region, dataCentre fleet.DataCentre, from, to int) []candidateEntry {
		var all []candidateEntry
		for i := from; i <= to; i++ {
			name := fmt.Sprintf("front-%s-%d", dataCentre, i)
			all = append(all, candidateEntry{fleet.Instance(name), name, fleet.Place{Region: region, DataCentre: dataCentre}})
		}
		return all
	}
	join := func(lists ...[]candidateEntry) []candidateEntry {
		var all []candidateEntry
		for _, l := range lists {
			all = append(all, l...)
		}
		return all
	}
	at := fleet.Place{Region: "south", DataCentre: "b"}
	first := []string{"front-b-1", "front-b-2", "front-b-3", "front-b-4", "front-b-5", "front-b-6", "front-b-7", "front-b-8"}
	tests := []struct {
		name  string
		all   []candidateEntry
		want  []string
		count int
	}{
		{name: "none ready", want: []string{}},
		{name: "a small region", all: join(instances("south", "a", 1, 1), instances("south", "b", 1, 2), instances("north", "c", 1, 3)), want: []string{"front-a-1", "front-b-1", "front-b-2"}},
		{name: "none in the region", all: instances("north", "c", 1, 2), want: []string{"front-c-1", "front-c-2"}},
		{name: "a large region", all: join(instances("south", "a", 1, 50), instances("south", "b", 1, 50), instances("north", "c", 1, 50)), want: first},
		{name: "one of them lost", all: join(instances("south", "a", 1, 50), instances("south", "b", 2, 50)), want: append(first[1:], "front-b-9")},
		{name: "few left in the data centre", all: join(instances("south", "a", 1, 50), instances("south", "b", 1, 7)), count: maxEntries},
		{name: "many, none in the region", all: instances("north", "c", 1, 200), count: maxEntries},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := entries(tt.all, at)
			if tt.count > 0 {
				assert.Len(t, got, tt.count)
				return
			}
			assert.Equal(t, tt.want, got)
		})
	}
}
