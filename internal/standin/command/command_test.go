package command

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// launch runs a command in the background. It returns the fields of its ready
// line, and a function that stops the command and returns its exit code.
func launch(t *testing.T, args ...string) (fields []string, stop func() int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	reader, writer := io.Pipe()
	var group errgroup.Group
	var code int
	group.Go(func() error {
		code = Execute(ctx, append([]string{"chiveramp-standin"}, args...), writer, io.Discard)
		return writer.Close()
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	return strings.Fields(line), func() int {
		cancel()
		require.NoError(t, group.Wait())
		return code
	}
}

func TestCommandsServeUntilCancelled(t *testing.T) {
	cases := []struct {
		args []string
		want []string
		path string
	}{
		{[]string{"engine", "--name", "e1"}, []string{"ready", "engine", "e1"}, "/health"},
		{[]string{"service", "--name", "orders"}, []string{"ready", "service", "orders"}, "/health"},
		{[]string{"platform", "--writes", "300", "--reads", "2000"}, []string{"ready", "platform", "store"}, "/standin/calls"},
		{[]string{"weights", "--rate", "1.5", "--at-once", "7"}, []string{"ready", "weights", "store"}, "/standin/counts"},
	}
	for _, tc := range cases {
		t.Run(tc.args[0], func(t *testing.T) {
			fields, stop := launch(t, tc.args...)
			require.Len(t, fields, 4)
			assert.Equal(t, tc.want, fields[:3])
			response, err := http.Get("http://" + fields[3] + tc.path)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Zero(t, stop())
		})
	}
}

func TestEngineCommandParsesSizes(t *testing.T) {
	fields, stop := launch(t, "engine", "--models", "a=2GiB,b", "--checks")
	client := endpoint.New()
	defer client.Close()
	state, err := client.State(t.Context(), fields[3])
	require.NoError(t, err)
	assert.True(t, state.ChecksFence)
	assert.Equal(t, int64(14<<30), state.Used)
	assert.Zero(t, stop())
}

func TestLinkCommandRelaysWithLatency(t *testing.T) {
	far, stopFar := launch(t, "service")
	fields, stop := launch(t, "link", "--to", far[3], "--latency", "10ms", "--rate", "30e6")
	start := time.Now()
	response, err := http.Get("http://" + fields[3] + "/health")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.GreaterOrEqual(t, time.Since(start), 20*time.Millisecond)
	assert.Zero(t, stop())
	assert.Zero(t, stopFar())
}

func TestMemberCommandRegistersMember(t *testing.T) {
	fields, stop := launch(t, "platform")
	address := fields[3]
	args := []string{"chiveramp-standin", "member", "--platform", address, "--service", "matcher", "--name", "m1", "--address", "127.0.0.1:9", "--region", "r", "--datacentre", "d"}
	assert.Zero(t, Execute(t.Context(), args, io.Discard, io.Discard))
	members, err := platform.NewHTTP("http://"+address).Members(t.Context(), "matcher")
	require.NoError(t, err)
	require.Len(t, members, 1)
	assert.Equal(t, "m1", members[0].Name)
	assert.Equal(t, exitFailed, Execute(t.Context(), append(args[:6:6], "--name", ""), io.Discard, io.Discard))
	assert.Zero(t, stop())
}

func TestInvalidCommandLines(t *testing.T) {
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"engine", "--memory", "much"}, exitUsage, "--memory"},
		{[]string{"engine", "--bad"}, exitUsage, "bad"},
		{[]string{"engine", "--listen", "127.0.0.1:none"}, exitFailed, "listen 127.0.0.1:none"},
		{[]string{"service", "--listen", "nowhere"}, exitFailed, "listen nowhere"},
		{[]string{"link"}, exitUsage, "to"},
	}
	for _, tc := range cases {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			var stderr bytes.Buffer
			code := Execute(t.Context(), append([]string{"chiveramp-standin"}, tc.args...), io.Discard, &stderr)
			assert.Equal(t, tc.code, code)
			assert.Contains(t, stderr.String(), tc.want)
		})
	}
}
