package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

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
		// Counted first: who has read the bytes finds them counted.
		passed.Add(int64(len(p.data)))
		if _, err := to.Write(p.data); err != nil {
			passed.Add(-int64(len(p.data)))
			return err
		}
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
