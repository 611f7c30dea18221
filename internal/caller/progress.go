package caller

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// stallGuard reads a request's body and gives it up when the caller sends nothing
// for too long, so that a stuck caller does not keep its place.
type stallGuard struct {
	io.ReadCloser
	control *http.ResponseController
	limit   time.Duration
}

func (s *Server) guardStalls(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	return &stallGuard{ReadCloser: r.Body, control: http.NewResponseController(w), limit: s.limits.WriteTimeout}
}

// Read renews the deadline for each read and lifts it after one that went well: it
// must not end the connection while the answer is written. After a failed one it
// stays, or the server would wait for the rest of the body before it answers.
func (p *stallGuard) Read(buffer []byte) (int, error) {
	_ = p.control.SetReadDeadline(time.Now().Add(p.limit))
	n, err := p.ReadCloser.Read(buffer)
	if err == nil || errors.Is(err, io.EOF) {
		_ = p.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
