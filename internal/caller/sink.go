package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// eventSink writes an answer as server-sent events. The id of each event is the position
// from which the caller can resume.
type eventSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	endpoint     string
	headWritten  atomic.Bool
	buffer       []byte // reused for each event
}

func newEventSink(w http.ResponseWriter, writeTimeout time.Duration) *eventSink {
	return &eventSink{w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// Head implements peer.Sink.
func (e *eventSink) Head(h *peerpb.Head) error {
	e.endpoint = h.Endpoint
	if e.headWritten.Swap(true) {
		return nil
	}
	header := e.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", HeaderOutcome)
	setRouteHeaders(header, h)
	e.w.WriteHeader(int(h.Status))
	return e.flush()
}

// setRouteHeaders sets the headers that name the dispatcher and the endpoint of the answer.
func setRouteHeaders(header http.Header, h *peerpb.Head) {
	header.Set(HeaderDispatcher, h.Dispatcher)
	header.Set(HeaderEndpoint, h.Endpoint)
}

// Begun reports whether a part of the answer was written.
func (e *eventSink) Begun() bool { return e.headWritten.Load() }

// Data implements peer.Sink.
func (e *eventSink) Data(d *peerpb.Data) error {
	e.buffer = append(e.buffer[:0], "id: "...)
	e.buffer = append(e.buffer, e.endpoint...)
	e.buffer = append(e.buffer, '/')
	e.buffer = append(e.buffer, d.Attempt...)
	e.buffer = append(e.buffer, '/')
	e.buffer = strconv.AppendUint(e.buffer, d.Offset+1, 10)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = appendDataLines(e.buffer, normalizeNewlines(d.Data))
	e.buffer = append(e.buffer, "\n\n"...)
	if err := e.write(e.buffer); err != nil {
		return err
	}
	return e.flush()
}

// normalizeNewlines replaces every line ending by a line feed. In server-sent events a
// lone carriage return also ends a line, and the text after it would not be read as data.
func normalizeNewlines(data []byte) []byte {
	if bytes.IndexByte(data, '\r') < 0 {
		return data
	}
	data = bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	return bytes.ReplaceAll(data, []byte("\r"), []byte("\n"))
}

// appendDataLines appends data and starts each line after the first with the field name
// "data: ".
func appendDataLines(to, data []byte) []byte {
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

// write writes to the connection's buffer, which is sent by the next flush or at the end
// of the answer.
func (e *eventSink) write(data []byte) error {
	if err := e.control.SetWriteDeadline(time.Now().Add(e.writeTimeout)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if _, err := e.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (e *eventSink) flush() error {
	if err := e.control.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// finish ends the answer with the end marker or an error event. It does not flush, so
// that net/http sends this together with the trailer when the handler returns.
func (e *eventSink) finish(requestID string, end *peerpb.End) {
	if !e.headWritten.Load() {
		if end.Code == "" {
			end = emptyAnswer(end)
		}
		writeError(e.w, requestID, end)
		return
	}
	e.w.Header().Set(HeaderOutcome, end.Outcome)
	if end.Code == "" {
		_ = e.write([]byte("data: [DONE]\n\n"))
		return
	}
	body, err := json.Marshal(newProblem(requestID, end))
	if err != nil {
		return
	}
	_ = e.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", body))
}

// emptyAnswer returns the error for a request that ended without any answer.
func emptyAnswer(end *peerpb.End) *peerpb.End {
	return &peerpb.End{Outcome: end.Outcome, Code: CodeEmptyAnswer, Step: "answer", Message: "the endpoint answered nothing"}
}

// bufferedSink buffers an answer that is not streamed and writes it at the end.
type bufferedSink struct {
	writeTimeout time.Duration
	header       http.Header
	head         *peerpb.Head
	body         []byte
}

// Head implements peer.Sink.
func (b *bufferedSink) Head(h *peerpb.Head) error {
	b.head = h
	return nil
}

// Data implements peer.Sink.
func (b *bufferedSink) Data(piece *peerpb.Data) error {
	b.body = append(b.body, piece.Data...)
	return nil
}

// Restart implements entry.Restarter. It discards the answer, of which the caller has
// received nothing.
func (b *bufferedSink) Restart() bool {
	b.head, b.body = nil, nil
	return true
}

func (b *bufferedSink) finish(w http.ResponseWriter, requestID string, end *peerpb.End) {
	if b.head == nil && end.Code == "" {
		end = emptyAnswer(end)
	}
	if end.Code != "" {
		writeError(w, requestID, end)
		return
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(b.writeTimeout))
	for _, h := range b.head.Headers {
		b.header.Set(h.Name, h.Value)
	}
	setRouteHeaders(b.header, b.head)
	b.header.Set(HeaderOutcome, string(fleet.OutcomeRan))
	b.header.Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(int(b.head.Status))
	_, _ = w.Write(b.body)
}
