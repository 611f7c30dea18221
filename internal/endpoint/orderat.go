package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
)

// ErrIncarnation means that the endpoint at the address has another incarnation than
// expected, because it restarted or was replaced.
var ErrIncarnation = errors.New("endpoint has another incarnation than expected")

// errRedial: the connection on which the incarnation was read is closed, and a new one
// could reach another incarnation.
var errRedial = errors.New("connection closed; not opening another one")

// OrderAt sends an order to one incarnation of an endpoint only. It reads the
// incarnation first and sends the order on the same connection, which cannot lead to
// another incarnation. If the call fails before the order was written, the error wraps
// ErrNotSent.
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

// singleConnection returns a client that opens one connection and refuses to open another.
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
