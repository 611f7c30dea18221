package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// events writes an answer as server-sent events, each with its position.
type events struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	limit    time.Duration
	endpoint string
	begun    bool
	line     []byte
}

func newEvents(w http.ResponseWriter, limit time.Duration) *events {
	return &events{w: w, control: http.NewResponseController(w), limit: limit}
}

// Head implements peer.Sink.
func (e *events) Head(h *peerpb.Head) error {
	e.endpoint = h.Endpoint
	if e.begun {
		return nil
	}
	e.begun = true
	header := e.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", HeaderOutcome)
	identify(header, h)
	e.w.WriteHeader(int(h.Status))
	return e.flush()
}

func identify(header http.Header, h *peerpb.Head) {
	header.Set(HeaderDispatcher, h.Dispatcher)
	header.Set(HeaderEndpoint, h.Endpoint)
}

// Data implements peer.Sink.
func (e *events) Data(d *peerpb.Data) error {
	e.line = append(e.line[:0], "id: "...)
	e.line = append(e.line, e.endpoint...)
	e.line = append(e.line, '/')
	e.line = append(e.line, d.Attempt...)
	e.line = append(e.line, '/')
	e.line = strconv.AppendUint(e.line, d.Offset+1, 10)
	e.line = append(e.line, "\ndata: "...)
	e.line = appendLines(e.line, unixLines(d.Data))
	e.line = append(e.line, "\n\n"...)
	if err := e.write(e.line); err != nil {
		return err
	}
	return e.flush()
}

// unixLines makes every end of a line a line feed: a lone carriage return ends a line
// too, and what follows it would not be taken for data.
func unixLines(data []byte) []byte {
	if bytes.IndexByte(data, '\r') < 0 {
		return data
	}
	data = bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	return bytes.ReplaceAll(data, []byte("\r"), []byte("\n"))
}

// appendLines appends data with the field name after each line break in it.
func appendLines(to, data []byte) []byte {
	for {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			return append(to, data...)
		}
		to = append(to, data[:i]...)
		to = append(to, "\ndata: "...)
		data = data[i+1:]
	}
}

// write hands a line to the connection's buffer, which the next flush or the
// end of the answer empties.
func (e *events) write(line []byte) error {
	if err := e.control.SetWriteDeadline(time.Now().Add(e.limit)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if _, err := e.w.Write(line); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (e *events) flush() error {
	if err := e.control.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// close ends the answer with its marker, or with an explicit error. It leaves
// as one piece with the trailer when the handler returns.
func (e *events) close(request string, end *peerpb.End) {
	if !e.begun {
		if end.Code == "" {
			end = empty(end)
		}
		fail(e.w, request, end)
		return
	}
	e.w.Header().Set(HeaderOutcome, end.Outcome)
	if end.Code == "" {
		_ = e.write([]byte("data: [DONE]\n\n"))
		return
	}
	body, err := json.Marshal(problem(request, end))
	if err != nil {
		return
	}
	_ = e.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
}

// empty names the end of an answer without a head.
func empty(end *peerpb.End) *peerpb.End {
	return &peerpb.End{Outcome: end.Outcome, Code: CodeEmpty, Step: "answer", Message: "the endpoint answered nothing"}
}

// document gathers an answer that is sent as one piece.
type document struct {
	limit  time.Duration
	header http.Header
	head   *peerpb.Head
	body   []byte
}

// Head implements peer.Sink.
func (d *document) Head(h *peerpb.Head) error {
	d.head = h
	return nil
}

// Data implements peer.Sink.
func (d *document) Data(piece *peerpb.Data) error {
	d.body = append(d.body, piece.Data...)
	return nil
}

// Restart implements entry.Restarter: nothing has reached the caller yet.
func (d *document) Restart() bool {
	d.head, d.body = nil, nil
	return true
}

func (d *document) close(w http.ResponseWriter, request string, end *peerpb.End) {
	if d.head == nil && end.Code == "" {
		end = empty(end)
	}
	if end.Code != "" {
		fail(w, request, end)
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d.limit))
	for _, h := range d.head.Headers {
		d.header.Set(h.Name, h.Value)
	}
	identify(d.header, d.head)
	d.header.Set(HeaderOutcome, string(fleet.OutcomeRan))
	d.header.Set("Content-Length", strconv.Itoa(len(d.body)))
	w.WriteHeader(int(d.head.Status))
	_, _ = w.Write(d.body)
}
