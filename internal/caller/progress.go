package caller

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// stallGuard is a request body whose reads time out when the caller sends nothing for
// longer than timeout, so that a stalled caller does not occupy a request slot.
type stallGuard struct {
	io.ReadCloser
	bodies  *bodies
	control *http.ResponseController
	timeout time.Duration
	arrivingBody
}

// guardStalls returns the body of a request, of which at most some bytes are held until the request ends.
func (s *Server) guardStalls(w http.ResponseWriter, r *http.Request, most int64) *stallGuard {
	g := &stallGuard{ReadCloser: r.Body, bodies: &s.bodies, control: http.NewResponseController(w), timeout: s.limits.WriteTimeout}
	g.most, g.since = most, time.Now()
	return g
}

// Read sets a new read deadline for each read. It clears the deadline after a successful
// read, since it must not close the connection while the answer is written. It keeps the
// deadline after a failed read, since otherwise the server would wait for the rest of the
// body before it responds.
func (s *stallGuard) Read(buffer []byte) (int, error) {
	if err := s.bodies.beginRead(s); err != nil {
		return 0, err
	}
	n, err := s.ReadCloser.Read(buffer)
	return n, s.bodies.endRead(s, n, err)
}

// await sets the deadline of a read.
func (s *stallGuard) await() { _ = s.control.SetReadDeadline(time.Now().Add(s.timeout)) }

// expire ends the read that runs, and has the server close the connection after the answer.
func (s *stallGuard) expire() { _ = s.control.SetReadDeadline(time.Now()) }

// succeed clears the deadline after a successful read.
func (s *stallGuard) succeed(err error) {
	if err == nil || errors.Is(err, io.EOF) {
		_ = s.control.SetReadDeadline(time.Time{})
	}
}
