// Package coretest replays golden session files: scripts of timed events that are passed
// to a core package, with the decisions that it returns. Time is virtual.
//
// A session file has a line for each event, "+<offset> <verb> <field>...", followed by
// one indented line for each decision. Lines that start with # are comments.
package coretest

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden session files with the actual decisions")

// Start is the virtual time at which every session begins.
var Start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Event is one event line of a session.
type Event struct {
	Verb   string
	Fields []string
}

// Field returns a field by position, empty when it is missing.
func (e Event) Field(i int) string {
	if i >= len(e.Fields) {
		return ""
	}
	return e.Fields[i]
}

// Handler passes one event to the code under test and returns its decisions.
type Handler func(now time.Time, e Event) []string

// Run replays every session in testdata that matches the pattern, each with a new
// handler, and compares the decisions with those in the file.
func Run(t *testing.T, pattern string, newHandler func() Handler) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", pattern))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			got, err := Replay(want, newHandler())
			require.NoError(t, err)
			if *update {
				require.NoError(t, os.WriteFile(file, got, 0o600))
				return
			}
			require.Equal(t, string(want), string(got))
		})
	}
}

// Replay returns the session with its decisions replaced by those of the handler.
func Replay(session []byte, handle Handler) ([]byte, error) {
	var out bytes.Buffer
	lines := bufio.NewScanner(bytes.NewReader(session))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "  ") {
			continue
		}
		fmt.Fprintln(&out, line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := step(&out, line, handle); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), lines.Err()
}

func step(out *bytes.Buffer, line string, handle Handler) error {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return fmt.Errorf("session line %q: want an offset and a verb", line)
	}
	offset, err := time.ParseDuration(strings.TrimPrefix(fields[0], "+"))
	if err != nil {
		return fmt.Errorf("session line %q: %w", line, err)
	}
	for _, decision := range handle(Start.Add(offset), Event{Verb: fields[1], Fields: fields[2:]}) {
		fmt.Fprintln(out, "  "+decision)
	}
	return nil
}
