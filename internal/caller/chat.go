package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// chatRequest holds the fields of a chat request that the gateway needs. The body itself
// is passed on unchanged.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens uint32 `json:"max_tokens"`
	// MaxCompletionTokens replaces the deprecated MaxTokens in the OpenAI API.
	MaxCompletionTokens uint32          `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request, requestID string) {
	guard := s.guardStalls(w, r, s.limits.MaxBody)
	defer s.bodies.release(guard)
	body, parsed, end := s.readChat(w, guard)
	if end != nil {
		writeError(w, requestID, end)
		return
	}
	deadline, end := readDeadline(r)
	if end != nil {
		writeError(w, requestID, end)
		return
	}
	if lastEventID := r.Header.Get(HeaderLastEvent); lastEventID != "" {
		s.resume(w, r, requestID, lastEventID)
		return
	}
	submit := &peerpb.Submit{
		Request:  requestID,
		Key:      r.Header.Get(HeaderKey),
		Profile:  r.Header.Get(HeaderProfile),
		Model:    parsed.Model,
		Method:   r.Method,
		Path:     r.URL.Path,
		Deadline: deadline,
		Tokens:   max(parsed.MaxTokens, parsed.MaxCompletionTokens),
		Stream:   parsed.Stream,
	}
	if submit.Key != "" {
		submit.Headers = []*peerpb.Header{{Name: HeaderKey, Value: submit.Key}}
	}
	if parsed.Stream {
		sink := newEventSink(w, s.limits.WriteTimeout)
		sink.finish(requestID, s.gateway.Serve(r.Context(), peer.Request{Submit: submit, Body: bytes.NewReader(body)}, sink))
		return
	}
	sink := &bufferedSink{writeTimeout: s.limits.WriteTimeout, header: w.Header()}
	sink.finish(w, requestID, s.gateway.Serve(r.Context(), peer.Request{Submit: submit, Body: bytes.NewReader(body)}, sink))
}

// readChat reads and checks the request body. A non-nil end is the error to return.
func (s *Server) readChat(w http.ResponseWriter, guard *stallGuard) ([]byte, chatRequest, *peerpb.End) {
	var parsed chatRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, guard, s.limits.MaxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, parsed, refusal(CodeTooLarge, "read body", fmt.Sprintf("body is over %d bytes", large.Limit))
	}
	if end := s.bodies.refusal(guard); end != nil {
		return nil, parsed, end
	}
	if err != nil {
		return nil, parsed, refusal(CodeBadJSON, "read body", err.Error())
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, parsed, refusal(CodeBadJSON, "read body", err.Error())
	}
	if parsed.Model == "" || len(parsed.Messages) == 0 {
		return nil, parsed, refusal(CodeBadJSON, "read body", "model and messages are needed")
	}
	return body, parsed, nil
}

// resume continues a streamed answer after the last event that the caller received.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, requestID, lastEventID string) {
	position, err := parsePosition(lastEventID)
	if err != nil {
		writeError(w, requestID, refusal(CodeBadHeader, "read headers", err.Error()))
		return
	}
	position.Request = requestID
	sink := newEventSink(w, s.limits.WriteTimeout)
	sink.finish(requestID, s.gateway.Resume(r.Context(), position, sink))
}

// parsePosition parses an event id of the form endpoint/attempt/count, where count is the
// number of events up to and including this one.
func parsePosition(text string) (*peerpb.Resume, error) {
	parts := strings.Split(text, "/")
	if len(parts) == 3 {
		events, err := strconv.ParseUint(parts[2], 10, 64)
		if err == nil && parts[0] != "" && parts[1] != "" {
			return &peerpb.Resume{Endpoint: parts[0], Attempt: parts[1], Offset: events}, nil
		}
	}
	return nil, fmt.Errorf("%s %q: want the id of an event of this answer", HeaderLastEvent, text)
}
