package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/claim/claimpb"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/switches"
	"github.com/chiveramp/chiveramp/internal/telemetry"
)

const (
	headerTimeout = 10 * time.Second
	drainPause    = 50 * time.Millisecond
	sweepPause    = time.Minute
)

// listeners are the open sockets of an instance.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener // nil when not set
	metrics  net.Listener // nil when not set
}

// Run serves until the context ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	open, err := n.listen(ctx)
	if err != nil {
		return err
	}
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	n.mu.Lock()
	n.leave = leave
	n.mu.Unlock()
	defer n.end()
	n.timers.Start(n.lifetime, n.group)
	callers := n.serveCallers(open.caller)
	peers := n.servePeers(open.peer)
	operators := n.serveOperators(open.operator)
	observers := n.serveMetrics(open.metrics)
	n.start()
	_ = level.Info(n.logger).Log("step", "start", "caller", n.config.Caller.Listen, "peer", n.config.Peer.Listen)
	<-ctx.Done()
	n.drain(n.lifetime, callers)
	n.end()
	peers.GracefulStop()
	_ = operators.Close()
	_ = observers.Close()
	n.pool.Close()
	_ = n.client.Close()
	n.endpoints.Close()
	return nil
}

func (n *Node) listen(ctx context.Context) (listeners, error) {
	var open listeners
	var err error
	c := n.config
	if open.caller, err = c.Listen(ctx, "caller", "listen", c.Caller.Listen); err != nil {
		return open, err
	}
	if open.peer, err = c.Listen(ctx, "peer", "listen", c.Peer.Listen); err != nil {
		return open, err
	}
	if c.Operator.Listen != "" {
		if open.operator, err = c.Listen(ctx, "operator", "listen", c.Operator.Listen); err != nil {
			return open, err
		}
	}
	if c.Metrics.Listen != "" {
		open.metrics, err = c.Listen(ctx, "metrics", "listen", c.Metrics.Listen)
	}
	return open, err
}

// start subscribes the recurring tasks.
func (n *Node) start() {
	n.group.Go(func() error {
		err := n.documents.Run(n.lifetime)
		if n.lifetime.Err() != nil {
			return nil
		}
		return err
	})
	for _, service := range n.list.Services() {
		n.tasks.Every("list "+service, listing.MinReadInterval, func(ctx context.Context, _ time.Time) { n.readList(ctx, service) })
	}
	n.tasks.Every("beat", n.config.Peer.Beat, n.beat)
	n.tasks.Every("probe", probeTick, n.probe)
	n.tasks.Every("place", placePause, n.place)
	n.tasks.Every("sweep", sweepPause, n.sweep)
	n.tasks.Every("renew", credentialPause, n.renew)
	n.tasks.Every("settle", settlePause, func(ctx context.Context, _ time.Time) { _, _ = n.claims.Settle(ctx) })
}

// probe asks the endpoints dispatched here how they are, once the document
// tells which of them are plain services, that must not be asked as engines.
func (n *Node) probe(ctx context.Context, _ time.Time) {
	if _, ok := n.Profiles(); ok {
		n.prober.round(ctx)
	}
}

// sweep removes old claims, a part of them each time, at the data centre's placer.
func (n *Node) sweep(ctx context.Context, _ time.Time) {
	if n.placer.Status().Held {
		_, _ = n.claims.Sweep(ctx)
	}
}

// place takes one step of the placer. A leaving instance gives the lease back instead.
func (n *Node) place(ctx context.Context, now time.Time) {
	if n.members.Self().Leaving {
		_ = n.placer.Close(ctx)
		return
	}
	if n.Ready() == nil {
		_ = n.placer.Step(ctx, now)
	}
}

func (n *Node) serveCallers(l net.Listener) *http.Server {
	c := n.config.Caller
	handler := caller.New(n.members.Self().Instance, n.gateway, n, caller.Limits{
		Body: c.Body, Streams: n.config.Limits.Streams, Write: c.Idle, Keep: c.Keep,
	})
	server := &http.Server{
		Handler:           handler.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       c.Idle,
		MaxHeaderBytes:    int(c.Header),
	}
	n.group.Go(func() error { return served("callers", server.Serve(netutil.LimitListener(l, c.Connections))) })
	return server
}

func served(side string, err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", side, err)
}

func (n *Node) servePeers(l net.Listener) *grpc.Server {
	server := peer.NewServer(grpc.Creds(n.secrets.peer.PeerServer()), peer.Tracing())
	peer.Register(server, n)
	claimpb.RegisterEndsServer(server, endsServer{node: n})
	n.group.Go(func() error {
		if err := server.Serve(l); err != nil {
			return fmt.Errorf("serve peers: %w", err)
		}
		return nil
	})
	return server
}

// serveMetrics offers metrics, health and readiness.
func (n *Node) serveMetrics(l net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler(n.registry))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if l != nil {
		n.group.Go(func() error { return served("metrics", server.Serve(l)) })
	}
	return server
}

// drain leaves gracefully: callers and peers are told, requests in flight end,
// and callers that still use a kept address are served until it has run out.
func (n *Node) drain(ctx context.Context, callers *http.Server) {
	limit := n.config.Limits.Drain
	if switches.Off(switches.Drain) {
		_ = callers.Close()
		return
	}
	_ = level.Info(n.logger).Log("step", "drain", "limit", limit)
	n.members.change((*member.View).Leave)
	n.beat(ctx, n.clock())
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	callers.SetKeepAlivesEnabled(false)
	wait(ctx, min(n.config.Caller.Keep, limit/2))
	_ = callers.Shutdown(ctx)
	for n.pool.InFlight() > 0 && ctx.Err() == nil {
		wait(ctx, drainPause)
	}
	_ = n.claims.Flush(ctx)
}

func wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
