// Package docs holds the documentation, and tests that compare it with the code.
package docs

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

func TestPagesListEveryKey(t *testing.T) {
	tests := []struct {
		page    string
		keys    []config.Key
		heading string // format of a section heading; takes the section name
	}{
		{"settings.md", config.Keys(), "## [%s]"},
		{"gateway-settings.md", config.GatewayKeys(), "## [%s]"},
		{"operators/profiles.md", profile.Keys(), "## [%s \"NAME\"]"},
	}
	for _, tt := range tests {
		t.Run(tt.page, func(t *testing.T) {
			sections := tableRows(t, tt.page)
			documented := map[string]map[string]bool{}
			for _, k := range tt.keys {
				heading := fmt.Sprintf(tt.heading, k.Section)
				if documented[heading] == nil {
					documented[heading] = map[string]bool{}
				}
				documented[heading][k.Name] = true
				assert.Equal(t, [2]string{defaultText(k), k.Want}, sections[heading][k.Name], "%s %s", heading, k.Name)
			}
			for heading, keys := range sections {
				for name := range keys {
					assert.True(t, documented[heading][name], "%s %s is documented, but not in the code", heading, name)
				}
			}
		})
	}
}

// defaultText returns the expected text in the column of defaults.
func defaultText(k config.Key) string {
	switch {
	case k.Required:
		return "needed"
	case k.Default == "":
		return "none"
	default:
		return k.Default
	}
}

// tableRows returns the default and the allowed values of each key on a page, by
// section heading and key.
func tableRows(t *testing.T, page string) map[string]map[string][2]string {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	sections := map[string]map[string][2]string{}
	heading := ""
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "## ") {
			heading = line
			sections[heading] = map[string][2]string{}
		}
		cells := strings.Split(line, " | ")
		if len(cells) != 4 || !strings.HasPrefix(line, "| `") {
			continue
		}
		sections[heading][strings.Trim(cells[0], "| `")] = [2]string{strings.Trim(cells[1], "`"), cells[2]}
	}
	return sections
}

var codePattern = regexp.MustCompile(`(?m)^\tCode\w+ +(?:Code +)?= "([a-z-]+)"`)

func TestErrorsPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("operators/errors.md")
	require.NoError(t, err)
	for _, dir := range []string{"caller", "dispatch", "operator"} {
		files, err := filepath.Glob("../internal/" + dir + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range codePattern.FindAllStringSubmatch(string(text), -1) {
				assert.Contains(t, string(page), "| `"+m[1]+"` |", "%s", file)
			}
		}
	}
}

var linkPattern = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

func TestLinksResolve(t *testing.T) {
	pages := []string{"../README.md"}
	require.NoError(t, filepath.WalkDir(".", func(path string, _ os.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return err
	}))
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			assert.NoError(t, err, "%s links to %s", page, m[1])
		}
	}
}
