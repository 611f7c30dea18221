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
	raised    bool // the rank of the workspace is raised
	asked     []int
	served    []bool
}

func (f *allottedFleet) FairLevel(level int) int {
	if f.raised {
		return 0
	}
	return level
}

func (f *allottedFleet) RecordService(level int, served bool) {
	f.asked, f.served = append(f.asked, level), append(f.served, served)
}

func (f *allottedFleet) Workspace(*catalog.Route, int64, credential.Digest) (*catalog.Workspace, time.Duration, error) {
	return &f.workspace, 0, nil
}

func (f *allottedFleet) Charge(_ context.Context, _ *catalog.Workspace, cost float64) (allotment.Receipt, time.Duration, error) {
	f.charged = append(f.charged, cost)
	return allotment.Receipt{}, 1250 * time.Millisecond, f.chargeErr
}

func (f *allottedFleet) Refund(allotment.Receipt) { f.refunds++ }

// countedCodec decodes requests whose callers state their numbers of tokens.
type countedCodec struct {
	platform.CallerCodec
	tokens [2]int
}

func (c countedCodec) Decode(r *http.Request) (*gateway.Request, error) {
	request, err := c.CallerCodec.Decode(r)
	if request != nil {
		request.PromptTokens, request.OutputTokens, request.TokensStated = c.tokens[0], c.tokens[1], c.tokens != [2]int{}
	}
	return request, err
}

// A request beyond its workspace's allotment must not run, and is told when there is room again.
// One within it is charged once, whatever it is sent again, and gets its credit back only if it
// has not run anywhere.
func TestAllotments(t *testing.T) {
	tokens := catalog.Workspace{Name: "w", Unit: catalog.UnitTokens, DefaultTokens: 200, Rate: 10, Burst: 10}
	tests := []struct {
		name       string
		workspace  catalog.Workspace
		err        error
		tokens     [2]int // as the caller states them
		behaviours []standin.Behaviour
		noEndpoint bool
		status     int
		retryAfter string
		charged    []float64
		refunds    int
		runs       int
	}{
		{name: "beyond it", workspace: tokens, err: gateway.ErrOverAllotment, tokens: [2]int{1460, 80}, status: 429, retryAfter: "1.250", charged: []float64{1540}},
		{name: "nobody keeps it", workspace: tokens, err: gateway.ErrNoAllotment, tokens: [2]int{1460, 80}, status: 503, retryAfter: "1.250", charged: []float64{1540}},
		{name: "within it", workspace: tokens, tokens: [2]int{1460, 80}, behaviours: []standin.Behaviour{standin.BehaviourNone}, status: 200, charged: []float64{1540}, runs: 1},
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
			server := httptest.NewServer(gateway.New(fleet.Place{}, countedCodec{tokens: tt.tokens}, platform.NewEndpointClient(), f, time.Now))
			answer, err := send(t, server.URL, http.MethodPost, nil, "")
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

// rankedSender records the ranks with which attempts are sent.
type rankedSender struct {
	gateway.Sender
	levels []int
}

func (s *rankedSender) Send(ctx context.Context, a *gateway.Attempt) (*gateway.Answer, error) {
	s.levels = append(s.levels, a.Level)
	return s.Sender.Send(ctx, a)
}

// A rank that operators gave to a workspace is raised while it is starved, and counted as it was.
// Routes' ranks stay as they are.
func TestStarvedRankIsRaised(t *testing.T) {
	tests := []struct {
		name             string
		workspace        catalog.Workspace
		raised, overload bool
		sent             []int
		asked            []int
		served           []bool
	}{
		{name: "as it is", workspace: catalog.Workspace{Name: "w", HasLevel: true, Level: 2}, sent: []int{2}, asked: []int{2}, served: []bool{true}},
		{name: "raised", workspace: catalog.Workspace{Name: "w", HasLevel: true, Level: 2}, raised: true, sent: []int{0}, asked: []int{2}, served: []bool{true}},
		{name: "refused", workspace: catalog.Workspace{Name: "w", HasLevel: true, Level: 2}, overload: true, asked: []int{2}, served: []bool{false}},
		{name: "ranked by its route", workspace: catalog.Workspace{Name: "w"}, raised: true, sent: []int{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &allottedFleet{fakeFleet: newFleet(t, catalog.KindUnsafe, standin.BehaviourNone), workspace: tt.workspace, raised: tt.raised}
			f.route.Level = 1
			if tt.overload {
				f.err = gateway.ErrOverloaded
			}
			sender := &rankedSender{Sender: platform.NewEndpointClient()}
			server := httptest.NewServer(gateway.New(fleet.Place{}, platform.CallerCodec{}, sender, f, time.Now))
			_, err := send(t, server.URL, http.MethodPost, nil, "")
			server.Close()
			require.NoError(t, err)
			assert.Equal(t, tt.asked, f.asked)
			assert.Equal(t, tt.served, f.served)
			assert.Equal(t, tt.sent, sender.levels)
		})
	}
}
