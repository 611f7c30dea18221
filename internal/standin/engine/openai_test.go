package engine_test

import (
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

func TestOpenAIClientLibrary(t *testing.T) {
	_, _, addr := start(t)
	client := openai.NewClient(
		option.WithBaseURL("http://"+addr+"/v1/"),
		option.WithAPIKey("none"),
		option.WithHTTPClient(http.DefaultClient),
		option.WithMaxRetries(0),
	)
	params := openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("find a glove")},
		MaxTokens:     openai.Int(12),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	want := engine.AnswerTo(model, "find a glove", 12)

	complete, err := client.Chat.Completions.New(t.Context(), params)
	require.NoError(t, err)
	assert.Equal(t, want, complete.Choices[0].Message.Content)
	assert.Equal(t, int64(12), complete.Usage.CompletionTokens)

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	defer func() { _ = stream.Close() }()
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, accumulated.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, want, accumulated.Choices[0].Message.Content)
	assert.Equal(t, int64(12), accumulated.Usage.CompletionTokens)

	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	assert.Equal(t, model, models.Data[0].ID)

	params.Model = "other"
	_, err = client.Chat.Completions.New(t.Context(), params)
	var refused *openai.Error
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, http.StatusNotFound, refused.StatusCode)
}
