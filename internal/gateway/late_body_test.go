package gateway_test

import (
	"io"
	"net/http"
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

// A body that hasn't arrived when its caller has waited long enough, or by the limit, is refused.
func TestBodyThatArrivesTooLateIsRefused(t *testing.T) {
	const short, long = 100 * time.Millisecond, time.Minute
	tests := []struct {
		name, text string
		limit      time.Duration
		ends       string // sent later, but in time
		wantStatus int
		wantRuns   int
	}{
		{name: "the caller waits no longer", limit: long, text: standin.Wait + ": 100\r\nContent-Length: 2\r\n\r\na", wantStatus: http.StatusRequestTimeout},
		{name: "nothing stated", limit: short, text: "Content-Length: 2\r\n\r\na", wantStatus: http.StatusRequestTimeout},
		{name: "the caller waits for longer than the limit", limit: short, text: standin.Wait + ": 60000\r\nContent-Length: 2\r\n\r\na", wantStatus: http.StatusRequestTimeout},
		{name: "in chunks", limit: short, text: "Transfer-Encoding: chunked\r\n\r\n2\r\na", wantStatus: http.StatusRequestTimeout},
		{name: "no trailer", limit: short, text: "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", wantStatus: http.StatusRequestTimeout},
		{name: "in time", limit: long, text: standin.Wait + ": 4000\r\nContent-Length: 2\r\n\r\na", ends: "b", wantStatus: http.StatusOK, wantRuns: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
			g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now, gateway.WithBodyTime(tt.limit))
			conn := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r1\r\n"+tt.text)
			if tt.ends != "" {
				time.Sleep(short)
				_, err := io.WriteString(conn, tt.ends)
				require.NoError(t, err)
			}
			got := readAnswer(t, conn)
			assert.Equal(t, tt.wantStatus, got.status)
			assert.Equal(t, tt.wantStatus != http.StatusOK, got.closes)
			assert.Equal(t, tt.wantRuns, f.runs())
		})
	}
}

// The limit on a body's time doesn't hold for the answer, nor for the next request on the connection.
func TestBodyTimeEndsWithTheBody(t *testing.T) {
	f := newFleet(t, catalog.KindUnsafe, standin.BehaviourLate)
	g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), f, time.Now, gateway.WithBodyTime(50*time.Millisecond))
	request := "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\na"
	conn := open(t, g, request)
	assert.Equal(t, http.StatusOK, readAnswer(t, conn).status)
	time.Sleep(100 * time.Millisecond)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, readAnswer(t, conn).status)
}
