package stream

import (
	"testing"
	"time"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

// BenchmarkAdd adds the pieces of a long answer, far more than the replay buffer retains.
func BenchmarkAdd(b *testing.B) {
	data := textPiece("token")
	a := New()
	a.Begin("a", "m")
	b.ReportAllocs()
	now := coretest.Start
	offset := uint64(0)
	for b.Loop() {
		now = now.Add(time.Microsecond)
		a.Add(now, Piece{Attempt: "a", Offset: offset, Data: data})
		offset++
	}
}

// BenchmarkAnswer assembles an answer of typical length, 500 pieces.
func BenchmarkAnswer(b *testing.B) {
	data := textPiece("token")
	b.ReportAllocs()
	for b.Loop() {
		a := New()
		a.Begin("a", "m")
		for offset := range uint64(500) {
			a.Add(coretest.Start, Piece{Attempt: "a", Offset: offset, Data: data})
		}
	}
}
