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
	// maxQueuedLines is how many lines are queued for a slow writer.
	maxQueuedLines = 4096
	// flushTimeout limits how long the queued lines are written after the context ends, endTimeout how
	// long that is waited for if a write blocks.
	flushTimeout = 150 * time.Millisecond
	endTimeout   = 200 * time.Millisecond
)

// BoundedWriter is a line writer that never blocks. It queues lines, and drops and counts them
// when the queue is full.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	writing errgroup.Group
}

// NewBoundedWriter returns a writer that copies its lines to w until the context ends. The group waits for
// the queued lines for a limited time.
func NewBoundedWriter(ctx context.Context, w io.Writer, group *errgroup.Group) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines)}
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

// Write queues one line, or drops it if the queue is full. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *BoundedWriter) run(ctx context.Context, w io.Writer) {
	reported := int64(0)
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // a failed log write can't be reported anywhere else
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
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
