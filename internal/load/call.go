// Package load is an open-loop load generator: it sends requests on a fixed
// schedule, through the system or directly to an endpoint, and reports the
// latency and outcomes that callers observed.
package load

import (
	"context"
	"encoding/json"
	"time"

	"github.com/chiveramp/chiveramp/pkg/client"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// Kind is the kind of a request: a chat completion, streamed or not, or a call
// of a plain service.
type Kind string

// The kinds of requests.
const (
	KindStream       Kind = "stream"
	KindNonStreaming Kind = "whole"
	KindService      Kind = "service"
)

// Call is one scheduled request.
type Call struct {
	Stage   string
	Profile string
	Rank    profile.Rank
	Kind    Kind
	// Target is a model name, or the path of a plain service.
	Target string
	Prompt string
	// MaxTokens is the length of the requested answer.
	MaxTokens int
	// Key is the idempotency key of a plain service request, empty for none.
	Key string
	// Due is the scheduled send time, relative to the start of the run.
	Due time.Duration
}

// Sample is the result of one call as the caller observed it. FirstToken and
// Total are measured from the moment the call was sent.
type Sample struct {
	Stage   string        `json:"stage"`
	Profile string        `json:"profile"`
	Rank    profile.Rank  `json:"rank"`
	Kind    Kind          `json:"kind"`
	Target  string        `json:"target"`
	Due     time.Duration `json:"due"`
	// SendDelay is how far behind schedule the load generator sent the call.
	SendDelay time.Duration `json:"late"`
	// FirstToken is the time to the first token (the first byte of the response
	// for a plain service), zero if none arrived.
	FirstToken time.Duration `json:"first"`
	Total      time.Duration `json:"total"`
	// Complete is true if the answer was received to its end and passed validation.
	Complete bool           `json:"whole"`
	Outcome  client.Outcome `json:"outcome"`
	// Code is the error code, empty for a complete answer.
	Code       string `json:"code"`
	Message    string `json:"message"`
	Request    string `json:"request"`
	Instance   string `json:"instance"`
	Dispatcher string `json:"dispatcher"`
	Endpoint   string `json:"endpoint"`
	// Tries is the number of times the request was sent.
	Tries int `json:"tries"`
}

// Target is a destination for calls.
type Target interface {
	// Send sends one call and reads its answer up to the end.
	Send(ctx context.Context, call Call) Sample
}

// Validator reports whether a text is a complete answer to a call.
type Validator func(call Call, text string) bool

// NonEmptyText accepts any answer that is not empty.
func NonEmptyText(_ Call, text string) bool { return text != "" }

func newSample(call Call) Sample {
	return Sample{
		Stage: call.Stage, Profile: call.Profile, Rank: call.Rank,
		Kind: call.Kind, Target: call.Target, Due: call.Due,
	}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

func (c Call) requestBody() []byte {
	if c.Kind == KindService {
		return []byte(c.Prompt)
	}
	data, err := json.Marshal(chatBody{
		Model: c.Target, Stream: c.Kind == KindStream, MaxTokens: c.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: c.Prompt}},
	})
	if err != nil {
		panic(err) // unreachable: strings, numbers and booleans always marshal
	}
	return data
}

// chunk holds the fields read from a chat completion or from one of its
// streamed events.
type chunk struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func answerText(data []byte) string {
	var c chunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}
