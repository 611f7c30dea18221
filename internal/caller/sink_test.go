package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

func TestEventOfSeveralLinesStaysOneEvent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newEvents(w, time.Second)
		assert.NoError(t, sink.Head(&peerpb.Head{Endpoint: "e", Status: http.StatusOK}))
		assert.NoError(t, sink.Data(&peerpb.Data{Attempt: "a", Data: []byte("{\n}")}))
		sink.close("r", &peerpb.End{Outcome: "ran"})
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	require.NoError(t, err)
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "id: e/a/1\ndata: {\ndata: }\n\ndata: [DONE]\n\n", string(body))
}
