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
	control *http.ResponseController
	timeout time.Duration
}

func (s *Server) guardStalls(w http.ResponseWriter, r *http.Request) io.ReadCloser {
	return &stallGuard{ReadCloser: r.Body, control: http.NewResponseController(w), timeout: s.limits.WriteTimeout}
}

// Read sets a new read deadline for each read. It clears the deadline after a successful
// read, since it must not close the connection while the answer is written. It keeps the
// deadline after a failed read, since otherwise the server would wait for the rest of the
// body before it responds.
func (s *stallGuard) Read(buffer []byte) (int, error) {
	_ = s.control.SetReadDeadline(time.Now().Add(s.timeout))
	n, err := s.ReadCloser.Read(buffer)
	if err == nil || errors.Is(err, io.EOF) {
		_ = s.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
