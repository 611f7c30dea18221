package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxQueuedLines and maxQueuedBytes limit the lines that are queued for a slow writer.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// flushTimeout limits how long the queued lines are written after the context ends.
	flushTimeout = 200 * time.Millisecond
)

// BoundedWriter is a line writer that never blocks. It queues lines, and drops and counts them
// when the queue is full.
type BoundedWriter struct {
	lines   chan []byte
	queued  atomic.Int64 // bytes
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer that copies its lines to w until the context ends.
func NewBoundedWriter(ctx context.Context, w io.Writer, group *errgroup.Group) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines)}
	group.Go(func() error {
		b.run(ctx, w)
		return nil
	})
	return b
}

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if b.queued.Add(size) > maxQueuedBytes {
		b.drop(size)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop(size)
	}
	return len(line), nil
}

func (b *BoundedWriter) drop(size int64) {
	b.queued.Add(-size)
	b.dropped.Add(1)
}

// writeLine writes a queued line. A failed log write can't be reported anywhere else.
func (b *BoundedWriter) writeLine(w io.Writer, line []byte) {
	_, _ = w.Write(line)
	b.queued.Add(-int64(len(line)))
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run(ctx context.Context, w io.Writer) {
	reported := int64(0)
	for {
		select {
		case line := <-b.lines:
			b.writeLine(w, line)
		case <-ctx.Done():
			b.flush(w)
			return
		}
		if n := b.Dropped(); n > reported && len(b.lines) == 0 {
			_, _ = fmt.Fprintf(w, "level=warn step=log dropped=%d\n", n-reported)
			reported = n
		}
	}
}

func (b *BoundedWriter) flush(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case line := <-b.lines:
			b.writeLine(w, line)
		default:
			return
		}
	}
}
