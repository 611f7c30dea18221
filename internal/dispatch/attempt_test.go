package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/timer"
)

const settleTimeout = 5 * time.Second

// recorder is a sink that records what it receives. With a gate, each piece waits for a
// value from it.
type recorder struct {
	gate    chan struct{}
	head    *peerpb.Head
	pieces  []string
	offsets []uint64
}

func (r *recorder) Head(h *peerpb.Head) error {
	r.head = h
	return nil
}

func (r *recorder) Data(d *peerpb.Data) error {
	if r.gate != nil {
		<-r.gate
	}
	r.pieces = append(r.pieces, string(d.Data))
	r.offsets = append(r.offsets, d.Offset)
	return nil
}

func newTestAttempt(limit int) (*Attempt, *timer.Virtual) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	a := newAttempt("a-1", "e-1", limit, clock.Now)
	a.setHead(&peerpb.Head{Attempt: "a-1"})
	return a, clock
}

// waitFor waits until another goroutine has brought about a condition.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, settleTimeout, time.Millisecond)
}

func TestStalledReaderBlocksEndpointUntilAbort(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, clock := newTestAttempt(8)
	stuck := &recorder{gate: make(chan struct{})}
	added := make(chan bool, 1)
	var group errgroup.Group
	group.Go(func() error {
		a.Copy(context.Background(), 0, stuck)
		return nil
	})
	waitFor(t, func() bool { return a.UnreadFor(clock.Now()) == 0 && a.readerCount() == 1 })
	group.Go(func() error {
		for a.appendPiece([]byte("four")) {
		}
		added <- false
		return nil
	})
	waitFor(t, func() bool { clock.Advance(time.Second); return a.BlockedFor(clock.Now()) > 0 })
	blocked := a.BlockedFor(clock.Now())
	clock.Advance(time.Minute)
	assert.Equal(t, blocked+time.Minute, a.BlockedFor(clock.Now()))
	assert.Zero(t, a.StalledFor(clock.Now()), "a slow reader blocks the endpoint, which has not stalled")
	assert.LessOrEqual(t, a.Size(), 8)
	a.abort()
	assert.False(t, <-added)
	assert.Zero(t, a.BlockedFor(clock.Now()))
	a.finish(Fail(CodeSlow, "answer", ""))
	close(stuck.gate)
	require.NoError(t, group.Wait())
	assert.Positive(t, a.UnreadFor(clock.Now().Add(time.Second)))
}

func (a *Attempt) readerCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.readers)
}

func TestReadersStartAtOffsets(t *testing.T) {
	tests := []struct {
		name string
		base uint64
		from uint64
		want []string
		code string
	}{
		{name: "from the start", want: []string{"p0", "p1", "p2", "p3"}},
		{name: "late", from: 2, want: []string{"p2", "p3"}},
		{name: "after the last piece", from: 4},
		{name: "first buffered", base: 2, from: 2, want: []string{"p2", "p3"}},
		{name: "no longer buffered", base: 2, from: 1, code: CodeGone},
		{name: "beyond the end", from: 5, code: CodeGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, _ := newTestAttempt(100)
			a.base = tt.base
			for i := tt.base; i < 4; i++ {
				require.True(t, a.appendPiece([]byte{'p', byte('0' + i)}))
			}
			a.finish(Complete(4))
			sink := &recorder{}
			end := a.Copy(context.Background(), tt.from, sink)
			assert.Equal(t, tt.code, end.Code)
			assert.Equal(t, tt.want, sink.pieces)
		})
	}
}

func TestTrimKeepsPiecesForSlowestReader(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, _ := newTestAttempt(10)
	slow, fast := &recorder{gate: make(chan struct{})}, &recorder{}
	var group errgroup.Group
	for _, sink := range []*recorder{slow, fast} {
		group.Go(func() error {
			assert.Empty(t, a.Copy(context.Background(), 0, sink).Code)
			return nil
		})
	}
	waitFor(t, func() bool { return a.readerCount() == 2 })
	group.Go(func() error {
		for i := range 50 {
			assert.True(t, a.appendPiece([]byte{'x', byte(i)}))
		}
		a.finish(Complete(50))
		return nil
	})
	for range 50 {
		assert.LessOrEqual(t, a.Size(), 10)
		slow.gate <- struct{}{}
	}
	require.NoError(t, group.Wait())
	for _, sink := range []*recorder{slow, fast} {
		require.Len(t, sink.offsets, 50)
		for i, offset := range sink.offsets {
			assert.Equal(t, uint64(i), offset)
			assert.Equal(t, byte(i), sink.pieces[i][1])
		}
	}
	_, complete := a.Pieces()
	assert.False(t, complete, "the start was dropped")
}

func TestPieceLargerThanLimitIsAccepted(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, _ := newTestAttempt(4)
	sink := &recorder{}
	var group errgroup.Group
	group.Go(func() error {
		a.Copy(context.Background(), 0, sink)
		return nil
	})
	waitFor(t, func() bool { return a.readerCount() == 1 })
	large := strings.Repeat("x", 40)
	require.True(t, a.appendPiece([]byte(large)))
	require.True(t, a.appendPiece([]byte(large)))
	a.finish(Complete(2))
	require.NoError(t, group.Wait())
	assert.Equal(t, []string{large, large}, sink.pieces)
}

func TestReaderDetachesWhenContextEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, clock := newTestAttempt(100)
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan *peerpb.End, 1)
	var group errgroup.Group
	group.Go(func() error {
		ends <- a.Copy(ctx, 0, &recorder{})
		return nil
	})
	waitFor(t, func() bool { return a.readerCount() == 1 })
	clock.Advance(3 * time.Second)
	assert.Zero(t, a.UnreadFor(clock.Now()))
	assert.Equal(t, 3*time.Second, a.StalledFor(clock.Now()))
	cancel()
	assert.Equal(t, CodeCancelled, (<-ends).Code)
	require.NoError(t, group.Wait())
	clock.Advance(2 * time.Second)
	assert.Equal(t, 2*time.Second, a.UnreadFor(clock.Now()))
}
