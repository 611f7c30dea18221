package command

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/operator"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	token         = "0123456789abcdef"
	firstDocument = "[profile \"chat\"]\nclass = chat\nrank = urgent\nfirst = 300ms\nservices = stock\n\n[service \"stock\"]\nrepeat = yes\n"
)

var secondDocument = strings.Replace(firstDocument, "300ms", "250ms", 1)

// step is a command and an optional change to the system before it runs.
type step struct {
	before  func(f *fakeBackend, dir string)
	command string
}

func setRevisionThree(f *fakeBackend, _ string) {
	f.document = operator.Document{Revision: 3, Author: "ana", Applied: startTime, Text: firstDocument}
}

func TestSessions(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
	}{
		{"apply", []step{
			{nil, "get"},
			{nil, "diff first.ini"},
			{nil, "apply first.ini"},
			{nil, "get"},
			{nil, "apply first.ini"},
			{func(f *fakeBackend, _ string) { f.behindCalls["serra-1a"] = 3 }, "apply second.ini"},
			{func(f *fakeBackend, _ string) { f.lost["serra-1a"] = true }, "apply first.ini"},
			{nil, "get -o json"},
		}},
		{"behind", []step{
			{func(f *fakeBackend, _ string) { f.behindCalls["litoral-2a"] = 1000 }, "apply first.ini"},
			{nil, "-o json apply --wait 1s second.ini"},
		}},
		{"conflict", []step{
			{setRevisionThree, "apply --expect 2 second.ini"},
			{nil, "diff second.ini"},
			{nil, "diff -o json second.ini"},
			{nil, "apply second.ini"},
			{nil, "diff second.ini"},
		}},
		{"edit", []step{
			{setRevisionThree, "edit --begin work.ini"},
			{nil, "edit --begin work.ini"},
			{replaceInWorkFile("300ms", "200ms"), "edit --commit work.ini"},
			{replaceInWorkFile("200ms", "100ms"), "edit --commit work.ini"},
			{replaceInWorkFile("# chiveramp", "#"), "edit --commit work.ini"},
			{nil, "edit"},
		}},
		{"refused", []step{
			{func(f *fakeBackend, _ string) { f.applyErr = fmt.Errorf("write: %w", operator.ErrUnavailable) }, "apply first.ini"},
			{func(f *fakeBackend, _ string) { f.applyErr = fmt.Errorf("read back: %w", operator.ErrUncertain) }, "apply first.ini"},
			{func(f *fakeBackend, _ string) { f.applyDespiteErr = true }, "apply first.ini"},
			{nil, "--token wrong get"},
			{nil, "--address 127.0.0.1:1 get"},
		}},
		{"late answer", []step{
			{setLostEndpoint, "status"},
			{nil, "profiles"},
			{nil, "explain r-17"},
			{nil, "explain r-18"},
			{nil, "-o json explain r-17"},
			{nil, "drain litoral-2a"},
			{nil, "-o json drain litoral-2a"},
			{nil, "drain serra-1a"},
			{nil, "--address 127.0.0.1:1 drain litoral-2a"},
			{nil, "--address 127.0.0.1:1,ADDRESS drain litoral-2a"},
		}},
		{"check", []step{
			{nil, "check first.ini"},
			{nil, "-o json check first.ini"},
			{nil, "check bad.ini"},
			{nil, "check none.ini"},
			{nil, "check --settings first.ini"},
			{nil, "check"},
			{nil, "apply bad.ini"},
		}},
		{"usage", []step{
			{nil, "aply first.ini"},
			{nil, "status now"},
			{nil, "status --fast"},
			{nil, "explain"},
			{nil, "-o yaml status"},
			{nil, "help"},
			{nil, "help edit"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := runSession(t, tt.steps)
			path := filepath.Join(packageDir, "testdata", strings.ReplaceAll(tt.name, " ", "-")+".golden")
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, string(want), got)
		})
	}
}

