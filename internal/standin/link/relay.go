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

func (s *Server) acceptLoop() error {
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

// track records an open connection. It returns false if the link is set to reset
// connections.
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

// relay forwards data between an accepted connection and a new one to the target.
func (s *Server) relay(near net.Conn) {
	defer s.untrack(near)
	if !s.waitUntilOpen() {
		return
	}
	var dialer net.Dialer
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	far, err := dialer.DialContext(ctx, "tcp", s.target)
	if err != nil || !s.track(far) {
		return
	}
	defer s.untrack(far)
	var directions errgroup.Group
	directions.Go(func() error { return s.forward(far, near, s.sendLimiter, &s.sent) })
	directions.Go(func() error { return s.forward(near, far, s.receiveLimiter, &s.received) })
	_ = directions.Wait()
}

// waitUntilOpen blocks while the link is cut. It returns false if the link is
// closed meanwhile.
func (s *Server) waitUntilOpen() bool {
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

// chunk is data in transit and the time at which it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies data in one direction, with the latency and rate of the link.
// If writing fails, the connection being read from is closed too.
func (s *Server) forward(to, from net.Conn, limiter *rate.Limiter, forwarded *atomic.Int64) error {
	queue := make(chan chunk, queueChunks)
	var group errgroup.Group
	group.Go(func() error {
		defer close(queue)
		return s.readChunks(from, queue, limiter)
	})
	err := s.writeChunks(to, queue, forwarded)
	if err != nil {
		_ = from.Close()
	}
	for range queue { // drain, so that the reader is not blocked
	}
	return errors.Join(err, group.Wait())
}

func (s *Server) readChunks(from net.Conn, queue chan<- chunk, limiter *rate.Limiter) error {
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			if waitErr := limiter.WaitN(context.Background(), count); waitErr != nil {
				return waitErr
			}
			settings, _ := s.current()
			latency := time.Duration(settings.Latency * float64(time.Millisecond))
			queue <- chunk{data: buffer[:count], due: time.Now().Add(latency)}
		}
		if err != nil {
			return err
		}
	}
}

func (s *Server) writeChunks(to net.Conn, queue <-chan chunk, forwarded *atomic.Int64) error {
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if !s.waitUntilOpen() {
			return net.ErrClosed
		}
		// Count before writing, so that the receiver of the bytes finds them counted.
		forwarded.Add(int64(len(p.data)))
		if _, err := to.Write(p.data); err != nil {
			forwarded.Add(-int64(len(p.data)))
			return err
		}
	}
	return closeWrite(to)
}

// closeWrite forwards the end of the stream by closing the write side of dst.
func closeWrite(dst net.Conn) error {
	halfCloser, ok := dst.(interface{ CloseWrite() error })
	if !ok {
		return io.ErrClosedPipe
	}
	return halfCloser.CloseWrite()
}
