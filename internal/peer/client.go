package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// chunkSize is the size of one body message, in bytes.
const chunkSize = 32 << 10

// flowControlWindow is the flow-control window of a stream and of a connection, in bytes. A fixed
// one keeps gRPC from measuring the path with a ping for each message, which costs as
// much as a heartbeat.
const flowControlWindow = 1 << 20

// readBufferSize is what a connection keeps for reading, in bytes. Most messages are smaller;
// a larger one takes more reads. Write buffers are shared by gRPC.
const readBufferSize = 4 << 10

// errReadBody: the caller's body could not be read to its end.
var errReadBody = errors.New("read body")

// Option changes a Client.
type Option func(*Client)

// WithCredentials sets the transport credentials towards peers.
func WithCredentials(c credentials.TransportCredentials) Option {
	return func(p *Client) { p.credentials = c }
}

// WithDialOptions adds gRPC dial options.
func WithDialOptions(opts ...grpc.DialOption) Option {
	return func(p *Client) { p.dialOptions = append(p.dialOptions, opts...) }
}

// Client keeps one connection for each peer address.
type Client struct {
	credentials credentials.TransportCredentials
	dialOptions []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	c := &Client{credentials: insecure.NewCredentials(), conns: make(map[string]*grpc.ClientConn)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for address, conn := range c.conns {
		errs = append(errs, conn.Close())
		delete(c.conns, address)
	}
	return errors.Join(errs...)
}

// Forget closes the connection to a peer that has left.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) stub(address string) (peerpb.PeerClient, error) {
	conn, err := c.Conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// Conn returns the connection to a peer, for the services that other packages define.
func (c *Client) Conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		opts := append([]grpc.DialOption{
			grpc.WithTransportCredentials(c.credentials),
			grpc.WithInitialWindowSize(flowControlWindow),
			grpc.WithInitialConnWindowSize(flowControlWindow),
			grpc.WithReadBufferSize(readBufferSize),
			grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithFilter(isDispatch))),
		}, c.dialOptions...)
		created, err := grpc.NewClient("passthrough:///"+address, opts...)
		if err != nil {
			return nil, fmt.Errorf("connect to peer %s: %w: %w", address, ErrNotSent, err)
		}
		conn = created
		c.conns[address] = conn
	}
	return conn, nil
}

// Totals exchanges totals with another data centre.
func (c *Client) Totals(ctx context.Context, address string, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	return call(ctx, c, "totals", address, r, peerpb.PeerClient.Totals)
}

// Held asks for totals of another data centre that a peer holds.
func (c *Client) Held(ctx context.Context, address string, r *peerpb.HeldRequest) (*peerpb.TotalsReply, error) {
	return call(ctx, c, "held totals", address, r, peerpb.PeerClient.Held)
}

// List asks for what a peer knows of the platform's list beyond the request.
func (c *Client) List(ctx context.Context, address string, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return call(ctx, c, "list", address, r, peerpb.PeerClient.List)
}

// Explain asks what a peer decided for a request; with relay, what its whole data
// centre did.
func (c *Client) Explain(ctx context.Context, address, request string, relay bool) (*peerpb.ExplainReply, error) {
	return call(ctx, c, "explain", address, &peerpb.ExplainRequest{Request: request, Relay: relay}, peerpb.PeerClient.Explain)
}

// Attainment asks what became of the requests that entered at a peer lately; with
// relay, at its whole data centre.
func (c *Client) Attainment(ctx context.Context, address string, relay bool) (*peerpb.AttainmentReply, error) {
	return call(ctx, c, "attainment", address, &peerpb.AttainmentRequest{Relay: relay}, peerpb.PeerClient.Attainment)
}

// Document asks for the profile document in force at a peer.
func (c *Client) Document(ctx context.Context, address string, after uint64) (*peerpb.DocumentReply, error) {
	return call(ctx, c, "document", address, &peerpb.DocumentRequest{Revision: after}, peerpb.PeerClient.Document)
}

