package stream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

func TestFinished(t *testing.T) {
	usage := []byte(`{"choices":[],"usage":{"total_tokens":3}}`)
	other := []byte(`{"choices":[{"index":1,"delta":{"content":"b"},"finish_reason":null}]}`)
	both := []byte(`{"choices":[{"index":0,"finish_reason":"stop"},{"index":1,"finish_reason":"stop"}]}`)
	tests := []struct {
		name   string
		body   string
		pieces [][]byte
		adopt  uint64
		age    time.Duration
		want   bool
	}{
		{name: "finish reason", body: `{}`, pieces: [][]byte{textPiece("a"), finishPiece}, want: true},
		{name: "usage present without a request for it", body: `{}`, pieces: [][]byte{textPiece("a"), finishPiece, usage}, want: true},
		{name: "usage requested and present", body: `{"stream_options":{"include_usage":true}}`, pieces: [][]byte{textPiece("a"), finishPiece, usage}, want: true},
		{name: "usage requested and missing", body: `{"stream_options":{"include_usage":true}}`, pieces: [][]byte{textPiece("a"), finishPiece}},
		{name: "text only", body: `{}`, pieces: [][]byte{textPiece("a")}},
		{name: "text after the finish reason", body: `{}`, pieces: [][]byte{finishPiece, textPiece("a")}},
		{name: "nothing", body: `{}`},
		{name: "another choice", body: `{}`, pieces: [][]byte{finishPiece, other}},
		{name: "two choices in a piece", body: `{}`, pieces: [][]byte{both}},
		{name: "two choices requested", body: `{"n":2}`, pieces: [][]byte{finishPiece}},
		{name: "invalid JSON", body: `{}`, pieces: [][]byte{[]byte("x"), finishPiece}},
		{name: "no body", pieces: [][]byte{finishPiece}},
		{name: "adopted", body: `{}`, adopt: 3, pieces: [][]byte{finishPiece}},
		{name: "start no longer retained", body: `{}`, pieces: [][]byte{textPiece("a"), finishPiece}, age: time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New()
			a.Begin("a1", "e1")
			if tt.adopt > 0 {
				a.Adopt("a1", "e1", tt.adopt)
			}
			for i, data := range tt.pieces {
				a.Add(coretest.Start, Piece{Attempt: "a1", Offset: tt.adopt + uint64(i), Data: data})
			}
			require.Equal(t, tt.want, a.Finished(coretest.Start.Add(tt.age), []byte(tt.body)))
		})
	}
}
