package command

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/explore/models"
)

func TestListPrintsEveryModel(t *testing.T) {
	code, text, _ := execute(t, "list")
	require.Zero(t, code)
	for _, m := range models.All() {
		require.Contains(t, text, m.Name+": "+m.Promise)
	}
	_, text, _ = execute(t, "list", "--output", "json")
	var rows []modelRow
	require.NoError(t, json.Unmarshal([]byte(text), &rows))
	require.Len(t, rows, len(models.All()))
}
