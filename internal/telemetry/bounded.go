package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxQueuedLines and maxQueuedBytes limit the lines that are queued for a slow writer.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// newestLines is how many lines at the end of the queue are among those written first after the
	// context ends.
	newestLines = 32
	// flushTimeout limits how long the queued lines are written after the context ends, endTimeout how
	// long that is waited for if a write blocks.
	flushTimeout = 150 * time.Millisecond
	endTimeout   = 200 * time.Millisecond
)

// Lines of warnings and errors begin with one of warningStarts in logfmt, and contain one of warningFields in
// JSON, which escapes the quotes in values.
var (
	warningStarts = [][]byte{[]byte("level=warn "), []byte("level=error ")}
	warningFields = [][]byte{[]byte(`"level":"warn"`), []byte(`"level":"error"`)}
)

// BoundedWriter is a line writer that never blocks. It queues lines, and when the queue is full it drops
// and counts some: the oldest, and warnings last.
type BoundedWriter struct {
	queued  chan struct{} // has an element if a line was queued
	dropped atomic.Int64

	mu    sync.Mutex
	lines [][]byte
	next  int // of the lines to be written
	bytes int // of the lines that are queued

	writing  errgroup.Group
	reported int64 // of the dropped lines; belongs to the goroutine that writes
}

// NewBoundedWriter returns a writer that copies its lines to w until the context ends. The group waits for
// the queued lines for a limited time.
func NewBoundedWriter(ctx context.Context, w io.Writer, group *errgroup.Group) *BoundedWriter {
	b := &BoundedWriter{queued: make(chan struct{}, 1)}
	ended := make(chan struct{})
	b.writing.Go(func() error {
		defer close(ended)
		b.run(ctx, w)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		timeout, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
		defer cancel()
		select {
		case <-ended:
		case <-timeout.Done(): // a write blocks
		}
		return nil
	})
	return b
}

// Write queues one line. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := len(b.lines) - b.next; n > 0 && (n >= maxQueuedLines || b.bytes+len(line) > maxQueuedBytes); n = len(b.lines) - b.next {
		b.makeRoom()
	}
	b.lines = append(b.lines, bytes.Clone(line))
	b.bytes += len(line)
	select {
	case b.queued <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// makeRoom drops half of the queue.
func (b *BoundedWriter) makeRoom() {
	excess := (len(b.lines) - b.next + 1) / 2
	b.dropped.Add(int64(excess))
	lines := slices.DeleteFunc(b.lines[b.next:], func(line []byte) bool {
		if excess == 0 || isWarning(line) {
			return false
		}
		excess--
		b.bytes -= len(line)
		return true
	})
	for _, line := range lines[:excess] {
		b.bytes -= len(line)
	}
	b.lines, b.next = lines, excess
}

// isWarning reports whether a line is one of a warning or an error.
func isWarning(line []byte) bool {
	return slices.ContainsFunc(warningStarts, func(mark []byte) bool { return bytes.HasPrefix(line, mark) }) ||
		slices.ContainsFunc(warningFields, func(mark []byte) bool { return bytes.Contains(line, mark) })
}

func (b *BoundedWriter) run(ctx context.Context, w io.Writer) {
	for ctx.Err() == nil {
		select {
		case <-b.queued:
			b.writeUntilEnd(ctx, w)
		case <-ctx.Done():
		}
	}
	b.flush(w)
}

// flush writes the queued lines for a limited time, and how many are left.
func (b *BoundedWriter) flush(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	b.putImportantFirst()
	b.writeUntilEnd(ctx, w)
	b.mu.Lock()
	b.dropped.Add(int64(len(b.lines) - b.next))
	b.lines, b.next, b.bytes = nil, 0, 0
	b.mu.Unlock()
	b.reportDropped(w)
}

// putImportantFirst moves the warnings and the newest lines before the others.
func (b *BoundedWriter) putImportantFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := b.lines[b.next:]
	first, others := make([][]byte, 0, len(lines)), make([][]byte, 0, len(lines))
	for i, line := range lines {
		if i >= len(lines)-newestLines || isWarning(line) {
			first = append(first, line)
		} else {
			others = append(others, line)
		}
	}
	b.lines, b.next = slices.Concat(first, others), 0
}

// writeUntilEnd writes the queued lines until the context ends.
func (b *BoundedWriter) writeUntilEnd(ctx context.Context, w io.Writer) {
	for ctx.Err() == nil {
		line, ok := b.take()
		if !ok {
			return
		}
		b.reportDropped(w)
		_, _ = w.Write(line) // a failed log write can't be reported anywhere else
	}
}

// take removes the next line from the queue. ok is false if there is none.
func (b *BoundedWriter) take() (line []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == len(b.lines) {
		b.lines, b.next = b.lines[:0], 0
		return nil, false
	}
	line, b.lines[b.next] = b.lines[b.next], nil
	b.bytes -= len(line)
	if b.next++; b.next == maxQueuedLines {
		b.lines, b.next = slices.Delete(b.lines, 0, b.next), 0
	}
	return line, true
}

// reportDropped writes how many lines were dropped since it was last reported.
func (b *BoundedWriter) reportDropped(w io.Writer) {
	if n := b.Dropped(); n > b.reported {
		_, _ = fmt.Fprintf(w, "level=warn step=log dropped=%d\n", n-b.reported)
		b.reported = n
	}
}
