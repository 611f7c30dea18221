package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// The load of a burst at a service that lets requests wait: one that can't be in time is sent to
// another endpoint that can, or waits and asks again until it is admitted. One whose turn comes too
// late is refused at once.
func TestRequestsWaitForRoom(t *testing.T) {
	const ms = time.Millisecond
	full := gateway.Admission{Refused: true, Wait: 300 * ms}
	wait := gateway.Admission{Refused: true, Wait: 300 * ms, AskAgain: 40 * ms}
	admitted, late := gateway.Admission{}, gateway.Admission{Late: true}
	tests := []struct {
		name       string
		endpoints  int
		replies    []gateway.Admission
		wantStatus int
		wantAsked  []fleet.Endpoint
		wantLate   []bool // which questions ask for a place after the target
	}{
		{name: "at once", endpoints: 1, replies: []gateway.Admission{admitted}, wantStatus: http.StatusOK, wantAsked: []fleet.Endpoint{"i-0"}, wantLate: []bool{true}},
		{name: "at another endpoint", endpoints: 2, replies: []gateway.Admission{full, admitted}, wantStatus: http.StatusOK, wantAsked: []fleet.Endpoint{"i-0", "i-1"}, wantLate: []bool{false, true}},
		{name: "after a wait", endpoints: 1, replies: []gateway.Admission{wait, wait, late}, wantStatus: http.StatusOK, wantAsked: []fleet.Endpoint{"i-0", "i-0", "i-0"}, wantLate: []bool{true, true, true}},
		{name: "its turn comes too late", endpoints: 1, replies: []gateway.Admission{full}, wantStatus: http.StatusServiceUnavailable, wantAsked: []fleet.Endpoint{"i-0"}, wantLate: []bool{true}},
		{name: "its turn comes later than predicted", endpoints: 1, replies: []gateway.Admission{wait, full}, wantStatus: http.StatusServiceUnavailable, wantAsked: []fleet.Endpoint{"i-0", "i-0"}, wantLate: []bool{true, true}},
		{name: "no end of waiting", endpoints: 1, replies: []gateway.Admission{wait, wait, wait, wait, wait, full}, wantStatus: http.StatusServiceUnavailable, wantAsked: []fleet.Endpoint{"i-0", "i-0", "i-0", "i-0", "i-0", "i-0"}, wantLate: []bool{true, true, true, true, true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, make([]standin.Behaviour, tt.endpoints)...)
			f.replies = tt.replies
			r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
			require.NoError(t, err)
			assert.Equal(t, tt.wantStatus, r.status)
			assert.Equal(t, tt.wantStatus != http.StatusOK, r.header.Get("Retry-After") != "")
			var asked []fleet.Endpoint
			var asksLate []bool
			for i, q := range f.questions {
				asked, asksLate = append(asked, q.endpoint), append(asksLate, q.Late != nil)
				if q.Late != nil {
					assert.LessOrEqual(t, q.Late.Waited+q.Late.Patience, f.route.Timeout, "the answer is in time for the caller")
					assert.Equal(t, i == 5, q.Late.Last, "question %d", i)
				}
			}
			assert.Equal(t, tt.wantAsked, asked)
			assert.Equal(t, tt.wantLate, asksLate)
			assert.Zero(t, f.open)
		})
	}
}

// A request whose caller leaves while it waits is sent nowhere, and its place is given up.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
	f.replies = []gateway.Admission{{Refused: true, Wait: time.Second, AskAgain: time.Second}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, serve(t, f)+"/x", strings.NewReader("prompt"))
	require.NoError(t, err)
	request.Host = "board.example"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Model", "m")
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // there is no answer
	require.Error(t, err)
	assert.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.withdrawn) == 1 }, 400*time.Millisecond, time.Millisecond)
	assert.Zero(t, f.runs())
	assert.Len(t, f.questions, 1)
}

// A request that may have run doesn't wait: a refusal would say that it has not.
func TestRequestThatMayHaveRunDoesNotWait(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourCut, standin.BehaviourNone)
	f.replies = []gateway.Admission{{}, {Refused: true, Wait: time.Hour}}
	r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, r.status)
	assert.Equal(t, 2, f.runs())
	require.Len(t, f.questions, 2)
	assert.Nil(t, f.questions[1].Late)
}

// A refused caller gets the earliest time at which one of the endpoints has room by its admitting instance.
func TestRefusedCallersAreToldWhenThereIsRoom(t *testing.T) {
	f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
	f.replies = []gateway.Admission{{Refused: true, Wait: time.Second}, {Refused: true, Wait: time.Second, Return: 1234 * time.Millisecond, Yields: true}}
	f.random = 0.7
	r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.Equal(t, "1.234", r.header.Get("Retry-After"))
}

// A late request gives way to the others of its rank at the endpoint, and to all ranks if its
// workspace surges.
func TestLateRequestsGiveWayAtTheEndpoint(t *testing.T) {
	wait := gateway.Admission{Refused: true, Wait: time.Second, AskAgain: 10 * time.Millisecond}
	yields := wait
	yields.Yields = true
	for priority, replies := range map[string][]gateway.Admission{
		"3": {{}},
		"5": {wait, {Late: true}},
		"8": {yields, {Late: true}},
	} {
		f := newFleet(t, catalog.KindStream, standin.BehaviourNone)
		f.route.Level, f.replies = 1, replies
		r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m"}, "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, r.status)
		require.Len(t, f.runners[0].Runs(), 1)
		assert.Equal(t, priority, f.runners[0].Runs()[0].Priority())
	}
}
