// Package load sends requests in an open loop, to the system or straight to an
// endpoint, and reports what callers saw.
package load

import (
	"context"
	"encoding/json"
	"time"

	"github.com/chiveramp/chiveramp/pkg/client"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	KindStream       Kind = "stream"
	KindNonStreaming Kind = "whole"
	KindService      Kind = "service"
)

// Call is one request to send.
type Call struct {
	Stage   string
	Profile string
	Rank    profile.Rank
	Kind    Kind
	// Target is a model, or the path of a plain service.
	Target string
	Prompt string
	// MaxTokens is how long the answer shall be.
	MaxTokens int
	// Key is the idempotency key of a plain service's request, empty for none.
	Key string
	// Due is when the call is to be sent, from the start of the run.
	Due time.Duration
}

// Sample is what a caller saw of one call. Times are from the sending.
type Sample struct {
	Stage   string        `json:"stage"`
	Profile string        `json:"profile"`
	Rank    profile.Rank  `json:"rank"`
	Kind    Kind          `json:"kind"`
	Target  string        `json:"target"`
	Due     time.Duration `json:"due"`
	// SendDelay is how much later than due the load tool sent.
	SendDelay time.Duration `json:"late"`
	// FirstToken is the time to the first token or byte, zero when none came.
	FirstToken time.Duration `json:"first"`
	Total      time.Duration `json:"total"`
	// Complete tells that the answer came to its end and holds what was asked for.
	Complete bool           `json:"whole"`
	Outcome  client.Outcome `json:"outcome"`
	// Code is the error's code, empty for an answer.
	Code       string `json:"code"`
	Message    string `json:"message"`
	Request    string `json:"request"`
	Instance   string `json:"instance"`
	Dispatcher string `json:"dispatcher"`
	Endpoint   string `json:"endpoint"`
	// Tries is how often the request was sent.
	Tries int `json:"tries"`
}

// Target is where calls go.
type Target interface {
	// Send sends one call and reads its answer to the end.
	Send(ctx context.Context, call Call) Sample
}

// Validator says whether a text is the whole answer to a call.
type Validator func(call Call, text string) bool

// NonEmptyText takes any answer that is not empty as whole.
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
		panic(err) // texts and numbers always have a JSON form
	}
	return data
}

// chunk is the part of an answer or of an event of it that callers read.
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
