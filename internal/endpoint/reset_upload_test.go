package endpoint

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/httpconn/httpconntest"
)

// An answer without a length must not look complete if the service resets the connection while the upload is
// still being written.
func TestAnswersResetDuringTheirUploadAreInterrupted(t *testing.T) {
	const uploads = 4 // as the write of an upload doesn't always meet the reset before the read of the answer does
	addr := serve(t, httpconntest.Reset("HTTP/1.1 200 OK\r\n\r\npart"))
	client := New()
	defer client.Close()
	for range uploads {
		response, err := client.Forward(t.Context(), addr, ForwardCall{Method: http.MethodPost, Path: "/x", Body: strings.NewReader(strings.Repeat("x", 8<<20)), Length: 8 << 20})
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Equal(t, "part", string(text))
		assert.Error(t, err, "a part looks complete")
	}
}
