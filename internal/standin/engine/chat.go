package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/endpoint"
)

const maxBodyBytes = 32 << 20

var errCutByFault = errors.New("stream cut by injected fault")

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_body", err.Error())
		return
	}
	request, err := parseChat(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	attempt := r.Header.Get(endpoint.HeaderRequest)
	if attempt == "" {
		attempt = uuid.NewString()
	}
	chatRun := newRun(attempt, r.Header.Get("Idempotency-Key"), request, s.now())
	if code, status := s.reserve(chatRun); code != "" {
		writeError(w, status, code, "request refused")
		return
	}
	s.enqueue(chatRun)
	if request.Stream {
		s.serveRun(w, r, chatRun, 0)
		return
	}
	s.serveComplete(w, r, chatRun)
}

// reserve binds a run to the resident that serves it, or returns the error code
// and HTTP status of the refusal.
func (s *Server) reserve(r *run) (code string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		return endpoint.CodeLeaving, http.StatusServiceUnavailable
	}
	r.resident = s.readyResident(r.request.Model, s.now())
	if r.resident == nil {
		return endpoint.CodeNoModel, http.StatusNotFound
	}
	r.resident.activeRuns++
	return "", 0
}

// serveRun streams the events of a run, beginning after the first `after` events.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, chatRun *run, after int) {
	s.attach(chatRun)
	defer s.detach(chatRun)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(endpoint.HeaderRequest, chatRun.attempt)
	cutAfter, clean := s.nextCut()
	out := &eventWriter{w: w, controller: http.NewResponseController(w), bytesUntilCut: cutAfter, omitDone: s.crashesBeforeDone()}
	out.flush()
	for !out.finished {
		update, err := s.waitForEvents(r.Context(), chatRun, after)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		out.writeEvents(after, update)
		after += len(update.events)
	}
	if out.omitDone {
		s.crash(chatRun.attempt)
	}
	if out.omitDone || out.err != nil && !clean {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) crashesBeforeDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CrashBeforeDone
}

// crash takes s.mu and calls crashLocked.
func (s *Server) crash(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked(attempt)
}

// eventWriter writes events until the byte at which a fault cuts the stream.
type eventWriter struct {
	w             io.Writer
	controller    *http.ResponseController
	bytesUntilCut int // negative for no cut
	omitDone      bool
	buffer        []byte
	finished      bool
	err           error
}

func (o *eventWriter) writeEvents(after int, update progress) {
	o.buffer = o.buffer[:0]
	for i, data := range update.events {
		o.buffer = append(o.buffer, "id: "...)
		o.buffer = strconv.AppendInt(o.buffer, int64(after+i+1), 10)
		o.buffer = append(o.buffer, "\ndata: "...)
		o.buffer = append(o.buffer, data...)
		o.buffer = append(o.buffer, "\n\n"...)
	}
	if update.ended {
		if !o.omitDone {
			o.buffer = append(o.buffer, finalEvent(update.failure)...)
		}
		o.finished = true
	}
	o.write(o.buffer)
}

func finalEvent(failure string) string {
	if failure == "" {
		return "data: " + endpoint.Done + "\n\n"
	}
	return "event: error\ndata: " + string(problemJSON(failure, "the attempt was ended")) + "\n\n"
}

func (o *eventWriter) write(data []byte) {
	if o.bytesUntilCut >= 0 && len(data) > o.bytesUntilCut {
		data = data[:o.bytesUntilCut]
		o.err = errCutByFault
		o.finished = true
	}
	if o.bytesUntilCut >= 0 {
		o.bytesUntilCut -= len(data)
	}
	if _, err := o.w.Write(data); err != nil {
		o.err = err
		o.finished = true
	}
	o.flush()
}

func (o *eventWriter) flush() { _ = o.controller.Flush() }

// serveComplete sends the complete answer in one response, without streaming.
func (s *Server) serveComplete(w http.ResponseWriter, r *http.Request, chatRun *run) {
	s.attach(chatRun)
	defer s.detach(chatRun)
	after := 0
	for {
		update, err := s.waitForEvents(r.Context(), chatRun, after)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		after += len(update.events)
		if update.failure != "" {
			writeError(w, http.StatusConflict, update.failure, "the attempt was ended")
			return
		}
		if update.ended {
			break
		}
	}
	w.Header().Set(endpoint.HeaderRequest, chatRun.attempt)
	writeJSON(w, http.StatusOK, chatRun.completion())
}

// completion returns the complete answer of an ended run.
func (r *run) completion() chunk {
	var text strings.Builder
	for i := r.endToken - r.request.maxTokens(); i < r.endToken; i++ {
		text.WriteString(tokenText(r.promptHash, i))
	}
	message := &delta{Role: "assistant", Content: text.String()}
	return chunk{
		ID:      "chatcmpl-" + r.attempt,
		Object:  "chat.completion",
		Created: r.created,
		Model:   r.request.Model,
		Choices: []choice{{Message: message, FinishReason: new(finishReasonLength)}},
		Usage:   r.usage(),
	}
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	chatRun := s.lookupRun(r.PathValue("attempt"))
	if chatRun == nil {
		writeError(w, http.StatusNotFound, endpoint.CodeGone, "no such attempt")
		return
	}
	after, err := strconv.Atoi(r.Header.Get(endpoint.HeaderLastEvent))
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "bad_offset", endpoint.HeaderLastEvent+" is not a number")
		return
	}
	s.serveRun(w, r, chatRun, after)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	chatRun := s.lookupRun(r.PathValue("attempt"))
	if chatRun == nil {
		writeError(w, http.StatusNotFound, endpoint.CodeGone, "no such attempt")
		return
	}
	s.mu.Lock()
	ran := s.cancel(chatRun, s.now())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, endpoint.Cancelled{Ran: ran})
}

func (s *Server) lookupRun(attempt string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	data, err := json.Marshal(reply)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func problemJSON(code, message string) []byte {
	data, err := json.Marshal(endpoint.Problem{Error: endpoint.ProblemDetail{Code: code, Message: message, Type: code}})
	if err != nil {
		return []byte(`{}`)
	}
	return data
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(problemJSON(code, message))
}
