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
	// boundedLines is how many lines may wait for a reader that is slow.
	boundedLines = 4096
	// flushWait bounds how long the last lines may take at the end.
	flushWait = 200 * time.Millisecond
)

// Bounded is a writer of lines that never blocks: lines wait in a queue, and are
// left out and counted when that is full.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBounded returns a writer whose lines go to w, until the context ends.
func NewBounded(ctx context.Context, w io.Writer, group *errgroup.Group) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines)}
	group.Go(func() error {
		b.run(ctx, w)
		return nil
	})
	return b
}

// Write queues one line, or leaves it out.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run(ctx context.Context, w io.Writer) {
	told := int64(0)
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // a log that can't be written has no other place to say so
		case <-ctx.Done():
			b.flush(w)
			return
		}
		if n := b.Dropped(); n > told && len(b.lines) == 0 {
			_, _ = fmt.Fprintf(w, "level=warn step=log dropped=%d\n", n-told)
			told = n
		}
	}
}

func (b *Bounded) flush(w io.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), flushWait)
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
