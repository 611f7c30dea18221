package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/httpconn/httpconntest"
)

// A list must not be read from the beginning of a reply that goes on.
func TestRepliesWithoutEndAreErrors(t *testing.T) {
	tests := []struct {
		name, header string
		want         string
	}{
		{name: "body", want: "message too large"},
		{name: "head", header: strings.Repeat("x", 2<<20), want: "headers exceeded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.header != "" {
					w.Header().Set("X-Long", tt.header)
				}
				_, err := io.WriteString(w, "[]")
				for piece := strings.Repeat(" ", 1<<20); err == nil; {
					_, err = io.WriteString(w, piece)
				}
			}))
			defer server.Close()
			h := NewHTTP(server.URL)
			defer h.Close()
			_, err := h.List(t.Context(), "a/")
			require.ErrorContains(t, err, "store "+server.URL+" list")
			require.ErrorContains(t, err, tt.want)
			require.ErrorIs(t, err, ErrUnavailable)
		})
	}
}

// assertUncertain checks that a response with a head isn't read as one: the write may have taken effect.
func assertUncertain(t *testing.T, head string) {
	t.Helper()
	server := httptest.NewServer(httpconntest.Raw("HTTP/1.1 " + head + "\r\n\r\n{}"))
	defer server.Close()
	h := NewHTTP(server.URL)
	defer h.Close()
	_, err := h.List(t.Context(), "a/")
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = h.Swap(t.Context(), Write{Key: "k", Value: []byte("1")})
	require.ErrorIs(t, err, ErrUncertain)
}

func TestStatusesOfNoAnswerLeaveWritesUncertain(t *testing.T) {
	for _, status := range []string{"000 Odd", "012 Odd", "101 Odd\r\nConnection: upgrade\r\nUpgrade: odd", "600 Odd"} {
		t.Run(status[:3], func(t *testing.T) { assertUncertain(t, status) })
	}
}

func TestMalformedFieldNamesLeaveWritesUncertain(t *testing.T) {
	for _, head := range []string{"200 OK\r\nX-Note : 1", "409 Conflict\r\nX Note: 1", "409 Conflict\r\nX-First: 1\r\n X-Note: 1", "409 Conflict\r\nX-First: 1\r\n\nX-Note: 1"} {
		t.Run(head, func(t *testing.T) { assertUncertain(t, head) })
	}
}
