package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/chiveramp/chiveramp/internal/tcp"
)

const (
	serviceName = "chiveramp.gossip.v1.Gossip"
	// maxMessageBytes bounds a message; the largest is a configuration with many routes.
	maxMessageBytes = 16 << 20
	// maxHeadBytes bounds the metadata of a call by HTTP/2's count, which adds 32 bytes for each field.
	maxHeadBytes = 16 << 10
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	bufferBytes = 4 << 10
	// windowBytes is the fixed flow-control window. Estimating the window dynamically
	// costs a ping per message.
	windowBytes = 1 << 20
	// keepaliveInterval is how long a connection may be idle before a keepalive ping,
	// keepaliveTimeout how long the ping may go unanswered before the connection is closed.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// dialTimeout bounds connecting, redialDelay is the base delay after a failed attempt.
	dialTimeout = time.Second
	// maxDialTime limits connecting over a full link.
	maxDialTime = 6 * time.Second
	// longestQueue is how long bytes may wait on a full link that is to keep its connections.
	longestQueue = 2 * time.Second
	redialDelay  = 500 * time.Millisecond
)

// Handler serves the calls of other instances.
type Handler interface {
	Heartbeat(ctx context.Context, b *PackedHeartbeat) (*Ack, error)
	Fetch(ctx context.Context, f *Fetch) (*FetchReply, error)
	FetchCatalog(ctx context.Context, f *FetchCatalog) (*CatalogPart, error)
	PushCatalog(ctx context.Context, p *PushCatalog) (*PushReply, error)
	Ensure(ctx context.Context, e *Ensure) (*EnsureReply, error)
	Admit(ctx context.Context, a *Admit) (*AdmitReply, error)
	Portions(ctx context.Context, p *Portions) (*PortionsReply, error)
	HandOver(ctx context.Context, h *HandOver) (*HandOverReply, error)
	Origins(ctx context.Context, o *Origins) (*OriginsReply, error)
	FindOrigin(ctx context.Context, f *FindOrigin) (*FindOriginReply, error)
	// Relay connects to an endpoint for a peer. The context ends with the relayed connection.
	Relay(ctx context.Context, r *Relay) (net.Conn, error)
}

// NewServer returns a gRPC server for a handler.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeadBytes), grpc.InTapHandle(newCallLimit().admit), grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	)
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			unaryMethod("Beat", Handler.Heartbeat),
			unaryMethod("Fetch", Handler.Fetch),
			unaryMethod("FetchCatalog", Handler.FetchCatalog),
			unaryMethod("PushCatalog", Handler.PushCatalog),
			unaryMethod("Ensure", Handler.Ensure),
			unaryMethod("Admit", Handler.Admit),
			unaryMethod("Portions", Handler.Portions),
			unaryMethod("HandOver", Handler.HandOver),
			unaryMethod("Origins", Handler.Origins),
			unaryMethod("FindOrigin", Handler.FindOrigin),
		},
		Streams: []grpc.StreamDesc{relayStream},
	}, h)
	return s
}

func unaryMethod[Q, A any](name string, call func(Handler, context.Context, *Q) (*A, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		request := new(Q)
		if err := decode(request); err != nil {
			return nil, err
		}
		h, ok := srv.(Handler)
		if !ok {
			return nil, fmt.Errorf("%s: handler is a %T", name, srv)
		}
		return call(h, ctx, request)
	}}
}

// Dialer connects to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Client.
type Option func(*Client)

// WithDialer sets how the client connects, in place of TCP.
func WithDialer(dial Dialer) Option {
	return func(c *Client) { c.dial = dial }
}

// WithAllowance has connecting to an address take longer by what a function returns, such as the time
// that bytes wait on a full link.
func WithAllowance(allowance func(address string) time.Duration) Option {
	return func(c *Client) { c.allowance = allowance }
}

// Client calls other instances, over one connection per address.
type Client struct {
	dial Dialer
	// allowance is how much longer connecting to an address may take.
	allowance func(address string) time.Duration
	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
	received  map[string]*atomic.Int64 // bytes by address
}

