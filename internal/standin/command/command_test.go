package command

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/endpoint"
)

func TestEngineCommandServesAndEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	var group errgroup.Group
	var code int
	group.Go(func() error {
		args := []string{"chiveramp-standin", "engine", "--name", "e1", "--models", "a=2GiB,b", "--checks"}
		code = Execute(ctx, args, writer, io.Discard)
		return writer.Close()
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	fields := strings.Fields(line)
	require.Len(t, fields, 4)
	assert.Equal(t, []string{"ready", "engine", "e1"}, fields[:3])
	client := endpoint.New()
	defer client.Close()
	state, err := client.State(t.Context(), fields[3])
	require.NoError(t, err)
	assert.True(t, state.Checks)
	assert.Equal(t, int64(14<<30), state.Used)
	cancel()
	require.NoError(t, group.Wait())
	assert.Zero(t, code)
}

func TestWrongCommandLines(t *testing.T) {
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
