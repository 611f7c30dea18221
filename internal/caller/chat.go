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

// completion is the part of a chat request that decides where it goes.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens uint32 `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens uint32          `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, request string) {
	body, asked, end := s.readChat(w, r)
	if end != nil {
		fail(w, request, end)
		return
	}
	until, end := deadline(r)
	if end != nil {
		fail(w, request, end)
		return
	}
	if last := r.Header.Get(HeaderLast); last != "" {
		s.resume(w, r, request, last)
		return
	}
	submit := &peerpb.Submit{
		Request:  request,
		Key:      r.Header.Get(HeaderKey),
		Profile:  r.Header.Get(HeaderProfile),
		Model:    asked.Model,
		Method:   r.Method,
		Path:     r.URL.Path,
		Deadline: until,
		Tokens:   max(asked.MaxTokens, asked.MaxCompletionTokens),
		Stream:   asked.Stream,
	}
	if submit.Key != "" {
		submit.Headers = []*peerpb.Header{{Name: HeaderKey, Value: submit.Key}}
	}
	if asked.Stream {
		sink := newEvents(w, s.limits.Write)
		sink.close(request, s.gateway.Serve(r.Context(), peer.Request{Submit: submit, Body: bytes.NewReader(body)}, sink))
		return
	}
	sink := &document{limit: s.limits.Write, header: w.Header()}
	sink.close(w, request, s.gateway.Serve(r.Context(), peer.Request{Submit: submit, Body: bytes.NewReader(body)}, sink))
}

func (s *Server) readChat(w http.ResponseWriter, r *http.Request) ([]byte, completion, *peerpb.End) {
	var asked completion
	body, err := io.ReadAll(http.MaxBytesReader(w, s.progress(w, r), s.limits.Body))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, asked, refuse(CodeTooLarge, "read body", fmt.Sprintf("body is over %d bytes", large.Limit))
	}
	if err != nil {
		return nil, asked, refuse(CodeBadJSON, "read body", err.Error())
	}
	if err := json.Unmarshal(body, &asked); err != nil {
		return nil, asked, refuse(CodeBadJSON, "read body", err.Error())
	}
	if asked.Model == "" || len(asked.Messages) == 0 {
		return nil, asked, refuse(CodeBadJSON, "read body", "model and messages are needed")
	}
	return body, asked, nil
}

// resume goes on after the last event that the caller has.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, request, last string) {
	position, err := parsePosition(last)
	if err != nil {
		fail(w, request, refuse(CodeBadValue, "read headers", err.Error()))
		return
	}
	position.Request = request
	sink := newEvents(w, s.limits.Write)
	sink.close(request, s.gateway.Resume(r.Context(), position, sink))
}

// parsePosition reads the id of an event: endpoint, attempt, and events up to and with it.
func parsePosition(text string) (*peerpb.Resume, error) {
	parts := strings.Split(text, "/")
	if len(parts) == 3 {
		events, err := strconv.ParseUint(parts[2], 10, 64)
		if err == nil && parts[0] != "" && parts[1] != "" {
			return &peerpb.Resume{Endpoint: parts[0], Attempt: parts[1], Offset: events}, nil
		}
	}
	return nil, fmt.Errorf("%s %q: want the id of an event of this answer", HeaderLast, text)
}
