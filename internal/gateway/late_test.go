package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// A request that has waited until its answer can't begin before its deadline is sent to no endpoint, where
// it would run after its caller has left.
func TestRequestThatCannotBeginBeforeItsDeadlineIsNotSent(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		hold       time.Duration // for its place in the schedule, of 1400 ms that its caller waits
		prefill    time.Duration
		wantStatus int
		wantRuns   int
	}{
		{name: "in time", hold: 200 * ms, wantStatus: http.StatusOK, wantRuns: 1},
		{name: "in time, long prompt", hold: 150 * ms, prefill: 100 * ms, wantStatus: http.StatusOK, wantRuns: 1},
		{name: "too late", hold: 1365 * ms, wantStatus: http.StatusServiceUnavailable},
		{name: "too late, long prompt", hold: 1000 * ms, prefill: 350 * ms, wantStatus: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone)
			f.prefill = tt.prefill
			f.replies = []gateway.Admission{{Wait: tt.hold, Hold: tt.hold}}
			r, err := send(t, serve(t, f), http.MethodPost, map[string]string{"Model": "m", standin.Wait: "1400"}, "")
			require.NoError(t, err)
			assert.Equal(t, tt.wantStatus, r.status)
			assert.Equal(t, tt.wantRuns, f.runs())
			assert.Len(t, f.questions, 1, "no other endpoint is asked")
		})
	}
}
