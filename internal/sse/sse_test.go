package sse

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReader(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := []struct {
		name, text string
		want       []string // id|name|data
		err        error
	}{
		{"plain", "id: 1\ndata: a\n\n", []string{"1||a"}, io.ErrUnexpectedEOF},
		{"CR LF and joined data lines", "data: a\r\ndata:b\r\n\r\n", []string{"||a\nb"}, io.ErrUnexpectedEOF},
		{"comment and event type", ": ping\n\nevent: error\ndata: {}\n\n", []string{"|error|{}"}, io.ErrUnexpectedEOF},
		{"no data, no event", "id: 1\n\ndata: a\n\n", []string{"||a"}, io.ErrUnexpectedEOF},
		{"empty data", "data:\n\n", []string{"||"}, io.ErrUnexpectedEOF},
		{"stream ends inside an event", "data: a\n\ndata: b\n", []string{"||a"}, io.ErrUnexpectedEOF},
		{"long line", "data: " + long + "\n\n", []string{"||" + long}, io.ErrUnexpectedEOF},
		{"too long", "data: " + long + long + "\n\n", nil, ErrTooLarge},
		{"too many lines", strings.Repeat("data: "+long+"\n", 2) + "\n", nil, ErrTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewReader(strings.NewReader(tc.text), 15_000)
			var got []string
			event, err := r.Next()
			for ; err == nil; event, err = r.Next() {
				got = append(got, string(event.ID)+"|"+string(event.Name)+"|"+string(event.Data))
			}
			require.ErrorIs(t, err, tc.err)
			assert.Equal(t, tc.want, got)
		})
	}
}

// The data of an event must not change when later events are read.
func TestDataStaysValid(t *testing.T) {
	r := NewReader(strings.NewReader(strings.Repeat("data: one\n\n", 3000)+"data: two\n\n"), 100)
	var all [][]byte
	event, err := r.Next()
	for ; err == nil; event, err = r.Next() {
		all = append(all, event.Data)
	}
	require.Len(t, all, 3001)
	for _, data := range all[:3000] {
		require.Equal(t, "one", string(data))
	}
}
