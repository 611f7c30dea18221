package reload

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var errBroken = errors.New("broken")

// A file that can't be loaded leaves the last valid value in use, and every check returns the
// error until the file is fixed.
func TestValueFollowsFileChanges(t *testing.T) {
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
		write   string // the file is removed if empty
		changed bool
		wantErr error
		want    string
	}{
		{name: "same", write: "one", want: "one"},
		{name: "another", write: "two", changed: true, want: "two"},
		{name: "broken", write: "broken", wantErr: errBroken, want: "two"},
		{name: "still broken", write: "broken", wantErr: errBroken, want: "two"},
		{name: "gone", wantErr: os.ErrNotExist, want: "two"},
		{name: "broken again", write: "broken", wantErr: errBroken, want: "two"},
		{name: "mended", write: "three", changed: true, want: "three"},
		{name: "gone and back", wantErr: os.ErrNotExist, want: "three"},
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
		require.ErrorIs(t, err, s.wantErr, s.name)
		require.ErrorIs(t, v.Err(), s.wantErr, s.name)
		require.Equal(t, s.want, v.Get(), s.name)
	}
}
