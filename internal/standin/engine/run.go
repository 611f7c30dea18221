package engine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// run is the execution of one attempt. Its fields are guarded by Server.mu.
type run struct {
	attempt        string
	idempotencyKey string
	request        chatRequest
	resident       *resident
	promptText     string
	promptHash     uint64
	promptTokens   int
	nextToken      int // index of the next token
	endToken       int // index after the last token
	arrived        time.Time
	prefillDone    time.Time // when the prefill ends
	started        bool
	events         [][]byte
	ended          bool
	failure        string // error code if it ended without a complete answer
	readers        int
	idleSince      time.Time     // when the last reader disconnected or the run ended
	changed        chan struct{} // closed at the next change; nil if no reader waits
	created        int64
}

func newRun(attempt, key string, request chatRequest, now time.Time) *run {
	text, continuedTokens := request.prompt()
	return &run{
		attempt:        attempt,
		idempotencyKey: key,
		request:        request,
		promptText:     text,
		promptHash:     promptHash(request.Model, text),
		promptTokens:   len(strings.Fields(text)) + continuedTokens,
		nextToken:      continuedTokens,
		endToken:       continuedTokens + request.maxTokens(),
		arrived:        now,
		idleSince:      now,
		created:        now.Unix(),
	}
}

// kvTokens returns the number of KV cache tokens reserved for the run.
func (r *run) kvTokens() int { return r.promptTokens + r.endToken }

func (r *run) generatedTokens() int { return r.request.maxTokens() - (r.endToken - r.nextToken) }

// emitToken emits the next token. After the last one it also emits the finish
// reason and the usage, and ends the run.
func (r *run) emitToken(now time.Time) {
	r.emitChunk(chunk{Choices: []choice{{Delta: &delta{Role: r.role(), Content: tokenText(r.promptHash, r.nextToken)}}}})
	r.nextToken++
	if r.nextToken < r.endToken {
		return
	}
	r.emitChunk(chunk{Choices: []choice{{Delta: &delta{}, FinishReason: new(finishReasonLength)}}})
	if r.request.StreamOptions != nil && r.request.StreamOptions.IncludeUsage {
		r.emitChunk(chunk{Choices: []choice{}, Usage: r.usage()})
	}
	r.finish("", now)
}

func (r *run) role() string {
	if r.generatedTokens() == 0 {
		return "assistant"
	}
	return ""
}

func (r *run) emitChunk(c chunk) {
	c.ID = "chatcmpl-" + r.attempt
	c.Object = "chat.completion.chunk"
	c.Created = r.created
	c.Model = r.request.Model
	data, err := json.Marshal(c)
	if err != nil {
		data = []byte(`{}`)
	}
	r.events = append(r.events, data)
	r.notify()
}

func (r *run) finish(failure string, now time.Time) {
	r.ended = true
	r.failure = failure
	r.idleSince = now
	r.notify()
}

func (r *run) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func (r *run) usage() *usage {
	completionTokens := r.generatedTokens()
	return &usage{PromptTokens: r.promptTokens, CompletionTokens: completionTokens, TotalTokens: r.promptTokens + completionTokens}
}

// progress is a batch of new events for a reader of a run.
type progress struct {
	events  [][]byte
	ended   bool
	failure string
}

// waitForEvents waits until the run has more than `after` events or has ended,
// and returns the events beyond `after`.
func (s *Server) waitForEvents(ctx context.Context, r *run, after int) (progress, error) {
	for {
		update, changed := s.poll(r, after)
		if changed == nil {
			return update, nil
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

// poll returns the events beyond `after`. If there are none yet and the run has
// not ended, it returns a channel that is closed at the next change.
func (s *Server) poll(r *run, after int) (progress, chan struct{}) {
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
	r.idleSince = s.now()
}

// chunk is a chat completion chunk or, with messages instead of deltas, a chat completion.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
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

const finishReasonLength = "length"

// resident is a model or adapter that occupies memory.
type resident struct {
	model      fleet.Model
	adapter    fleet.Adapter
	bytes      int64
	readyAt    time.Time // when the load completes
	unloading  bool
	activeRuns int
}
