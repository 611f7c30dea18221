package operator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/httpconn/httpconntest"
)

// assertUncertain checks that a response with a head isn't read as one: the edit may have taken effect.
func assertUncertain(t *testing.T, head string) {
	t.Helper()
	server := httptest.NewServer(httpconntest.Raw("HTTP/1.1 " + head + "\r\n\r\n" + `{"code":"conflict"}`))
	defer server.Close()
	c := NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, WithBearerToken(token))
	defer c.Close()
	_, err := c.Apply(context.Background(), Edit{Text: documentText})
	require.ErrorIs(t, err, ErrUncertain)
	_, err = c.Status(context.Background())
	require.ErrorIs(t, err, ErrUnreachable)
}

func TestStatusesOfNoAnswerLeaveCallsUncertain(t *testing.T) {
	for _, status := range []string{"000 Odd", "012 Odd", "101 Odd\r\nConnection: upgrade\r\nUpgrade: odd", "600 Odd"} {
		t.Run(status[:3], func(t *testing.T) { assertUncertain(t, status) })
	}
}

func TestMalformedFieldNamesLeaveCallsUncertain(t *testing.T) {
	for _, head := range []string{"200 OK\r\nX-Note : 1", "409 Conflict\r\nX Note: 1", "200 OK\r\nX-First: 1\r\n X-Note: 1", "200 OK\r\nX-First: 1\r\n\nX-Note: 1"} {
		t.Run(head, func(t *testing.T) { assertUncertain(t, head) })
	}
}
