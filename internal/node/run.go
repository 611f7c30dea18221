package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/claim/claimpb"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/drain"
	"github.com/chiveramp/chiveramp/internal/ingress"
	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/switches"
	"github.com/chiveramp/chiveramp/internal/telemetry"
)

const (
	headerTimeout      = 10 * time.Second
	metricsIdleTimeout = 2 * time.Minute
	drainPollInterval  = 50 * time.Millisecond
	sweepInterval      = time.Minute

	// drainShare is the part of the drain time after which requests without a part of an answer are
	// answered, settleShare the part that dispatchers then have to find out which of them have run, and
	// closeShare that after which callers' streams that still run are ended.
	drainShare  = 0.9
	settleShare = 0.03
	closeShare  = 0.96

	// The shares of the process's descriptors for connections of callers, operators and readers of metrics. What
	// is left is for endpoints, peers and the platform.
	callersShare   = 1.0 / 2
	operatorsShare = 1.0 / 16
	metricsShare   = 1.0 / 32
)

// listeners holds the listening sockets of an instance.
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
	ctx, shutdown := context.WithCancelCause(ctx)
	defer shutdown(nil)
	n.mu.Lock()
	n.shutdown = shutdown
	n.mu.Unlock()
	defer n.endLifetime()
	n.timers.Start(n.lifetime, n.group)
	callerAPI, callerServer := n.serveCallers(open.caller)
	peerServer := n.servePeers(open.peer)
	operatorServer := n.serveOperators(open.operator)
	metricsServer := n.serveMetrics(open.metrics)
	n.startTasks()
	_ = level.Info(n.logger).Log("step", "start", "caller", n.config.Caller.Listen, "peer", n.config.Peer.Listen)
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.config.Limits.Drain)
	defer cancel()
	n.drain(limit, open.caller, callerServer, callerAPI)
	n.endLifetime()
	stop := context.AfterFunc(limit, peerServer.Stop)
	peerServer.GracefulStop()
	stop()
	_ = callerServer.Close()
	_ = operatorServer.Close()
	_ = metricsServer.Close()
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

// startTasks starts the watch of the document and the periodic tasks.
func (n *Node) startTasks() {
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
	n.tasks.Every("beat", n.config.Peer.Beat, n.sendHeartbeats)
	n.tasks.Every("probe", probeTick, n.runProbes)
	n.tasks.Every("place", placerInterval, n.runPlacer)
	n.tasks.Every("sweep", sweepInterval, n.sweepClaims)
	n.tasks.Every("renew", credentialCheckInterval, n.reloadCredentials)
	n.tasks.Every("settle", settleInterval, func(ctx context.Context, _ time.Time) { _, _ = n.claims.Settle(ctx) })
}

// runProbes starts the due probes. It waits for the document, which defines the plain
// services: those must not be probed as engines.
func (n *Node) runProbes(ctx context.Context, _ time.Time) {
	if _, ok := n.Profiles(); ok {
		n.prober.startProbes(ctx)
	}
}

// sweepClaims removes old claims, a part of them at each call. Only the instance that holds
// the placer lease of its data centre does it.
func (n *Node) sweepClaims(ctx context.Context, _ time.Time) {
	if n.placer.Status().Held {
		_, _ = n.claims.Sweep(ctx)
	}
}

// runPlacer runs one step of the placer. A leaving instance releases the lease instead.
func (n *Node) runPlacer(ctx context.Context, now time.Time) {
	if n.members.Self().Leaving {
		_ = n.placer.Close(ctx)
		return
	}
	if n.Ready() == nil {
		_ = n.placer.Step(ctx, now)
	}
}

func (n *Node) serveCallers(l net.Listener) (*caller.Server, *http.Server) {
	c := n.config.Caller
	handler := caller.New(n.members.Self().Instance, n.guard, n, caller.Limits{
		MaxBody: c.Body, Bodies: n.config.Limits.Bodies, MaxInFlight: n.config.Limits.Streams, WriteTimeout: c.Idle, EntriesMaxAge: c.Keep,
	})
	server := &http.Server{
		Handler:           n.closeWhenLeaving(handler.Handler()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       c.Idle,
		MaxHeaderBytes:    int(c.Header),
		ConnState:         n.callers.Observe,
	}
	l = n.ingress.Guard(server, l, ingress.Side{Name: "callers", Share: callersShare, Connections: c.Connections})
	n.group.Go(func() error { return serveError("callers", server.Serve(l)) })
	return handler, server
}

func serveError(server string, err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", server, err)
}

func (n *Node) servePeers(l net.Listener) *grpc.Server {
	server := peer.NewServer(grpc.Creds(n.credentials.peer.PeerServer()), peer.Tracing())
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

// closeWhenLeaving tells callers not to use their connection again while this instance leaves. An
// idle connection is not closed at once: a request may be on its way on it, and would be lost.
func (n *Node) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.members.Self().Leaving {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveMetrics serves the metrics, health and readiness endpoints.
func (n *Node) serveMetrics(l net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler(n.registry))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: metricsIdleTimeout}
	if l != nil {
		l = n.ingress.Guard(server, l, ingress.Side{Name: "metrics", Share: metricsShare})
		n.group.Go(func() error { return serveError("metrics", server.Serve(l)) })
	}
	return server
}

// drain shuts down gracefully: it announces the shutdown to callers and peers, keeps serving
// callers that use a cached address until that expires, and waits for requests in flight. Those that
// have no part of an answer shortly before the context ends are answered.
func (n *Node) drain(ctx context.Context, listener net.Listener, callerServer *http.Server, callerAPI *caller.Server) {
	limit := n.config.Limits.Drain
	if switches.Off(switches.Drain) {
		_ = callerServer.Close()
		return
	}
	_ = level.Info(n.logger).Log("step", "drain", "limit", limit)
	finish := n.clock().Add(time.Duration(float64(limit) * drainShare))
	serving, end := context.WithDeadline(ctx, finish)
	defer end()
	closing, stop := context.WithTimeout(ctx, time.Duration(float64(limit)*closeShare))
	defer stop()
	n.guard.leave(finish)
	n.pool.Leave(finish)
	n.members.update((*member.View).Leave)
	n.sendHeartbeats(ctx, n.clock())
	sleep(ctx, min(n.config.Caller.Keep, limit/2))
	n.pool.RequireDeadlines()
	n.group.Go(func() error { n.gateway.TakeBack(ctx); return nil })
	_ = level.Info(n.logger).Log("step", "drain", "now", "closing listener", "active", len(n.guard.active()))
	lastAnswers := func() {
		if serving.Err() != nil {
			n.pool.EndUnanswered()
			settling, stop := context.WithTimeout(closing, time.Duration(float64(limit)*settleShare))
			defer stop()
			n.gateway.TakeBack(settling)
			<-settling.Done()
		}
		n.guard.endCallers()
		callerAPI.EndBodies()
	}
	if err := drain.Stop(serving, closing, listener, callerServer, &n.callers, n.guard.refuseCallers, lastAnswers); err != nil {
		_ = level.Warn(n.logger).Log("step", "drain", "err", err)
	}
	n.awaitIdle(serving)
	n.pool.EndUnanswered()
	n.guard.endPeers()
	n.awaitIdle(closing)
	n.reportCut()
	n.guard.endStreams()
	n.awaitIdle(ctx)
	_ = n.claims.Flush(ctx)
}

// awaitIdle waits until no request runs.
func (n *Node) awaitIdle(ctx context.Context) {
	for len(n.guard.active())+n.pool.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}
