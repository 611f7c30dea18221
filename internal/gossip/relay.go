package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/httpconn"
	"github.com/chiveramp/chiveramp/internal/tcp"
)

// relayBufferBytes is the size of the parts in which a relayed connection's bytes are sent on.
const relayBufferBytes = 16 << 10

// Errors of connecting to an endpoint through a peer.
var (
	// ErrRelayRefused is returned if nothing listens at the endpoint's address when the peer connects.
	ErrRelayRefused = errors.New("nothing listens at the endpoint's address")
	// ErrRelayUnreachable is returned if the peer doesn't reach the endpoint or doesn't know it.
	ErrRelayUnreachable = errors.New("the peer doesn't reach the endpoint")
	// ErrRelayBusy is returned if the peer carries as many connections for others as it may, or leaves.
	ErrRelayBusy = errors.New("the peer relays no more connections")
)

// Relay asks a peer to connect to an incarnation of an endpoint.
type Relay struct {
	Endpoint fleet.Endpoint `cbor:"e"`
	Born     int64          `cbor:"b"`
}

// relayOutcome tells whether the peer has connected, in its first frame.
type relayOutcome string

const (
	relayConnected   relayOutcome = "connected"
	relayRefused     relayOutcome = "refused"
	relayUnreachable relayOutcome = "unreachable"
	relayBusy        relayOutcome = "busy"
)

// relayErrors are the errors of the outcomes.
var relayErrors = map[relayOutcome]error{relayRefused: ErrRelayRefused, relayUnreachable: ErrRelayUnreachable, relayBusy: ErrRelayBusy}

// relayFrame is a message on the stream of a relayed connection: the question first, then its
// outcome, then data both ways.
type relayFrame struct {
	Open    *Relay       `cbor:"o,omitempty"`
	Outcome relayOutcome `cbor:"r,omitempty"`
	Data    []byte       `cbor:"d,omitempty"`
}

func relayOutcomeOf(err error) relayOutcome {
	for outcome, e := range relayErrors {
		if errors.Is(err, e) {
			return outcome
		}
	}
	return relayUnreachable
}

var relayStream = grpc.StreamDesc{
	StreamName: "Relay", ServerStreams: true, ClientStreams: true,
	Handler: func(srv any, stream grpc.ServerStream) error {
		h, ok := srv.(Handler)
		if !ok {
			return fmt.Errorf("Relay: handler is a %T", srv)
		}
		return serveRelay(h, stream)
	},
}

// serveRelay connects to an endpoint for a peer and copies both ways until either side closes.
func serveRelay(h Handler, stream grpc.ServerStream) error {
	var first relayFrame
	if err := stream.RecvMsg(&first); err != nil {
		return err
	}
	if first.Open == nil {
		return status.Error(codes.InvalidArgument, "no endpoint is named")
	}
	dialled, err := h.Relay(stream.Context(), first.Open)
	if err != nil {
		return stream.SendMsg(&relayFrame{Outcome: relayOutcomeOf(err)})
	}
	conn := httpconn.WithOrderlyEnd(dialled)
	defer func() { _ = conn.Close() }()
	if err := stream.SendMsg(&relayFrame{Outcome: relayConnected}); err != nil {
		return err
	}
	var group errgroup.Group // RecvMsg ends at the latest when this function returns
	group.Go(func() error {
		defer func() { _ = conn.Close() }()
		for {
			var f relayFrame
			err := stream.RecvMsg(&f)
			if err == nil {
				err = stream.Context().Err() // the peer may have closed since
			}
			if err != nil {
				reset(dialled)
				return err
			}
			if _, err := conn.Write(f.Data); err != nil {
				return err
			}
		}
	})
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.SendMsg(&relayFrame{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// reset has a connection whose peer has closed it dropped with what was not sent yet: nobody waits for that.
func reset(c net.Conn) {
	if socket, ok := c.(tcp.Lingerer); ok {
		_ = socket.SetLinger(0) // fails if the connection has failed
	}
}

// Relay connects to an endpoint through a peer. The error is ErrRelayRefused, ErrRelayUnreachable or
// ErrRelayBusy if the peer says so. The context limits connecting only.
func (c *Client) Relay(ctx context.Context, address string, r *Relay) (net.Conn, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := openRelay(lifetime, conn, r)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, fmt.Errorf("peer %s: relay to %s: %w", address, r.Endpoint, err)
	}
	return &relayConn{stream: stream, cancel: cancel, address: relayAddress(address + "/" + string(r.Endpoint))}, nil
}

func openRelay(ctx context.Context, conn *grpc.ClientConn, r *Relay) (grpc.ClientStream, error) {
	stream, err := conn.NewStream(ctx, &relayStream, "/"+serviceName+"/"+relayStream.StreamName)
	if err != nil {
		return nil, err
	}
	if err := stream.SendMsg(&relayFrame{Open: r}); err != nil {
		return nil, err
	}
	var reply relayFrame
	if err := stream.RecvMsg(&reply); err != nil {
		return nil, err
	}
	if reply.Outcome != relayConnected {
		if err, known := relayErrors[reply.Outcome]; known {
			return nil, err
		}
		return nil, fmt.Errorf("unknown outcome %q", reply.Outcome)
	}
	return stream, nil
}

// relayAddress is the address of the other end of a relayed connection.
type relayAddress string

func (relayAddress) Network() string  { return "relay" }
func (a relayAddress) String() string { return string(a) }

// relayConn is a connection to an endpoint through a peer. One goroutine may read while another
// writes. It has no deadlines.
type relayConn struct {
	stream  grpc.ClientStream
	cancel  context.CancelFunc
	address relayAddress
	pending []byte // received and not read yet
}

// Read implements net.Conn. A connection that breaks on either part of its way, or that the endpoint
// resets, ends with another error than io.EOF, so that what was read doesn't look complete.
func (c *relayConn) Read(p []byte) (int, error) {
	for len(c.pending) == 0 {
		var f relayFrame
		if err := c.stream.RecvMsg(&f); errors.Is(err, io.EOF) {
			return 0, io.EOF
		} else if err != nil {
			return 0, fmt.Errorf("%s: %w: %w", c.address, syscall.ECONNRESET, err)
		}
		c.pending = f.Data
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *relayConn) Write(p []byte) (int, error) {
	for written := 0; written < len(p); {
		part := p[written:min(len(p), written+relayBufferBytes)]
		if err := c.stream.SendMsg(&relayFrame{Data: part}); err != nil {
			return written, fmt.Errorf("%s: %w: %w", c.address, syscall.EPIPE, err)
		}
		written += len(part)
	}
	return len(p), nil
}

// Close implements net.Conn. The peer then closes its connection to the endpoint.
func (c *relayConn) Close() error {
	c.cancel()
	return nil
}

// LocalAddr implements net.Conn.
func (c *relayConn) LocalAddr() net.Addr { return relayAddress("") }

// RemoteAddr implements net.Conn.
func (c *relayConn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn.
func (c *relayConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *relayConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *relayConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
