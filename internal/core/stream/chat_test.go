package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestContinueBody(t *testing.T) {
	body := []byte(`{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"x"}]}`)
	got, err := ContinueBody(body, "h t1", 2)
	require.NoError(t, err)
	assert.JSONEq(t, `{"model":"m","max_tokens":8,"continue_final_message":true,"add_generation_prompt":false,
		"messages":[{"role":"user","content":"x"},{"role":"assistant","content":"h t1"}]}`, string(got))
}

func TestContinueBodyRejectsUnsupportedRequests(t *testing.T) {
	cases := []string{
		`{`,
		`{"messages":1}`,
		`{"messages":[],"tools":[]}`,
		`{"messages":[],"response_format":{}}`,
		`{"messages":[],"continue_final_message":true}`,
		`{"messages":[],"max_tokens":2}`,
		`{"messages":[],"max_completion_tokens":"many"}`,
	}
	for _, body := range cases {
		_, err := ContinueBody([]byte(body), "h t1", 2)
		require.Error(t, err, body)
	}
}

func TestChatTextRejectsPiecesThatCannotBeContinued(t *testing.T) {
	cases := []string{
		`not json`,
		`{"choices":[{"index":1,"delta":{"content":"x"}}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{}]}}]}`,
		`{"choices":[{"index":0,"delta":{"content":"x"}},{"index":1,"delta":{}}]}`,
		string(finishPiece),
	}
	for _, data := range cases {
		_, _, ok := chatText([]Piece{{Data: textPiece("a")}, {Data: []byte(data)}})
		assert.False(t, ok, data)
	}
}

func TestSpliceKeepsFirstIDAndAddsUsage(t *testing.T) {
	splice, err := NewSplice([]byte(`{"id":"one","created":5}`), 2)
	require.NoError(t, err)
	got, err := splice.Apply([]byte(`{"id":"two","created":9,"choices":[{"index":0,"delta":{"role":"assistant","content":"x"}}],
		"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10}}`))
	require.NoError(t, err)
	assert.JSONEq(t, `{"id":"one","created":5,"choices":[{"index":0,"delta":{"content":"x"}}],
		"usage":{"prompt_tokens":5,"completion_tokens":5,"total_tokens":10}}`, string(got))
}
