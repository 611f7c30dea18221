package stream

import (
	"errors"
	"time"
)

// ErrForgotten tells that what a caller asks for again is no longer kept, or never was.
var ErrForgotten = errors.New("the asked part of the answer is not kept")

// buffer keeps the pieces passed on, the oldest dropped first.
type buffer struct {
	limit  int
	age    time.Duration
	pieces []Piece
	times  []time.Time
	size   int
	lost   bool
}

func (b *buffer) add(now time.Time, p Piece) {
	b.pieces = append(b.pieces, p)
	b.times = append(b.times, now)
	b.size += len(p.Data)
	b.trim(now)
}

// dropped tells whether the start is no longer kept.
func (b *buffer) dropped(now time.Time) bool {
	b.trim(now)
	return b.lost
}

func (b *buffer) trim(now time.Time) {
	drop := 0
	for drop < len(b.pieces) && (b.size > b.limit || now.Sub(b.times[drop]) > b.age) {
		b.size -= len(b.pieces[drop].Data)
		drop++
	}
	if drop == 0 {
		return
	}
	b.lost = true
	b.pieces = append(b.pieces[:0], b.pieces[drop:]...)
	b.times = append(b.times[:0], b.times[drop:]...)
}

// Since returns the pieces kept that follow the first have pieces of an
// attempt, later attempts included, for a caller that comes back.
func (a *Assembly) Since(now time.Time, attempt string, have uint64) ([]Piece, error) {
	a.kept.trim(now)
	if attempt == a.attempt && have == a.next {
		return nil, nil
	}
	for i, p := range a.kept.pieces {
		if p.Attempt != attempt {
			continue
		}
		if p.Offset == have {
			return a.kept.pieces[i:], nil
		}
		if p.Offset+1 == have {
			return a.kept.pieces[i+1:], nil
		}
	}
	return nil, ErrForgotten
}

// Kept returns the bytes kept for callers that come back.
func (a *Assembly) Kept(now time.Time) int {
	a.kept.trim(now)
	return a.kept.size
}
