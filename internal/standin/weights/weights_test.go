package weights_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/weights"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, opts ...weights.Option) (*weights.Server, func(path string) int) {
	t.Helper()
	server := weights.New(opts...)
	require.NoError(t, server.Start(t.Context(), "127.0.0.1:0"))
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		_ = server.Close()
	})
	return server, func(path string) int {
		response, err := client.Get("http://" + server.Address() + path)
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
}

func TestConcurrentModelLoadsAreLimited(t *testing.T) {
	server, get := startServer(t, weights.WithLimits(1000, 2), weights.WithBandwidth(1e6))
	var group errgroup.Group
	for range 2 {
		group.Go(func() error { get(weights.PathModels + "m?bytes=200000"); return nil })
	}
	require.Eventually(t, func() bool { return server.Counts().InFlight == 2 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, http.StatusTooManyRequests, get(weights.PathModels+"m?bytes=1"))
	require.NoError(t, group.Wait())
	assert.Equal(t, weights.Counts{Models: 2, Refused: 1, PeakInFlight: 2}, server.Counts())
}

func TestModelLoadRateIsLimited(t *testing.T) {
	server, get := startServer(t, weights.WithLimits(1, 8))
	assert.Equal(t, http.StatusNoContent, get(weights.PathModels+"m?bytes=1"))
	assert.Equal(t, http.StatusTooManyRequests, get(weights.PathModels+"m?bytes=1"))
	server.SetFaults(weights.Faults{Down: true})
	assert.Equal(t, http.StatusTooManyRequests, get(weights.PathModels+"m?bytes=1"))
	assert.Equal(t, http.StatusBadRequest, get(weights.PathModels+"m"))
}

func TestAdapterLoadsSlowDownAboveLimit(t *testing.T) {
	server, get := startServer(t, weights.WithAdapters(20*time.Millisecond, 1))
	start := time.Now()
	var group errgroup.Group
	for range 4 {
		group.Go(func() error { get(weights.PathAdapters + "a"); return nil })
	}
	require.NoError(t, group.Wait())
	assert.GreaterOrEqual(t, time.Since(start), 40*time.Millisecond)
	assert.Equal(t, 4, server.Counts().Adapters)
}
