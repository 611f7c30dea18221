package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// keyedFleet is a fakeFleet whose route needs a key. The key lapses after some sends.
type keyedFleet struct {
	*fakeFleet
	sendsLeft atomic.Int32
}

func (f *keyedFleet) Workspace(*catalog.Route, int64, credential.Digest) (*catalog.Workspace, time.Duration, error) {
	return &catalog.Workspace{Name: "w"}, 0, nil
}

func (f *keyedFleet) KeyValid(credential.Digest, string) error {
	if f.sendsLeft.Add(-1) < 0 {
		return gateway.ErrKeyLapsed
	}
	return nil
}

// A request that waits, or whose stream breaks off, must not be sent with a key that was revoked
// meanwhile, and must not be reported as not run if it may have run.
func TestLapsedKeyIsNotSent(t *testing.T) {
	tests := []struct {
		name      string
		kind      catalog.Kind
		behaviour standin.Behaviour
		sends     int32
		status    int
		runs      int
		broken    bool
	}{
		{name: "before the first send", kind: catalog.KindUnsafe, sends: 0, status: 503},
		{name: "after an endpoint refused it", kind: catalog.KindUnsafe, behaviour: standin.BehaviourFull, sends: 1, status: 503},
		{name: "after its answer was lost", kind: catalog.KindSafe, behaviour: standin.BehaviourLost, sends: 1, status: 502, runs: 1},
		{name: "in a stream that broke off", kind: catalog.KindStream, behaviour: standin.BehaviourCut, sends: 1, status: 200, runs: 1, broken: true},
		{name: "after the last send", kind: catalog.KindStream, behaviour: standin.BehaviourCut, sends: 2, status: 200, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.behaviour, standin.BehaviourNone)
			header := map[string]string{}
			if tt.kind == catalog.KindStream {
				header["Model"] = "m"
			}
			keyed := &keyedFleet{fakeFleet: f}
			keyed.sendsLeft.Store(tt.sends)
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), keyed, time.Now)
			server := httptest.NewServer(g)
			answer, err := send(t, server.URL, http.MethodPost, header, "")
			server.Close() // waits for the end of the request
			assert.Equal(t, tt.status, answer.status)
			assert.Equal(t, tt.broken, err != nil)
			assert.Equal(t, tt.runs, f.runs())
			assert.Equal(t, tt.status == http.StatusServiceUnavailable, answer.header.Get("Retry-After") != "")
			assert.Zero(t, f.open, "every chosen endpoint is released")
		})
	}
}
