package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// An engine that restarted at the same address must not get an order that was meant for
// its previous incarnation.
func TestOrderAtReachesOnlyItsIncarnation(t *testing.T) {
	first := engine.New(engine.WithLoadTime(time.Millisecond))
	require.NoError(t, first.Start(t.Context(), "127.0.0.1:0"))
	address := first.Address()
	client := endpoint.New()
	defer client.Close()
	order := endpoint.Order{ID: "o1", Fence: 1, Kind: endpoint.OrderLoad, Model: "m", Bytes: 1 << 30}
	_, err := client.OrderAt(t.Context(), address, first.Incarnation(), order)
	require.NoError(t, err)
	require.NoError(t, first.Close())

	second := engine.New()
	require.NoError(t, second.Start(t.Context(), address))
	defer func() { _ = second.Close() }()
	order.ID = "o2"
	_, err = client.OrderAt(t.Context(), address, first.Incarnation(), order)
	require.ErrorIs(t, err, endpoint.ErrIncarnation)
	require.ErrorIs(t, err, endpoint.ErrNotSent)
	require.Zero(t, second.Counts().Orders)
	_, err = client.Order(t.Context(), address, order)
	require.NoError(t, err, "without the incarnation check the engine accepts the order")
	require.Equal(t, 1, second.Counts().Orders)
}
