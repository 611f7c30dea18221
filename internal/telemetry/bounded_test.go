package telemetry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
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

// slowWriter takes some time for each write, and none before it is opened.
type slowWriter struct {
	mu    sync.Mutex
	text  bytes.Buffer
	takes time.Duration
	open  chan struct{}
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.open
	time.Sleep(w.takes)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *slowWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.text.String()), "\n")
}

// Warnings and the newest lines reach a slow writer, and those that don't are counted in the log itself.
func TestBoundedWriterKeepsWarningsAndNewestLines(t *testing.T) {
	tests := []struct {
		name  string
		lines int
		takes time.Duration // of a write
	}{
		{name: "the queue is full", lines: 20_000},
		{name: "the time is over", lines: 3000, takes: 200 * time.Microsecond},
		{name: "both", lines: 20_000, takes: 200 * time.Microsecond},
	}
	for _, tt := range tests {
		for _, warning := range []string{"level=warn step=cut\n", `{"id":"r1","level":"warn","step":"cut"}` + "\n"} {
			t.Run(tt.name, func(t *testing.T) {
				w := &slowWriter{takes: tt.takes, open: make(chan struct{})}
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				b := telemetry.NewBoundedWriter(ctx, w, &group)
				for i := range tt.lines {
					if i == tt.lines/2 {
						_, _ = b.Write([]byte(warning))
					}
					_, _ = b.Write([]byte("step=end\n"))
				}
				_, _ = b.Write([]byte("step=stop\n"))
				cancel()
				close(w.open)
				require.NoError(t, group.Wait())
				lines := w.lines()
				assert.Contains(t, lines, strings.TrimSpace(warning))
				assert.Contains(t, lines, "step=stop")
				written, dropped := 0, 0
				for _, line := range lines {
					var n int
					if _, err := fmt.Sscanf(line, "level=warn step=log dropped=%d", &n); err == nil {
						dropped += n
					} else {
						written++
					}
				}
				assert.Equal(t, tt.lines+2, written+dropped, "of which %d were dropped", dropped)
			})
		}
	}
}

// A reader that has stopped does not keep the process from ending.
func TestBoundedWriterEndsBesideAStoppedReader(t *testing.T) {
	reader, writer := io.Pipe() // never read from
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	b := telemetry.NewBoundedWriter(ctx, writer, &group)
	_, _ = b.Write([]byte("line\n"))
	cancel()
	ended := make(chan error, 1)
	var waiting errgroup.Group
	waiting.Go(func() error { ended <- group.Wait(); return nil })
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Error("the end waits for the reader")
	}
	require.NoError(t, reader.Close())
}
