// Package link is a TCP relay that stands in for the network link between two
// data centres. It adds latency, limits the bit rate and can cut the link. It is
// for tests and the demonstration only.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// PathSettings is the path of the settings in the admin interface.
const PathSettings = "/standin/link"

const (
	chunkBytes  = 16 << 10 // bytes
	queueChunks = 256      // chunks in transit per direction of a connection
	burstBytes  = chunkBytes
	bitsPerByte = 8
)

// Settings is the simulated condition of the link.
type Settings struct {
	// Latency is the one-way latency in milliseconds.
	Latency float64 `json:"latency"`
	// Rate is the bits per second in each direction, shared by all connections; zero
	// for no limit.
	Rate float64 `json:"rate"`
	// Cut stops all traffic: open connections stall, and new ones are accepted but
	// not relayed until the cut ends.
	Cut bool `json:"cut"`
	// Reset, together with Cut, closes connections instead of stalling them.
	Reset bool `json:"reset"`
}

// Traffic counts the bytes forwarded: Sent towards the target, Received from it.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Server is one link.
type Server struct {
	target                      string
	listener                    net.Listener
	admin                       *http.Server
	adminListener               net.Listener
	group                       errgroup.Group
	stop                        chan struct{}
	stopOnce                    sync.Once
	sendLimiter, receiveLimiter *rate.Limiter
	sent                        atomic.Int64
	received                    atomic.Int64

	mu       sync.Mutex
	settings Settings
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

// New returns a link to a target address. It is not listening yet.
func New(target string, settings Settings) *Server {
	s := &Server{
		target:         target,
		stop:           make(chan struct{}),
		sendLimiter:    rate.NewLimiter(rate.Inf, burstBytes),
		receiveLimiter: rate.NewLimiter(rate.Inf, burstBytes),
		changed:        make(chan struct{}),
		conns:          map[net.Conn]struct{}{},
	}
	s.Set(settings)
	return s
}

// Start listens for connections to relay, and serves the admin interface unless
// its address is empty.
func (s *Server) Start(ctx context.Context, address, admin string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen %s: %w", address, err)
	}
	s.listener = listener
	s.group.Go(s.acceptLoop)
	if admin == "" {
		return nil
	}
	s.adminListener, err = config.Listen(ctx, "tcp", admin)
	if err != nil {
		return errors.Join(fmt.Errorf("listen %s: %w", admin, err), s.Close())
	}
	s.admin = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	s.group.Go(func() error { return s.admin.Serve(s.adminListener) })
	return nil
}

// Address returns the address on which the link listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Admin returns the address of the admin interface, empty if there is none.
func (s *Server) Admin() string {
	if s.adminListener == nil {
		return ""
	}
	return s.adminListener.Addr().String()
}

// Close stops the link and closes all its connections.
func (s *Server) Close() error {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = s.listener.Close()
	if s.admin != nil {
		_ = s.admin.Close()
	}
	s.closeConns()
	err := s.group.Wait()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Set replaces the settings of the link.
func (s *Server) Set(settings Settings) {
	s.mu.Lock()
	s.settings = settings
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	limit := rate.Inf
	if settings.Rate > 0 {
		limit = rate.Limit(settings.Rate / bitsPerByte)
	}
	s.sendLimiter.SetLimit(limit)
	s.receiveLimiter.SetLimit(limit)
	if settings.Cut && settings.Reset {
		s.closeConns()
	}
}

// Settings returns the current settings of the link.
func (s *Server) Settings() Settings {
	settings, _ := s.current()
	return settings
}

// Traffic returns the bytes forwarded so far.
func (s *Server) Traffic() Traffic {
	return Traffic{Sent: s.sent.Load(), Received: s.received.Load()}
}

// current returns the settings and a channel that is closed when they change.
func (s *Server) current() (Settings, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings, s.changed
}

// Handler returns the admin interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathSettings, func(w http.ResponseWriter, r *http.Request) {
		var settings Settings
		if err := json.NewDecoder(r.Body).Decode(&settings); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(settings)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathSettings, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Settings())
	})
	mux.HandleFunc("GET /standin/traffic", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Traffic())
	})
	return mux
}
