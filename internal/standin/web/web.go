// Package web is the HTTP server that the stand-ins share.
package web

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const readHeaderTimeout = 10 * time.Second

// Server serves a handler on one address, and tracks background tasks.
type Server struct {
	http     *http.Server
	listener net.Listener
	group    errgroup.Group
}

// New returns a server that is not listening yet.
func New(handler http.Handler) *Server {
	return &Server{http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
}

// Start listens on an address and serves until Close, Stop or Shutdown.
func (s *Server) Start(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen %s: %w", address, err)
	}
	s.listener = listener
	s.Go(func() error { return s.http.Serve(listener) })
	return nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Go runs a task in the background; Wait waits for it.
func (s *Server) Go(task func() error) { s.group.Go(task) }

// Wait blocks until the server and all tasks have ended. It returns the first
// error, or nil if that is http.ErrServerClosed.
func (s *Server) Wait() error {
	if err := s.group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop closes the listener and all connections, without waiting for tasks.
func (s *Server) Stop() { _ = s.http.Close() }

// Close stops the server immediately and waits until it and all tasks have ended.
func (s *Server) Close() error {
	s.Stop()
	return s.Wait()
}

// Drain stops accepting connections and blocks until all running calls have ended.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Shutdown drains the server, then waits until it and all tasks have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Join(s.Drain(ctx), s.Wait())
}
