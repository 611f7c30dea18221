package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// service passes any request on to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, request string) {
	until, end := deadline(r)
	if end != nil {
		fail(w, request, end)
		return
	}
	name := r.PathValue("name")
	submit := &peerpb.Submit{
		Request:  request,
		Key:      r.Header.Get(HeaderKey),
		Profile:  r.Header.Get(HeaderProfile),
		Service:  name,
		Method:   r.Method,
		Path:     strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name),
		Headers:  forwarded(r.Header),
		Deadline: until,
	}
	body := http.MaxBytesReader(w, r.Body, s.limits.Body)
	sink := &passing{w: w, control: http.NewResponseController(w), limit: s.limits.Write}
	sink.close(request, s.gateway.Serve(r.Context(), peer.Request{Submit: submit, Body: body}, sink))
}

// forwarded returns the headers that concern the service. Those of one connection stay here.
func forwarded(header http.Header) []*peerpb.Header {
	kept := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		if slices.Contains(connectionHeaders, name) {
			continue
		}
		for _, value := range values {
			kept = append(kept, &peerpb.Header{Name: name, Value: value})
		}
	}
	return kept
}

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passing writes the answer of a plain service as it comes.
type passing struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	begun   bool
}

// Head implements peer.Sink.
func (p *passing) Head(h *peerpb.Head) error {
	p.begun = true
	header := p.w.Header()
	for _, line := range h.Headers {
		header.Add(line.Name, line.Value)
	}
	if header.Get("Content-Length") == "" {
		header.Set("Trailer", HeaderOutcome)
	}
	identify(header, h)
	p.w.WriteHeader(int(h.Status))
	return nil
}

// Data implements peer.Sink.
func (p *passing) Data(d *peerpb.Data) error {
	if err := p.control.SetWriteDeadline(time.Now().Add(p.limit)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if _, err := p.w.Write(d.Data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := p.control.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// close ends the answer. One that was cut is broken off, so that no client takes it for whole.
func (p *passing) close(request string, end *peerpb.End) {
	if !p.begun {
		fail(p.w, request, end)
		return
	}
	if end.Code != "" {
		panic(http.ErrAbortHandler)
	}
	p.w.Header().Set(HeaderOutcome, end.Outcome)
}
