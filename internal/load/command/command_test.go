package command

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/load"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

const documentPath = "../../../examples/guaiba.ini"

func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var stdoutBuffer, stderrBuffer bytes.Buffer
	code = Execute(t.Context(), append([]string{"chiveramp-load"}, args...), &stdoutBuffer, &stderrBuffer)
	return code, stdoutBuffer.String(), stderrBuffer.String()
}

func TestInvalidCommandLines(t *testing.T) {
	dir := t.TempDir()
	plan := filepath.Join(dir, "plan.ini")
	require.NoError(t, os.WriteFile(plan, []byte("[run]\ndocument = none.ini\n"), 0o600))
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"send", "--document", documentPath}, "entry"},
		{[]string{"send", "--entry", "x", "--document", "none.ini", "chat:a"}, "none.ini"},
		{[]string{"send", "--entry", "x", "--document", documentPath}, "want PROFILE:TARGET"},
		{[]string{"send", "--entry", "x", "--document", documentPath, "chat"}, `got "chat"`},
		{[]string{"send", "--entry", "x", "--document", documentPath, "nobody:a"}, `got "nobody:a"`},
		{[]string{"send", "--entry", "x", "--document", documentPath, "--rate", "0", "chat:a"}, "rate above 0"},
		{[]string{"run", "--entry", "x", "--plan", "none.ini"}, "--plan"},
		{[]string{"run", "--entry", "x", "--plan", plan}, "no stage"},
		{[]string{"compare", "--entry", "x", "--endpoint", "y", "--profile", "p", "--model", "m", "--rate", "0"}, "rate and a turn above 0"},
		{[]string{"idle", "--pid", "me"}, "pid"},
	}
	for _, tc := range cases {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			code, _, stderr := run(t, tc.args...)
			assert.Equal(t, exitUsage, code, stderr)
			assert.Contains(t, stderr, tc.want)
		})
	}
}

func TestSendFailsWithoutReachableInstance(t *testing.T) {
	code, out, _ := run(t, "ports")
	require.Zero(t, code)
	unusedAddress := strings.TrimSpace(out)
	code, out, stderr := run(t, "send", "--entry", unusedAddress, "--document", documentPath, "chat:board-citizen")
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, out, "1 requests, 0 whole")
	assert.Contains(t, stderr, errIncomplete.Error())
}

func TestPortsAreDistinct(t *testing.T) {
	_, out, _ := run(t, "ports", "--count", "50")
	seen := map[string]bool{}
	for _, address := range strings.Fields(out) {
		seen[address] = true
	}
	assert.Len(t, seen, 50)
}

// TestAnswerWithWrongWordsIsIncomplete guards against answers being accepted
// without comparing them with the text expected from the stand-in.
func TestAnswerWithWrongWordsIsIncomplete(t *testing.T) {
	e := engine.New(engine.WithModels("a"))
	require.NoError(t, e.Start(t.Context(), "127.0.0.1:0"))
	defer func() { _ = e.Close() }()
	call := load.Call{Kind: load.KindStream, Target: "a", Prompt: "x", MaxTokens: 4}
	cases := []struct {
		name     string
		validate load.Validator
		complete bool
	}{
		{"expected words", func(c load.Call, text string) bool { return text == engine.AnswerTo("a", c.Prompt, 4) }, true},
		{"other words", func(c load.Call, text string) bool { return text == engine.AnswerTo("a", "y", 4) }, false},
		{"fewer words", func(c load.Call, text string) bool { return text == engine.AnswerTo("a", c.Prompt, 3) }, false},
		{"any words", load.NonEmptyText, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sample := load.NewDirect(e.Address(), http.DefaultClient, tc.validate).Send(t.Context(), call)
			assert.Equal(t, tc.complete, sample.Complete)
			assert.Positive(t, sample.FirstToken)
		})
	}
}
