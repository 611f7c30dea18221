package stream

import (
	"errors"
	"time"
)

// ErrForgotten tells that what a caller asks for again is no longer kept, or never was.
var ErrForgotten = errors.New("the asked part of the answer is not kept")

const firstKept = 64 // pieces

// keptPiece is a piece in little space: attempts are few.
type keptPiece struct {
	data    []byte
	offset  uint64
	age     uint32 // milliseconds from the first piece
	attempt uint16 // index of its id
}

// buffer keeps the pieces passed on, the oldest dropped first.
type buffer struct {
	limit    int
	age      time.Duration
	began    time.Time
	attempts []string
	pieces   []keptPiece
	head     int // index of the oldest piece kept
	size     int // bytes
	lost     bool
}

func (b *buffer) add(now time.Time, p Piece) {
	if b.pieces == nil {
		b.began = now
		b.pieces = make([]keptPiece, 0, firstKept)
	}
	if last := len(b.attempts) - 1; last < 0 || b.attempts[last] != p.Attempt {
		b.attempts = append(b.attempts, p.Attempt)
	}
	b.pieces = append(b.pieces, keptPiece{
		data:    p.Data,
		offset:  p.Offset,
		age:     b.milliseconds(now),
		attempt: uint16(len(b.attempts) - 1),
	})
	b.size += len(p.Data)
	b.trim(now)
}

func (b *buffer) milliseconds(now time.Time) uint32 {
	return uint32(now.Sub(b.began) / time.Millisecond)
}

// dropped tells whether the start is no longer kept.
func (b *buffer) dropped(now time.Time) bool {
	b.trim(now)
	return b.lost
}

func (b *buffer) trim(now time.Time) {
	oldest := now.Add(-b.age).Sub(b.began) / time.Millisecond
	for b.head < len(b.pieces) {
		p := &b.pieces[b.head]
		if b.size <= b.limit && time.Duration(p.age) >= oldest {
			break
		}
		b.size -= len(p.data)
		p.data = nil
		b.head++
		b.lost = true
	}
	if b.head > len(b.pieces)/2 {
		b.compact()
	}
}

// compact moves the pieces kept to the front, once for as many as it moves.
func (b *buffer) compact() {
	kept := copy(b.pieces, b.pieces[b.head:])
	clear(b.pieces[kept:])
	b.pieces = b.pieces[:kept]
	b.head = 0
}

// from returns the pieces kept that begin with an index into those kept.
func (b *buffer) from(index int) []Piece {
	var pieces []Piece
	for _, p := range b.pieces[b.head+index:] {
		pieces = append(pieces, Piece{Attempt: b.attempts[p.attempt], Offset: p.offset, Data: p.data})
	}
	return pieces
}

// Since returns the pieces kept that follow the first have pieces of an
// attempt, later attempts included, for a caller that comes back.
func (a *Assembly) Since(now time.Time, attempt string, have uint64) ([]Piece, error) {
	a.kept.trim(now)
	if attempt == a.attempt && have == a.next {
		return nil, nil
	}
	for i, p := range a.kept.pieces[a.kept.head:] {
		if a.kept.attempts[p.attempt] != attempt {
			continue
		}
		if p.offset == have {
			return a.kept.from(i), nil
		}
		if p.offset+1 == have {
			return a.kept.from(i + 1), nil
		}
	}
	return nil, ErrForgotten
}

// Kept returns the bytes kept for callers that come back.
func (a *Assembly) Kept(now time.Time) int {
	a.kept.trim(now)
	return a.kept.size
}
