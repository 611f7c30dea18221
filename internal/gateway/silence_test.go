package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// Guards against answers that are lost because their endpoint was silent for a while, when the
// second endpoint that was to replace it fails.
func TestSilentEndpointKeepsItsAttempt(t *testing.T) {
	const late, pause = standin.BehaviourLate, standin.BehaviourPause
	tests := []struct {
		name              string
		kind              catalog.Kind
		first, second     standin.Behaviour
		noSecondAdmission bool // the second endpoint does not admit the request
		answeredBySecond  bool
		runs              int
	}{
		{name: "safe, second resets", kind: catalog.KindSafe, first: late, second: standin.BehaviourLost, runs: 2},
		{name: "safe, second fails", kind: catalog.KindSafe, first: late, second: standin.BehaviourFail, runs: 2},
		{name: "safe, second answers another request", kind: catalog.KindSafe, first: late, second: standin.BehaviourForeign, runs: 2},
		{name: "safe, second is full", kind: catalog.KindSafe, first: late, second: standin.BehaviourFull, runs: 1},
		{name: "safe, second says nothing", kind: catalog.KindSafe, first: late, second: standin.BehaviourMute, runs: 2},
		{name: "safe, second breaks off", kind: catalog.KindSafe, first: late, second: standin.BehaviourCut, runs: 2},
		{name: "safe, second answers", kind: catalog.KindSafe, first: standin.BehaviourMute, second: standin.BehaviourNone, answeredBySecond: true, runs: 2},
		{name: "first event, second resets", kind: catalog.KindStream, first: late, second: standin.BehaviourLost, runs: 2},
		{name: "first event, second is full", kind: catalog.KindStream, first: late, second: standin.BehaviourFull, runs: 1},
		{name: "first event, second says nothing", kind: catalog.KindStream, first: late, second: standin.BehaviourMute, runs: 2},
		{name: "first event, second doesn't admit", kind: catalog.KindStream, first: late, second: standin.BehaviourNone, noSecondAdmission: true, runs: 1},
		{name: "between events, second resets", kind: catalog.KindStream, first: pause, second: standin.BehaviourLost, runs: 2},
		{name: "between events, second is full", kind: catalog.KindStream, first: pause, second: standin.BehaviourFull, runs: 1},
		{name: "between events, second says nothing", kind: catalog.KindStream, first: pause, second: standin.BehaviourMute, runs: 2},
		{name: "between events, second doesn't admit", kind: catalog.KindStream, first: pause, second: standin.BehaviourNone, noSecondAdmission: true, runs: 1},
		{name: "between events, second answers", kind: catalog.KindStream, first: pause, second: standin.BehaviourNone, answeredBySecond: true, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, tt.kind, tt.first, tt.second)
			f.route.MaxEventGap = 50 * time.Millisecond
			f.admissionRefused, f.admitFirst = tt.noSecondAdmission, 1
			method, header, body := http.MethodGet, map[string]string{}, "done r1"
			if tt.kind == catalog.KindStream {
				method, header["Model"], body = http.MethodPost, "m", completeStream
			}
			answer, err := send(t, serve(t, f), method, header, "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, answer.status)
			assert.Equal(t, body, answer.body, "complete, and each event once")
			seal := answer.header.Get("Server-Seal")
			if tt.answeredBySecond && tt.first == standin.BehaviourMute {
				assert.Equal(t, "i-1.r1", seal)
			} else {
				assert.Equal(t, "i-0.r1", seal)
			}
			assert.Equal(t, tt.runs, f.runs())
			assert.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.open == 0
			}, time.Second, time.Millisecond, "each slot is released")
		})
	}
}
