package delta

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRestore(t *testing.T) {
	old := bytes.Repeat([]byte("route a; "), 1000)
	changed := append(bytes.Clone(old), "route b"...)
	for _, c := range []struct {
		name       string
		text, base []byte
	}{
		{"without a base", changed, nil},
		{"against a base", changed, old},
		{"the same text", old, old},
		{"no text", nil, old},
	} {
		t.Run(c.name, func(t *testing.T) {
			compressed, err := Compress(c.text, c.base)
			require.NoError(t, err)
			text, err := Restore(compressed, c.base, 1<<20)
			require.NoError(t, err)
			assert.Equal(t, string(c.text), string(text))
		})
	}
}

func TestRestoreRefusesTooLargeText(t *testing.T) {
	compressed, err := Compress(make([]byte, 1<<20), nil)
	require.NoError(t, err)
	_, err = Restore(compressed, nil, 1<<16)
	assert.Error(t, err)
}
