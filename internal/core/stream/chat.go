package stream

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

var (
	errCannotContinue = errors.New("request cannot be continued")
	errNullPiece      = errors.New("piece is null instead of a JSON object")
)

// chatChunk has the fields of a streamed chat completion chunk that are needed to
// extract its text.
type chatChunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   string          `json:"content"`
			Refusal   string          `json:"refusal"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// chatText joins the text of chat pieces. It returns false unless the pieces are a
// single choice of plain text without a finish reason.
func chatText(pieces []Piece) (text string, tokens int, ok bool) {
	var joined strings.Builder
	for _, p := range pieces {
		content, plain := plainText(p.Data)
		if !plain {
			return "", 0, false
		}
		if content != "" {
			tokens++
		}
		joined.WriteString(content)
	}
	return joined.String(), tokens, true
}

func plainText(data []byte) (string, bool) {
	var chunk chatChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) > 1 {
		return "", false
	}
	if len(chunk.Choices) == 0 {
		return "", true
	}
	choice := chunk.Choices[0]
	special := len(choice.Delta.ToolCalls) > 0 || choice.Delta.Refusal != "" || choice.Finish != nil
	return choice.Delta.Content, choice.Index == 0 && !special
}

// ContinueBody returns the request body of an attempt that continues a chat answer
// after the text already sent. The text is appended as an assistant message with
// continue_final_message set, and the token limits are reduced by the tokens sent.
func ContinueBody(body []byte, text string, tokens int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("continue: %w", err)
	}
	for _, name := range []string{"tools", "response_format", "logprobs"} {
		if _, ok := fields[name]; ok {
			return nil, fmt.Errorf("continue: %w: it sets %s", errCannotContinue, name)
		}
	}
	if err := appendAssistantMessage(fields, text); err != nil {
		return nil, err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := reduceTokenLimit(fields, name, tokens); err != nil {
			return nil, err
		}
	}
	fields["continue_final_message"] = json.RawMessage(`true`)
	fields["add_generation_prompt"] = json.RawMessage(`false`)
	return json.Marshal(fields)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func appendAssistantMessage(fields map[string]json.RawMessage, text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return fmt.Errorf("continue: messages: %w", err)
	}
	if string(fields["continue_final_message"]) == "true" {
		return fmt.Errorf("continue: %w: it already sets continue_final_message", errCannotContinue)
	}
	message, err := json.Marshal(chatMessage{Role: "assistant", Content: text})
	if err != nil {
		return fmt.Errorf("continue: %w", err)
	}
	joined, err := json.Marshal(append(messages, message))
	if err != nil {
		return fmt.Errorf("continue: %w", err)
	}
	fields["messages"] = joined
	return nil
}

func reduceTokenLimit(fields map[string]json.RawMessage, name string, tokens int) error {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	var limit int
	if err := json.Unmarshal(raw, &limit); err != nil {
		return fmt.Errorf("continue: %s: %w", name, err)
	}
	if limit <= tokens {
		return fmt.Errorf("continue: %w: its limit of %d tokens is used up", errCannotContinue, limit)
	}
	fields[name] = json.RawMessage(fmt.Sprint(limit - tokens))
	return nil
}

// Splice rewrites the pieces of a continued attempt so that the caller sees one
// answer: the first attempt's id and creation time, no second role, and usage
// counted over all attempts.
type Splice struct {
	id      string
	created json.RawMessage
	tokens  int
}

// NewSplice returns a Splice for an answer whose first piece is given and of which
// a number of tokens has been sent.
func NewSplice(first []byte, tokens int) (Splice, error) {
	var head struct {
		ID      string          `json:"id"`
		Created json.RawMessage `json:"created"`
	}
	if err := json.Unmarshal(first, &head); err != nil {
		return Splice{}, fmt.Errorf("splice: %w", err)
	}
	return Splice{id: head.ID, created: head.Created, tokens: tokens}, nil
}

// Apply rewrites one piece of the continued attempt for the caller.
func (s Splice) Apply(data []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("splice: %w", err)
	}
	if fields == nil {
		return nil, fmt.Errorf("splice: %w", errNullPiece)
	}
	id, err := json.Marshal(s.id)
	if err != nil {
		return nil, fmt.Errorf("splice: %w", err)
	}
	fields["id"] = id
	if s.created != nil {
		fields["created"] = s.created
	}
	if err := dropRole(fields); err != nil {
		return nil, err
	}
	if err := s.addUsage(fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

func dropRole(fields map[string]json.RawMessage) error {
	var choices []map[string]json.RawMessage
	if err := json.Unmarshal(fields["choices"], &choices); err != nil {
		return fmt.Errorf("splice: choices: %w", err)
	}
	for _, choice := range choices {
		var delta map[string]json.RawMessage
		if err := json.Unmarshal(choice["delta"], &delta); err != nil {
			return fmt.Errorf("splice: delta: %w", err)
		}
		delete(delta, "role")
		trimmed, err := json.Marshal(delta)
		if err != nil {
			return fmt.Errorf("splice: delta: %w", err)
		}
		choice["delta"] = trimmed
	}
	joined, err := json.Marshal(choices)
	if err != nil {
		return fmt.Errorf("splice: choices: %w", err)
	}
	fields["choices"] = joined
	return nil
}

// addUsage moves the tokens of earlier attempts from the prompt count to the
// completion count: the engine received them as part of the prompt.
func (s Splice) addUsage(fields map[string]json.RawMessage) error {
	raw, ok := fields["usage"]
	if !ok || string(raw) == "null" {
		return nil
	}
	var usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
	if err := json.Unmarshal(raw, &usage); err != nil {
		return fmt.Errorf("splice: usage: %w", err)
	}
	usage.Completion += s.tokens
	usage.Prompt = max(0, usage.Total-usage.Completion)
	counted, err := json.Marshal(usage)
	if err != nil {
		return fmt.Errorf("splice: usage: %w", err)
	}
	fields["usage"] = counted
	return nil
}