// NewClient returns a client; it connects to an address on the first call.
func NewClient(options ...Option) *Client {
	c := &Client{
		dial: tcp.NewDialer(maxDialTime, tcp.WithQueue(longestQueue)).DialContext, allowance: func(string) time.Duration { return 0 },
		conns: make(map[string]*grpc.ClientConn), received: make(map[string]*atomic.Int64),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Received returns how many bytes have arrived from an address. It shows how far a call came
// that got no complete answer.
func (c *Client) Received(address string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter(address).Load()
}

func (c *Client) counter(address string) *atomic.Int64 {
	n := c.received[address]
	if n == nil {
		n = new(atomic.Int64)
		c.received[address] = n
	}
	return n
}

// countingConn counts the bytes that are read from it.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	received := c.counter(address)
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, min(dialTimeout+c.allowance(a), maxDialTime))
			defer cancel()
			conn, err := c.dial(ctx, "tcp", a)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, received: received}, nil
		}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialDelay, Multiplier: 1.2, Jitter: 0.2, MaxDelay: 2 * redialDelay},
			MinConnectTimeout: maxDialTime,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
}

func invoke[Q, A any](ctx context.Context, c *Client, address, name string, request *Q) (*A, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	reply := new(A)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+name, request, reply); err != nil {
		return nil, fmt.Errorf("peer %s: %s: %w", address, name, err)
	}
	return reply, nil
}

// Heartbeat sends this instance's heartbeat to a peer.
func (c *Client) Heartbeat(ctx context.Context, address string, b *PackedHeartbeat) (*Ack, error) {
	return invoke[PackedHeartbeat, Ack](ctx, c, address, "Beat", b)
}

// Fetch asks a peer for its configuration and its endpoint entries.
func (c *Client) Fetch(ctx context.Context, address string, f *Fetch) (*FetchReply, error) {
	return invoke[Fetch, FetchReply](ctx, c, address, "Fetch", f)
}

// FetchCatalog asks a peer for the next part of its configuration. The error has status
// Unimplemented if the peer runs an earlier build.
func (c *Client) FetchCatalog(ctx context.Context, address string, f *FetchCatalog) (*CatalogPart, error) {
	return invoke[FetchCatalog, CatalogPart](ctx, c, address, "FetchCatalog", f)
}

// PushCatalog offers a configuration to a peer. The error has status Unimplemented if the peer runs an
// earlier build.
func (c *Client) PushCatalog(ctx context.Context, address string, p *PushCatalog) error {
	_, err := invoke[PushCatalog, PushReply](ctx, c, address, "PushCatalog", p)
	return err
}

// Ensure asks a peer that holds the order lease to load an adapter.
func (c *Client) Ensure(ctx context.Context, address string, e *Ensure) (*EnsureReply, error) {
	return invoke[Ensure, EnsureReply](ctx, c, address, "Ensure", e)
}

// Admit asks a peer when a prompt may be sent to an endpoint whose requests it admits.
func (c *Client) Admit(ctx context.Context, address string, a *Admit) (*AdmitReply, error) {
	return invoke[Admit, AdmitReply](ctx, c, address, "Admit", a)
}

// Portions asks a peer that owns a part of the allotments for portions.
func (c *Client) Portions(ctx context.Context, address string, p *Portions) (*PortionsReply, error) {
	return invoke[Portions, PortionsReply](ctx, c, address, "Portions", p)
}

// HandOver has a peer take over a part of the allotments as its owner. The error has status Unimplemented
// if the peer runs an earlier build.
func (c *Client) HandOver(ctx context.Context, address string, h *HandOver) (*HandOverReply, error) {
	return invoke[HandOver, HandOverReply](ctx, c, address, "HandOver", h)
}

// Origins names streams to a peer that keeps their origins.
func (c *Client) Origins(ctx context.Context, address string, o *Origins) (*OriginsReply, error) {
	return invoke[Origins, OriginsReply](ctx, c, address, "Origins", o)
}

// FindOrigin asks a peer for the origin of a stream.
func (c *Client) FindOrigin(ctx context.Context, address string, f *FindOrigin) (*FindOriginReply, error) {
	return invoke[FindOrigin, FindOriginReply](ctx, c, address, "FindOrigin", f)
}

// Reset closes the connection to a peer, so that the next call opens a new one.
func (c *Client) Reset(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
