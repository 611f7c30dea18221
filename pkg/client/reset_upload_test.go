package client

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An answer without a length must not look complete if the connection is reset while the request is still
// being written.
func TestAnswersResetDuringTheirUploadAreNotComplete(t *testing.T) {
	const uploads = 4 // as the write of a request doesn't always meet the reset before the read of the answer does
	s := newFakeSystem(t, 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			s.serveEntries(w)
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // until the write of the request is blocked
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}))
	t.Cleanup(server.Close)
	s.addresses = []string{strings.TrimPrefix(server.URL, "http://")}
	client := s.client()
	for range uploads {
		response, err := client.Do(t.Context(), Request{Method: http.MethodPost, Path: "/services/orders/new", Body: make([]byte, 8<<20)})
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Equal(t, "part", string(text))
		assert.Error(t, err, "a part looks complete")
	}
}
