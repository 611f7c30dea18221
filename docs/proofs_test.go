package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProofsNameTestsThatExist checks that every test named in proofs.md exists.
func TestProofsNameTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("proofs.md")
	require.NoError(t, err)
	defined := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, found := range declaration.FindAllSubmatch(source, -1) {
			defined[string(found[1])] = true
		}
		return err
	})
	require.NoError(t, err)
	named := regexp.MustCompile("`(Test\\w+)`").FindAllSubmatch(page, -1)
	require.NotEmpty(t, named)
	for _, found := range named {
		require.True(t, defined[string(found[1])], "no test %s", found[1])
	}
}
