package reload

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var errBroken = errors.New("broken")

// What can't be read leaves the last good value in use, and is told until it is mended.
func TestValueFollowsItsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "word")
	load := func() (string, error) {
		text, err := os.ReadFile(path)
		if err == nil && string(text) == "broken" {
			err = errBroken
		}
		return string(text), err
	}
	_, err := New([]string{path}, load)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(path, []byte("one"), 0o600))
	v, err := New([]string{path}, load)
	require.NoError(t, err)
	steps := []struct {
		name    string
		write   string // removed when empty
		changed bool
		fails   error
		want    string
	}{
		{name: "same", write: "one", want: "one"},
		{name: "another", write: "two", changed: true, want: "two"},
		{name: "broken", write: "broken", fails: errBroken, want: "two"},
		{name: "still broken", write: "broken", fails: errBroken, want: "two"},
		{name: "gone", fails: os.ErrNotExist, want: "two"},
		{name: "broken again", write: "broken", fails: errBroken, want: "two"},
		{name: "mended", write: "three", changed: true, want: "three"},
		{name: "gone and back", fails: os.ErrNotExist, want: "three"},
		{name: "back", write: "three", want: "three"},
	}
	for _, s := range steps {
		if s.write == "" {
			require.NoError(t, os.Remove(path))
		} else {
			require.NoError(t, os.WriteFile(path, []byte(s.write), 0o600))
		}
		changed, err := v.Check()
		require.Equal(t, s.changed, changed, s.name)
		require.ErrorIs(t, err, s.fails, s.name)
		require.ErrorIs(t, v.Err(), s.fails, s.name)
		require.Equal(t, s.want, v.Get(), s.name)
	}
}
