package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A body has taken the memory for its bytes before they are read, whether its length is known or not.
func TestBodiesShareTheirMemory(t *testing.T) {
	const memory, limit = 1 << 20, 4 << 20
	broken := errors.New("broken")
	tests := []struct {
		name    string
		size    int
		used    int64 // by others
		err     error // after the last byte, nil for the end
		wantErr error
	}{
		{name: "empty"},
		{name: "short, no memory left", size: freeHeldBytes / 4, used: memory},
		{name: "short, long ones have their part", size: 16 << 10, used: memory * 3 / 4},
		{name: "long", size: 200 << 10},
		{name: "long, long ones have their part", size: 200 << 10, used: memory * 3 / 4, wantErr: errNoBodyMemory},
		{name: "more than memory", size: limit, wantErr: errNoBodyMemory},
		{name: "broken off", size: 200 << 10, err: broken, wantErr: broken},
	}
	for _, tt := range tests {
		for _, known := range []bool{true, false} {
			name := tt.name + ", of unknown length"
			if known {
				name = tt.name
			}
			t.Run(name, func(t *testing.T) {
				text := bytes.Repeat([]byte("0123456789"), tt.size/10+1)[:tt.size]
				source := bytes.NewReader(text)
				body, length := io.Reader(source), int64(-1)
				if known {
					length = int64(tt.size)
				}
				if tt.err != nil {
					body = io.MultiReader(source, iotest.ErrReader(tt.err))
					if known {
						length++
					}
				}
				m := &heldMemory{limit: memory}
				m.used.Store(tt.used)
				taken := reservation{memory: m}
				got, err := readBody(body, length, limit, &taken)
				require.ErrorIs(t, err, tt.wantErr)
				if tt.wantErr == nil {
					assert.True(t, bytes.Equal(text, got))
					assert.GreaterOrEqual(t, taken.taken, int64(len(got))-freeHeldBytes)
				}
				if known && errors.Is(err, errNoBodyMemory) {
					assert.Equal(t, tt.size, source.Len(), "nothing is read")
				}
				assert.LessOrEqual(t, m.used.Load(), max(memory, tt.used))
				taken.release()
				assert.Equal(t, tt.used, m.used.Load())
			})
		}
	}
}

// A body of unknown length may be as long as the limit, and no longer.
func TestBodyOfUnknownLengthUpToTheLimit(t *testing.T) {
	const limit = 5000
	for _, size := range []int{limit - 1, limit, limit + 1} {
		taken := reservation{memory: &heldMemory{limit: 1 << 20}}
		got, err := readBody(http.MaxBytesReader(nil, io.NopCloser(strings.NewReader(strings.Repeat("x", size))), limit), -1, limit, &taken)
		if size <= limit {
			require.NoError(t, err)
			assert.Len(t, got, size)
			continue
		}
		var tooLarge *http.MaxBytesError
		require.ErrorAs(t, err, &tooLarge)
	}
}
