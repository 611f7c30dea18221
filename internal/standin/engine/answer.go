package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultMaxTokens = 16

// chatRequest holds the fields of a chat request that the engine uses.
type chatRequest struct {
	Model                string          `json:"model"`
	Messages             []Message       `json:"messages"`
	Stream               bool            `json:"stream"`
	StreamOptions        *streamOptions  `json:"stream_options"`
	MaxTokens            int             `json:"max_tokens"`
	MaxCompletionTokens  int             `json:"max_completion_tokens"`
	Priority             int             `json:"priority"`
	ContinueFinalMessage bool            `json:"continue_final_message"`
	User                 json.RawMessage `json:"user"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or a list of text parts.
type Content string

// UnmarshalJSON decodes a string or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		return c.readParts(data)
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*c = Content(text)
	return nil
}

func (c *Content) readParts(data []byte) error {
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	*c = Content(text.String())
	return nil
}

func parseChat(body []byte) (chatRequest, error) {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return chatRequest{}, err
	}
	if request.Model == "" || len(request.Messages) == 0 {
		return chatRequest{}, errors.New("model and messages are required")
	}
	return request, nil
}

// maxTokens returns the number of tokens to generate. An answer always has this length.
func (r chatRequest) maxTokens() int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// prompt returns the text that determines the answer. If the request continues an
// assistant message, that message is left out of the text, and continuedTokens
// is the number of its tokens.
func (r chatRequest) prompt() (text string, continuedTokens int) {
	messages := r.Messages
	last := messages[len(messages)-1]
	if r.ContinueFinalMessage && last.Role == "assistant" {
		continuedTokens = len(strings.Fields(string(last.Content)))
		messages = messages[:len(messages)-1]
	}
	return Prompt(messages...), continuedTokens
}

// Prompt returns the messages rendered as the prompt that the engine processes.
func Prompt(messages ...Message) string {
	var text strings.Builder
	for _, message := range messages {
		fmt.Fprintf(&text, "%s: %s\n", message.Role, message.Content)
	}
	return text.String()
}

// Answer returns the complete answer of a model to a prompt, with the given
// number of tokens. It depends on nothing else, so tests can compute it.
func Answer(model, prompt string, tokens int) string {
	var text strings.Builder
	hash := promptHash(model, prompt)
	for i := range tokens {
		text.WriteString(tokenText(hash, i))
	}
	return text.String()
}

// AnswerTo returns the complete answer to a single user message.
func AnswerTo(model, content string, tokens int) string {
	return Answer(model, Prompt(Message{Role: "user", Content: Content(content)}), tokens)
}

func promptHash(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

// tokenText returns one token of an answer. The first token is the hash of the prompt.
func tokenText(hash uint64, index int) string {
	if index == 0 {
		return fmt.Sprintf("h%016x", hash)
	}
	return " t" + strconv.Itoa(index)
}
