// Package sse reads server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

const (
	readBufferSize = 4 << 10         // bytes
	maxSlabSize    = 4 << 10         // bytes
	minSlabSize    = 512             // bytes
	maxSharedSize  = maxSlabSize / 4 // larger values get memory of their own
)

// ErrTooLarge means that an event is larger than the reader's limit.
var ErrTooLarge = errors.New("event too large")

// Event is one server-sent event.
type Event struct {
	// ID and Name are the id and type, empty if the event has none. They are valid
	// until the next call of Next.
	ID   []byte
	Name []byte
	// Data is the payload. The receiver owns it; it is not overwritten by later reads.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
	limit int
	slab  []byte
	id    []byte
	name  []byte
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// NewReader returns a reader that accepts events of up to limit bytes.
func NewReader(from io.Reader, limit int) *Reader {
	lines, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		lines = bufio.NewReaderSize(nil, readBufferSize)
	}
	lines.Reset(from)
	return &Reader{lines: lines, limit: limit}
}

// Release returns the reader's buffer to the pool. The reader must not be used afterwards.
func (r *Reader) Release() {
	if r.lines == nil {
		return
	}
	r.lines.Reset(nil)
	readerPool.Put(r.lines)
	r.lines = nil
}

// Next returns the next event. The end of the stream is always io.ErrUnexpectedEOF, since
// the format has no end marker; an incomplete event before it is dropped.
func (r *Reader) Next() (Event, error) {
	r.id, r.name = r.id[:0], r.name[:0]
	var data []byte
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			data = r.addLine(data, line)
			if len(data) > r.limit {
				return Event{}, ErrTooLarge
			}
			continue
		}
		if data != nil {
			return Event{ID: r.id, Name: r.name, Data: data}, nil
		}
		r.id, r.name = r.id[:0], r.name[:0]
	}
}

// Drain discards what follows the last event, up to the size of the read buffer, so that
// the connection can be reused.
func (r *Reader) Drain() {
	_, _ = io.CopyN(io.Discard, r.lines, readBufferSize)
}

// addLine parses one line of an event and returns the event's data so far.
func (r *Reader) addLine(data, line []byte) []byte {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch string(name) {
	case "data":
		return r.appendData(data, value)
	case "event":
		r.name = append(r.name[:0], value...)
	case "id":
		r.id = append(r.id[:0], value...)
	}
	return data
}

// appendData adds the value of a data line to the event's data. It copies short values
// into a slab shared by several events, of which no byte is written twice, so that the
// data of an event stays valid.
func (r *Reader) appendData(data, value []byte) []byte {
	if data != nil {
		joined := append(bytes.Clone(data), '\n')
		return append(joined, value...)
	}
	if len(value) == 0 {
		return []byte{}
	}
	if len(value) > maxSharedSize {
		return bytes.Clone(value)
	}
	if cap(r.slab)-len(r.slab) < len(value) {
		r.slab = make([]byte, 0, max(r.nextSlabSize(), len(value)))
	}
	start := len(r.slab)
	r.slab = append(r.slab, value...)
	return r.slab[start:len(r.slab):len(r.slab)]
}

// nextSlabSize doubles the slab size up to a maximum, so that short streams take little
// memory and long streams need few slabs.
func (r *Reader) nextSlabSize() int {
	return min(max(2*cap(r.slab), minSlabSize), maxSlabSize)
}

// readLine returns one line without its line ending. It is valid until the next read.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	if len(line) > 0 && line[len(line)-1] == '\r' {
		line = line[:len(line)-1]
	}
	return line, nil
}

// readLongLine returns a line that does not fit the read buffer and begins with start.
func (r *Reader) readLongLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= r.limit {
		more, err := r.lines.ReadSlice('\n')
		long = append(long, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
	return nil, ErrTooLarge
}
