package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadUsage(t *testing.T) {
	proc := t.TempDir()
	processDir := filepath.Join(proc, "42")
	require.NoError(t, os.Mkdir(processDir, 0o700))
	files := map[string]string{
		"status": "Name:\tchiverampd\nVmPeak:\t  900 kB\nVmRSS:\t   31000 kB\nThreads:\t12\n",
		"io":     "rchar: 5000\nwchar: 700\nsyscr: 3\nread_bytes: 0\n",
		"stat":   "42 (a (b) c) S 1 42 42 0 -1 0 9 0 0 0 130 20 0 0 20 0 12 0 99\n",
	}
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(processDir, name), []byte(text), 0o600))
	}
	usage, err := ReadUsage(proc, 42)
	require.NoError(t, err)
	assert.Equal(t, Usage{ResidentBytes: 31000 << 10, CPUTime: 1500 * time.Millisecond, ReadBytes: 5000, WrittenBytes: 700}, usage)

	_, err = ReadUsage(proc, 43)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(filepath.Join(processDir, "stat"), []byte("42 (a) S 1"), 0o600))
	_, err = ReadUsage(proc, 42)
	require.ErrorContains(t, err, "too few fields")
}

func TestObjectiveIsMetUpToItsMaximum(t *testing.T) {
	var out strings.Builder
	WriteObjectives(&out, Objective{Name: "a", Measured: 1, Max: 1, Unit: "ms"}, Objective{Name: "b", Measured: 1.001, Max: 1, Unit: "ms"},
		Objective{Name: "c", Measured: -1, Max: 1, Unit: "ms", Inconclusive: true})
	lines := strings.Split(out.String(), "\n")
	assert.Contains(t, lines[0], "met: yes")
	assert.Contains(t, lines[1], "met: no")
	assert.Contains(t, lines[2], "met: ?")
}