// packageDir is the package's directory. It is read at the start, since each session
// changes to a temporary directory.
var packageDir, _ = os.Getwd()

func runSession(t *testing.T, steps []step) string {
	t.Helper()
	dir := t.TempDir()
	t.Chdir(dir)
	t.Setenv("USER", "bo")
	for name, text := range map[string]string{"first.ini": firstDocument, "second.ini": secondDocument, "bad.ini": strings.Replace(firstDocument, "urgent", "now", 1)} {
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	f := newFakeBackend()
	server := httptest.NewServer(operator.NewServer(f, operator.WithToken(token)))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	t.Setenv("CHIVERAMP_ADDRESS", address)
	t.Setenv("CHIVERAMP_TOKEN", token)
	var session strings.Builder
	for _, s := range steps {
		if s.before != nil {
			s.before(f, dir)
		}
		session.WriteString(runCommand(strings.ReplaceAll(s.command, "ADDRESS", address)))
	}
	return strings.ReplaceAll(session.String(), address, "ADDRESS")
}

// runCommand runs a command and returns a transcript: the command, its output, its error
// output marked with "!", and its exit code.
func runCommand(command string) string {
	var out, errOut bytes.Buffer
	now := startTime
	pause := func(_ context.Context, wait time.Duration) error {
		now = now.Add(wait)
		return nil
	}
	code := Run(context.Background(), append([]string{"chiveramp"}, strings.Fields(command)...),
		WithStreams(strings.NewReader(""), &out, &errOut),
		WithClock(func() time.Time { return now }, pause))
	text := "$ chiveramp " + command + "\n" + out.String()
	for l := range strings.Lines(errOut.String()) {
		text += "! " + l
	}
	return fmt.Sprintf("%sexit %d\n\n", text, code)
}

// replaceInWorkFile returns a step's change that edits the file written by edit --begin.
func replaceInWorkFile(from, to string) func(*fakeBackend, string) {
	return func(_ *fakeBackend, dir string) {
		path := filepath.Join(dir, "work.ini")
		text, err := os.ReadFile(path)
		if err != nil {
			panic(err)
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600); err != nil {
			panic(err)
		}
	}
}

// setLostEndpoint sets up a system in which a request was refused because the only endpoint
// with its model is lost.
func setLostEndpoint(f *fakeBackend, dir string) {
	setRevisionThree(f, dir)
	f.degraded = []operator.Degradation{
		{Part: "endpoint matcher-02", Why: "no answer to 3 health checks", Since: startTime},
		{Part: "model matcher-b", Why: "0 of 1 copies: matcher-02 was the only one", Since: startTime},
	}
	f.reports = []operator.ProfileReport{
		{Profile: "night", Rank: "bulk", Window: 300_000, Requests: 10, Met: 10},
		{Profile: "match", Rank: "urgent", Window: 300_000, Requests: 200, Met: 150, Refused: 40, Failed: 10, Target: 2000, TimeToFirstToken: 3100, Why: "no copy of matcher-b"},
		{Profile: "chat", Rank: "urgent", Window: 300_000, Requests: 1000, Met: 998, Refused: 2, Target: 300, TimeToFirstToken: 240, Why: "queue full"},
	}
	f.explanations["r-17"] = operator.Explanation{Request: "r-17", Profile: "match", Model: "matcher-b", Outcome: "not-run", Steps: []operator.Step{
		{Time: startTime, Instance: "litoral-1a", Step: "admit", Decision: "accepted", Why: "12 of 2048 streams"},
		{Time: startTime.Add(350 * time.Microsecond), Instance: "litoral-1a", Step: "route", Peer: "matcher-02", Decision: "skipped", Why: "lost since 08:00:00"},
		{Time: startTime.Add(400 * time.Microsecond), Instance: "litoral-1a", Step: "answer", Decision: "refused", Why: "no copy of matcher-b, back in 40s"},
	}}
}
