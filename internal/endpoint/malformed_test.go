package endpoint

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/httpconn/httpconntest"
)

// An answer with a field whose name isn't a token is a cut: its other fields may not be those that were sent.
func TestMalformedFieldNamesAreInterruptions(t *testing.T) {
	for _, line := range []string{"X-Note : 1", "X Note: 1", "X-First: 1\r\n Content-Length: 2", "X-First: 1\r\n\nX-Note: 1", "X\x01Note: 1"} {
		t.Run(line, func(t *testing.T) {
			addr := serve(t, httpconntest.Raw("HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n{}"))
			client := New()
			defer client.Close()
			response, err := client.Forward(t.Context(), addr, ForwardCall{Method: http.MethodPost, Path: "/x"})
			if err == nil {
				_ = response.Body.Close()
			}
			require.ErrorIs(t, err, ErrInterrupted)
			stream, err := client.Start(t.Context(), addr, Call{Attempt: "a", Body: []byte("{}")})
			if err == nil {
				_ = stream.Close()
			}
			require.ErrorIs(t, err, ErrInterrupted)
			_, err = client.State(t.Context(), addr)
			require.ErrorIs(t, err, ErrInterrupted)
		})
	}
}
