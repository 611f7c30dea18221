package gateway_test

import (
	"fmt"
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

// A field whose name isn't a token must not be passed on, nor may it decide where the answer's body ends.
func TestMalformedFieldNamesReachNoCaller(t *testing.T) {
	const length, chunked, body = "Content-Length: 4", "Transfer-Encoding: chunked", "\r\n14\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n"
	tests := []struct{ name, line, body string }{
		{name: "blank", line: "X Note: 1"},
		{name: "blank before the colon", line: "X-Note : 1"},
		{name: "blank before the colon of the length", line: "Content-Length : 4"},
		{name: "blank before the colon of the coding", line: "Transfer-Encoding : chunked", body: body},
		{name: "blank in front", line: " X-Note: 1"},
		{name: "blank in front of the length", line: " " + length},
		{name: "blank in front of the coding", line: " " + chunked, body: body},
		{name: "tab in front of the length", line: "\t" + length},
		{name: "blank only", line: " : 1"},
		{name: "empty", line: ": 1"},
	}
	for _, c := range append([]byte("\x7f"), []byte("\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\v\f\r\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b\x1c\x1d\x1e\x1f")...) {
		for n, line := range []string{"%s" + length, "Content%sLength: 4", "Content-Length%s: 4"} {
			tests = append(tests, struct{ name, line, body string }{name: fmt.Sprintf("byte %d, %d", c, n), line: strings.Replace(line, "%s", string(c), 1)})
		}
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.body == "" {
				tt.body = "\r\nid: 1\ndata: piece 1\n\n"
			}
			first, rest, _ := strings.Cut(streamHead, "\r\n")
			assertNoAnswer(t, standin.RawAnswer{Text: first + "\r\n" + tt.line + "\r\n" + rest + tt.body})
			assertNoAnswer(t, standin.RawAnswer{Text: streamHead + tt.line + "\r\n" + tt.body})
		})
	}
}
