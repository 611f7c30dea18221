package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const fuzzLimit = 64 // bytes

// FuzzReader reads a stream to its end, at once and byte by byte. Both must give the same
// events, none over the limit, and the same error: an early end or an event too large.
func FuzzReader(f *testing.F) {
	for _, text := range []string{
		"data: a\n\n", "id: 1\nevent: x\ndata: a\ndata: b\n\n", "data:\n\n", "data\r\n\r\n", ": note\n\ndata: x",
		"id: 1\n\ndata: y\n\n", "data: " + strings.Repeat("x", fuzzLimit+1) + "\n\n", "\xff\x00\n\n", "data: a\rdata: b\n\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		events, err := readAll(NewReader(bytes.NewReader(raw), fuzzLimit))
		slowEvents, slowErr := readAll(NewReader(iotest.OneByteReader(bytes.NewReader(raw)), fuzzLimit))
		require.Equal(t, events, slowEvents)
		require.Equal(t, err, slowErr)
		require.True(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrTooLarge), "%v", err)
		for _, e := range events {
			require.LessOrEqual(t, len(e.Data), fuzzLimit)
		}
	})
}

func readAll(r *Reader) ([]Event, error) {
	defer r.Release()
	var all []Event
	for {
		e, err := r.Next()
		if err != nil {
			return all, err
		}
		all = append(all, Event{ID: bytes.Clone(e.ID), Name: bytes.Clone(e.Name), Data: e.Data})
	}
}
