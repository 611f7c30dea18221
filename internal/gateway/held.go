package gateway

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	// defaultMaxAnswerBytes limits an answer other than a stream.
	defaultMaxAnswerBytes = 16 << 20
	// defaultHeldBytes limits the memory of all answers that are held at once.
	defaultHeldBytes = 24 << 20
	// freeHeldBytes is what each message may hold beside the limit, so that short answers are
	// always held up to their end, and short bodies always read.
	freeHeldBytes = 4 << 10
	// maxSegmentBytes is the size of the largest segment of a held answer.
	maxSegmentBytes = 256 << 10
	// maxWriteBytes is the size of the largest piece of a held answer that is written at once.
	maxWriteBytes = 64 << 10
	// shortAnswerBytes is the size up to which messages may use all memory. Longer ones leave one
	// part in reservedDivisor of it to them.
	shortAnswerBytes = 64 << 10
	reservedDivisor  = 4
)

var (
	// errAnswerTooLarge is returned for an answer, or an event of a stream, over its limit. It
	// may have no end.
	errAnswerTooLarge = errors.New("answer too large")
	// errNoHeldMemory is returned if the memory for held answers is used up.
	errNoHeldMemory = errors.New("no memory left to hold answers")
)

// heldMemory limits the memory of all answers, or of all bodies, that are held at once. It is safe
// for concurrent use.
type heldMemory struct {
	limit int64
	used  atomic.Int64
}

// take takes memory for a message that has held some before, and reports whether it was
// available.
func (m *heldMemory) take(bytes, before int64) bool {
	limit := m.limitOf(before + bytes)
	for {
		used := m.used.Load()
		if used+bytes > limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// limitOf returns the limit that holds for a message of a size.
func (m *heldMemory) limitOf(size int64) int64 {
	if size > shortAnswerBytes {
		return m.limit - m.limit/reservedDivisor
	}
	return m.limit
}

// reservation is the memory that one answer or body has taken.
type reservation struct {
	memory *heldMemory
	taken  int64
	// request is the one whose body it is, to which others may give way; nil for an answer.
	request *activeRequest
}

// resize takes what the message needs in order to hold a number of bytes, and reports whether
// that was available.
func (r *reservation) resize(bytes int) bool {
	more := int64(bytes) - freeHeldBytes - r.taken
	if more <= 0 {
		return true
	}
	if !r.memory.take(more, r.taken) && !r.makeRoom(more) {
		return false
	}
	r.add(more)
	return true
}

// makeRoom takes memory that others give up, and reports whether it was enough.
func (r *reservation) makeRoom(bytes int64) bool {
	if r.request == nil {
		return false
	}
	return r.request.set.makeRoom(r.request, func() bool { return r.memory.take(bytes, r.taken) })
}

func (r *reservation) add(bytes int64) {
	r.taken += bytes
	if r.request != nil {
		r.request.body.held.Add(bytes)
	}
}

// fits reports whether a message of a number of bytes could be held now, if others give way. It takes nothing.
func (r *reservation) fits(bytes int) bool {
	size := int64(bytes) - freeHeldBytes
	lacking := r.memory.used.Load() + size - r.taken - r.memory.limitOf(size)
	if size <= r.taken || lacking <= 0 {
		return true
	}
	return r.request != nil && r.request.set.yieldingBytes(r.request) >= lacking
}

// release returns all memory.
func (r *reservation) release() {
	if r.taken > 0 {
		r.memory.used.Add(-r.taken)
		r.add(-r.taken)
	}
}

var segmentPool = sync.Pool{New: func() any { return new([maxSegmentBytes]byte) }}

// heldAnswer is an answer, or its beginning, that is held before the caller gets any of it.
type heldAnswer struct {
	reservation
	segments [][]byte
	capacity int
	size     int64
}

func newHeldAnswer(m *heldMemory) *heldAnswer {
	return &heldAnswer{reservation: reservation{memory: m}}
}

// fill reads an answer up to its end and reports whether it got there. It didn't if no memory is
// left for the rest. An answer of more than limit bytes is an error.
func (h *heldAnswer) fill(body io.Reader, limit int64) (complete bool, err error) {
	for {
		free := h.free()
		if len(free) == 0 {
			return false, nil
		}
		n, err := body.Read(free)
		last := len(h.segments) - 1
		h.segments[last] = h.segments[last][:len(h.segments[last])+n]
		h.size += int64(n)
		switch {
		case h.size > limit:
			return false, fmt.Errorf("%w: more than %d bytes", errAnswerTooLarge, limit)
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// free returns memory for what comes next, none if no more is available.
func (h *heldAnswer) free() []byte {
	if last := len(h.segments) - 1; last >= 0 {
		if s := h.segments[last]; len(s) < cap(s) {
			return s[len(s):cap(s)]
		}
	}
	size := min(max(h.capacity, freeHeldBytes), maxSegmentBytes)
	if !h.resize(h.capacity + size) {
		return nil
	}
	h.capacity += size
	h.segments = append(h.segments, newSegment(size))
	return h.segments[len(h.segments)-1][:size]
}

func newSegment(size int) []byte {
	if size < maxSegmentBytes {
		return make([]byte, 0, size)
	}
	return segmentPool.Get().(*[maxSegmentBytes]byte)[:0]
}

// writeTo writes what is held.
func (h *heldAnswer) writeTo(w io.Writer) error {
	for _, s := range h.segments {
		for piece := range slices.Chunk(s, maxWriteBytes) {
			if _, err := w.Write(piece); err != nil {
				return err
			}
		}
	}
	return nil
}

// release returns all memory. What was held must not be used any more.
func (h *heldAnswer) release() {
	for _, s := range h.segments {
		if cap(s) == maxSegmentBytes {
			segmentPool.Put((*[maxSegmentBytes]byte)(s[:maxSegmentBytes]))
		}
	}
	h.segments = nil
	h.reservation.release()
}
