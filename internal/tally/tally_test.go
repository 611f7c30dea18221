package tally_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/tally"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// line is the log line of a request that arrived some milliseconds after start.
func line(arrivedMs int, model, endpoint string, status, firstMs, wholeMs int, err string) string {
	ended := start.Add(time.Duration(arrivedMs+wholeMs) * time.Millisecond)
	return fmt.Sprintf("  1.25 front-a-1 time=%s instance=front-a-1 step=end route=r model=%s status=%d endpoint=%s tries=2 sent=1 first=%dms whole=%dms workspace=w err=%q id=1",
		ended.Format(time.RFC3339Nano), model, status, endpoint, firstMs, wholeMs, err)
}

func count(t *testing.T, lines ...string) *tally.Report {
	t.Helper()
	requests, err := tally.Read(strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	return tally.Count(requests)
}

func TestRead(t *testing.T) {
	requests, err := tally.Read(strings.NewReader("something else\n" + line(700, "m", "e", 200, 20, 90, "") + "\nstep=start\n" + line(100, "", "f", 503, 0, 5, "too much work is queued")))
	require.NoError(t, err)
	require.Len(t, requests, 2)
	assert.Equal(t, start.Add(100*time.Millisecond), requests[0].Arrived())
	assert.Equal(t, "too much work is queued", requests[0].Reason())
	assert.True(t, requests[0].Refused())
	assert.Equal(t, tally.Request{
		Ended: start.Add(790 * time.Millisecond), Instance: "front-a-1", Route: "r", Model: "m", Workspace: "w", Endpoint: "e", Status: 200, Tries: 2, Sent: 1,
		First: 20 * time.Millisecond, Whole: 90 * time.Millisecond,
	}, requests[1])
	_, err = tally.Read(strings.NewReader("x\ntime=2026-12-04T00:00:00Z step=end status=many"))
	assert.ErrorContains(t, err, "line 2: field status")
}

// A refusal counts as beside an idle copy only if an endpoint that had the model then has at most one
// prompt waiting.
func TestRefusalsBesideIdleCopies(t *testing.T) {
	served := func(at int) string { return line(at, "m", "e", 200, 10, 10, "") }
	refused := func(at int) string { return line(at, "m", "", 503, 0, 0, "too much work is queued") }
	tests := []struct {
		name  string
		lines []string
		want  int
	}{
		{name: "idle", lines: []string{served(0), refused(500), served(1000)}, want: 1},
		{name: "one prompt waits", lines: []string{served(0), line(400, "m", "e", 200, 200, 300, ""), refused(500), served(1000)}, want: 1},
		{name: "two prompts wait", lines: []string{served(0), line(400, "m", "e", 200, 200, 300, ""), line(450, "other", "e", 200, 200, 300, ""), refused(500), served(1000)}},
		{name: "not served again", lines: []string{served(0), refused(500), served(9000)}},
		{name: "not served before", lines: []string{refused(500), served(1000)}},
		{name: "another model", lines: []string{line(0, "other", "e", 200, 10, 10, ""), refused(500), line(1000, "other", "e", 200, 10, 10, "")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.want, count(t, tt.lines...).All.RefusedBesideIdle)
		})
	}
}

func TestSpread(t *testing.T) {
	lines := []string{line(0, "m", "idle", 200, 1, 1, "")}
	for range 4 {
		lines = append(lines, line(100, "m", "crowded", 200, 300, 400, ""))
	}
	spreads := count(t, lines...).Spreads
	require.Len(t, spreads, 1)
	assert.Equal(t, tally.Spread{Crowded: 3, Idle: 0.5, Fullest: 4}, spreads[0])
}

func TestPrint(t *testing.T) {
	var out strings.Builder
	require.NoError(t, count(t, line(0, "m", "e", 200, 10, 20, ""), line(0, "m", "e", 200, 30, 40, ""), line(1500, "m", "e", 503, 0, 1, "endpoint e: too much work is queued: the wait there is 3s")).Print(&out))
	for _, want := range []string{"all         3       2        1", "the wait there is         1", "10ms"} {
		assert.Contains(t, out.String(), want)
	}
	out.Reset()
	require.NoError(t, tally.Count(nil).Print(&out))
}
