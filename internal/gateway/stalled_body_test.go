package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// largeBodies allows bodies of 1 MB.
type largeBodies struct{ *fakeFleet }

func (largeBodies) Limits() catalog.Limits { return catalog.Limits{MaxBodyBytes: 1 << 20} }

// Callers that state long bodies and send nothing of them don't keep out those that send theirs.
func TestStalledBodiesKeepNobodyOut(t *testing.T) {
	f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
	g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), largeBodies{f}, time.Now, gateway.WithBodyMemory(4<<20))
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	for range 3 {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: stalled\r\nContent-Length: %d\r\n\r\n", 1<<20)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(g.Active()) == 3 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	answer, err := send(t, server.URL, http.MethodPost, nil, strings.Repeat("x", 100<<10))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status, answer.body)
	assert.Equal(t, 1, f.runs())
}
