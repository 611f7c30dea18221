package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/telemetry"
)

// A reader that has stopped must not block the logging code: lines are dropped and counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe() // never read from
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	b := telemetry.NewBoundedWriter(ctx, writer, &group)
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		for range 20_000 {
			_, _ = b.Write([]byte("line\n"))
		}
		return nil
	})
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writes block on the reader")
	}
	assert.Positive(t, b.Dropped())
	cancel()
	require.NoError(t, reader.Close())
	require.NoError(t, group.Wait())
}

// Long lines take no more memory than many short ones.
func TestBoundedWriterHoldsFewLongLines(t *testing.T) {
	const lines, length, most = 10_000, 15 << 10, 4 << 20
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe() // never read from
	var group errgroup.Group
	b := telemetry.NewBoundedWriter(ctx, writer, &group)
	for range lines {
		_, _ = b.Write(make([]byte, length))
	}
	assert.Less(t, (lines-b.Dropped())*length, int64(most))
	cancel()
	require.NoError(t, reader.Close())
	require.NoError(t, group.Wait())
}

// Lines that were written before the context ended are flushed in order.
func TestBoundedWriterFlushesAtEnd(t *testing.T) {
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	b := telemetry.NewBoundedWriter(ctx, &out, &group)
	_, _ = b.Write([]byte("one\n"))
	_, _ = b.Write([]byte("two\n"))
	cancel()
	require.NoError(t, group.Wait())
	assert.Equal(t, "one\ntwo\n", out.String())
	assert.Zero(t, b.Dropped())
}
