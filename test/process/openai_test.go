package process

import (
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// The OpenAI client library works with the caller API unchanged, except for the header that
// names the profile.
func TestOpenAIClient(t *testing.T) {
	b := newSouthDeployment(t, "")
	for _, n := range b.instances {
		client := openai.NewClient(
			option.WithBaseURL("http://"+n.caller+"/v1/"),
			option.WithAPIKey("none"),
			option.WithHeader("Chiveramp-Profile", "chat"),
			option.WithMaxRetries(0),
		)
		params := openai.ChatCompletionNewParams{
			Model:         "matcher-a",
			Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("find a glove")},
			MaxTokens:     openai.Int(12),
			StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
		}
		want := engine.AnswerTo("matcher-a", "find a glove", 12)

		completion, err := client.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.Equal(t, want, completion.Choices[0].Message.Content)
		require.EqualValues(t, 12, completion.Usage.CompletionTokens)

		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var accumulator openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, accumulator.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.NoError(t, stream.Close())
		require.Equal(t, want, accumulator.Choices[0].Message.Content)

		models, err := client.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, "matcher-a", models.Data[0].ID)

		params.Model = "other"
		_, err = client.Chat.Completions.New(t.Context(), params)
		var refused *openai.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, http.StatusNotFound, refused.StatusCode)
		require.Equal(t, "unknown-model", refused.Code)
	}
}