func call[Q, A any](ctx context.Context, c *Client, operation, address string, q Q, method func(peerpb.PeerClient, context.Context, Q, ...grpc.CallOption) (A, error)) (A, error) {
	var zero A
	remote, err := c.stub(address)
	if err != nil {
		return zero, err
	}
	reply, err := method(remote, ctx, q)
	if err != nil {
		return zero, fmt.Errorf("%s peer %s: %w", operation, address, err)
	}
	return reply, nil
}

// Serve submits a request to a peer and passes its answer to the sink.
// The error wraps ErrNotSent or ErrCut, or is the sink's own.
func (c *Client) Serve(ctx context.Context, address string, r Request, sink Sink) (*peerpb.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inlined, err := inlineBody(r)
	if err != nil {
		return nil, fmt.Errorf("submit to peer %s: %w: %w", address, ErrNotSent, err)
	}
	stream, err := c.open(ctx, address, &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Submit{Submit: r.Submit}})
	if err != nil {
		return nil, err
	}
	if inlined {
		_ = stream.CloseSend()
		return receive(stream, address, sink)
	}
	var sending errgroup.Group
	sending.Go(func() error {
		err := sendBody(stream, r.Body)
		if errors.Is(err, errReadBody) {
			cancel()
		}
		return err
	})
	// The sender is not waited for: a caller that stopped sending must not hold back an answer that has ended.
	return receive(stream, address, sink)
}

// inlineBody puts a body that is known to be small into the submit itself, so that
// one message carries the request.
func inlineBody(r Request) (bool, error) {
	sized, ok := r.Body.(interface{ Len() int })
	if !ok || sized.Len() > chunkSize {
		return false, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errReadBody, err)
	}
	r.Submit.Body, r.Whole = body, true
	return true, nil
}

// Resume asks a peer for what follows an offset of an attempt.
func (c *Client) Resume(ctx context.Context, address string, r *peerpb.Resume, sink Sink) (*peerpb.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.open(ctx, address, &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Resume{Resume: r}})
	if err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, fmt.Errorf("resume at peer %s: %w: %w", address, ErrCut, err)
	}
	return receive(stream, address, sink)
}

type dispatchStream = grpc.BidiStreamingClient[peerpb.DispatchUp, peerpb.DispatchDown]

func (c *Client) open(ctx context.Context, address string, first *peerpb.DispatchUp) (dispatchStream, error) {
	remote, err := c.stub(address)
	if err != nil {
		return nil, err
	}
	stream, err := remote.Dispatch(ctx)
	if err != nil {
		return nil, fmt.Errorf("dispatch to peer %s: %w: %w", address, ErrNotSent, err)
	}
	if err := stream.Send(first); err != nil {
		return nil, fmt.Errorf("submit to peer %s: %w: %w", address, ErrCut, err)
	}
	return stream, nil
}

func sendBody(stream dispatchStream, body io.Reader) error {
	buffer := make([]byte, chunkSize)
	for body != nil {
		n, err := body.Read(buffer)
		if n > 0 {
			message := &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Body{Body: buffer[:n]}}
			if err := stream.Send(message); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errReadBody, err)
		}
	}
	if err := stream.Send(&peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Done{Done: true}}); err != nil {
		return err
	}
	return stream.CloseSend()
}

func receive(stream dispatchStream, address string, sink Sink) (*peerpb.End, error) {
	for {
		message, err := stream.Recv()
		if err != nil {
			return nil, fmt.Errorf("answer of peer %s: %w: %w", address, ErrCut, err)
		}
		switch kind := message.GetKind().(type) {
		case *peerpb.DispatchDown_Head:
			err = sink.Head(kind.Head)
		case *peerpb.DispatchDown_Data:
			err = sink.Data(kind.Data)
		case *peerpb.DispatchDown_End:
			return kind.End, nil
		}
		if err != nil {
			return nil, fmt.Errorf("pass on answer of peer %s: %w", address, err)
		}
	}
}
