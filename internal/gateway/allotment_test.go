package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// allottedFleet is a fakeFleet whose requests belong to a workspace with an allotment.
type allottedFleet struct {
	*fakeFleet
	chargeErr error
	workspace catalog.Workspace
	charged   []float64
	refunds   int
}

func (f *allottedFleet) Workspace(*catalog.Route, int64, credential.Digest) (*catalog.Workspace, time.Duration, error) {
	return &f.workspace, 0, nil
}

func (f *allottedFleet) Charge(_ context.Context, _ *catalog.Workspace, cost float64) (allotment.Receipt, time.Duration, error) {
	f.charged = append(f.charged, cost)
	return allotment.Receipt{}, 1250 * time.Millisecond, f.chargeErr
}

func (f *allottedFleet) Refund(allotment.Receipt) { f.refunds++ }

// A request beyond its workspace's allotment must not run, and is told when there is room again.
// One within it is charged once, whatever it is sent again, and gets its credit back only if it
// has not run anywhere.
func TestAllotments(t *testing.T) {
	tokens := catalog.Workspace{Name: "w", Unit: catalog.UnitTokens, DefaultTokens: 200, Rate: 10, Burst: 10}
	tests := []struct {
		name       string
		workspace  catalog.Workspace
		err        error
		count      string
		behaviours []standin.Behaviour
		noEndpoint bool
		status     int
		retryAfter string
		charged    []float64
		refunds    int
		runs       int
	}{
		{name: "beyond it", workspace: tokens, err: gateway.ErrOverAllotment, count: "1460,80", status: 429, retryAfter: "1.250", charged: []float64{1540}},
		{name: "nobody keeps it", workspace: tokens, err: gateway.ErrNoAllotment, count: "1460,80", status: 503, retryAfter: "1.250", charged: []float64{1540}},
		{name: "within it", workspace: tokens, count: "1460,80", behaviours: []standin.Behaviour{standin.BehaviourNone}, status: 200, charged: []float64{1540}, runs: 1},
		{name: "without a count", workspace: tokens, behaviours: []standin.Behaviour{standin.BehaviourNone}, status: 200, charged: []float64{200}, runs: 1},
		{name: "in requests", workspace: catalog.Workspace{Name: "w", Unit: catalog.UnitRequests, Rate: 1}, behaviours: []standin.Behaviour{standin.BehaviourNone}, status: 200, charged: []float64{1}, runs: 1},
		{name: "without an allotment", workspace: catalog.Workspace{Name: "w"}, err: gateway.ErrOverAllotment, behaviours: []standin.Behaviour{standin.BehaviourNone}, status: 200, runs: 1},
		{name: "no endpoint", workspace: tokens, noEndpoint: true, behaviours: []standin.Behaviour{standin.BehaviourNone}, status: 503, charged: []float64{200}, refunds: 1},
		{name: "refused by the endpoints", workspace: tokens, behaviours: []standin.Behaviour{standin.BehaviourFull, standin.BehaviourFull}, status: 503, charged: []float64{200}, refunds: 1},
		{name: "refused by one of them", workspace: tokens, behaviours: []standin.Behaviour{standin.BehaviourFull, standin.BehaviourNone}, status: 200, charged: []float64{200}, runs: 1},
		{name: "its answer was lost", workspace: tokens, behaviours: []standin.Behaviour{standin.BehaviourLost}, status: 502, charged: []float64{200}, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &allottedFleet{fakeFleet: newFleet(t, catalog.KindUnsafe, tt.behaviours...), chargeErr: tt.err, workspace: tt.workspace}
			if tt.noEndpoint {
				f.err = gateway.ErrNoEndpoint
			}
			header := map[string]string{}
			if tt.count != "" {
				header["Token-Count"] = tt.count
			}
			server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now))
			answer, err := send(t, server.URL, http.MethodPost, header, "")
			server.Close() // waits for the end of the request
			require.NoError(t, err)
			assert.Equal(t, tt.status, answer.status)
			if tt.retryAfter != "" {
				assert.Equal(t, tt.retryAfter, answer.header.Get("Retry-After"))
			}
			assert.Equal(t, tt.charged, f.charged)
			assert.Equal(t, tt.refunds, f.refunds)
			assert.Equal(t, tt.runs, f.runs())
		})
	}
}
