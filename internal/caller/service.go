package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// service forwards any request to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, requestID string) {
	deadline, end := readDeadline(r)
	if end != nil {
		writeError(w, requestID, end)
		return
	}
	name := r.PathValue("name")
	submit := &peerpb.Submit{
		Request:  requestID,
		Key:      r.Header.Get(HeaderKey),
		Profile:  r.Header.Get(HeaderProfile),
		Service:  name,
		Method:   r.Method,
		Path:     strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name),
		Headers:  forwardedHeaders(r.Header),
		Deadline: deadline,
	}
	held := int64(streamedAfter)
	if submit.Key != "" {
		held = s.limits.MaxBody
	}
	guard := s.guardStalls(w, r, held)
	defer s.bodies.release(guard)
	body := http.MaxBytesReader(w, guard, s.limits.MaxBody)
	sink := &serviceSink{w: w, control: http.NewResponseController(w), writeTimeout: s.limits.WriteTimeout}
	end = s.gateway.Serve(r.Context(), peer.Request{Submit: submit, Body: body}, sink)
	if refused := s.bodies.refusal(guard); refused != nil && fleet.Outcome(end.Outcome) == fleet.OutcomeNotRun {
		end = refused
	}
	sink.finish(requestID, end)
}

// forwardedHeaders returns the headers without the hop-by-hop ones.
func forwardedHeaders(header http.Header) []*peerpb.Header {
	headers := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		if slices.Contains(connectionHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return headers
}

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// maxBuffered is the maximum size in bytes of an answer of known length that is buffered,
// so that its outcome can be sent in a header. Other answers are streamed and carry their
// outcome in a trailer.
const maxBuffered = 64 << 10

// serviceSink writes the answer of a plain service: buffered if it is short, otherwise
// piece by piece.
type serviceSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	head         *peerpb.Head
	buffered     bool // the answer is written at its end
	body         []byte
	begun        atomic.Bool
}

// Head implements peer.Sink.
func (s *serviceSink) Head(h *peerpb.Head) error {
	s.head = h
	s.buffered = declaredLength(h) <= maxBuffered
	if !s.buffered {
		s.writeHead()
	}
	return nil
}

// declaredLength returns the Content-Length of the answer, or more than maxBuffered
// without one.
func declaredLength(h *peerpb.Head) int {
	for _, line := range h.Headers {
		if n, err := strconv.Atoi(line.Value); err == nil && line.Name == "Content-Length" {
			return n
		}
	}
	return maxBuffered + 1
}

// writeHead writes the status and headers.
func (s *serviceSink) writeHead() {
	s.begun.Store(true)
	header := s.w.Header()
	for _, line := range s.head.Headers {
		header.Add(line.Name, line.Value)
	}
	setRouteHeaders(header, s.head)
	if !s.buffered {
		header.Del("Content-Length")
		header.Set("Trailer", HeaderOutcome)
	}
	s.w.WriteHeader(int(s.head.Status))
}

// Begun reports whether a part of the answer was written.
func (s *serviceSink) Begun() bool { return s.begun.Load() }

// Restart implements entry.Restarter. It discards a buffered answer, of which the caller
// has received nothing, and reports false for a streamed one.
func (s *serviceSink) Restart() bool {
	if !s.buffered {
		return false
	}
	s.head, s.buffered, s.body = nil, false, nil
	return true
}

// Data implements peer.Sink.
func (s *serviceSink) Data(d *peerpb.Data) error {
	if s.buffered {
		s.body = append(s.body, d.Data...)
		return nil
	}
	return s.write(d.Data)
}

func (s *serviceSink) write(data []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if _, err := s.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// finish ends the answer. It aborts the connection of a streamed answer that failed, so
// that no client takes it for complete.
func (s *serviceSink) finish(requestID string, end *peerpb.End) {
	switch {
	case s.head == nil || (s.buffered && end.Code != ""):
		writeError(s.w, requestID, end)
	case end.Code != "":
		panic(http.ErrAbortHandler)
	case s.buffered:
		s.w.Header().Set(HeaderOutcome, end.Outcome)
		s.writeHead()
		_ = s.write(s.body)
	default:
		s.w.Header().Set(HeaderOutcome, end.Outcome)
		_ = s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout)) // net/http writes the end
	}
}
