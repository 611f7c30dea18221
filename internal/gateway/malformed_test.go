package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// assertNoAnswer checks that no caller gets a malformed answer of an endpoint, whatever kind its route has.
func assertNoAnswer(t *testing.T, raw standin.RawAnswer) {
	t.Helper()
	for _, kind := range []catalog.Kind{catalog.KindSafe, catalog.KindUnsafe, catalog.KindStream} {
		f := newFleet(t, kind, standin.BehaviourNone, standin.BehaviourNone)
		f.runners[0].SetRaw(raw)
		method, header, want := http.MethodPost, map[string]string{}, "done r1"
		if kind == catalog.KindStream {
			header["Model"], want = "m", completeStream
		}
		answer, err := send(t, serve(t, f), method, header, "")
		require.NoError(t, err)
		if kind == catalog.KindUnsafe {
			assert.Equal(t, http.StatusBadGateway, answer.status, "%s: %q", kind, answer.body)
			continue
		}
		assert.Equal(t, http.StatusOK, answer.status, kind)
		assert.Equal(t, want, answer.body, kind)
	}
}

func TestStatusesOfNoAnswerReachNoCaller(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n"
	for _, status := range []string{"000", "001", "099", "+00", "-00", "600", "999"} {
		for _, rest := range []string{"Content-Length: 4\r\n\r\npart", "Content-Length: 0\r\n\r\n", "\r\npart", "\r\n", chunks} {
			t.Run(status+" "+strings.Fields(rest + " until close")[0], func(t *testing.T) {
				assertNoAnswer(t, standin.RawAnswer{Text: strings.Replace(streamHead, "200 OK", status+" Odd", 1) + rest})
			})
		}
	}
}
