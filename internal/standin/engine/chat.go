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

const bodyLimit = 32 << 20 // bytes

var errCut = errors.New("cut by fault")

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_body", err.Error())
		return
	}
	request, err := parseChat(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	attempt := r.Header.Get(endpoint.HeaderRequest)
	if attempt == "" {
		attempt = uuid.NewString()
	}
	started := newRun(attempt, r.Header.Get("Idempotency-Key"), request, s.now())
	if code, status := s.reserve(started); code != "" {
		refuse(w, status, code, "not taken")
		return
	}
	s.submit(started)
	if request.Stream {
		s.serveRun(w, r, started, 0)
		return
	}
	s.serveWhole(w, r, started)
}

// reserve ties a run to the resident that serves it, or says why not.
func (s *Server) reserve(r *run) (code string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		return endpoint.CodeLeaving, http.StatusServiceUnavailable
	}
	r.resident = s.serving(r.request.Model, s.now())
	if r.resident == nil {
		return endpoint.CodeNoModel, http.StatusNotFound
	}
	r.resident.runs++
	return "", 0
}

// serveRun streams a run's events after a number.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, started *run, after int) {
	s.attach(started)
	defer s.detach(started)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(endpoint.HeaderRequest, started.attempt)
	left, clean := s.takeCut()
	out := &eventWriter{w: w, controller: http.NewResponseController(w), left: left, unmarked: s.unmarked()}
	out.flush()
	for !out.over {
		seen, err := s.follow(r.Context(), started, after)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		out.events(after, seen)
		after += len(seen.events)
	}
	if out.unmarked {
		s.lockedCrash(started.attempt)
	}
	if out.unmarked || out.err != nil && !clean {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) unmarked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CrashUnmarked
}

func (s *Server) lockedCrash(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash(attempt)
}

// eventWriter writes events, up to the byte where a fault cuts the stream.
type eventWriter struct {
	w          io.Writer
	controller *http.ResponseController
	left       int // bytes until the cut, negative for none
	unmarked   bool
	buffer     []byte
	over       bool
	err        error
}

func (o *eventWriter) events(after int, seen progress) {
	o.buffer = o.buffer[:0]
	for i, data := range seen.events {
		o.buffer = append(o.buffer, "id: "...)
		o.buffer = strconv.AppendInt(o.buffer, int64(after+i+1), 10)
		o.buffer = append(o.buffer, "\ndata: "...)
		o.buffer = append(o.buffer, data...)
		o.buffer = append(o.buffer, "\n\n"...)
	}
	if seen.ended {
		if !o.unmarked {
			o.buffer = append(o.buffer, lastEvent(seen.failure)...)
		}
		o.over = true
	}
	o.write(o.buffer)
}

func lastEvent(failure string) string {
	if failure == "" {
		return "data: " + endpoint.Done + "\n\n"
	}
	return "event: error\ndata: " + string(problem(failure, "the attempt was ended")) + "\n\n"
}

func (o *eventWriter) write(data []byte) {
	if o.left >= 0 && len(data) > o.left {
		data = data[:o.left]
		o.err = errCut
		o.over = true
	}
	if o.left >= 0 {
		o.left -= len(data)
	}
	if _, err := o.w.Write(data); err != nil {
		o.err = err
		o.over = true
	}
	o.flush()
}

func (o *eventWriter) flush() { _ = o.controller.Flush() }

// serveWhole answers without streaming.
func (s *Server) serveWhole(w http.ResponseWriter, r *http.Request, started *run) {
	s.attach(started)
	defer s.detach(started)
	after := 0
	for {
		seen, err := s.follow(r.Context(), started, after)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		after += len(seen.events)
		if seen.failure != "" {
			refuse(w, http.StatusConflict, seen.failure, "the attempt was ended")
			return
		}
		if seen.ended {
			break
		}
	}
	w.Header().Set(endpoint.HeaderRequest, started.attempt)
	answer(w, http.StatusOK, started.whole())
}

// whole returns the answer of an ended run in one piece.
func (r *run) whole() chunk {
	var text strings.Builder
	for i := r.last - r.request.tokens(); i < r.last; i++ {
		text.WriteString(token(r.hash, i))
	}
	message := &delta{Role: "assistant", Content: text.String()}
	return chunk{
		ID:      "chatcmpl-" + r.attempt,
		Object:  "chat.completion",
		Created: r.created,
		Model:   r.request.Model,
		Choices: []choice{{Message: message, Finish: new(finishLength)}},
		Usage:   r.usage(),
	}
}

func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	started := s.lookup(r.PathValue("attempt"))
	if started == nil {
		refuse(w, http.StatusNotFound, endpoint.CodeGone, "no such attempt")
		return
	}
	after, err := strconv.Atoi(r.Header.Get(endpoint.HeaderLastEvent))
	if err != nil || after < 0 {
		refuse(w, http.StatusBadRequest, "bad_offset", endpoint.HeaderLastEvent+" is not a number")
		return
	}
	s.serveRun(w, r, started, after)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	started := s.lookup(r.PathValue("attempt"))
	if started == nil {
		refuse(w, http.StatusNotFound, endpoint.CodeGone, "no such attempt")
		return
	}
	s.mu.Lock()
	ran := s.cancel(started, s.now())
	s.mu.Unlock()
	answer(w, http.StatusOK, endpoint.Cancelled{Ran: ran})
}

func (s *Server) lookup(attempt string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

func answer(w http.ResponseWriter, status int, reply any) {
	data, err := json.Marshal(reply)
	if err != nil {
		refuse(w, http.StatusInternalServerError, "encode", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func problem(code, message string) []byte {
	data, err := json.Marshal(endpoint.Problem{Error: endpoint.ProblemDetail{Code: code, Message: message, Type: code}})
	if err != nil {
		return []byte(`{}`)
	}
	return data
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(problem(code, message))
}
