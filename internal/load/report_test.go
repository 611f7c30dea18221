package load

import (
	"bytes"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/pkg/client"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

var updateGolden = flag.Bool("update", false, "write the golden files")

const reportDocument = `
[profile "chat"]
class = chat
rank = urgent
first = 100ms
deadline = 10s
models = a

[profile "night"]
class = match
rank = bulk
deadline = 30m
models = a

[model "a"]
bytes = 1GiB
service = s
`

func assertGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got))
}

// sampleFixture returns 400 samples over 10 s, with higher latency after 5 s.
func sampleFixture() []Sample {
	random := rand.New(rand.NewPCG(1, 2))
	var samples []Sample
	for i := range 400 {
		s := Sample{
			Stage: "steady", Profile: "chat", Rank: profile.RankUrgent, Due: time.Duration(i) * 25 * time.Millisecond,
			FirstToken: time.Duration(20+random.IntN(60)) * time.Millisecond, Complete: true, Outcome: client.OutcomeRan,
		}
		if i%4 == 0 {
			s.Stage, s.Profile, s.Rank = "flood", "night", profile.RankBulk
			s.FirstToken *= 4
		}
		if s.Due > 5*time.Second {
			s.FirstToken += 30 * time.Millisecond
		}
		switch {
		case i%50 == 7:
			s.Complete, s.FirstToken, s.Code, s.Outcome = false, 0, "overload", client.OutcomeNotRun
		case i%100 == 13:
			s.Complete, s.FirstToken, s.Code, s.Outcome = false, 0, "cut", client.OutcomeUnknown
		case i%100 == 20:
			s.Complete, s.FirstToken, s.Code, s.Outcome = false, 0, CodeDropped, client.OutcomeNotRun
		}
		samples = append(samples, s)
	}
	return samples
}

func TestReport(t *testing.T) {
	document, err := profile.Parse("document", []byte(reportDocument))
	require.NoError(t, err)
	var table, picture bytes.Buffer
	WriteReport(&table, sampleFixture(), document)
	assertGolden(t, "report.golden", table.Bytes())
	require.NoError(t, WritePlot(&picture, sampleFixture(), time.Second))
	assertGolden(t, "report.svg", picture.Bytes())
}

func TestReportWithoutSamples(t *testing.T) {
	var table, picture bytes.Buffer
	WriteReport(&table, nil, profile.Document{})
	require.NoError(t, WritePlot(&picture, nil, time.Second))
	assert.NotContains(t, table.String(), "ERROR")
	assert.Contains(t, picture.String(), "</svg>")
}
