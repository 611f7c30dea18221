package httpconn

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHeadScannerFindsMalformedHeads(t *testing.T) {
	const ok, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n"
	tests := []struct {
		name, text string
		malformed  string // empty if the head is sound
	}{
		{name: "no fields", text: ok + "\r\n"},
		{name: "fields", text: ok + length + "x!#$%&'*+-.^_`|~9:\r\nX-Colons: a:b : c \t\r\n\r\nbody"},
		{name: "no reason", text: "HTTP/1.1 200\r\n" + length + "\r\n"},
		{name: "LF in all lines", text: "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"},
		{name: "LF, then CRLF", text: "HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody"},
		{name: "no head in the body", text: ok + length + "\r\nX Y: 1\n Z: 2\n\n"},
		{name: "no head after that of another protocol", text: "HTTP/1.1 101 Switching\r\n\r\nX Y: 1\n"},
		{name: "interim", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1  103 Early\r\nLink: x\r\n\r\n" + ok + length + "\r\nX Y: 1\n"},
		{name: "blank", text: ok + "X Y: 1\r\n\r\n", malformed: "byte ' '"},
		{name: "blank before the colon", text: ok + length + "X-Y : 1\r\n\r\n", malformed: "byte ' '"},
		{name: "blank in front", text: ok + length + " X-Y: 1\r\n\r\n", malformed: "byte ' '"},
		{name: "tab in front", text: ok + length + "\tX-Y: 1\r\n\r\n", malformed: `byte '\t'`},
		{name: "line of a blank", text: ok + length + " \r\n\r\n", malformed: "byte ' '"},
		{name: "control byte", text: ok + "X\x00Y: 1\r\n\r\n", malformed: `byte '\x00'`},
		{name: "CR in front", text: ok + "\rX-Y: 1\r\n\r\n", malformed: `byte '\r'`},
		{name: "CR before the colon", text: ok + "X-Y\r: 1\r\n\r\n", malformed: `byte '\r'`},
		{name: "LF in front", text: ok + length + "\nX-Y: 1\r\n\r\n", malformed: "LF alone"},
		{name: "LF in a value", text: ok + "X: 1\nY: 2\r\n\r\n", malformed: "LF alone"},
		{name: "no name", text: ok + ": 1\r\n\r\n", malformed: "byte ':'"},
		{name: "no colon", text: ok + "X\r\n\r\n", malformed: `byte '\r'`},
		{name: "no colon, LF", text: "HTTP/1.1 200 OK\nX\n\n", malformed: "no colon"},
		{name: "beyond ASCII", text: ok + "X-\xe9: 1\r\n\r\n", malformed: `byte 'é'`},
		{name: "in an interim head", text: "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + ok + "\r\n", malformed: "byte ' '"},
		{name: "after an interim head", text: "HTTP/1.1 103 Early\r\n\r\n" + ok + "X Y: 1\r\n\r\n", malformed: "byte ' '"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for size := 1; size <= len(tt.text); size++ {
				head, err := newHeadScanner(), error(nil)
				for rest := []byte(tt.text); err == nil && len(rest) > 0; {
					n := min(size, len(rest))
					err = head.scan(rest[:n])
					rest = rest[n:]
				}
				if tt.malformed == "" {
					require.NoError(t, err, "parts of %d", size)
					assert.Equal(t, partBody, head.part)
					continue
				}
				require.ErrorIs(t, err, ErrMalformed, "parts of %d", size)
				require.ErrorContains(t, err, tt.malformed)
			}
		})
	}
}
