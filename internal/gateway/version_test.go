package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// Once an event has been passed on, a stream goes on at the version of the software that wrote it, or
// it breaks off.
func TestStreamsStayAtOneVersion(t *testing.T) {
	const none, drop, cut, refuse, pause = standin.BehaviourNone, standin.BehaviourLost, standin.BehaviourCut, standin.BehaviourFull, standin.BehaviourPause
	tests := []struct {
		name     string
		runners  []standin.Behaviour
		software []fleet.Software
		runs     []int // of each runner
		broken   bool
	}{
		{name: "cut, another version next", runners: []standin.Behaviour{cut, none, none}, software: []fleet.Software{"1", "2", "1"}, runs: []int{1, 0, 1}},
		{name: "cut, no other of its version", runners: []standin.Behaviour{cut, none}, software: []fleet.Software{"1", "2"}, runs: []int{1, 0}, broken: true},
		{name: "lost before its first event", runners: []standin.Behaviour{drop, none}, software: []fleet.Software{"1", "2"}, runs: []int{1, 1}},
		{name: "cut, refused by its version", runners: []standin.Behaviour{cut, refuse, none}, software: []fleet.Software{"1", "1", "2"}, runs: []int{1, 0, 0}, broken: true},
		{name: "refused before its first event, then cut", runners: []standin.Behaviour{refuse, cut, none}, software: []fleet.Software{"1", "2", "1"}, runs: []int{0, 1, 0}, broken: true},
		{name: "silent after its first event, another version next", runners: []standin.Behaviour{pause, none}, software: []fleet.Software{"1", "2"}, runs: []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, tt.runners...)
			f.software, f.route.Attempts = tt.software, 3
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			assert.Equal(t, tt.broken, err != nil)
			if !tt.broken {
				assert.Equal(t, completeStream, answer.body)
			}
			for i, r := range f.runners {
				assert.Len(t, r.Runs(), tt.runs[i], "runner %d", i)
			}
		})
	}
}
