package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// abandoned receives the phases in which callers left. It counts nothing else.
type abandoned struct{ phases chan gateway.Phase }

func newAbandoned() abandoned { return abandoned{make(chan gateway.Phase, 1)} }

func (a abandoned) Abandoned(in gateway.Phase) { a.phases <- in }

func (abandoned) Done(*catalog.Route, int, int, time.Duration, time.Duration) {}
func (abandoned) Waited(*catalog.Route, int, time.Duration)                   {}
func (abandoned) Workspace(string, int)                                       {}
func (abandoned) KeyRefused(int)                                              {}
func (abandoned) BodyRefused(gateway.BodyFault)                               {}
func (abandoned) EventRejected(gateway.EventFault)                            {}

// A request that has not ended is known with how far it has got.
func TestActiveRequestsHaveAPhase(t *testing.T) {
	full := gateway.Admission{Refused: true, Wait: time.Second, AskAgain: time.Second}
	tests := []struct {
		name      string
		behaviour standin.Behaviour
		replies   []gateway.Admission
		open      bool // the body has no end
		want      gateway.Active
	}{
		{name: "body is arriving", open: true, want: gateway.Active{ID: "r1", Phase: gateway.PhaseReading}},
		{name: "waits for its turn", replies: []gateway.Admission{full}, want: gateway.Active{ID: "r1", Route: "r", Phase: gateway.PhaseWaiting, Endpoint: "i-0"}},
		{name: "no answer", behaviour: standin.BehaviourMute, want: gateway.Active{ID: "r1", Route: "r", Phase: gateway.PhaseSent, Endpoint: "i-0"}},
		{name: "part of an answer", behaviour: standin.BehaviourTrickle, want: gateway.Active{ID: "r1", Route: "r", Phase: gateway.PhaseAnswering, Endpoint: "i-0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindStream, tt.behaviour)
			f.replies = tt.replies
			counts := newAbandoned()
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now, gateway.WithStats(counts))
			server := httptest.NewServer(g)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			body, end := io.Pipe()
			t.Cleanup(func() { _ = end.Close() })
			if !tt.open {
				_ = end.Close()
			}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", body)
			require.NoError(t, err)
			request.Host = "board.example"
			request.Header.Set("Request-Id", "r1")
			request.Header.Set("Model", "m")
			var caller errgroup.Group
			caller.Go(func() error {
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return err
				}
				defer func() { _ = response.Body.Close() }()
				_, err = io.Copy(io.Discard, response.Body)
				return err
			})
			var active []gateway.Active
			assert.Eventually(t, func() bool {
				active = g.Active()
				return len(active) == 1 && active[0].Phase == tt.want.Phase && active[0].Endpoint == tt.want.Endpoint
			}, time.Second, time.Millisecond, "%v", active)
			if len(active) == 1 {
				assert.Positive(t, active[0].Age)
				active[0].Age = 0
				assert.Equal(t, tt.want, active[0])
			}
			if tt.want.Phase == gateway.PhaseSent {
				require.Eventually(t, func() bool { return f.runs() == 1 }, time.Second, time.Millisecond) // else it may be withdrawn unsent
			}
			server.CloseClientConnections()
			select {
			case phase := <-counts.phases:
				assert.Equal(t, tt.want.Phase, phase, "in which its caller left")
			case <-time.After(3 * time.Second):
				assert.Fail(t, "its caller's departure wasn't seen")
			}
			assert.Eventually(t, func() bool { server.CloseClientConnections(); return len(g.Active()) == 0 }, 3*time.Second, 10*time.Millisecond)
			_ = end.Close()
			_ = caller.Wait() // the server closes the connection
		})
	}
}
