package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/arrival"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// onePieceGateway is a gateway that answers every model request with one event.
type onePieceGateway struct{}

func (onePieceGateway) Serve(_ context.Context, _ peer.Request, sink peer.Sink) *peerpb.End {
	if sink.Head(&peerpb.Head{Status: 200}) != nil || sink.Data(&peerpb.Data{Data: []byte(`{}`)}) != nil {
		return &peerpb.End{Outcome: "unknown", Code: "cancelled"}
	}
	return &peerpb.End{Outcome: "ran", Events: 1}
}

func (onePieceGateway) Resume(context.Context, *peerpb.Resume, peer.Sink) *peerpb.End {
	return &peerpb.End{Outcome: "unknown", Code: "answer-gone"}
}

type emptyFleet struct{}

func (emptyFleet) Entries(_, _ string) []Entry { return nil }
func (emptyFleet) Models(string) []string      { return nil }

// A caller that stops sending its body must lose its request slot after the timeout,
// while one that sends slowly is served.
func TestStalledBodyTimesOut(t *testing.T) {
	const timeout = 300 * time.Millisecond
	server := New("i1", onePieceGateway{}, emptyFleet{}, Limits{MaxBody: 1 << 20, MaxInFlight: 1, WriteTimeout: timeout})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	body := `{"model":"m","messages":[{}]}`
	tests := []struct {
		name   string
		pauses int
		status int
	}{
		{name: "stuck", status: http.StatusBadRequest},
		{name: "slow", pauses: 4, status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", web.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:5])
			require.NoError(t, err)
			for i := range tt.pauses {
				time.Sleep(timeout / 2)
				part := body[5+i*len(body[5:])/tt.pauses : 5+(i+1)*len(body[5:])/tt.pauses]
				_, err = conn.Write([]byte(part))
				require.NoError(t, err)
			}
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*timeout)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, tt.status, response.StatusCode)
			require.Empty(t, server.slots, "the request slot was not released")
		})
	}
}

// A body that has stopped to arrive must not keep the memory that another one needs.
func TestSlowestBodyGivesWay(t *testing.T) {
	const memory = 1000
	server := New("i1", onePieceGateway{}, emptyFleet{}, Limits{MaxBody: 1 << 20, Bodies: memory, MaxInFlight: 3, WriteTimeout: 10 * time.Second})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	send := func(text string) (status func() int) {
		conn, err := net.Dial("tcp", web.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", memory, text)
		require.NoError(t, err)
		return func() int {
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			return response.StatusCode
		}
	}
	whole := `{"model":"m","messages":[{}]}`
	whole += strings.Repeat(" ", memory-len(whole))
	stuck := send(whole[:memory/2])
	time.Sleep(arrival.FairTime / 2)
	require.Equal(t, http.StatusTooManyRequests, send(whole)(), "the other body is in its fair time")
	time.Sleep(arrival.FairTime)
	require.Equal(t, http.StatusOK, send(whole)())
	require.Equal(t, http.StatusTooManyRequests, stuck())
	require.Eventually(t, func() bool { return len(server.slots) == 0 }, time.Second, time.Millisecond)
	require.Zero(t, server.bodies.used)
}
