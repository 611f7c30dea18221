package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
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
	source := operationsSource(t)
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

// TestOperationsPageNamesTheCausesOfRefusals checks that the page has the lines and errors by which
// each cause outside a request is found, as they are in the source.
func TestOperationsPageNamesTheCausesOfRefusals(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	require.NoError(t, err)
	source := operationsSource(t)
	rows := regexp.MustCompile(`(?m)^\| ([^|]+) \| ([^|]+) \| ([^|]+) \|$`).FindAllStringSubmatch(section(string(page), "### What an endpoint or the store has asked for"), -1)
	tests := []struct{ cause, line, err string }{
		{"the store came back from an older copy", `step="store restored"`, "no endpoint can take the request"},
		{"the store came back from an older copy", `now="not back"`, "not the holder of the order lease"},
		{"the store came back from an older copy", "record=false", "not the holder of the order lease"},
		{"the endpoint leaves", "now=leaving", "no endpoint can take the request"},
		{"the endpoint has asked to be spared", "step=spare", "it has asked to be spared"},
		{"the endpoint has asked to be spared", "step=spare", "refused by the endpoint, status "},
		{"the endpoint has named a limit", "step=limit", "its limit leaves no room"},
		{"the endpoint has named a limit", "limited=true", "the wait there is"},
	}
	for _, tt := range tests {
		t.Run(tt.line+" "+tt.err, func(t *testing.T) {
			found := slices.IndexFunc(rows, func(row []string) bool { return row[1] == tt.cause })
			require.GreaterOrEqual(t, found, 0, "no row for %s", tt.cause)
			assert.Contains(t, rows[found][2], tt.line)
			assert.Contains(t, rows[found][3], tt.err)
			assert.Contains(t, source, tt.err)
			name, value, _ := strings.Cut(strings.ReplaceAll(tt.line, `"`, ""), "=")
			assert.Contains(t, source, `"`+name+`", `)
			if value != "true" && value != "false" {
				assert.Contains(t, source, `"`+value+`"`)
			}
		})
	}
}

// operationsSource returns the source of the packages that write the lines of the page.
func operationsSource(t *testing.T) string {
	t.Helper()
	source := ""
	for _, dir := range []string{"gateway", "direct", "ingress", "loader", "daemon", "telemetry"} {
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
	return source
}

// section returns the text below a heading, up to the next second-level heading.
func section(page, heading string) string {
	_, rest, _ := strings.Cut(page, heading)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}
