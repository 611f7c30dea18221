package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// chunkSize is the size of one body message, in bytes.
const chunkSize = 32 << 10

// flowControlWindow is the flow-control window of a stream and of a connection, in bytes. With
// a fixed window, gRPC does not estimate the bandwidth-delay product with a ping for each
// message, which costs as much as a heartbeat.
const flowControlWindow = 1 << 20

// readBufferSize is the size of a connection's read buffer, in bytes. Most messages are
// smaller; a larger one takes several reads. gRPC shares write buffers between connections.
const readBufferSize = 4 << 10

// errReadBody means that the caller's body could not be read to its end.
var errReadBody = errors.New("read body")

// Option configures a Client.
type Option func(*Client)

// WithCredentials sets the transport credentials for connections to peers.
func WithCredentials(c credentials.TransportCredentials) Option {
	return func(p *Client) { p.credentials = c }
}

// WithDialOptions adds gRPC dial options.
func WithDialOptions(opts ...grpc.DialOption) Option {
	return func(p *Client) { p.dialOptions = append(p.dialOptions, opts...) }
}

// WithClock sets the time of day.
func WithClock(clock func() time.Time) Option { return func(p *Client) { p.clock = clock } }

// Client calls peers over one connection for each address. It is safe for concurrent use.
type Client struct {
	credentials credentials.TransportCredentials
	dialOptions []grpc.DialOption
	clock       func() time.Time

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections; each one is opened on first use.
func NewClient(opts ...Option) *Client {
	c := &Client{credentials: insecure.NewCredentials(), clock: time.Now, conns: make(map[string]*grpc.ClientConn)}
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

// Conn returns the connection to a peer, also for gRPC services that other packages define.
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

// Totals exchanges model totals with an instance of another data centre.
func (c *Client) Totals(ctx context.Context, address string, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	return call(ctx, c, "totals", address, r, peerpb.PeerClient.Totals)
}

// Held returns the last snapshot of another data centre's totals that a peer has recorded, with
// the latest delta.
func (c *Client) Held(ctx context.Context, address string, r *peerpb.HeldRequest) (*peerpb.TotalsReply, error) {
	return call(ctx, c, "held totals", address, r, peerpb.PeerClient.Held)
}

// List returns the changes of the platform's list that a peer has beyond the request's bases.
func (c *Client) List(ctx context.Context, address string, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	return call(ctx, c, "list", address, r, peerpb.PeerClient.List)
}

// Explain returns a peer's decisions for a request; with relay, those of its whole data
// centre.
func (c *Client) Explain(ctx context.Context, address, request string, relay bool) (*peerpb.ExplainReply, error) {
	return call(ctx, c, "explain", address, &peerpb.ExplainRequest{Request: request, Relay: relay}, peerpb.PeerClient.Explain)
}

// Attainment returns the results of the recent requests that entered at a peer; with relay,
// at its whole data centre.
func (c *Client) Attainment(ctx context.Context, address string, relay bool) (*peerpb.AttainmentReply, error) {
	return call(ctx, c, "attainment", address, &peerpb.AttainmentRequest{Relay: relay}, peerpb.PeerClient.Attainment)
}

// Document returns the profile document in force at a peer. The reply is empty unless the
// document's revision is higher than after.
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

// Serve submits a request to a peer and passes the answer to the sink.
// An error wraps ErrNotSent, ErrInterrupted or the sink's own error.
func (c *Client) Serve(ctx context.Context, address string, r Request, sink Sink) (*peerpb.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inlined, err := inlineBody(r)
	if err != nil {
		return nil, fmt.Errorf("submit to peer %s: %w: %w", address, ErrNotSent, err)
	}
	stream, err := c.open(withTimeLeft(ctx, c.clock(), r.Deadline), address, &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Submit{Submit: r.Submit}})
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
	// Serve does not wait for sendBody: a caller that stopped sending must not delay an answer that is complete.
	return receive(stream, address, sink)
}

// inlineBody moves a body of known size up to chunkSize into the submit message, so that one
// message carries the whole request. It reports whether it did.
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

// Resume streams an attempt's answer from a peer, starting after an offset.
func (c *Client) Resume(ctx context.Context, address string, r *peerpb.Resume, sink Sink) (*peerpb.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.open(ctx, address, &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Resume{Resume: r}})
	if err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, fmt.Errorf("resume at peer %s: %w: %w", address, ErrInterrupted, err)
	}
	return receive(stream, address, sink)
}

// Withdraw has a peer refuse an attempt that waits in a queue there. The attempt's own stream then ends.
func (c *Client) Withdraw(ctx context.Context, address string, r *peerpb.Resume) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.open(ctx, address, &peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Resume{Resume: r}})
	if err != nil {
		return err
	}
	err = stream.Send(&peerpb.DispatchUp{Kind: &peerpb.DispatchUp_Cancel{Cancel: &peerpb.Cancel{}}})
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil {
		return fmt.Errorf("withdraw from peer %s: %w", address, err)
	}
	return nil
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
		return nil, fmt.Errorf("submit to peer %s: %w: %w", address, ErrInterrupted, err)
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
			return nil, fmt.Errorf("receive answer from peer %s: %w: %w", address, ErrInterrupted, err)
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
			return nil, fmt.Errorf("forward answer of peer %s: %w", address, err)
		}
	}
}
