package operator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A response with the status of no answer must not be read as one: the edit may have taken effect.
func TestStatusesOfNoAnswerLeaveCallsUncertain(t *testing.T) {
	for _, status := range []string{"000 Odd", "012 Odd", "101 Odd\r\nConnection: upgrade\r\nUpgrade: odd", "600 Odd"} {
		t.Run(status[:3], func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				connection, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(connection, "HTTP/1.1 "+status+"\r\n\r\n"+`{"code":"conflict"}`)
				_ = connection.Close()
			}))
			defer server.Close()
			c := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, WithBearerToken(token))
			defer c.Close()
			_, err := c.Apply(context.Background(), Edit{Text: documentText})
			require.ErrorIs(t, err, ErrUncertain)
			_, err = c.Status(context.Background())
			require.ErrorIs(t, err, ErrUnreachable)
		})
	}
}
