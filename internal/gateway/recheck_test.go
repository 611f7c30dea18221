package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// A request waits at an endpoint that leaves meanwhile. It is never sent there but at once elsewhere,
// without a retry, or refused at once as not run if there is no other endpoint.
func TestRequestIsNotSentToAnEndpointThatLeftDuringItsWait(t *testing.T) {
	const none, drop, full = standin.BehaviourNone, standin.BehaviourLost, standin.BehaviourFull
	const wait = 5 * time.Second
	hold := []gateway.Admission{{Hold: wait}, {}}
	turn := []gateway.Admission{{Refused: true, Wait: wait, AskAgain: wait}, {}}
	tests := []struct {
		name         string
		runners      []standin.Behaviour
		lostFrom     map[fleet.Endpoint]int
		paced        time.Duration
		replies      []gateway.Admission
		loadsAdapter bool
		wantStatus   int
		wantRuns     []int
		wantRetries  int
	}{
		{name: "paced prompt", runners: []standin.Behaviour{none, none}, lostFrom: map[fleet.Endpoint]int{"i-0": 2}, paced: wait, wantStatus: 200, wantRuns: []int{0, 1}},
		{name: "limit", runners: []standin.Behaviour{none, none}, lostFrom: map[fleet.Endpoint]int{"i-0": 2}, replies: hold, wantStatus: 200, wantRuns: []int{0, 1}},
		{name: "turn in the queue", runners: []standin.Behaviour{none, none}, lostFrom: map[fleet.Endpoint]int{"i-0": 2}, replies: turn, wantStatus: 200, wantRuns: []int{0, 1}},
		{name: "adapter load", runners: []standin.Behaviour{none, none}, lostFrom: map[fleet.Endpoint]int{"i-0": 1}, loadsAdapter: true, wantStatus: 200, wantRuns: []int{0, 1}},
		{name: "retry", runners: []standin.Behaviour{drop, none, none}, lostFrom: map[fleet.Endpoint]int{"i-1": 1}, wantStatus: 200, wantRuns: []int{1, 0, 1}, wantRetries: 1},
		{name: "retry after a refusal", runners: []standin.Behaviour{full, none, none}, lostFrom: map[fleet.Endpoint]int{"i-1": 1}, wantStatus: 200, wantRuns: []int{0, 0, 1}, wantRetries: 1},
		{name: "all endpoints but the last", runners: make([]standin.Behaviour, 7), lostFrom: map[fleet.Endpoint]int{"i-0": 1, "i-1": 1, "i-2": 1, "i-3": 1, "i-4": 1, "i-5": 1}, wantStatus: 200, wantRuns: []int{0, 0, 0, 0, 0, 0, 1}},
		{name: "the only endpoint, paced prompt", runners: []standin.Behaviour{none}, lostFrom: map[fleet.Endpoint]int{"i-0": 2}, paced: wait, wantStatus: 503, wantRuns: []int{0}},
		{name: "the only endpoint, turn in the queue", runners: []standin.Behaviour{none}, lostFrom: map[fleet.Endpoint]int{"i-0": 2}, replies: turn[:1], wantStatus: 503, wantRuns: []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, tt.runners...)
			f.route.Target, f.route.Timeout = 10*time.Second, 20*time.Second
			f.lostFrom, f.replies, f.loadsAdapter = tt.lostFrom, tt.replies, tt.loadsAdapter
			if tt.paced > 0 {
				f.route.MaxEventGap, f.replies = 200*time.Millisecond, []gateway.Admission{{Wait: tt.paced}, {}}
			}
			began := time.Now()
			answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			require.NoError(t, err)
			assert.Equal(t, tt.wantStatus, answer.status)
			assert.Equal(t, tt.wantStatus != http.StatusOK, answer.header.Get("Retry-After") != "")
			for i, r := range f.runners {
				assert.Len(t, r.Runs(), tt.wantRuns[i], "runner %d", i)
			}
			assert.Equal(t, 9-tt.wantRetries, f.retryBudget)
			assert.Less(t, time.Since(began), wait/2, "it goes on at once")
			assert.Zero(t, f.open, "every chosen endpoint is released")
		})
	}
}

// The endpoint leaves at which a request has its place in the queue: it gets one elsewhere with all of
// its patience, by the time of its arrival.
func TestRequestKeepsItsTurnWhereItsEndpointLeaves(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
	f.route.Timeout, f.lostFrom = 20*time.Second, map[fleet.Endpoint]int{"i-1": 2}
	f.replies = []gateway.Admission{
		{Refused: true, Wait: time.Second},
		{Refused: true, Wait: time.Second, AskAgain: time.Second},
		{Refused: true, Wait: time.Second, AskAgain: 20 * time.Millisecond},
		{Late: true},
	}
	answer, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status)
	require.Len(t, f.questions, 4)
	first, moved := f.questions[1].Late, f.questions[2].Late
	require.NotNil(t, moved)
	assert.Equal(t, fleet.Endpoint("i-0"), f.questions[2].endpoint)
	assert.Equal(t, first.ID, moved.ID)
	assert.True(t, moved.Asked)
	assert.InDelta(t, first.Waited+first.Patience, moved.Waited+moved.Patience, float64(100*time.Millisecond))
}
