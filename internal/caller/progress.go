package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// errBodiesEnded ends the reads of bodies that are still arriving as the instance shuts down.
var errBodiesEnded = errors.New("the instance shuts down before the body has arrived")

// bodies are the request bodies that are being read. It is safe for concurrent use.
type bodies struct {
	mu      sync.Mutex
	ended   bool
	reading map[*stallGuard]struct{}
}

// stallGuard is a request body whose reads time out when the caller sends nothing for
// longer than timeout, so that a stalled caller does not occupy a request slot.
type stallGuard struct {
	io.ReadCloser
	bodies  *bodies
	control *http.ResponseController
	timeout time.Duration
}

func (s *Server) guardStalls(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	return &stallGuard{ReadCloser: r.Body, bodies: &s.bodies, control: http.NewResponseController(w), timeout: s.limits.WriteTimeout}
}

// EndBodies fails the reads of the request bodies that are still arriving, and all later ones.
func (s *Server) EndBodies() {
	s.bodies.mu.Lock()
	defer s.bodies.mu.Unlock()
	s.bodies.ended = true
	for g := range s.bodies.reading {
		g.expire()
	}
}

// Read sets a new read deadline for each read. It clears the deadline after a successful
// read, since it must not close the connection while the answer is written. It keeps the
// deadline after a failed read, since otherwise the server would wait for the rest of the
// body before it responds.
func (s *stallGuard) Read(buffer []byte) (int, error) {
	if !s.begin() {
		return 0, errBodiesEnded
	}
	n, err := s.ReadCloser.Read(buffer)
	if !s.end(err == nil || errors.Is(err, io.EOF)) {
		return n, errBodiesEnded
	}
	return n, err
}

// begin reports whether the body may be read.
func (s *stallGuard) begin() bool {
	b := s.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		s.expire()
		return false
	}
	if b.reading == nil {
		b.reading = make(map[*stallGuard]struct{})
	}
	b.reading[s] = struct{}{}
	_ = s.control.SetReadDeadline(time.Now().Add(s.timeout))
	return true
}

// end reports whether the body may still be used.
func (s *stallGuard) end(successful bool) bool {
	b := s.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, s)
	if successful && !b.ended {
		_ = s.control.SetReadDeadline(time.Time{})
	}
	return !b.ended
}

// expire ends the read that runs, and has the server close the connection after the answer.
func (s *stallGuard) expire() { _ = s.control.SetReadDeadline(time.Now()) }
