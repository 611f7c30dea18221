package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
)

// ErrIncarnation means that another incarnation than the one meant answers at the address.
var ErrIncarnation = errors.New("another incarnation of the endpoint")

// errRedial: the connection on which the incarnation was read is gone.
var errRedial = errors.New("connection not opened a second time")

// OrderAt sends an order that only one incarnation of an endpoint may get. It
// reads the incarnation first and sends the order on the same connection, which
// no other incarnation can have. When that fails before the order was written,
// the error wraps ErrNotSent.
func (c *Client) OrderAt(ctx context.Context, addr, incarnation string, order Order) (OrderReply, error) {
	single := c.singleConnection()
	defer single.Close()
	state, err := single.State(ctx, addr)
	if err != nil {
		return OrderReply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if state.Incarnation != incarnation {
		return OrderReply{}, stepError("order", addr, errors.Join(ErrNotSent, ErrIncarnation))
	}
	return single.Order(ctx, addr, order)
}

// singleConnection returns a client that opens one connection only.
func (c *Client) singleConnection() *Client {
	transport := newTransport(c.settings)
	transport.MaxConnsPerHost = 1
	dial := transport.DialContext
	var dialed atomic.Bool
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, errRedial
		}
		return dial(ctx, network, addr)
	}
	return &Client{settings: c.settings, transport: transport, tracer: c.tracer}
}
