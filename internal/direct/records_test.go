package direct

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/pkg/config"
)

// Records in the store that earlier landings wrote are read as what they were, and an instance that
// is upgraded finds its own name in them.
func TestRecordsOfEarlierLandings(t *testing.T) {
	files, err := filepath.Glob("testdata/records/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	c := config.DefaultGateway()
	c.Instance.Name, c.Listen.Peer = "one", "10.1.0.1:1"
	self := newOrderLease(nil, nil, c, log.NewNopLogger()).name
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			key, value, _ := strings.Cut(strings.TrimSpace(line), "\t")
			t.Run(filepath.Base(file)+" "+key+" "+value, func(t *testing.T) {
				checkRecord(t, self, key, value)
			})
		}
	}
}

func checkRecord(t *testing.T, self, key, value string) {
	t.Helper()
	switch key {
	case instancePrefix + "one":
		checkEncoding(t, value, &registration{Address: "10.1.0.1:1", Caller: "10.1.0.1:2"})
	case holderKey:
		assert.Equal(t, value, self)
	case lastHolderKey:
		const era, otherEra = 2, 3
		switch {
		case value == "*":
			assert.Equal(t, value, tenure.HolderRecord(false, self))
			assert.False(t, tenure.NoOtherHolder(value, self))
		case strings.HasSuffix(value, " 2"):
			assert.Equal(t, value, tenure.InEra(self, era))
			assert.True(t, tenure.RecordHolds(value, era, false))
			assert.False(t, tenure.RecordHolds(value, otherEra, false))
		default:
			assert.Equal(t, value, tenure.HolderRecord(true, tenure.InEra(self, 0)))
			assert.True(t, tenure.NoOtherHolder(value, self))
		}
	case streamKey("r1"):
		checkEncoding(t, value, &streamRecord{Service: "board", Software: "v1"})
	case servingKey("board"):
		checkEncoding(t, value, &servingRecord{Versions: []fleet.Software{"v1", "v2"}})
	case servingKey("other"):
		checkEncoding(t, value, &servingRecord{Versions: []fleet.Software{"v1"}, Era: 2})
	case verdictPrefix + "00000000000000ff":
		checkEncoding(t, value, &verdictRecord{Key: "request 1", Crashes: 3, Reviews: 1, FailedMs: 1_700_000_000_000})
	default:
		assert.Fail(t, "the record is no longer read", key)
	}
}

// checkEncoding checks that a record is read as a value, and that the value is written so that an
// earlier build reads it.
func checkEncoding[T any](t *testing.T, text string, value *T) {
	t.Helper()
	read := new(T)
	require.NoError(t, json.Unmarshal([]byte(text), read))
	assert.Equal(t, value, read)
	written, err := json.Marshal(value)
	require.NoError(t, err)
	var earlier, now map[string]any
	require.NoError(t, json.Unmarshal([]byte(text), &earlier))
	require.NoError(t, json.Unmarshal(written, &now))
	assert.Subset(t, now, earlier)
}
