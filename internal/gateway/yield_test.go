package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// Callers that hold the memory for bodies and don't end theirs give way to one that lacks it. They are
// refused, and what they send later reaches no endpoint.
func TestSlowestBodyGivesWay(t *testing.T) {
	const size = 200 << 10
	head := "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: slow\r\n"
	text := strings.Repeat("b", size)
	tests := []struct {
		name, text, rest string
	}{
		{name: "with a length", text: fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, text[1:]), rest: "b"},
		{name: "in chunks", text: fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", size, text), rest: "0\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.name, ", to one in chunks: ", chunked), func(t *testing.T) {
				f := newFleet(t, catalog.KindUnsafe, standin.BehaviourNone)
				g := gateway.New(fleet.Place{}, platform.CallerCodec{}, platform.NewEndpointClient(), largeBodies{f}, time.Now, gateway.WithBodyMemory(350<<10))
				slow := open(t, g, head+tt.text)
				time.Sleep(600 * time.Millisecond)
				framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size/2, text[:size/2])
				if chunked {
					framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size/2, text[:size/2])
				}
				sound := open(t, g, "POST /x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: sound\r\n"+framing)
				assert.Equal(t, http.StatusOK, readAnswer(t, sound).status)
				got := readAnswer(t, slow)
				assert.Equal(t, http.StatusServiceUnavailable, got.status)
				assert.NotEmpty(t, got.header.Get("Retry-After"))
				assert.True(t, got.closes)
				_, err := io.WriteString(slow, tt.rest)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond)
				assert.Equal(t, 1, f.runs())
			})
		}
	}
}
