package stream

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

// FuzzContinue loses an engine after two arbitrary pieces of the answer to an arbitrary
// request. If the answer is continued, the new request body must be JSON whose last
// message is the text so far, and rewritten pieces must carry the first piece's id.
func FuzzContinue(f *testing.F) {
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":9}`
	for _, piece := range []string{
		string(textPiece("a")), string(finishPiece), `{"choices":[]}`, `{"choices":null}`, "null", "[]", `{"id":1}`, "",
		`{"id":"x","choices":[{"index":1}]}`, `{"id":"x","choices":[{"delta":null}],"usage":{"prompt_tokens":-1}}`,
	} {
		f.Add([]byte(body), textPiece("a"), []byte(piece))
		f.Add([]byte(`{"messages":null,"max_tokens":1e99}`), []byte(piece), textPiece("b"))
	}
	f.Fuzz(func(t *testing.T, body, first, second []byte) {
		a := New()
		a.Begin("a1", "e1")
		for i, data := range [][]byte{first, second} {
			_, result := a.Add(coretest.Start, Piece{Attempt: "a1", Offset: uint64(i), Data: data})
			require.Equal(t, ResultPassed, result)
		}
		d := a.Interrupted(coretest.Start, "a1", LossEndpoint)
		if d.Step != StepContinue {
			return
		}
		if continued, err := ContinueBody(body, d.Text, d.Tokens); err == nil {
			var request struct {
				Messages []json.RawMessage `json:"messages"`
			}
			require.NoError(t, json.Unmarshal(continued, &request))
			var last chatMessage
			require.NoError(t, json.Unmarshal(request.Messages[len(request.Messages)-1], &last))
			require.Equal(t, d.Text, last.Content)
		}
		splice, err := NewSplice(first, d.Tokens)
		if err != nil {
			return
		}
		if spliced, err := splice.Apply(second); err == nil {
			var piece struct {
				ID string `json:"id"`
			}
			require.NoError(t, json.Unmarshal(spliced, &piece))
			require.Equal(t, splice.id, piece.ID)
		}
	})
}
