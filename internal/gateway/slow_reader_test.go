package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// How long one caller takes to read its answer doesn't decide what the requests of others may take.
func TestSlowReaderDoesNotDecide(t *testing.T) {
	f := newFleet(t, catalog.KindSafe, standin.BehaviourLarge)
	f.route.Timeout = 5 * time.Second
	url := serveWithLimits(t, f, 8<<20, 16<<20)
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	slow := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	}}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/x", http.NoBody)
	require.NoError(t, err)
	request.Host = "board.example"
	request.Header.Set("Request-Id", "slow")
	response, err := slow.Do(request)
	require.NoError(t, err)
	time.Sleep(1500 * time.Millisecond)
	read, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.EqualValues(t, standin.LargeBytes, read)
	time.Sleep(50 * time.Millisecond)
	f.shutDownIn(1500 * time.Millisecond)
	answer, err := send(t, url, http.MethodGet, nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.status)
}
