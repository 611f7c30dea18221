package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
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
	body := http.MaxBytesReader(w, s.progress(w, r), s.limits.Body)
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

// gatherLimit is the size up to which an answer of known length is gathered, in
// bytes, so that its outcome can stand in a header. Others carry it in a trailer.
const gatherLimit = 64 << 10

// passing writes the answer of a plain service as it comes.
type passing struct {
	w       http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	head    *peerpb.Head
	gather  bool
	body    []byte
}

// Head implements peer.Sink.
func (p *passing) Head(h *peerpb.Head) error {
	p.head = h
	p.gather = length(h) <= gatherLimit
	if !p.gather {
		p.begin()
	}
	return nil
}

// length returns the length that the answer declares, in bytes, or more than
// can be gathered when it declares none.
func length(h *peerpb.Head) int {
	for _, line := range h.Headers {
		if n, err := strconv.Atoi(line.Value); err == nil && line.Name == "Content-Length" {
			return n
		}
	}
	return gatherLimit + 1
}

// begin writes the head.
func (p *passing) begin() {
	header := p.w.Header()
	for _, line := range p.head.Headers {
		header.Add(line.Name, line.Value)
	}
	identify(header, p.head)
	if !p.gather {
		header.Del("Content-Length")
		header.Set("Trailer", HeaderOutcome)
	}
	p.w.WriteHeader(int(p.head.Status))
}

// Restart implements entry.Restarter while nothing has reached the caller.
func (p *passing) Restart() bool {
	if !p.gather {
		return false
	}
	p.head, p.gather, p.body = nil, false, nil
	return true
}

// Data implements peer.Sink.
func (p *passing) Data(d *peerpb.Data) error {
	if p.gather {
		p.body = append(p.body, d.Data...)
		return nil
	}
	return p.write(d.Data)
}

func (p *passing) write(data []byte) error {
	if err := p.control.SetWriteDeadline(time.Now().Add(p.limit)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if _, err := p.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := p.control.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// close ends the answer. One that was cut is broken off, so that no client takes it for whole.
func (p *passing) close(request string, end *peerpb.End) {
	switch {
	case p.head == nil || (p.gather && end.Code != ""):
		fail(p.w, request, end)
	case end.Code != "":
		panic(http.ErrAbortHandler)
	case p.gather:
		p.w.Header().Set(HeaderOutcome, end.Outcome)
		p.begin()
		_ = p.write(p.body)
	default:
		p.w.Header().Set(HeaderOutcome, end.Outcome)
	}
}
