package client

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/httpconn/httpconntest"
)

// An answer without a length must not look complete if the connection is reset while the request is still
// being written.
func TestAnswersResetDuringTheirUploadAreNotComplete(t *testing.T) {
	const uploads = 4 // as the write of a request doesn't always meet the reset before the read of the answer does
	client := newRawSystem(t, httpconntest.Reset("HTTP/1.1 200 OK\r\n\r\npart")).client()
	for range uploads {
		response, err := client.Do(t.Context(), Request{Method: http.MethodPost, Path: "/services/orders/new", Body: make([]byte, 8<<20)})
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Equal(t, "part", string(text))
		assert.Error(t, err, "a part looks complete")
	}
}
