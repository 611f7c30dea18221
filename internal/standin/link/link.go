// Package link is a TCP relay that stands in for the line between two data
// centres: latency, a rate and a cut. It is for tests and the demonstration only.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// PathSettings is where the admin port reads and takes settings.
const PathSettings = "/standin/link"

const (
	pieceSize  = 16 << 10 // bytes
	queueSize  = 256      // pieces on the line
	minBurst   = pieceSize
	bitsInByte = 8
)

// Settings is the condition of the line.
type Settings struct {
	// Latency is the one-way time in milliseconds.
	Latency float64 `json:"latency"`
	// Rate is the bits a second each way, shared by all connections; zero for no limit.
	Rate float64 `json:"rate"`
	// Cut lets nothing pass: open connections stall and new ones stay without answer.
	Cut bool `json:"cut"`
	// Reset, with Cut, closes connections instead of stalling them.
	Reset bool `json:"reset"`
}

// Traffic counts the bytes that passed.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Server is one line.
type Server struct {
	to       string
	listener net.Listener
	admin    *http.Server
	adminAt  net.Listener
	group    errgroup.Group
	stop     chan struct{}
	stopOnce sync.Once
	up, down *rate.Limiter
	sent     atomic.Int64
	received atomic.Int64

	mu       sync.Mutex
	settings Settings
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

// New returns a line to an address.
func New(to string, settings Settings) *Server {
	s := &Server{
		to:      to,
		stop:    make(chan struct{}),
		up:      rate.NewLimiter(rate.Inf, minBurst),
		down:    rate.NewLimiter(rate.Inf, minBurst),
		changed: make(chan struct{}),
		conns:   map[net.Conn]struct{}{},
	}
	s.Set(settings)
	return s
}

// Start listens for connections, and for the admin interface unless its
// address is empty.
func (s *Server) Start(ctx context.Context, address, admin string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen %s: %w", address, err)
	}
	s.listener = listener
	s.group.Go(s.accept)
	if admin == "" {
		return nil
	}
	s.adminAt, err = config.Listen(ctx, "tcp", admin)
	if err != nil {
		return errors.Join(fmt.Errorf("listen %s: %w", admin, err), s.Close())
	}
	s.admin = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	s.group.Go(func() error { return s.admin.Serve(s.adminAt) })
	return nil
}

// Address returns the address on which the line listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Admin returns the address of the admin interface, empty when there is none.
func (s *Server) Admin() string {
	if s.adminAt == nil {
		return ""
	}
	return s.adminAt.Addr().String()
}

// Close ends the line and all its connections.
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

// Set changes the condition of the line.
func (s *Server) Set(settings Settings) {
	s.mu.Lock()
	s.settings = settings
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	limit := rate.Inf
	if settings.Rate > 0 {
		limit = rate.Limit(settings.Rate / bitsInByte)
	}
	s.up.SetLimit(limit)
	s.down.SetLimit(limit)
	if settings.Cut && settings.Reset {
		s.closeConns()
	}
}

// Settings returns the condition of the line.
func (s *Server) Settings() Settings {
	settings, _ := s.current()
	return settings
}

// Traffic returns the bytes that passed so far.
func (s *Server) Traffic() Traffic {
	return Traffic{Sent: s.sent.Load(), Received: s.received.Load()}
}

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

func (s *Server) accept() error {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return err
		}
		if !s.track(near) {
			_ = near.Close()
			continue
		}
		s.group.Go(func() error { s.relay(near); return nil })
	}
}

// track notes an open connection. It returns false when the line resets it.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Cut && s.settings.Reset {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// relay joins one connection with a new one to the other end.
func (s *Server) relay(near net.Conn) {
	defer s.untrack(near)
	if !s.open() {
		return
	}
	var dialer net.Dialer
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	far, err := dialer.DialContext(ctx, "tcp", s.to)
	if err != nil || !s.track(far) {
		return
	}
	defer s.untrack(far)
	var both errgroup.Group
	both.Go(func() error { return s.carry(far, near, s.up, &s.sent) })
	both.Go(func() error { return s.carry(near, far, s.down, &s.received) })
	_ = both.Wait()
}

// open waits until the line is not cut. It returns false when the line ends.
func (s *Server) open() bool {
	for {
		settings, changed := s.current()
		if !settings.Cut {
			return true
		}
		select {
		case <-s.stop:
			return false
		case <-changed:
		}
	}
}

// piece is some bytes on the line, due at the other end at a time.
type piece struct {
	data []byte
	due  time.Time
}

// carry moves bytes one way. When either side ends, both connections end.
func (s *Server) carry(to, from net.Conn, limiter *rate.Limiter, passed *atomic.Int64) error {
	line := make(chan piece, queueSize)
	var group errgroup.Group
	group.Go(func() error {
		defer close(line)
		return s.take(from, line, limiter)
	})
	err := s.give(to, line, passed)
	if err != nil {
		_ = from.Close()
	}
	for range line { // lets the reader end
	}
	return errors.Join(err, group.Wait())
}

func (s *Server) take(from net.Conn, line chan<- piece, limiter *rate.Limiter) error {
	for {
		buffer := make([]byte, pieceSize)
		count, err := from.Read(buffer)
		if count > 0 {
			if failed := limiter.WaitN(context.Background(), count); failed != nil {
				return failed
			}
			settings, _ := s.current()
			latency := time.Duration(settings.Latency * float64(time.Millisecond))
			line <- piece{data: buffer[:count], due: time.Now().Add(latency)}
		}
		if err != nil {
			return err
		}
	}
}

func (s *Server) give(to net.Conn, line <-chan piece, passed *atomic.Int64) error {
	for p := range line {
		time.Sleep(time.Until(p.due))
		if !s.open() {
			return net.ErrClosed
		}
		if _, err := to.Write(p.data); err != nil {
			return err
		}
		passed.Add(int64(len(p.data)))
	}
	return closeWrite(to)
}

// closeWrite passes on that the other side has ended its direction.
func closeWrite(to net.Conn) error {
	half, ok := to.(interface{ CloseWrite() error })
	if !ok {
		return io.ErrClosedPipe
	}
	return half.CloseWrite()
}
