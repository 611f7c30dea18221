package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
