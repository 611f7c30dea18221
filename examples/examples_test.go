// Package examples holds example documents and settings, and tests that check that
// they are valid.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

func TestDocumentSizes(t *testing.T) {
	tests := []struct {
		file        string
		models      int
		adapters    int
		services    map[string]int // number of models by endpoint service
		notRepeated string         // plain service whose calls must not be repeated
	}{
		{"guaiba.ini", 34, 100, map[string]int{"matcher": 28, "board-app": 6}, "handover"},
		{"gopherline.ini", 21, 80, map[string]int{"run-designer": 17, "shop-api": 4}, "orders"},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			text, err := os.ReadFile(tt.file)
			require.NoError(t, err)
			d, err := profile.Parse(tt.file, text)
			require.NoError(t, err)
			adapters, services := 0, map[string]int{}
			for _, m := range d.Models() {
				adapters += len(m.Adapters)
				services[m.Service]++
			}
			assert.Len(t, d.Models(), tt.models)
			assert.Equal(t, tt.adapters, adapters)
			assert.Equal(t, tt.services, services)
			service, found := d.Service(tt.notRepeated)
			assert.True(t, found)
			assert.False(t, service.Repeat)
			assertRanks(t, d)
			assertReachable(t, d)
		})
	}
}

func assertRanks(t *testing.T, d profile.Document) {
	t.Helper()
	ranks := map[profile.Rank]bool{}
	for _, p := range d.Profiles() {
		ranks[p.Rank] = true
	}
	assert.Len(t, ranks, 3)
}

func assertReachable(t *testing.T, d profile.Document) {
	t.Helper()
	for _, m := range d.Models() {
		used := false
		for _, p := range d.Profiles() {
			used = used || p.MayUse(m.Name)
		}
		assert.True(t, used, "no profile may use %s", m.Name)
	}
}

func TestSettings(t *testing.T) {
	tests := []struct {
		dir       string
		instances []string
		centres   int
		regions   int
		rate      float64
		slots     int
		endpoints []string
	}{
		{"guaiba", []string{"litoral-1a", "litoral-2a", "serra-1a"}, 3, 2, 2, 8, []string{"matcher", "board-app", "handover", "catalog"}},
		{"gopherline", []string{"manitoba-1a", "sask-1a", "sask-2a"}, 3, 2, 1.5, 7, []string{"run-designer", "shop-api", "orders", "stock"}},
	}
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("0123456789abcdef\n"), 0o600))
	for _, tt := range tests {
		t.Run(tt.dir, func(t *testing.T) {
			var names []string
			centres, regions := map[string]bool{}, map[string]bool{}
			for _, c := range loadAll(t, tt.dir, token) {
				names = append(names, c.Instance.Name)
				centres[c.Instance.Datacentre], regions[c.Instance.Region] = true, true
				assert.Equal(t, config.Weights{Rate: tt.rate, Slots: tt.slots}, c.Weights)
				assert.Equal(t, tt.endpoints, c.Platform.Endpoints)
			}
			assert.Equal(t, tt.instances, names)
			assert.Len(t, centres, tt.centres)
			assert.Len(t, regions, tt.regions)
		})
	}
}

// loadAll parses all settings files in a directory, with the path of the token file
// replaced by one that exists.
func loadAll(t *testing.T, dir, token string) []config.Config {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	require.NoError(t, err)
	var all []config.Config
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		local := strings.Replace(string(text), "/run/chiveramp/token", token, 1)
		c, err := config.Parse(path, []byte(local))
		require.NoError(t, err)
		all = append(all, c)
	}
	return all
}
