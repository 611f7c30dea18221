package stream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

func TestRetainedPiecesAreBoundedByBytesAndAge(t *testing.T) {
	a := New(WithRetention(100, time.Minute))
	a.Begin("a", "m")
	now := coretest.Start
	for offset := range uint64(1000) {
		now = now.Add(time.Second)
		a.Add(now, Piece{Attempt: "a", Offset: offset, Data: []byte("0123456789")})
		require.LessOrEqual(t, a.RetainedBytes(now), 100)
		require.LessOrEqual(t, cap(a.replay.pieces), initialCapacity)
	}
	pieces, err := a.Since(now, "a", 993)
	require.NoError(t, err)
	require.Len(t, pieces, 7)
	assert.Equal(t, Piece{Attempt: "a", Offset: 993, Data: []byte("0123456789")}, pieces[0])
	_, err = a.Since(now, "a", 980)
	require.ErrorIs(t, err, ErrNotRetained)

	now = now.Add(55 * time.Second)
	assert.Equal(t, 60, a.RetainedBytes(now))
	now = now.Add(time.Hour)
	assert.Zero(t, a.RetainedBytes(now))
	pieces, err = a.Since(now, "a", 1000)
	require.NoError(t, err)
	assert.Empty(t, pieces, "the caller has all of it")
}
