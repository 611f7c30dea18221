package stream

import (
	"errors"
	"time"
)

// ErrNotRetained is returned when the pieces that a caller requests are no longer
// retained, or never were.
var ErrNotRetained = errors.New("the asked part of the answer is not kept")

const initialCapacity = 64 // pieces

// storedPiece is a compact Piece: as an answer has few attempts, it stores an index
// instead of the attempt's id.
type storedPiece struct {
	data    []byte
	offset  uint64
	age     uint32 // milliseconds since the first piece
	attempt uint16 // index into replayBuffer.attempts
}

// replayBuffer retains the pieces passed on and drops the oldest first.
type replayBuffer struct {
	maxBytes  int
	retention time.Duration
	start     time.Time
	attempts  []string
	pieces    []storedPiece
	head      int // index of the oldest retained piece
	size      int // bytes
	truncated bool
}

func (b *replayBuffer) add(now time.Time, p Piece) {
	if b.pieces == nil {
		b.start = now
		b.pieces = make([]storedPiece, 0, initialCapacity)
	}
	if last := len(b.attempts) - 1; last < 0 || b.attempts[last] != p.Attempt {
		b.attempts = append(b.attempts, p.Attempt)
	}
	b.pieces = append(b.pieces, storedPiece{
		data:    p.Data,
		offset:  p.Offset,
		age:     b.millisecondsSinceStart(now),
		attempt: uint16(len(b.attempts) - 1),
	})
	b.size += len(p.Data)
	b.trim(now)
}

func (b *replayBuffer) millisecondsSinceStart(now time.Time) uint32 {
	return uint32(now.Sub(b.start) / time.Millisecond)
}

// startDropped reports whether the start of the answer is no longer retained.
func (b *replayBuffer) startDropped(now time.Time) bool {
	b.trim(now)
	return b.truncated
}

func (b *replayBuffer) trim(now time.Time) {
	oldest := now.Add(-b.retention).Sub(b.start) / time.Millisecond
	for b.head < len(b.pieces) {
		p := &b.pieces[b.head]
		if b.size <= b.maxBytes && time.Duration(p.age) >= oldest {
			break
		}
		b.size -= len(p.data)
		p.data = nil
		b.head++
		b.truncated = true
	}
	if b.head > len(b.pieces)/2 {
		b.compact()
	}
}

// compact moves the retained pieces to the front. It runs only when at least as many
// were dropped, so the cost for each piece stays constant.
func (b *replayBuffer) compact() {
	count := copy(b.pieces, b.pieces[b.head:])
	clear(b.pieces[count:])
	b.pieces = b.pieces[:count]
	b.head = 0
}

// piecesFrom returns the retained pieces from an index, which counts retained pieces.
func (b *replayBuffer) piecesFrom(index int) []Piece {
	var pieces []Piece
	for _, p := range b.pieces[b.head+index:] {
		pieces = append(pieces, Piece{Attempt: b.attempts[p.attempt], Offset: p.offset, Data: p.data})
	}
	return pieces
}

// Since returns the retained pieces after the first `have` pieces of an attempt,
// including those of later attempts, for a caller that reconnects.
func (a *Assembly) Since(now time.Time, attempt string, have uint64) ([]Piece, error) {
	a.replay.trim(now)
	if attempt == a.attempt && have == a.nextOffset {
		return nil, nil
	}
	for i, p := range a.replay.pieces[a.replay.head:] {
		if a.replay.attempts[p.attempt] != attempt {
			continue
		}
		if p.offset == have {
			return a.replay.piecesFrom(i), nil
		}
		if p.offset+1 == have {
			return a.replay.piecesFrom(i + 1), nil
		}
	}
	return nil, ErrNotRetained
}

// RetainedBytes returns the number of bytes retained for callers that reconnect.
func (a *Assembly) RetainedBytes(now time.Time) int {
	a.replay.trim(now)
	return a.replay.size
}
