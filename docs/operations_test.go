package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOperationsPageMatchesSource checks that the log lines, fields and metrics named in
// OPERATIONS.md occur in the source.
func TestOperationsPageMatchesSource(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	require.NoError(t, err)
	source := ""
	for _, dir := range []string{"gateway", "direct", "loader", "daemon", "telemetry"} {
		files, err := filepath.Glob("../internal/" + dir + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			source += string(text)
		}
	}
	steps := regexp.MustCompile(`step=("[^"]+"|[a-z]+)`).FindAllStringSubmatch(string(page), -1)
	table := regexp.MustCompile("(?m)^\\| (`[a-z ]+`(?:, `[a-z ]+`)*) \\|").FindAllStringSubmatch(section(string(page), "## What else is written"), -1)
	for _, row := range table {
		for name := range strings.SplitSeq(row[1], ", ") {
			if name = strings.Trim(name, "`"); name != "step" { // the table header
				steps = append(steps, []string{"", name})
			}
		}
	}
	require.Greater(t, len(steps), 20)
	for _, m := range steps {
		name := strings.Trim(m[1], `"`)
		assert.True(t, strings.Contains(source, `"step", "`+name+`"`) || strings.Contains(source, "step="+name), "no log line has step %q", name)
	}
	for _, m := range regexp.MustCompile("(?m)^\\| (`[^|]+`) \\|").FindAllStringSubmatch(section(string(page), "## From a request"), -1) {
		for name := range strings.SplitSeq(m[1], ", ") {
			assert.Contains(t, source, `"`+strings.Trim(name, "`")+`", `, "no log field %s", name)
		}
	}
	for _, name := range []string{"requests", "repeats", "first", "whole"} {
		assert.Contains(t, string(page), "`"+name+"`")
		assert.Contains(t, source, `"`+name+`"+labels`)
	}
}

// section returns the text below a heading, up to the next second-level heading.
func section(page, heading string) string {
	_, rest, _ := strings.Cut(page, heading)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}
