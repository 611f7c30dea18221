package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/shutdown"
)

// The beginning of an answer must not be taken for the whole, and what was read must not be lost
// where the memory is used up.
func TestHeldAnswerIsCompleteOrSaysSo(t *testing.T) {
	const limit, memory = 3 << 20, 1 << 20
	broken := errors.New("broken")
	tests := []struct {
		name         string
		size         int
		limit        int64
		memory       int64
		err          error // after the last byte, nil for the end
		wantComplete bool
		wantErr      error
	}{
		{name: "empty", limit: limit, memory: memory, wantComplete: true},
		{name: "one segment", size: freeHeldBytes - 1, limit: limit, memory: memory, wantComplete: true},
		{name: "short, no memory left", size: freeHeldBytes - 1, limit: limit, wantComplete: true},
		{name: "several segments", size: 700 << 10, limit: limit, memory: memory, wantComplete: true},
		{name: "at the limit", size: limit, limit: limit, memory: 8 * memory, wantComplete: true},
		{name: "over the limit", size: limit + 1, limit: limit, memory: 8 * memory, wantErr: errAnswerTooLarge},
		{name: "more than memory", size: limit, limit: limit, memory: memory},
		{name: "long, no memory left", size: 9 << 10, limit: limit},
		{name: "broken off", size: 9 << 10, limit: limit, memory: memory, err: broken, wantErr: broken},
		{name: "broken off at its first byte", limit: limit, memory: memory, err: broken, wantErr: broken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := bytes.Repeat([]byte("0123456789"), tt.size/10+1)[:tt.size]
			body := io.Reader(bytes.NewReader(text))
			if tt.err != nil {
				body = io.MultiReader(body, iotest.ErrReader(tt.err))
			}
			m := &heldMemory{limit: tt.memory}
			h := newHeldAnswer(m)
			complete, err := h.fill(body, tt.limit)
			require.ErrorIs(t, err, tt.wantErr)
			assert.Equal(t, tt.wantComplete, complete)
			assert.LessOrEqual(t, m.used.Load(), tt.memory)
			if tt.wantErr == nil {
				var out bytes.Buffer
				require.NoError(t, h.writeTo(&out))
				assert.Equal(t, h.size, int64(out.Len()))
				_, err = out.ReadFrom(body)
				require.NoError(t, err)
				assert.True(t, bytes.Equal(text, out.Bytes()), "nothing is lost")
			}
			h.release()
			assert.Zero(t, m.used.Load())
		})
	}
}

// Answers without end must not keep short ones from being held.
func TestLargeAnswersLeaveMemoryToShortOnes(t *testing.T) {
	m := &heldMemory{limit: 2 << 20}
	for range 4 {
		large := newHeldAnswer(m)
		defer large.release()
		complete, err := large.fill(strings.NewReader(strings.Repeat("x", 4<<20)), 8<<20)
		require.NoError(t, err)
		require.False(t, complete)
	}
	short := newHeldAnswer(m)
	defer short.release()
	complete, err := short.fill(strings.NewReader(strings.Repeat("x", 60<<10)), 8<<20)
	require.NoError(t, err)
	assert.True(t, complete)
}

// Answers held at the same time must stay within the limit together.
func TestHeldAnswersShareTheLimit(t *testing.T) {
	m := &heldMemory{limit: 1 << 20}
	var group errgroup.Group
	for range 16 {
		group.Go(func() error {
			for range 50 {
				h := newHeldAnswer(m)
				if _, err := h.fill(strings.NewReader(strings.Repeat("x", 300<<10)), 1<<20); err != nil {
					return err
				}
				if used := m.used.Load(); used > m.limit {
					return errors.New("over the limit")
				}
				h.release()
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	assert.Zero(t, m.used.Load())
}

// stuckCaller takes a number of bytes, and then nothing up to the deadline of the write.
type stuckCaller struct {
	http.ResponseWriter
	takes    int
	deadline time.Time
	pieces   []int
}

func (s *stuckCaller) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *stuckCaller) Write(b []byte) (int, error) {
	s.pieces = append(s.pieces, len(b))
	if s.takes -= len(b); s.takes >= 0 {
		return len(b), nil
	}
	if s.deadline.IsZero() {
		return 0, errors.New("waits without a deadline")
	}
	return 0, os.ErrDeadlineExceeded
}

// A caller that doesn't read must not keep the memory of its answer for ever.
func TestHeldAnswerIsWrittenWithADeadline(t *testing.T) {
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprint("complete ", complete), func(t *testing.T) {
			now := time.Unix(1000, 0)
			caller := &stuckCaller{ResponseWriter: httptest.NewRecorder(), takes: 300 << 10}
			d := &delivery{writer: caller, controller: http.NewResponseController(caller), codec: noHeaders{}, clock: func() time.Time { return now }, leaving: func() (shutdown.Plan, bool) { return shutdown.Plan{}, false }}
			h := newHeldAnswer(&heldMemory{limit: 2 << 20})
			defer h.release()
			_, err := h.fill(strings.NewReader(strings.Repeat("x", 1<<20)), 2<<20)
			require.NoError(t, err)
			require.ErrorIs(t, d.passHeld(&Answer{Status: http.StatusOK}, h, complete), os.ErrDeadlineExceeded)
			assert.Equal(t, now.Add(writeTimeout), caller.deadline)
			assert.LessOrEqual(t, slices.Max(caller.pieces), 64<<10, "a slow caller has the time for each piece")
		})
	}
}

// noHeaders is a Codec that passes no header fields on.
type noHeaders struct{ Codec }

func (noHeaders) Pass(_, _ http.Header) {}
