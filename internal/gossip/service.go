package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/chiveramp/chiveramp/internal/tcp"
)

const (
	serviceName = "chiveramp.gossip.v1.Gossip"
	// mostMessage bounds a message: a configuration of many routes, bytes.
	mostMessage = 16 << 20
	// buffer is what a connection keeps for reading and writing, bytes.
	buffer = 4 << 10
	// window is the fixed flow-control window, bytes. A measured one costs a ping a message.
	window = 1 << 20
	// silence is how long a connection may be silent before it is probed, and then be silent still.
	silence = 10 * time.Second
	probed  = 2 * time.Second
	// connect bounds a new connection, redial the wait after a failed one.
	connect = time.Second
	redial  = 500 * time.Millisecond
)

// Handler answers the other instances.
type Handler interface {
	Beat(ctx context.Context, b *Packed) (*Ack, error)
	Fetch(ctx context.Context, f *Fetch) (*Known, error)
	Ensure(ctx context.Context, e *Ensure) (*Ensured, error)
}

// NewServer returns a gRPC server for a handler.
func NewServer(h Handler) *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(mostMessage), grpc.ReadBufferSize(buffer), grpc.WriteBufferSize(buffer),
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: silence / 2, PermitWithoutStream: true}),
	)
	s.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			method("Beat", Handler.Beat),
			method("Fetch", Handler.Fetch),
			method("Ensure", Handler.Ensure),
		},
	}, h)
	return s
}

func method[Q, A any](name string, call func(Handler, context.Context, *Q) (*A, error)) grpc.MethodDesc {
	return grpc.MethodDesc{MethodName: name, Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		question := new(Q)
		if err := decode(question); err != nil {
			return nil, err
		}
		h, ok := srv.(Handler)
		if !ok {
			return nil, fmt.Errorf("%s: handler is a %T", name, srv)
		}
		return call(h, ctx, question)
	}}
}

// Client talks to other instances, over one connection to each address.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: make(map[string]*grpc.ClientConn)} }

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	dialer := tcp.NewDialer(connect)
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", a) }),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName), grpc.MaxCallRecvMsgSize(mostMessage)),
		grpc.WithReadBufferSize(buffer), grpc.WithWriteBufferSize(buffer),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redial, Multiplier: 1.2, Jitter: 0.2, MaxDelay: 2 * redial},
			MinConnectTimeout: connect,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: silence, Timeout: probed}),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	c.conns[address] = conn
	return conn, nil
}

func call[Q, A any](ctx context.Context, c *Client, address, name string, question *Q) (*A, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	answer := new(A)
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+name, question, answer); err != nil {
		return nil, fmt.Errorf("peer %s: %s: %w", address, name, err)
	}
	return answer, nil
}

// Beat tells a peer how this instance is.
func (c *Client) Beat(ctx context.Context, address string, b *Packed) error {
	_, err := call[Packed, Ack](ctx, c, address, "Beat", b)
	return err
}

// Fetch asks a peer for what it knows.
func (c *Client) Fetch(ctx context.Context, address string, f *Fetch) (*Known, error) {
	return call[Fetch, Known](ctx, c, address, "Fetch", f)
}

// Ensure asks a peer to have an adapter loaded.
func (c *Client) Ensure(ctx context.Context, address string, e *Ensure) (*Ensured, error) {
	return call[Ensure, Ensured](ctx, c, address, "Ensure", e)
}

// Reset closes the connection to a peer, so that the next call makes a new one.
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
