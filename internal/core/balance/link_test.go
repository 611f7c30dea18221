package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// fixedBacklogs are the backlogs of endpoints as of now.
type fixedBacklogs map[fleet.Endpoint]time.Duration

func (f fixedBacklogs) Ahead(e *roster.Endpoint, _ int) (ahead, age time.Duration) { return f[e.ID], 0 }

func (fixedBacklogs) Slowness(*roster.Endpoint) float64 { return 1 }

// The load of a shift to a model whose copies in the callers' own region are busier than those in the
// other: the requests fill the link between the regions.
func TestFullLinkKeepsRequestsAtHome(t *testing.T) {
	places := map[fleet.DataCentre]fleet.Region{"home": "south", "far": "north"}
	var endpoints []*roster.Endpoint
	for id, place := range map[fleet.Endpoint]fleet.DataCentre{"near": "home", "away": "far"} {
		endpoints = append(endpoints, &roster.Endpoint{
			Entry:  roster.Entry{ID: id, Service: "s", DataCentre: place, Slots: 64, Models: []roster.Holding{{Model: "m"}}},
			Report: roster.Report{Taken: time.Unix(1, 0), Models: []roster.Holding{{Model: "m"}}},
		})
	}
	tests := []struct {
		name  string
		ahead time.Duration // at home
		queue time.Duration // on the link
		want  fleet.Endpoint
	}{
		{name: "room at home", want: "near"},
		{name: "busy at home", ahead: 250 * time.Millisecond, want: "away"},
		{name: "the link is full", ahead: 250 * time.Millisecond, queue: 300 * time.Millisecond, want: "near"},
		{name: "a wait at home longer than that of the link", ahead: 900 * time.Millisecond, queue: 50 * time.Millisecond, want: "away"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := balance.NewBalancer()
			b.SetLinkQueues(map[fleet.Region]time.Duration{"north": tt.queue})
			a := &balance.Request{Service: "s", Model: "m", PromptTokens: 600, Target: 800 * time.Millisecond, Place: fleet.Place{Region: "south", DataCentre: "home"}}
			c, missing := b.Spread(time.Unix(1, 0), a, &catalog.Group{Name: "s", Engine: &catalog.Engine{}}, endpoints, places, fixedBacklogs{"near": tt.ahead}, 0.5)
			assert.Equal(t, balance.MissingNone, missing)
			assert.Equal(t, tt.want, c.Endpoint.ID)
		})
	}
}

// The load of a flood at a service with few slots beside a full link: requests still go to the other
// region, where there is room.
func TestFullLinkLeavesServicesWithoutModels(t *testing.T) {
	places := map[fleet.DataCentre]fleet.Region{"home": "south", "far": "north"}
	b := balance.NewBalancer()
	b.SetLinkQueues(map[fleet.Region]time.Duration{"north": 600 * time.Millisecond})
	a := &balance.Request{Service: "s", Target: 400 * time.Millisecond, Place: fleet.Place{Region: "south", DataCentre: "home"}}
	var endpoints []*roster.Endpoint
	for id, place := range map[fleet.Endpoint]fleet.DataCentre{"near": "home", "away": "far"} {
		endpoints = append(endpoints, &roster.Endpoint{Entry: roster.Entry{ID: id, Service: "s", DataCentre: place, Slots: 6}})
	}
	for range 6 {
		b.Started("near", a)
	}
	c, missing := b.Choose(time.Unix(1, 0), a, &catalog.Group{Name: "s"}, endpoints, places)
	assert.Equal(t, balance.MissingNone, missing)
	assert.Equal(t, fleet.Endpoint("away"), c.Endpoint.ID)
}
