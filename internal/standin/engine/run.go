package engine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// run is one attempt. Its fields are guarded by the server's lock.
type run struct {
	attempt  string
	key      string
	request  chatRequest
	resident *resident
	text     string
	hash     uint64
	prompt   int // tokens
	next     int // index of the next token
	last     int // index after the last token
	arrived  time.Time
	begins   time.Time // when the prompt has been read
	begun    bool
	events   [][]byte
	ended    bool
	failure  string // why it ended without an answer
	readers  int
	left     time.Time // when the last reader left, or the end
	changed  chan struct{}
	created  int64
}

func newRun(attempt, key string, request chatRequest, now time.Time) *run {
	text, done := request.prompt()
	return &run{
		attempt: attempt,
		key:     key,
		request: request,
		text:    text,
		hash:    promptHash(request.Model, text),
		prompt:  len(strings.Fields(text)) + done,
		next:    done,
		last:    done + request.tokens(),
		arrived: now,
		left:    now,
		created: now.Unix(),
	}
}

// kv returns the cache tokens that the run holds.
func (r *run) kv() int { return r.prompt + r.last }

func (r *run) generated() int { return r.request.tokens() - (r.last - r.next) }

// step emits one token, and the end after the last one.
func (r *run) step(now time.Time) {
	r.emit(chunk{Choices: []choice{{Delta: &delta{Role: r.role(), Content: token(r.hash, r.next)}}}})
	r.next++
	if r.next < r.last {
		return
	}
	r.emit(chunk{Choices: []choice{{Delta: &delta{}, Finish: new(finishLength)}}})
	if r.request.StreamOptions != nil && r.request.StreamOptions.IncludeUsage {
		r.emit(chunk{Choices: []choice{}, Usage: r.usage()})
	}
	r.end("", now)
}

func (r *run) role() string {
	if r.generated() == 0 {
		return "assistant"
	}
	return ""
}

func (r *run) emit(c chunk) {
	c.ID = "chatcmpl-" + r.attempt
	c.Object = "chat.completion.chunk"
	c.Created = r.created
	c.Model = r.request.Model
	data, err := json.Marshal(c)
	if err != nil {
		data = []byte(`{}`)
	}
	r.events = append(r.events, data)
	r.wake()
}

func (r *run) end(failure string, now time.Time) {
	r.ended = true
	r.failure = failure
	r.left = now
	r.wake()
}

func (r *run) wake() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func (r *run) usage() *usage {
	made := r.generated()
	return &usage{PromptTokens: r.prompt, CompletionTokens: made, TotalTokens: r.prompt + made}
}

// progress is what a reader of a run sees at one moment.
type progress struct {
	events  [][]byte
	ended   bool
	failure string
}

// follow waits until the run has more than after events or has ended.
func (s *Server) follow(ctx context.Context, r *run, after int) (progress, error) {
	for {
		seen, changed := s.look(r, after)
		if changed == nil {
			return seen, nil
		}
		select {
		case <-ctx.Done():
			return progress{}, ctx.Err()
		case <-s.stop:
			return progress{}, ErrCrashed
		case <-changed:
		}
	}
}

func (s *Server) look(r *run, after int) (progress, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < len(r.events) || r.ended {
		return progress{events: r.events[min(after, len(r.events)):], ended: r.ended, failure: r.failure}, nil
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return progress{}, r.changed
}

func (s *Server) attach(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.readers++
}

func (s *Server) detach(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.readers--
	r.left = s.now()
}

// chunk is one event of a chat answer.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int     `json:"index"`
	Delta   *delta  `json:"delta,omitempty"`
	Message *delta  `json:"message,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const finishLength = "length"

// resident is one model or adapter in memory.
type resident struct {
	model    fleet.Model
	adapter  fleet.Adapter
	bytes    int64
	ready    time.Time // when loading ends
	dropping bool
	runs     int
}
