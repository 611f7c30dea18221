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
	token = "0123456789abcdef"
	first = "[profile \"chat\"]\nclass = chat\nrank = urgent\nfirst = 300ms\nservices = stock\n\n[service \"stock\"]\nrepeat = yes\n"
)

var second = strings.Replace(first, "300ms", "250ms", 1)

// step is one command, with a change of the system before it.
type step struct {
	before  func(f *fake, dir string)
	command string
}

func revisionThree(f *fake, _ string) {
	f.document = operator.Document{Revision: 3, Author: "ana", Applied: start, Text: first}
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
			{func(f *fake, _ string) { f.late["serra-1a"] = 3 }, "apply second.ini"},
			{func(f *fake, _ string) { f.lost["serra-1a"] = true }, "apply first.ini"},
			{nil, "get -o json"},
		}},
		{"behind", []step{
			{func(f *fake, _ string) { f.late["litoral-2a"] = 1000 }, "apply first.ini"},
			{nil, "-o json apply --wait 1s second.ini"},
		}},
		{"conflict", []step{
			{revisionThree, "apply --expect 2 second.ini"},
			{nil, "diff second.ini"},
			{nil, "diff -o json second.ini"},
			{nil, "apply second.ini"},
			{nil, "diff second.ini"},
		}},
		{"edit", []step{
			{revisionThree, "edit --begin work.ini"},
			{nil, "edit --begin work.ini"},
			{replace("300ms", "200ms"), "edit --commit work.ini"},
			{replace("200ms", "100ms"), "edit --commit work.ini"},
			{replace("# chiveramp", "#"), "edit --commit work.ini"},
			{nil, "edit"},
		}},
		{"refused", []step{
			{func(f *fake, _ string) { f.refusal = fmt.Errorf("write: %w", operator.ErrUnavailable) }, "apply first.ini"},
			{func(f *fake, _ string) { f.refusal = fmt.Errorf("read back: %w", operator.ErrUncertain) }, "apply first.ini"},
			{func(f *fake, _ string) { f.written = true }, "apply first.ini"},
			{nil, "--token wrong get"},
			{nil, "--address 127.0.0.1:1 get"},
		}},
		{"late answer", []step{
			{late, "status"},
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
			path := filepath.Join(sources, "testdata", strings.ReplaceAll(tt.name, " ", "-")+".golden")
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, string(want), got)
		})
	}
}

// sources is the package's directory; sessions run in one of their own.
var sources, _ = os.Getwd()

func runSession(t *testing.T, steps []step) string {
	t.Helper()
	dir := t.TempDir()
	t.Chdir(dir)
	t.Setenv("USER", "bo")
	for name, text := range map[string]string{"first.ini": first, "second.ini": second, "bad.ini": strings.Replace(first, "urgent", "now", 1)} {
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	}
	f := newFake()
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

// runCommand returns the command with what it printed, errors marked by "!", and its exit code.
func runCommand(command string) string {
	var out, errOut bytes.Buffer
	now := start
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

// replace edits the working file of an edit session.
func replace(from, to string) func(*fake, string) {
	return func(_ *fake, dir string) {
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

// late is a system in which one request was refused since an endpoint was lost.
func late(f *fake, dir string) {
	revisionThree(f, dir)
	f.degraded = []operator.Degradation{
		{Part: "endpoint matcher-02", Why: "no answer to 3 health checks", Since: start},
		{Part: "model matcher-b", Why: "0 of 1 copies: matcher-02 was the only one", Since: start},
	}
	f.reports = []operator.ProfileReport{
		{Profile: "night", Rank: "bulk", Window: 300_000, Requests: 10, Met: 10},
		{Profile: "match", Rank: "urgent", Window: 300_000, Requests: 200, Met: 150, Refused: 40, Failed: 10, Target: 2000, First: 3100, Why: "no copy of matcher-b"},
		{Profile: "chat", Rank: "urgent", Window: 300_000, Requests: 1000, Met: 998, Refused: 2, Target: 300, First: 240, Why: "queue full"},
	}
	f.trails["r-17"] = operator.Trail{Request: "r-17", Profile: "match", Model: "matcher-b", Outcome: "not-run", Steps: []operator.Step{
		{Time: start, Instance: "litoral-1a", Step: "admit", Decision: "accepted", Why: "12 of 2048 streams"},
		{Time: start.Add(350 * time.Microsecond), Instance: "litoral-1a", Step: "route", Peer: "matcher-02", Decision: "skipped", Why: "lost since 08:00:00"},
		{Time: start.Add(400 * time.Microsecond), Instance: "litoral-1a", Step: "answer", Decision: "refused", Why: "no copy of matcher-b, back in 40s"},
	}}
}
